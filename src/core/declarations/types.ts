import type { z } from 'zod';
import type {
  availabilityZoneRowSchema,
  changeRecordSchema,
  configurationSchema,
  declarationSchema,
  limitRowSchema,
  routeSchema,
  serviceSchema,
  serviceTargetSchema,
  servingGroupSchema,
  weightRowSchema,
} from './schema.ts';

export type ServingGroup = z.infer<typeof servingGroupSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type ServiceTarget = z.infer<typeof serviceTargetSchema>;
export type Route = z.infer<typeof routeSchema>;
export type WeightRow = z.infer<typeof weightRowSchema>;
export type LimitRow = z.infer<typeof limitRowSchema>;
export type AvailabilityZoneRow = z.infer<typeof availabilityZoneRowSchema>;
export type ChangeRecord = z.infer<typeof changeRecordSchema>;
export type Declaration = z.infer<typeof declarationSchema>;
export type Configuration = z.infer<typeof configurationSchema>;

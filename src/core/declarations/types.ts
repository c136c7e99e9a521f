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

/** A model served by replicas that each span several VMs. */
export type ServingGroup = z.infer<typeof servingGroupSchema>;
/** A service that is not a model. */
export type Service = z.infer<typeof serviceSchema>;
/** A target of a service. */
export type ServiceTarget = z.infer<typeof serviceTargetSchema>;
/** A name that a customer may call, and what handles the calls. */
export type Route = z.infer<typeof routeSchema>;
/** Weight of one serving group in a route. */
export type WeightRow = z.infer<typeof weightRowSchema>;
/** Limits of one customer. */
export type LimitRow = z.infer<typeof limitRowSchema>;
/** An availability zone and its state. */
export type AvailabilityZoneRow = z.infer<typeof availabilityZoneRowSchema>;
/** Record of one change to the configuration. */
export type ChangeRecord = z.infer<typeof changeRecordSchema>;
/** The rows that operators configure. */
export type Declaration = z.infer<typeof declarationSchema>;
/** A declaration with the records of its latest changes, as the platform stores it. */
export type Configuration = z.infer<typeof configurationSchema>;

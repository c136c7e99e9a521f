import { isIP } from 'node:net';
import { z } from 'zod';

const MAX_PORT = 65_535;
const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;

/** IP address of a process; host names are rejected because they are not resolved. */
export const addressSchema = z
  .string()
  .refine((value) => isIP(value) !== 0, 'must be an IP address, such as 10.0.0.1');

/** TCP or UDP port number. */
export const portSchema = z.number().int().min(1).max(MAX_PORT);

/** Name of a VM, zone, customer, group, service or route. */
export const nameSchema = z
  .string()
  .regex(NAME_PATTERN, 'must be 1 to 63 lower-case letters, digits or hyphens');

/** Positive duration in milliseconds. */
export const durationMsSchema = z.number().int().positive();

/** Address and port to which metrics are sent over UDP. */
export const metricsSchema = z
  .strictObject({ address: addressSchema.optional(), port: portSchema.optional() })
  .prefault({});

import { z } from 'zod';
import {
  addressSchema,
  durationMsSchema,
  nameSchema,
  portSchema,
} from '../../core/settings/index.ts';

const timeMsSchema = z.number().int().min(0);

/** How the engine members of one process behave. */
export const engineBehaviourSchema = z.strictObject({
  /** Base URL of the weight store; without it a load takes `loadMs`. */
  weightStore: z.url().optional(),
  loadMs: timeMsSchema.default(200),
  /** A member is cold after loading for this time; 0 for never. */
  coldMs: timeMsSchema.default(2_000),
  /** A cold member turns warm earlier, after this number of answers; 0 for by time only. */
  coldRequests: z.number().int().min(0).default(0),
  coldLimit: z.number().int().min(1).default(2),
  /** Requests generated at once; others wait in the engine. */
  batchRequests: z.number().int().min(1).default(32),
  capacityTokens: z.number().int().min(1).default(100_000),
  firstTokenMs: timeMsSchema.default(20),
  tokenMs: durationMsSchema.default(10),
  heartbeatMs: durationMsSchema.default(1_000),
  /** Tokens that wait for a slow reader before generation pauses and holds its memory. */
  unreadTokens: z.number().int().min(1).default(4_096),
  keepFinishedMs: durationMsSchema.default(30_000),
  /** Period at which the load figures are taken; status reports the last ones taken. */
  loadLagMs: durationMsSchema.default(500),
  /** Period at which members report to the member with rank 0. */
  memberReportMs: durationMsSchema.default(200),
  /** Silence of a member after which the replica fails. */
  memberDeadlineMs: durationMsSchema.default(1_000),
});

/** One engine member. */
export const engineMemberSchema = z.strictObject({
  vm: nameSchema,
  address: addressSchema,
  /** 0 chooses a free port. */
  port: portSchema.or(z.literal(0)),
  /** Whether the member refuses an order with an old fencing number. */
  checksFencing: z.boolean().default(true),
});

/** Settings of `standin-engine`. */
export const engineSettingsSchema = z.strictObject({
  behaviour: engineBehaviourSchema.prefault({}),
  members: z.array(engineMemberSchema).min(1),
  /** Server for faults that stays up while members are down. */
  control: z.strictObject({ address: addressSchema, port: portSchema }).optional(),
});

export type EngineBehaviour = z.infer<typeof engineBehaviourSchema>;
export type EngineMemberSettings = z.infer<typeof engineMemberSchema>;
export type EngineSettings = z.infer<typeof engineSettingsSchema>;

import { z } from 'zod';
import {
  addressSchema,
  durationMsSchema,
  nameSchema,
  portSchema,
} from '../../core/settings/index.ts';

const timeMsSchema = z.number().int().min(0);

/** Simulated behaviour that all engine members of one process share. */
export const engineBehaviourSchema = z.strictObject({
  /** Base URL of the weight store; if unset, loading weights takes `loadMs`. */
  weightStore: z.url().optional(),
  loadMs: timeMsSchema.default(200),
  /** Time for which a member is cold after it has loaded; 0 disables cold starts. */
  coldMs: timeMsSchema.default(2_000),
  /** Completions after which a member is warm before `coldMs` ends; 0 means by time only. */
  coldRequests: z.number().int().min(0).default(0),
  /** Concurrent requests that a cold member takes; more make it fail. */
  coldLimit: z.number().int().min(1).default(2),
  /** Requests that generate tokens concurrently; others are queued in the engine. */
  batchRequests: z.number().int().min(1).default(32),
  /** Tokens of all active requests, prompts included, that fit into memory; more make it fail. */
  capacityTokens: z.number().int().min(1).default(100_000),
  /** Minimum time from the start of a request to its first token. */
  firstTokenMs: timeMsSchema.default(20),
  /** Time between two tokens of a stream. */
  tokenMs: durationMsSchema.default(10),
  heartbeatMs: durationMsSchema.default(1_000),
  /** Unread tokens at which generation pauses for a slow reader; the stream keeps its memory. */
  unreadTokens: z.number().int().min(1).default(4_096),
  /** Time for which a finished stream can still be resumed. */
  keepFinishedMs: durationMsSchema.default(30_000),
  /** Period at which the load is sampled; the status reports the last sample. */
  loadLagMs: durationMsSchema.default(500),
  /** Period at which the other members report to rank 0. */
  memberReportMs: durationMsSchema.default(200),
  /** Time without a report from a member after which the replica fails. */
  memberDeadlineMs: durationMsSchema.default(1_000),
});

/** Settings of one engine member. */
export const engineMemberSchema = z.strictObject({
  vm: nameSchema,
  address: addressSchema,
  /** 0 selects a free port. */
  port: portSchema.or(z.literal(0)),
  /** Whether the member refuses an order with a stale fencing token. */
  checksFencing: z.boolean().default(true),
});

/** Settings of `standin-engine`. */
export const engineSettingsSchema = z.strictObject({
  behaviour: engineBehaviourSchema.prefault({}),
  members: z.array(engineMemberSchema).min(1),
  /** Control server for fault injection; it stays up while members are down. */
  control: z.strictObject({ address: addressSchema, port: portSchema }).optional(),
});

export type EngineBehaviour = z.infer<typeof engineBehaviourSchema>;
export type EngineMemberSettings = z.infer<typeof engineMemberSchema>;
export type EngineSettings = z.infer<typeof engineSettingsSchema>;

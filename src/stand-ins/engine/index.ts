import { randomUUID } from 'node:crypto';
import type { TimerService } from '../../core/timers/index.ts';
import { createControlServer, createFaultServer } from '../faults/index.ts';
import type { FaultListeners, FaultRequest } from '../faults/index.ts';
import { createEngineMember } from './member.ts';
import type { EngineMember } from './member.ts';
import { addEngineRoutes } from './routes.ts';
import type { EngineMemberSettings, EngineSettings } from './settings.ts';

export { engineSettingsSchema } from './settings.ts';
export type { EngineBehaviour, EngineMemberSettings, EngineSettings } from './settings.ts';
export { countPromptTokens, createCompletionText } from './completion-text.ts';
export type { EngineCounters } from './types.ts';

/** One engine member and its HTTP server. */
export interface StandInEngineMember {
  vm: string;
  address: string;
  /** Port from the settings; the bound port after `start`. */
  port: number;
  member: EngineMember;
  applyFaults(faultRequest: FaultRequest): void;
}

/** Simulated engine: all engine members that run in one process. */
export interface StandInEngine {
  members: StandInEngineMember[];
  start(): Promise<void>;
  stop(): Promise<void>;
}

interface RunnableMember extends StandInEngineMember {
  start(): Promise<void>;
  stop(): Promise<void>;
}

function createMember(
  settings: EngineMemberSettings,
  { behaviour }: EngineSettings,
  timers: TimerService,
  createId: () => string,
): RunnableMember {
  const listeners: FaultListeners = {};
  const { address, port } = settings;
  const server = createFaultServer({ address, port, timers, listeners });
  const member = createEngineMember({
    settings,
    behaviour,
    timers,
    createId,
    faults: server.faults,
  });
  listeners.handleCold = member.setCold;
  listeners.handleRestart = member.reset;
  addEngineRoutes({ server, member, behaviour, timers, createId });
  const runnableMember: RunnableMember = {
    vm: settings.vm,
    address: settings.address,
    port: settings.port,
    member,
    applyFaults: server.applyFaults,
    async start() {
      runnableMember.port = await server.start();
      member.start();
    },
    async stop() {
      member.stop();
      await server.stop();
    },
  };
  return runnableMember;
}

/**
 * Creates a simulated engine whose members listen on separate ports of one process. `max_tokens`
 * limits the whole completion, including the tokens of a continuation; the first token generated
 * after a continuation has the number of its tokens as its offset.
 */
export function createStandInEngine(
  settings: EngineSettings,
  timers: TimerService,
  createId: () => string = randomUUID,
): StandInEngine {
  const members = settings.members.map((member) =>
    createMember(member, settings, timers, createId),
  );
  const { control } = settings;
  const controlServer =
    control === undefined ? undefined : createControlServer(control.address, control.port, members);
  return {
    members,
    async start() {
      for (const member of members) await member.start();
      await controlServer?.start();
    },
    async stop() {
      await controlServer?.stop();
      for (const member of members) await member.stop();
    },
  };
}

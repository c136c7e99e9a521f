import { spawn } from 'node:child_process';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { stringify } from 'yaml';
import type { TimerService } from '../core/timers/index.ts';

/** A process to start: a bundle in the build folder and its settings. */
export interface ProcessPlan {
  /** Name of the process in the demo; also the name of its files. */
  name: string;
  /** Bundle in the build folder, without `.js`. */
  binary: string;
  settings: unknown;
}

/** A running process of the demo. */
export interface RunningProcess {
  name: string;
  binary: string;
  pid: number;
  logFile: string;
  /** Resolves with the exit status, or the signal that ended the process. */
  exited: Promise<number | NodeJS.Signals>;
  sendSignal(signal: NodeJS.Signals): void;
  /** Asks for a graceful stop and kills the process after the deadline. */
  stop(deadlineMs?: number): Promise<number | NodeJS.Signals>;
}

/** Starts the processes of a demo or a test; files go to one folder. */
export interface ProcessRunner {
  start(plan: ProcessPlan): RunningProcess;
  isRunning(handle: RunningProcess): boolean;
  /** Stops all running processes: controllers, then entry daemons, then the stand-ins. */
  stopAll(): Promise<void>;
}

/** Folders and clock of a process runner. */
export interface ProcessRunnerOptions {
  buildFolder: string;
  workFolder: string;
  timers: TimerService;
}

const STOP_DEADLINE_MS = 10_000;

/** A controller releases its leases at its stop, so the platform must still be there. */
const STOP_ORDER: readonly string[] = ['clementinefork-controller', 'clementinefork-entry'];

/** Creates the runner; only development scripts and tests start processes, daemons never do. */
export function createProcessRunner(options: ProcessRunnerOptions): ProcessRunner {
  const running = new Set<RunningProcess>();

  const start = ({ name, binary, settings }: ProcessPlan): RunningProcess => {
    const settingsFile = join(options.workFolder, `${name}.yaml`);
    const logFile = join(options.workFolder, `${name}.log`);
    writeFileSync(settingsFile, stringify(settings));
    const log = openSync(logFile, 'a');
    const bundle = join(options.buildFolder, `${binary}.js`);
    const child = spawn(process.execPath, [bundle, '--settings', settingsFile], {
      stdio: ['ignore', log, log],
      env: { ...process.env, ROARR_LOG: 'true' },
    });
    closeSync(log);
    const exited = new Promise<number | NodeJS.Signals>((resolve) => {
      child.once('exit', (code, signal) => resolve(code ?? signal ?? 0));
      child.once('error', () => resolve(1));
    });
    const handle: RunningProcess = {
      name,
      binary,
      pid: child.pid ?? 0,
      logFile,
      exited,
      sendSignal: (signal) => {
        child.kill(signal);
      },
      async stop(deadlineMs = STOP_DEADLINE_MS) {
        child.kill('SIGTERM');
        const cancel = options.timers.scheduleOnce(deadlineMs, () => child.kill('SIGKILL'));
        const status = await exited;
        cancel();
        return status;
      },
    };
    running.add(handle);
    void exited.then(() => running.delete(handle));
    return handle;
  };

  return {
    start,
    isRunning: (handle) => running.has(handle),
    async stopAll() {
      // A frozen process must go on before it can stop.
      running.forEach((handle) => handle.sendSignal('SIGCONT'));
      for (const binary of STOP_ORDER) {
        const stage = [...running].filter((handle) => handle.binary === binary);
        await Promise.all(stage.map((handle) => handle.stop()));
      }
      await Promise.all([...running].map((handle) => handle.stop()));
    },
  };
}

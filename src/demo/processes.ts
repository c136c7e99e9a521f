import { spawn } from 'node:child_process';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { stringify } from 'yaml';
import type { TimerService } from '../core/timers/index.ts';

/** Describes a process to start: its bundle in the build folder and its settings. */
export interface ProcessSpec {
  /** Process name, which is also the base name of its settings file and log file. */
  name: string;
  /** Name of the bundle in the build folder, without `.js`. */
  binary: string;
  settings: unknown;
  /** Options of Node.js; default: none. */
  nodeOptions?: readonly string[];
  /** Maximum number of open descriptors; default: that of this process. */
  maxDescriptors?: number;
}

/** Handle of a started process. */
export interface RunningProcess {
  name: string;
  binary: string;
  pid: number;
  /** File that receives standard output and standard error. */
  logFile: string;
  /** Resolves with the exit status, or with the signal that terminated the process. */
  exited: Promise<number | NodeJS.Signals>;
  sendSignal(signal: NodeJS.Signals): void;
  /** Whether a signal was sent that ends the process. */
  wasToldToEnd(): boolean;
  /** Sends SIGTERM, then SIGKILL if the process still runs after `deadlineMs` milliseconds. */
  stop(deadlineMs?: number): Promise<number | NodeJS.Signals>;
}

/** Starts the processes of a demo or a test. Settings and logs are written to one work folder. */
export interface ProcessRunner {
  start(spec: ProcessSpec): RunningProcess;
  isRunning(handle: RunningProcess): boolean;
  /** Stops all running processes: controllers first, then entry daemons, then everything else. */
  stopAll(): Promise<void>;
}

/** Folders and timers that a process runner uses. */
export interface ProcessRunnerOptions {
  buildFolder: string;
  workFolder: string;
  timers: TimerService;
}

const END_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set(['SIGTERM', 'SIGINT', 'SIGKILL']);
const STOP_DEADLINE_MS = 10_000;

/** Controllers stop first, because they release their leases on the platform when they stop. */
const STOP_ORDER: readonly string[] = ['clementinefork-controller', 'clementinefork-entry'];

/** Builds the command that runs a program under a descriptor limit; the program takes over the pid. */
function buildLimitedCommand(maxDescriptors: number, command: readonly string[]): string[] {
  return ['sh', '-c', `ulimit -n ${maxDescriptors} && exec "$0" "$@"`, ...command];
}

/** Creates a process runner for development scripts and tests. Daemons never start processes. */
export function createProcessRunner(options: ProcessRunnerOptions): ProcessRunner {
  const running = new Set<RunningProcess>();

  const start = (spec: ProcessSpec): RunningProcess => {
    const { name, binary, settings, nodeOptions = [], maxDescriptors } = spec;
    const settingsFile = join(options.workFolder, `${name}.yaml`);
    const logFile = join(options.workFolder, `${name}.log`);
    writeFileSync(settingsFile, stringify(settings));
    const log = openSync(logFile, 'a');
    const bundle = join(options.buildFolder, `${binary}.js`);
    const node = [process.execPath, ...nodeOptions, bundle, '--settings', settingsFile];
    const [file = '', ...args] =
      maxDescriptors === undefined ? node : buildLimitedCommand(maxDescriptors, node);
    const child = spawn(file, args, {
      stdio: ['ignore', log, log],
      env: { ...process.env, ROARR_LOG: 'true' },
    });
    closeSync(log);
    const exited = new Promise<number | NodeJS.Signals>((resolve) => {
      child.once('exit', (code, signal) => resolve(code ?? signal ?? 0));
      child.once('error', () => resolve(1));
    });
    let wasToldToEnd = false;
    const sendSignal = (signal: NodeJS.Signals): void => {
      wasToldToEnd ||= END_SIGNALS.has(signal);
      child.kill(signal);
    };
    const handle: RunningProcess = {
      name,
      binary,
      pid: child.pid ?? 0,
      logFile,
      exited,
      sendSignal,
      wasToldToEnd: () => wasToldToEnd,
      async stop(deadlineMs = STOP_DEADLINE_MS) {
        sendSignal('SIGTERM');
        const cancel = options.timers.scheduleOnce(deadlineMs, () => sendSignal('SIGKILL'));
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
      // A process paused by SIGSTOP must be resumed before it can handle SIGTERM.
      running.forEach((handle) => handle.sendSignal('SIGCONT'));
      for (const binary of STOP_ORDER) {
        const stage = [...running].filter((handle) => handle.binary === binary);
        await Promise.all(stage.map((handle) => handle.stop()));
      }
      await Promise.all([...running].map((handle) => handle.stop()));
    },
  };
}

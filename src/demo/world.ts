import { execFile } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { request } from 'undici';
import { stringify } from 'yaml';
import type { TimerService } from '../core/timers/index.ts';
import type { ProcessRunner, RunningProcess } from './processes.ts';
import { createProcessRunner } from './processes.ts';
import type { EntryPlace, Topology, TopologyOptions } from './topology.ts';
import {
  buildControllerPlan,
  buildDeclaration,
  buildEntryPlan,
  buildOperatorSettings,
  buildStandInPlans,
  createTopology,
} from './topology.ts';
import { waitUntil } from './wait-until.ts';

const START_DEADLINE_MS = 15_000;
const HTTP_OK = 200;

/** Exit status and output of one run of the operator command. */
export interface OperatorOutput {
  status: number;
  stdout: string;
  stderr: string;
}

/** The processes of a demo on loopback, with the calls that start and control them. */
export interface DemoWorld {
  topology: Topology;
  runner: ProcessRunner;
  startStandIns(): Promise<void>;
  startEntry(entry: EntryPlace): RunningProcess;
  startController(entry: EntryPlace): RunningProcess;
  /** Waits until the entry daemon passes its health check; throws after 15 s. */
  waitForEntry(entry: EntryPlace): Promise<void>;
  /** Runs the operator command against this demo; a non-zero exit status does not throw. */
  runOperator(...parameters: string[]): Promise<OperatorOutput>;
  /** Writes the declaration of the demo to the work folder and returns the file's path. */
  writeDeclaration(): string;
  /** Sends a request to a stand-in, POST if it has a body and GET otherwise; returns the JSON. */
  sendControl(port: number, path: string, body?: unknown): Promise<unknown>;
}

/** Folders, timers, process counts and delays of a demo. */
export interface DemoWorldOptions extends TopologyOptions {
  buildFolder: string;
  workFolder: string;
  timers: TimerService;
}

const runFile = promisify(execFile);

interface FailedRun {
  code?: number;
  stdout?: string;
  stderr?: string;
}

/** Chooses the ports of a demo; starts no process. */
export async function createDemoWorld(options: DemoWorldOptions): Promise<DemoWorld> {
  const { buildFolder, timers, workFolder } = options;
  const topology = await createTopology(options);
  const runner = createProcessRunner({ buildFolder, workFolder, timers });
  const { address } = topology;

  const isAnswering = async (port: number, path: string): Promise<true | undefined> => {
    const { statusCode, body } = await request(`http://${address}:${port}${path}`);
    await body.dump();
    return statusCode === HTTP_OK ? true : undefined;
  };

  const waitForPort = (what: string, port: number, path: string): Promise<true> =>
    waitUntil(what, timers, START_DEADLINE_MS, () => isAnswering(port, path));

  return {
    topology,
    runner,
    async startStandIns() {
      buildStandInPlans(topology, options).forEach((plan) => runner.start(plan));
      await waitForPort('start of the platform', topology.platformPort, '/vms');
      const targets = [...topology.engines, ...topology.services];
      await Promise.all(
        targets.map(({ vm, port }) => waitForPort(`start of ${vm}`, port, '/status')),
      );
    },
    startEntry: (entry) => runner.start(buildEntryPlan(topology, entry)),
    startController: (entry) => runner.start(buildControllerPlan(topology, entry)),
    async waitForEntry({ name, callers }) {
      await waitForPort(`start of ${name}`, callers, '/healthz');
    },
    async runOperator(...parameters) {
      const settingsFile = join(workFolder, 'clementinefork.yaml');
      writeFileSync(settingsFile, stringify(buildOperatorSettings(topology)));
      const bundle = join(buildFolder, 'clementinefork.js');
      const allParameters = [bundle, ...parameters, '--settings', settingsFile];
      try {
        const { stdout, stderr } = await runFile(process.execPath, allParameters);
        return { status: 0, stdout, stderr };
      } catch (error) {
        const { code = 1, stdout = '', stderr = '' } = error as FailedRun;
        return { status: code, stdout, stderr };
      }
    },
    writeDeclaration() {
      const file = join(workFolder, 'declaration.yaml');
      writeFileSync(file, stringify(buildDeclaration(topology)));
      return file;
    },
    async sendControl(port, path, body) {
      const { body: answer } = await request(`http://${address}:${port}${path}`, {
        method: body === undefined ? 'GET' : 'POST',
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
      });
      return answer.json();
    },
  };
}

import { execFile } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { request } from 'undici';
import { stringify } from 'yaml';
import type { TimerService } from '../core/timers/index.ts';
import type { ProcessRunner, RunningProcess } from './processes.ts';
import { createProcessRunner } from './processes.ts';
import type { EntryEndpoints, Topology, TopologyOptions } from './topology.ts';
import {
  buildControllerSpec,
  buildDeclaration,
  buildEntrySpec,
  buildOperatorSettings,
  buildStandInSpecs,
  createTopology,
} from './topology.ts';
import { waitUntil } from './wait-until.ts';

const START_DEADLINE_MS = 15_000;
const HTTP_OK = 200;

/** Exit status and output of one run of the operator command. */
export interface OperatorResult {
  status: number;
  stdout: string;
  stderr: string;
}

/** The processes of a demo on loopback, with the calls that start and control them. */
export interface DemoCluster {
  topology: Topology;
  runner: ProcessRunner;
  startStandIns(): Promise<void>;
  startEntry(entry: EntryEndpoints): RunningProcess;
  startController(entry: EntryEndpoints): RunningProcess;
  /** Waits until the entry daemon passes its health check; throws after 15 s. */
  waitForEntry(entry: EntryEndpoints): Promise<void>;
  /** Runs the operator command against this demo; a non-zero exit status does not throw. */
  runOperator(...parameters: string[]): Promise<OperatorResult>;
  /** Writes the declaration of the demo to the work folder and returns the file's path. */
  writeDeclaration(): string;
  /** Sends a request to a stand-in, POST if it has a body and GET otherwise; returns the JSON. */
  sendControlRequest(port: number, path: string, body?: unknown): Promise<unknown>;
}

/** Folders, timers, process counts and delays of a demo. */
export interface DemoClusterOptions extends TopologyOptions {
  buildFolder: string;
  workFolder: string;
  timers: TimerService;
}

const execFileAsync = promisify(execFile);

interface ExecFileError {
  code?: number;
  stdout?: string;
  stderr?: string;
}

/** Chooses the ports of a demo; starts no process. */
export async function createDemoCluster(options: DemoClusterOptions): Promise<DemoCluster> {
  const { buildFolder, timers, workFolder } = options;
  const topology = await createTopology(options);
  const runner = createProcessRunner({ buildFolder, workFolder, timers });
  const { address } = topology;

  const probeEndpoint = async (port: number, path: string): Promise<true | undefined> => {
    const { statusCode, body } = await request(`http://${address}:${port}${path}`);
    await body.dump();
    return statusCode === HTTP_OK ? true : undefined;
  };

  const waitForPort = (description: string, port: number, path: string): Promise<true> =>
    waitUntil(description, timers, START_DEADLINE_MS, () => probeEndpoint(port, path));

  return {
    topology,
    runner,
    async startStandIns() {
      buildStandInSpecs(topology, options).forEach((spec) => runner.start(spec));
      await waitForPort('start of the platform', topology.platformPort, '/vms');
      const targets = [...topology.engines, ...topology.services];
      await Promise.all(
        targets.map(({ vm, port }) => waitForPort(`start of ${vm}`, port, '/status')),
      );
    },
    startEntry: (entry) => runner.start(buildEntrySpec(topology, entry)),
    startController: (entry) => runner.start(buildControllerSpec(topology, entry)),
    async waitForEntry({ name, callers }) {
      await waitForPort(`start of ${name}`, callers, '/healthz');
    },
    async runOperator(...parameters) {
      const settingsFile = join(workFolder, 'clementinefork.yaml');
      writeFileSync(settingsFile, stringify(buildOperatorSettings(topology)));
      const bundle = join(buildFolder, 'clementinefork.js');
      const allParameters = [bundle, ...parameters, '--settings', settingsFile];
      try {
        const { stdout, stderr } = await execFileAsync(process.execPath, allParameters);
        return { status: 0, stdout, stderr };
      } catch (error) {
        const { code = 1, stdout = '', stderr = '' } = error as ExecFileError;
        return { status: code, stdout, stderr };
      }
    },
    writeDeclaration() {
      const file = join(workFolder, 'declaration.yaml');
      writeFileSync(file, stringify(buildDeclaration(topology)));
      return file;
    },
    async sendControlRequest(port, path, body) {
      const { body: answer } = await request(`http://${address}:${port}${path}`, {
        method: body === undefined ? 'GET' : 'POST',
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
      });
      return answer.json();
    },
  };
}

/* eslint-disable import-x/prefer-default-export, no-restricted-syntax, no-await-in-loop -- Node.js needs the extensions; stand-ins keep state and work step by step. */
// Starts gateways as processes, with the command of the deploy file and settings of a small deployment.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const REGION = 'sofia';

/** Returns ports that are free on all the addresses now. */
async function findFreePorts(hosts, count) {
  const ports = [];
  while (ports.length < count) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const isFree = await Promise.all(
      hosts.map(
        (host) =>
          new Promise((resolve) => {
            const server = createServer();
            server.once('error', () => resolve(false));
            server.listen(port, host, () => server.close(() => resolve(true)));
          }),
      ),
    );
    if (!isFree.includes(false) && !ports.includes(port)) ports.push(port);
  }
  return ports;
}

function readCommand() {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.+)"$/m.exec(deploy)[1].split(' ');
}

/** Starts one gateway for each `{ name, zone, host }`. */
export async function startGateways({ nodes, zones, storeAddress, heartbeatMs, record }) {
  const folder = mkdtempSync(join(tmpdir(), 'clementinefork-review-'));
  const hosts = nodes.map(({ host }) => host);
  const [front, ready, control, directory, internal] = await findFreePorts(hosts, 5);
  const [command, ...args] = readCommand();
  const gateways = nodes.map(({ name, zone, host }) => {
    const settings = {
      node: name,
      role: 'gateway',
      machine_class: 'front',
      serves: ['front', 'directory'],
      ip: host,
      zone,
      region: REGION,
      zones: Object.fromEntries(zones.map((one) => [one, REGION])),
      listen: {
        front: `${host}:${front}`,
        ready: `${host}:${ready}`,
        control: `${host}:${control}`,
        directory: `${host}:${directory}`,
      },
      internal_port_range: [internal, internal],
      seeds: [],
      bootstrap: true,
      loss_counts: false,
      limits: {
        cpu_share: 1,
        cores: 1,
        memory_mb: 350,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
      data_dir: null,
      discovery: 'platform',
      entry: 'directory',
      heartbeat_ms: heartbeatMs,
      contracts: [
        'base',
        'drain',
        'config',
        'retry',
        'recover',
        'engine',
        'stream',
        'platform',
        'gangs',
      ],
      tolerate: { machines: 2, zones: 1, regions: 0 },
      bounds: {
        address_reuse_s: 2,
        touch_ms: 3000,
        drain_ms: 2000,
        grace_s: 8,
        config_apply_ms: 2000,
        retry_budget_ratio: 0.2,
        budget_window_s: 10,
        retry_budget_slack: 107,
        evacuation_ms: 5000,
        stall_ms: 5000,
        ttl_max_s: 5,
      },
      platform: { address: storeAddress, form: 'objects', writes_per_s: 400, reads_per_s: 2000 },
    };
    const file = join(folder, `${name}.yaml`);
    // JSON is YAML too.
    writeFileSync(file, JSON.stringify(settings));
    const gateway = { name, host, front, ready, settings, file, process: undefined };
    gateway.start = () => {
      const env = { PATH: process.env.PATH, HOME: folder, CLEMENTINEFORK_CONFIG: file };
      gateway.process = spawn(command, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
      const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
      gateway.process.stdout.pipe(log);
      gateway.process.stderr.pipe(log);
      gateway.process.once('exit', (code, signal) => record('exit', { name, code, signal }));
      record('start', { name, pid: gateway.process.pid });
    };
    gateway.readLog = () => readFileSync(join(folder, `${name}.log`), 'utf8');
    gateway.isReady = () =>
      new Promise((resolve) => {
        const question = get(`http://${host}:${ready}/ready`, { agent: false }, (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        });
        question.on('error', () => resolve(false));
      });
    gateway.start();
    return gateway;
  });
  return {
    gateways,
    stop: async () => {
      for (const gateway of gateways) {
        const { process: child } = gateway;
        if (child.exitCode === null && child.signalCode === null) {
          child.kill('SIGKILL');
          await once(child, 'exit');
        }
      }
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

// Starts gateways with the command of deploy/system.toml and the settings of a small deployment.
/* eslint-disable no-await-in-loop */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';

/** The figures of temir-feed. */
export const BOUNDS = {
  seed_lag_s: 3,
  address_reuse_s: 2,
  touch_ms: 3000,
  ack_timeout_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  outer_ms: 5000,
  strict_revoke: false,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 107,
  cold_overage: 1.5,
  cold_slack: 5,
  evacuation_ms: 5000,
  recovery_s: 12,
  pass_ms: 120,
  retry_after_s: 0,
  stall_ms: 5000,
  fencing_enforced: false,
  ceiling_window_s: 5,
  ceiling_overage: 1.1,
  ttl_max_s: 5,
};
export const MEMORY_MB = 350;
const ZONES = ['almaty-a', 'almaty-b', 'almaty-c'];
const READY_LIMIT_MS = 20_000;

function findFreePort(host) {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

function isReady(address) {
  return new Promise((resolve) => {
    const request = get(`http://${address}/ready`, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('error', () => resolve(false));
    request.setTimeout(500, () => request.destroy());
  });
}

export async function waitFor(condition, limitMs, what) {
  const endMs = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > endMs) throw new Error(`${what} took over ${limitMs} ms`);
    await wait(50);
  }
}

/** Reads the resident memory of a process that the test started, in MB. */
export function readMemoryMb(pid) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1024;
  } catch {
    return 0;
  }
}

/** Prepares gateways on loopback addresses of their own; `zones` names the zone of each. */
export function createGateways(storeAddress, zones) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const network = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 200)}`;

  const createGateway = async (zone, index) => {
    const name = `front-${zone}-${index + 1}`;
    const ip = `${network}.${10 + index}`;
    const [front, ready, directory, peer] = await Promise.all(
      Array.from({ length: 4 }, () => findFreePort(ip)),
    );
    const file = join(folder, `${name}.yaml`);
    const settings = {
      node: name,
      role: 'gateway',
      machine_class: 'front',
      serves: ['front', 'directory'],
      ip,
      zone,
      region: 'almaty',
      zones: Object.fromEntries(ZONES.map((one) => [one, 'almaty'])),
      listen: {
        front: `${ip}:${front}`,
        ready: `${ip}:${ready}`,
        directory: `${ip}:${directory}`,
      },
      internal_port_range: [peer, peer],
      seeds: [],
      bootstrap: false,
      loss_counts: false,
      limits: {
        cpu_share: 0.675,
        cores: 1,
        memory_mb: MEMORY_MB,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
      data_dir: null,
      discovery: 'platform',
      entry: 'directory',
      heartbeat_ms: 1200,
      bounds: BOUNDS,
      platform: {
        address: storeAddress,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1_048_576,
        min_ttl_ms: 1000,
      },
    };
    // JSON is YAML too.
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    const log = openSync(join(folder, `${name}.log`), 'a');
    const gateway = {
      name,
      host: ip,
      port: front,
      child: undefined,
      /** Resolves with the signal or status of the end of the running process. */
      ended: undefined,
      start() {
        const child = spawn(
          process.execPath,
          [
            '--max-old-space-size=160',
            '--max-semi-space-size=2',
            'target/clementinefork-gateway.js',
          ],
          {
            env: { PATH: process.env.PATH, HOME: process.env.HOME, CLEMENTINEFORK_CONFIG: file },
            stdio: ['ignore', log, log],
          },
        );
        gateway.child = child;
        gateway.ended = new Promise((resolve) => {
          child.on('exit', (status, signal) => resolve(signal ?? status));
        });
      },
      isReady: () => isReady(settings.listen.ready),
      waitUntilReady: () => waitFor(gateway.isReady, READY_LIMIT_MS, `readiness of ${name}`),
    };
    gateway.start();
    return gateway;
  };

  const gateways = [];
  return {
    async start() {
      gateways.push(...(await Promise.all(zones.map(createGateway))));
      await Promise.all(gateways.map((gateway) => gateway.waitUntilReady()));
      return gateways;
    },
    readLog: (name) => readFileSync(join(folder, `${name}.log`), 'utf8'),
    async stop() {
      gateways.forEach(({ child }) => child.kill('SIGKILL'));
      await Promise.all(gateways.map(({ ended }) => ended));
      if (process.env.KEEP === undefined) rmSync(folder, { recursive: true, force: true });
    },
  };
}

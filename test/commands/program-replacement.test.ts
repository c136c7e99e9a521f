import { once } from 'node:events';
import { mkdirSync, utimesSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createTimerService } from '../../src/core/timers/index.ts';
import type { CommandResult, DeployedProject } from './fixtures/deployed-project.ts';
import { createDeployedProject, waitForEnd } from './fixtures/deployed-project.ts';

const BUILDS = 12;
/** The present build and the older ones that stay. */
const MAX_BUILDS = 9;
const LIMIT_MS = 120_000;

describe('a program that is built again', { timeout: LIMIT_MS }, () => {
  let project: DeployedProject;
  beforeEach(() => {
    project = createDeployedProject();
    project.writeSources('1');
  });
  afterEach(() => project.remove());

  // Guards against starts that find files missing, or read files of two builds.
  it('starts completely at any moment of a build', async () => {
    await project.build();
    let isBuilding = true;
    const starts: CommandResult[] = [];
    const startRepeatedly = async (): Promise<void> => {
      while (isBuilding) starts.push(await project.runProgram());
    };
    const starters = [startRepeatedly(), startRepeatedly()];
    const builds: CommandResult[] = [];
    for (let version = 2; version < 2 + BUILDS; version++) {
      project.writeSources(String(version));
      builds.push(await project.build());
    }
    isBuilding = false;
    await Promise.all(starters);
    expect(builds.filter(({ status }) => status !== 0)).toEqual([]);
    expect(starts.length).toBeGreaterThan(BUILDS);
    const isComplete = ({ status, output }: CommandResult): boolean =>
      status === 0 && /^entry (?<version>\d+)\npart \k<version>\n$/.test(output);
    expect(starts.filter((start) => !isComplete(start))).toEqual([]);
  });

  // Guards against a process that ends because a build has removed what it loads later.
  it('loads its later parts from its own build', async () => {
    const { output } = await project.build();
    expect(output).toInclude('built');
    const child = project.openProgram();
    const end = waitForEnd(child);
    await once(child.stdout!, 'data');
    project.writeSources('2');
    await project.build();
    child.stdin!.end();
    expect(await end).toEqual({ status: 0, output: 'entry 1\npart 1\n' });
    expect(await project.runProgram()).toEqual({ status: 0, output: 'entry 2\npart 2\n' });
  });

  // Guards against a machine without a program after a build that failed.
  it('stays as it is if a build fails', async () => {
    await project.build();
    project.writeBrokenSources();
    const { status } = await project.build();
    expect(status).not.toEqual(0);
    expect(await project.runProgram()).toEqual({ status: 0, output: 'entry 1\npart 1\n' });
  });

  // Guards against a machine without a program after a build that was killed.
  it('stays complete if builds are killed', async () => {
    const timers = createTimerService();
    await project.build();
    for (let delayMs = 50; delayMs <= 400; delayMs += 50) {
      project.writeSources(String(delayMs));
      const build = project.openBuild();
      const end = waitForEnd(build);
      await timers.waitFor(delayMs);
      process.kill(-build.pid!, 'SIGKILL');
      await end;
      const { status } = await project.runProgram();
      expect(status).toEqual(0);
    }
  });

  // Guards against builds of two deployments that remove each other's files.
  it('is complete after several builds at once', async () => {
    const builds = await Promise.all([1, 2, 3, 4].map(() => project.build()));
    expect(builds.map(({ status }) => status)).toEqual([0, 0, 0, 0]);
    expect(await project.runProgram()).toEqual({ status: 0, output: 'entry 1\npart 1\n' });
  });

  // Guards against a disk that fills up with builds.
  it('keeps a bounded number of older builds', async () => {
    const count = MAX_BUILDS + 2;
    for (let version = 1; version <= count; version++) {
      project.writeSources(String(version));
      await project.build();
    }
    expect(project.listFiles('target/builds').length).toEqual(MAX_BUILDS);
    expect(await project.runProgram()).toEqual({
      status: 0,
      output: `entry ${count}\npart ${count}\n`,
    });
  });

  // Guards against folders of killed builds that pile up, and against builds that remove those of others.
  it('removes what killed builds have left, and nothing of a build under way', async () => {
    const folders = ['target/builds/.staged-old', 'target/builds/.staged-new'];
    folders.forEach((name) => mkdirSync(join(project.folder, name), { recursive: true }));
    utimesSync(join(project.folder, folders[0]!), 0, 0);
    await project.build();
    const left = project.listFiles('target/builds').filter((name) => name.startsWith('.'));
    expect(left).toEqual(['.staged-new']);
  });

  // Guards against a file cut by a full disk or a loss of power that stays as it is for good.
  it('is written again if a file of it has changed', async () => {
    await project.build();
    const [build] = project.listFiles('target/builds');
    const folder = `target/builds/${build}`;
    project
      .listFiles(folder)
      .filter((name) => name.endsWith('.js'))
      .forEach((name) => writeFileSync(join(project.folder, folder, name), ''));
    await project.build();
    expect(await project.runProgram()).toEqual({ status: 0, output: 'entry 1\npart 1\n' });
  });

  // Guards against a build that replaces a sound program with one that cannot start.
  it('stays as it is if the new one does not start', async () => {
    await project.build();
    project.writeFailingSources();
    const { status } = await project.build();
    expect(status).not.toEqual(0);
    expect(await project.runProgram()).toEqual({ status: 0, output: 'entry 1\npart 1\n' });
  });
});

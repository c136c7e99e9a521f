import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createTimerService } from '../../src/core/timers/index.ts';
import type { DeployedProject } from './fixtures/deployed-project.ts';
import { createDeployedProject, NpmOutcome, waitForEnd } from './fixtures/deployed-project.ts';

const LIMIT_MS = 120_000;
const POLL_MS = 20;
/** Duration of an installation by the stand-in. */
const INSTALL_MS = 300;

describe('the installation for a deployment', { timeout: LIMIT_MS }, () => {
  let project: DeployedProject;
  beforeEach(() => {
    project = createDeployedProject();
    project.writeSources('1');
  });
  afterEach(() => project.remove());

  const checkBuild = async (): Promise<void> => {
    const { status, output } = await project.build();
    expect(output).toInclude('built');
    expect(status).toEqual(0);
    expect(await project.runProgram()).toEqual({ status: 0, output: 'entry 1\npart 1\n' });
  };

  // Guards against an installation that was killed and is taken as finished by each later build.
  it('is repeated after it was killed', async () => {
    const timers = createTimerService();
    const build = project.openBuild(NpmOutcome.Hangs);
    const end = waitForEnd(build);
    while (project.listNpmCalls().length === 0) await timers.waitFor(POLL_MS);
    await timers.waitFor(POLL_MS);
    process.kill(-build.pid!, 'SIGKILL');
    await end;
    await checkBuild();
  });

  // Guards against packages without a bundler for this machine that are taken as installed.
  it('is repeated if it lacked the bundler of this machine', async () => {
    const { status } = await project.build(NpmOutcome.LacksPlatformPackage);
    expect(status).not.toEqual(0);
    await checkBuild();
  });

  // Guards against packages that were carried over from a machine of another kind.
  it('is repeated if packages are missing afterwards', async () => {
    await checkBuild();
    const names = [project.folder, join(project.folder, 'target/packages')];
    const packages = project.listFiles('target/packages');
    packages.forEach((name) => names.push(join(project.folder, 'target/packages', name)));
    names.forEach((name) => {
      rmSync(join(name, 'node_modules/@esbuild'), { recursive: true, force: true });
    });
    await checkBuild();
  });

  // Guards against installations of two deployments that empty each other's folder.
  it('succeeds in two builds at once', async () => {
    const timers = createTimerService();
    const first = project.build();
    await timers.waitFor(INSTALL_MS / 2);
    const builds = await Promise.all([first, project.build(), project.build()]);
    expect(builds.map(({ status }) => status)).toEqual([0, 0, 0]);
    await checkBuild();
  });

  // Guards against a deployment that removes the tools of a developer.
  it('leaves the packages of a developer as they are', async () => {
    mkdirSync(join(project.folder, 'node_modules/tool'), { recursive: true });
    writeFileSync(join(project.folder, 'node_modules/tool/package.json'), '{}');
    writeFileSync(join(project.folder, 'package-lock.json'), '{ "lockfileVersion": 3 }');
    await checkBuild();
    expect(project.listFiles('node_modules')).toEqual(['tool']);
  });

  // Guards against a program that differs with the packages that a developer has installed.
  it('is the only place from which packages are bundled', async () => {
    mkdirSync(join(project.folder, 'node_modules/tool'), { recursive: true });
    writeFileSync(join(project.folder, 'node_modules/tool/index.js'), '');
    writeFileSync(join(project.folder, 'src/cli/gateway/index.ts'), "import 'tool';");
    writeFileSync(join(project.folder, 'package-lock.json'), '{ "lockfileVersion": 3 }');
    const { status, output } = await project.build();
    expect(status).not.toEqual(0);
    expect(output).toInclude('tool is not among the installed packages');
  });

  // Guards against deployments that run install scripts and fetch tools that they do not use.
  it('fetches the packages of the program only, once, and runs none of their scripts', async () => {
    await checkBuild();
    await checkBuild();
    const calls = project.listNpmCalls();
    expect(calls.length).toEqual(1);
    expect(calls.join()).toInclude('--omit=dev');
    expect(calls.join()).toInclude('--ignore-scripts');
  });

  // Guards against a build that fails for want of a registry although its program stands there.
  it('is not needed for a program of the same sources', async () => {
    await checkBuild();
    rmSync(join(project.folder, 'target/packages'), { recursive: true, force: true });
    rmSync(join(project.folder, 'node_modules'), { recursive: true, force: true });
    const { status, output } = await project.build(NpmOutcome.Fails);
    expect(status).toEqual(0);
    expect(output).toInclude('kept');
  });

  // Guards against a build that fails for want of a registry although all packages are there.
  it('is not needed beside complete packages in the checkout', async () => {
    project.installInCheckout();
    const { status, output } = await project.build(NpmOutcome.Fails);
    expect(output).toInclude('Using the packages of the checkout');
    expect(status).toEqual(0);
    expect(await project.runProgram()).toEqual({ status: 0, output: 'entry 1\npart 1\n' });
  });

  const incompletePaths = [
    'node_modules/.package-lock.json',
    'node_modules/esbuild',
    'node_modules/@esbuild',
  ];
  incompletePaths.forEach((path) => {
    // Guards against an installation in the checkout that was killed and is taken as finished.
    it(`is needed beside packages in the checkout without ${path}`, async () => {
      project.installInCheckout();
      rmSync(join(project.folder, path), { recursive: true });
      const { status, output } = await project.build(NpmOutcome.Fails);
      expect(output).toInclude('Those of the checkout cannot be used');
      expect(status).not.toEqual(0);
      await checkBuild();
    });
  });

  // Guards against an older program that is taken for one of the present sources.
  it('is needed once the sources have changed', async () => {
    await checkBuild();
    rmSync(join(project.folder, 'target/packages'), { recursive: true, force: true });
    rmSync(join(project.folder, 'node_modules'), { recursive: true, force: true });
    project.writeSources('2');
    const { status } = await project.build(NpmOutcome.Fails);
    expect(status).not.toEqual(0);
    expect(await project.runProgram()).toEqual({ status: 0, output: 'entry 1\npart 1\n' });
  });
});

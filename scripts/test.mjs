// Runs the test files given as arguments, or all, with Node's test runner. Failures of tests that are
// listed in KNOWN-RED.txt are printed and do not affect the exit status.
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { run } from 'node:test';
import { spec as SpecReporter } from 'node:test/reporters';

const ROOTS = ['src', 'test'];
const TEST_SUFFIX = '.test.ts';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
/** Simulated days of the users' test bench that break a rule; only printed, as no test runs them. */
const KNOWN_RED_DAY = /^day: .+$/gm;
const KNOWN_RED_LINE = /^test: (?<file>\S+) \| (?<name>.+)$/;

function findTests(folder) {
  if (!existsSync(folder)) return [];
  return readdirSync(folder, { recursive: true })
    .map((path) => join(folder, path))
    .filter((path) => path.endsWith(TEST_SUFFIX))
    .sort();
}

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .map((line) => KNOWN_RED_LINE.exec(line)?.groups)
    .filter((groups) => groups !== undefined);
}

function printKnownRedDays() {
  if (!existsSync(KNOWN_RED_FILE)) return;
  const days = readFileSync(KNOWN_RED_FILE, 'utf8').match(KNOWN_RED_DAY) ?? [];
  days.forEach((day) => console.log(`known failure: ${day}`));
}

printKnownRedDays();
const selected = process.argv.slice(2);
const files = selected.length > 0 ? selected : ROOTS.flatMap(findTests);
const knownRed = readKnownRed();
const knownFailures = [];
process.env.NODE_OPTIONS = `${process.env.NODE_OPTIONS ?? ''} --import tsx`;
const results = run({ files: files.map((file) => resolve(file)), concurrency: true });
results.on('test:fail', ({ name, file, details }) => {
  // The failed tests of a suite are reported themselves.
  if (details.error?.failureType === 'subtestsFailed') return;
  const test = knownRed.find((one) => one.name === name && resolve(one.file) === file);
  if (test === undefined) process.exitCode = 1;
  else knownFailures.push(`${test.file}: ${name}`);
});
results.on('end', () => knownFailures.forEach((one) => console.log(`known failure: ${one}`)));
results.compose(new SpecReporter()).pipe(process.stdout);

// Runs the test files given as arguments, or all, with Node's test runner. Tests that are listed in
// KNOWN-RED.txt as known failures run separately: their results are printed and do not affect the exit
// status.
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

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

function escapePattern(text) {
  return text.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&');
}

function runTests(files, extraArguments) {
  const fixed = ['--import', 'tsx', '--test', '--test-reporter=spec'];
  const result = spawnSync(process.execPath, [...fixed, ...extraArguments, ...files], {
    stdio: 'inherit',
  });
  return result.status ?? 1;
}

printKnownRedDays();
const selected = process.argv.slice(2);
const knownRed = readKnownRed();
const files = selected.length > 0 ? selected : ROOTS.flatMap(findTests);
const skips = knownRed.map(({ name }) => `--test-skip-pattern=/^${escapePattern(name)}$/`);
for (const { file, name } of knownRed) {
  console.log(`known failure: ${file}: ${name}`);
  runTests([file], [`--test-name-pattern=/^${escapePattern(name)}$/`]);
}
process.exitCode = runTests(files, skips);

// Runs all measurements in sequence. With --json, prints one JSON document with the results of this
// system's policy and of the baselines.
import { spawnSync } from 'node:child_process';

const MEASUREMENTS = ['control-cost', 'cold-targets', 'zone-move', 'slow-readers'];
const MAX_OUTPUT_BYTES = 16 * 1024 * 1024;

const isJson = process.argv.includes('--json');

function runMeasurement(name) {
  const parameters = ['--import', 'tsx', `src/measure/${name}.ts`, ...(isJson ? ['--json'] : [])];
  const result = spawnSync(process.execPath, parameters, {
    encoding: 'utf8',
    maxBuffer: MAX_OUTPUT_BYTES,
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  if (result.status !== 0) throw new Error(`${name} failed with exit status ${result.status}`);
  return result.stdout;
}

const outputs = {};
for (const name of MEASUREMENTS) {
  const output = runMeasurement(name);
  if (isJson) outputs[name] = JSON.parse(output);
  else console.log(`${name}\n${output}`);
}
if (isJson) console.log(JSON.stringify(outputs, null, 2));

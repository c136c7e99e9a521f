import { writeFileSync } from 'node:fs';
import { command, flag, multioption, option, optional, string, array } from 'cmd-ts';
import {
  formatTextReport,
  parseTarget,
  renderHtmlReport,
  runLoad,
  scenarioSchema,
} from '../../core/load/index.ts';
import { runAndReportErrors, runProgram } from '../../core/process/index.ts';
import { readSettings } from '../../core/settings/index.ts';
import { createTimerService } from '../../core/timers/index.ts';

const load = command({
  name: 'clementinefork-load',
  description: 'Sends the requests of a scenario at a fixed rate and measures the responses.',
  args: {
    scenario: option({ type: string, long: 'scenario', description: 'YAML file.' }),
    report: option({
      type: optional(string),
      long: 'report',
      description: 'HTML file to write.',
    }),
    targets: multioption({
      type: array(string),
      long: 'target',
      description:
        'ADDRESS:PORT of a daemon, which can be on another machine; replaces the seeds of the scenario.',
    }),
    json: flag({ long: 'json', description: 'Print the results as JSON.' }),
  },
  handler: ({ scenario: file, report, targets, json }) =>
    runAndReportErrors(async () => {
      const scenario = readSettings(file, scenarioSchema);
      const timers = createTimerService();
      const figures = await runLoad({ scenario, targets: targets.map(parseTarget), timers });
      const text = json
        ? `${JSON.stringify(figures, undefined, 2)}\n`
        : formatTextReport(figures, scenario.randomSeed);
      process.stdout.write(text);
      if (report !== undefined) writeFileSync(report, renderHtmlReport(figures, scenario));
    }),
});

await runProgram(load);

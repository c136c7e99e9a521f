import { describe, it } from 'node:test';
import { expect } from 'earl';
import { explainRequest } from './explain-request.ts';
import { parseLog } from './parse-log.ts';

/** Output of the bench for rodopi-wax trouble-3; docs/OPERATIONS.md explains the same lines. */
const CAPTURED = `
  26.264 front-sofia-b-2 {"context":{"part":"gateway","kind":"targets","failures":4,"awayMs":8469,"logLevel":30},"message":"[gateway] the store answers again","sequence":"70","time":1774169826264,"version":"2.0.0"}
  27.995 front-sofia-b-4 {"context":{"part":"gateway","target":"i-4f4c57e246","reason":"refused, fault at 10.1.64.41:8281","logLevel":40},"message":"[gateway] a target is suspect","sequence":"90","time":1774169827995,"version":"2.0.0"}
  27.997 front-sofia-b-4 {"context":{"part":"gateway","request":"a97e5e52846d3f55","model":"huje258120","outcome":"broken-off","reason":"retry-budget","status":0,"targets":"i-4f4c57e246","firstByteMs":1260,"longestGapMs":65,"configuration":26,"tookMs":3792,"logLevel":40},"message":"[gateway] a request was not answered","sequence":"91","time":1774169827997,"version":"2.0.0"}
   3.836 front-sofia-c-1 {"context":{"part":"gateway","request":"e7e568376d772c15","route":"r-nhyk5an","model":"","outcome":"timed-out","reason":"time-limit","status":504,"targets":"i-0a3b140555","firstByteMs":0,"longestGapMs":0,"configuration":11,"tookMs":1100,"logLevel":40},"message":"[gateway] a request was not answered","sequence":"31","time":1774169803836,"version":"2.0.0"}
  28.607 front-sofia-b-2 {"context":{"part":"gateway","request":"7584b3132509891f","model":"","outcome":"not-run","reason":"no-target","status":503,"targets":"","firstByteMs":0,"longestGapMs":0,"configuration":26,"tookMs":31,"logLevel":40},"message":"[gateway] a request was not answered","sequence":"95","time":1774169828607,"version":"2.0.0"}
day                  own/srv  score  worth served refused failed  weakest part
`;

const CASES = [
  {
    name: 'a stream that was cut in the middle',
    request: 'a97e5e52846d3f55',
    lines: 2,
    cause:
      'broken-off: the retry budget, which all gateways share, was exhausted. Last related event, 2 ms earlier: a target is suspect (target i-4f4c57e246, reason refused, fault at 10.1.64.41:8281).',
  },
  {
    name: 'a call that timed out',
    request: 'e7e568376d772c15',
    lines: 1,
    cause: 'timed-out: its deadline or the time limit of its route passed.',
  },
  {
    name: 'a refusal during an outage',
    request: '7584b3132509891f',
    lines: 2,
    cause:
      'not-run: no target was available within the time that the request may wait. Last related event, 2343 ms earlier: the store answers again (kind targets, failures 4, awayMs 8469).',
  },
];

describe('explanation of a failed request', () => {
  const entries = parseLog(CAPTURED, 'captured.log');

  for (const { name, request, lines, cause } of CASES) {
    // Guards against examples in docs/OPERATIONS.md whose cause the command does not find.
    it(`finds the cause of ${name}`, () => {
      const explanation = explainRequest(entries, request);
      expect(explanation?.path.length).toEqual(lines);
      expect(explanation?.cause).toEqual(cause);
    });
  }

  // Guards against a cause that came after the failure, and against one fact printed for each gateway.
  it('names only what came before, once, and how the last target failed', () => {
    const buildLine = (wallMs: number, context: object, message: string): string =>
      JSON.stringify({ context, message: `[gateway] ${message}`, time: wallMs });
    const suspect = { target: 'i-1', reason: 'silent' };
    const log = [
      buildLine(100, suspect, 'a target is suspect'),
      buildLine(101, suspect, 'a target is suspect'),
      buildLine(
        150,
        {
          request: 'r1',
          outcome: 'unknown',
          reason: 'attempts-used',
          targets: 'i-1 i-2',
          failure: 'status 502',
        },
        'a request was not answered',
      ),
      buildLine(200, { target: 'i-2' }, 'a target is gone'),
    ].join('\n');
    const explanation = explainRequest(parseLog(log, 'a'), 'r1');
    expect(explanation?.path.length).toEqual(3);
    expect(explanation?.cause).toEqual(
      'unknown: the request used all attempts that its route allows. The last target failed: status 502. Last related event, 50 ms earlier: a target is suspect (target i-1, reason silent).',
    );
  });

  it('returns undefined for a request that no line names', () => {
    expect(explainRequest(entries, 'unknown')).toEqual(undefined);
  });

  it('uses the file name as the source of lines without one', () => {
    const line = '{"context":{"part":"gateway"},"message":"[gateway] started","time":5}';
    expect(parseLog(line, 'gateway-1.log')).toEqual([
      { wallMs: 5, source: 'gateway-1.log', message: 'started', values: {} },
    ]);
  });

  it('skips lines that are not log lines', () => {
    expect(parseLog('built in 1.3 s\n{"context":\n{}\n', 'a')).toEqual([]);
  });
});

import { describe, it } from 'node:test';
import { expect } from 'earl';
import { NO_ADVICE } from '../core/advisories/index.ts';
import type { Target } from '../core/fleet/index.ts';
import { platformWireFormat } from './wire-format.ts';

const RAW_HEADERS = [
  ['Host', 'Ficu95.example:80'],
  ['X-Attempt-Id', '9c41'],
  ['X-Model', 'm'],
  ['X-Token-Usage', '1460,80'],
  ['X-Deadline-Ms', '8000'],
  ['Authorization', 'Bearer secret'],
  ['X-Tenant', 'forged'],
  ['X-Expect-Instance', 'forged'],
  ['Connection', 'keep-alive, X-Hop'],
  ['X-Hop', 'one'],
  ['Content-Length', '4'],
].flat();

function buildHeaders(customer: string | undefined): string[] {
  const request = platformWireFormat.parseRequest('POST', '/a/b?c=d', RAW_HEADERS);
  return platformWireFormat.buildTargetHeaders({
    request,
    body: Buffer.alloc(4),
    target: { id: 'i-1' } as Target,
    remainingMs: 7_900.7,
    customer,
    lastEventId: '12',
    isUrgent: true,
  });
}

describe('wire format', () => {
  it('decodes the fields that the gateway uses', () => {
    const request = platformWireFormat.parseRequest('POST', '/a/b?c=d', RAW_HEADERS);
    const { host, callerAttemptId, deadlineMs, key, model, promptTokens, path } = request;
    expect({ host, callerAttemptId, deadlineMs, key, model, promptTokens, path }).toEqual({
      host: 'ficu95.example',
      callerAttemptId: '9c41',
      deadlineMs: 8_000,
      key: 'secret',
      model: 'm',
      promptTokens: 1_460,
      path: '/a/b?c=d',
    });
  });

  // Guards against sizes that can't be, which callers and other clients send.
  const sizes = [
    { usage: '1460,80', hint: '64', told: [1_460, 80, 64] },
    { usage: '1460', hint: undefined, told: [1_460, undefined, undefined] },
    { usage: ',80', hint: '-5', told: [0, 80, undefined] },
    { usage: 'NaN,1e308', hint: '1e308', told: [0, undefined, undefined] },
    { usage: undefined, hint: 'Infinity', told: [0, undefined, undefined] },
  ];
  for (const { usage, hint, told } of sizes) {
    it(`decodes the sizes ${usage ?? 'of none'} with the hint ${hint ?? 'of none'}`, () => {
      const raw = [
        ...(usage === undefined ? [] : ['X-Token-Usage', usage]),
        ...(hint === undefined ? [] : ['X-Length-Hint', hint]),
      ];
      const request = platformWireFormat.parseRequest('POST', '/', raw);
      const { promptTokens, maxAnswerTokens, expectedAnswerTokens } = request;
      expect([promptTokens, maxAnswerTokens, expectedAnswerTokens]).toEqual(told);
    });
  }

  const prompts = [
    { text: undefined, parts: [] },
    { text: 'e4402b7d:250', parts: [] },
    { text: '5C1e07a2:800, 91bd3f06:410,e4402b7d:250', parts: ['5c1e07a2', '91bd3f06'] },
    { text: 'xyz:1,5c1e07a2,91bd3f06:410,e4402b7d:250', parts: ['91bd3f06'] },
  ];
  for (const { text, parts } of prompts) {
    it(`decodes ${parts.length} shared parts of the prompt ${text ?? 'of a request without one'}`, () => {
      const raw = text === undefined ? [] : ['X-Prompt-Prefix', text];
      expect(platformWireFormat.parseRequest('POST', '/', raw).sharedPartIds).toEqual(parts);
    });
  }

  // Guards against a caller that fills memory with the parts of one prompt.
  it('keeps the last shared parts of a prompt with many', () => {
    const text = Array.from({ length: 1_000 }, (_, index) => `${index}:1`).join(',');
    const { sharedPartIds } = platformWireFormat.parseRequest('POST', '/', [
      'X-Prompt-Prefix',
      text,
    ]);
    expect([sharedPartIds.length, sharedPartIds.at(-1)]).toEqual([64, '998']);
  });

  // Guards against passing an API key, a forged customer or a hop-by-hop header to a target.
  it("overrides the caller's values of its own fields", () => {
    const headers = buildHeaders('hule930');
    const pairs = headers.flatMap((name, index) =>
      index % 2 === 0 ? [`${name.toLowerCase()}: ${headers[index + 1] ?? ''}`] : [],
    );
    expect(pairs.sort()).toEqual([
      'host: Ficu95.example:80',
      'last-event-id: 12',
      'x-attempt-id: 9c41',
      'x-deadline-ms: 7900',
      'x-expect-instance: i-1',
      'x-model: m',
      'x-request-urgency: 1',
      'x-tenant: hule930',
      'x-token-usage: 1460,80',
    ]);
  });

  it('sends no customer header for a request without a customer', () => {
    expect(buildHeaders(undefined).includes('X-Tenant')).toEqual(false);
  });

  const responses = [
    { status: 503, raw: ['X-Not-Executed', '1'], isNotRun: true },
    { status: 421, raw: ['X-Instance-Id', 'i-2'], isNotRun: true },
    { status: 503, raw: [], isNotRun: false },
    { status: 500, raw: ['X-Response-Signature', 's'], isNotRun: false },
  ];
  for (const { status, raw, isNotRun } of responses) {
    it(`treats ${status} with ${raw[0] ?? 'no header'} as ${isNotRun ? 'not run' : 'possibly run'}`, () => {
      expect(platformWireFormat.parseResponseHead(status, raw).isNotRun).toEqual(isNotRun);
    });
  }

  // Guards against a target that turns its limit off, or requests to it, by what it writes.
  const limits = [
    { stated: [], requestsPerSecond: undefined, isLimitUnreadable: false },
    { stated: ['1.6'], requestsPerSecond: 1.6, isLimitUnreadable: false },
    { stated: ['0'], requestsPerSecond: 0, isLimitUnreadable: false },
    { stated: [' 2 '], requestsPerSecond: 2, isLimitUnreadable: false },
    { stated: ['3', '1.5'], requestsPerSecond: 1.5, isLimitUnreadable: false },
    { stated: ['x', '4'], requestsPerSecond: 4, isLimitUnreadable: false },
    { stated: ['-1'], requestsPerSecond: undefined, isLimitUnreadable: true },
    { stated: ['1e308'], requestsPerSecond: undefined, isLimitUnreadable: true },
    { stated: ['9'.repeat(400)], requestsPerSecond: undefined, isLimitUnreadable: true },
    { stated: ['NaN'], requestsPerSecond: undefined, isLimitUnreadable: true },
    { stated: [''], requestsPerSecond: undefined, isLimitUnreadable: true },
  ];
  for (const { stated, ...expected } of limits) {
    it(`decodes the request limits "${stated.join('", "').slice(0, 20)}"`, () => {
      const raw = stated.flatMap((text) => ['Server-Limit', text]);
      expect(platformWireFormat.parseResponseHead(200, raw).advice).toEqual({
        ...NO_ADVICE,
        ...expected,
      });
    });
  }

  // Guards against a target that counts as leaving because of a word that does not say so.
  const leaving = [
    { stated: ['1'], isLeaving: true },
    { stated: [' 1 '], isLeaving: true },
    { stated: ['0', '1'], isLeaving: true },
    { stated: ['0'], isLeaving: false },
    { stated: ['11'], isLeaving: false },
    { stated: [], isLeaving: false },
  ];
  for (const { stated, isLeaving } of leaving) {
    it(`decodes that a target is ${isLeaving ? '' : 'not '}leaving from "${stated.join('", "')}"`, () => {
      const raw = stated.flatMap((text) => ['Server-Leaving', text]);
      const { advice } = platformWireFormat.parseResponseHead(503, raw);
      expect(advice).toEqual({ ...NO_ADVICE, isLeaving });
    });
  }

  // Guards against a pause that a target does not ask for, and against one that is overlooked.
  const pauses = [
    { status: 503, stated: ['1.5'], pauseMs: 1_500 },
    { status: 429, stated: ['2'], pauseMs: 2_000 },
    { status: 503, stated: ['1', '3'], pauseMs: 3_000 },
    { status: 200, stated: ['1.5'], pauseMs: undefined },
    { status: 503, stated: ['Wed, 21 Oct 2026 07:28:00 GMT'], pauseMs: undefined },
    { status: 503, stated: ['-1'], pauseMs: undefined },
    { status: 503, stated: [], pauseMs: undefined },
  ];
  for (const { status, stated, pauseMs } of pauses) {
    it(`decodes a pause from status ${status} with "${stated.join('", "')}"`, () => {
      const raw = stated.flatMap((text) => ['Retry-After', text]);
      const { advice } = platformWireFormat.parseResponseHead(status, raw);
      expect(advice).toEqual({ ...NO_ADVICE, pauseMs });
    });
  }
});

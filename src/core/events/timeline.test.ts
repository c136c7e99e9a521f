import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import { createEventRecorder, mergeTimelines } from './index.ts';

describe('mergeTimelines', () => {
  // Guards against listing an effect before its cause when the receiver's wall clock is behind.
  it('lists a received message after its sending when the wall clock of the receiver is behind', () => {
    const ahead = createManualTimers(2_000);
    const behind = createManualTimers(1_000);
    const sender = createEventRecorder('sender', ahead);
    const receiver = createEventRecorder('receiver', behind);
    const sent = sender.record('test', 'sent');
    receiver.clock.observeRemoteTime(sent);
    receiver.record('test', 'received');
    const kinds = mergeTimelines([receiver.read(), sender.read()]).map((event) => event.kind);
    expect(kinds).toEqual(['sent', 'received']);
  });

  // Guards against duplicates when a file and a running daemon contain the same event.
  it('drops duplicates', () => {
    const recorder = createEventRecorder('daemon', createManualTimers());
    recorder.record('test', 'once');
    expect(mergeTimelines([recorder.read(), recorder.read()])).toHaveLength(1);
  });
});

describe('createEventRecorder', () => {
  // Guards against memory use that grows with the uptime of the process.
  it('keeps only the newest events', () => {
    const recorder = createEventRecorder('daemon', createManualTimers(), 2);
    ['a', 'b', 'c', 'd', 'e'].forEach((kind) => recorder.record('test', kind));
    expect(recorder.read().map((event) => event.kind)).toEqual(['d', 'e']);
  });

  it('selects events by attribute', () => {
    const recorder = createEventRecorder('daemon', createManualTimers());
    recorder.record('test', 'a', { vm: 'vm-1' });
    recorder.record('test', 'b', { vm: 'vm-2' });
    const events = recorder.read({ attributes: [{ name: 'vm', value: 'vm-2' }] });
    expect(events.map((event) => event.kind)).toEqual(['b']);
  });
});

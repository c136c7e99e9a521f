import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createLogger } from '../logs/index.ts';
import { createRestorableStore } from '../store/fixtures/restorable-store.ts';
import { createManualTimers } from '../timers/index.ts';
import { registerGateway, restoreRegistration } from './registration.ts';

const VM = 'vm-1';

describe('registration of a gateway', () => {
  // Guards against a gateway that new ones do not find because the store has lost its registration.
  for (const isStoreAway of [false, true]) {
    it(`is written again after a restoration, ${isStoreAway ? 'also late' : 'at once'}`, async () => {
      const timers = createManualTimers();
      const store = createRestorableStore(timers);
      store.put('vm-2', { address: '10.0.0.2:70' });
      store.takeCopy();
      const heard: string[] = [];
      const options = {
        vmName: VM,
        peerAddress: '10.0.0.1:70',
        store: store.client,
        timers,
        logger: createLogger('test'),
        handleAddresses: (addresses: readonly string[]) => heard.push(...addresses),
        isFirstStart: true,
      };
      const { signal } = new AbortController();
      void registerGateway(options, signal);
      await timers.runForAsync(100, 5);
      expect(heard.sort()).toEqual(['10.0.0.1:70', '10.0.0.2:70']);
      store.remove('vm-2');
      store.restore();
      expect(store.findObject(VM)).toEqual(undefined);
      store.setCutOff(isStoreAway);
      void restoreRegistration(options, signal);
      await timers.runForAsync(1_000, 5);
      store.setCutOff(false);
      await timers.runForAsync(1_000, 5);
      expect(store.findObject(VM)?.spec).toEqual({ address: '10.0.0.1:70' });
      // The gateway that has left is in the restored list again, and is not taken from it.
      expect(heard.length).toEqual(2);
    });
  }
});

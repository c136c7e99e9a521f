import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import { createServedShares } from './served-shares.ts';
import type { RequestClass } from './types.ts';

const USUAL: RequestClass = { key: 's/m', route: 'usual', customer: 'many', isLarge: false };
const LARGE: RequestClass = { ...USUAL, isLarge: true };
const RARE_ROUTE: RequestClass = { ...USUAL, route: 'rare' };
const RARE_CUSTOMER: RequestClass = { ...USUAL, customer: 'few' };

/** Requests of a class, and how many of them are refused. */
interface Asked {
  requestClass: RequestClass;
  asked: number;
  refused: number;
}

const CASES: { name: string; others: number; one: Asked; isOwed: boolean }[] = [
  {
    name: 'a route that is served like others',
    others: 20,
    one: { requestClass: RARE_ROUTE, asked: 20, refused: 4 },
    isOwed: false,
  },
  {
    name: 'a route that is served less than half as often',
    others: 20,
    one: { requestClass: RARE_ROUTE, asked: 20, refused: 15 },
    isOwed: true,
  },
  {
    name: 'large requests that are served three quarters as often',
    others: 0,
    one: { requestClass: LARGE, asked: 20, refused: 3 },
    isOwed: false,
  },
  {
    name: 'large requests that are served half as often',
    others: 0,
    one: { requestClass: LARGE, asked: 20, refused: 10 },
    isOwed: true,
  },
  {
    name: 'a customer that is served less than half as often',
    others: 20,
    one: { requestClass: RARE_CUSTOMER, asked: 20, refused: 15 },
    isOwed: true,
  },
  {
    name: 'a class whose first request was refused',
    others: 0,
    one: { requestClass: RARE_ROUTE, asked: 1, refused: 1 },
    isOwed: false,
  },
];

describe('shares of refusals', () => {
  // Guards against kinds, sizes and customers that bear all refusals (starved).
  for (const { name, others, one, isOwed } of CASES) {
    it(`${isOwed ? 'protect' : 'do not protect'} ${name}`, () => {
      const shares = createServedShares(createManualTimers());
      for (let index = 0; index < 100; index++) {
        shares.recordAsked(USUAL);
        if (index < others) shares.recordRefused(USUAL);
      }
      for (let index = 0; index < one.asked; index++) {
        shares.recordAsked(one.requestClass);
        if (index < one.refused) shares.recordRefused(one.requestClass);
      }
      expect(shares.isOwed(one.requestClass)).toEqual(isOwed);
    });
  }

  it('fade, so that a class is not refused for what was long ago', () => {
    const timers = createManualTimers();
    const shares = createServedShares(timers);
    for (let index = 0; index < 20; index++) {
      shares.recordAsked(LARGE);
      shares.recordRefused(LARGE);
    }
    expect(shares.getRefusedShare(LARGE.key) > 0.8).toEqual(true);
    timers.runFor(60_000);
    shares.recordAsked(USUAL);
    expect(shares.getRefusedShare(LARGE.key) < 0.05).toEqual(true);
  });

  // Guards against callers and configurations that fill the memory with names.
  it('are counted for a bounded number of classes', () => {
    const shares = createServedShares(createManualTimers());
    const first = { ...LARGE, key: 'first', route: 'first', customer: 'first' };
    for (let index = 0; index < 20; index++) {
      shares.recordAsked(first);
      shares.recordRefused(first);
    }
    for (let index = 0; index < 10_000; index++) {
      shares.recordAsked({ ...USUAL, customer: `c${index}` });
    }
    expect(shares.getRefusedShare('first')).toEqual(0);
  });
});

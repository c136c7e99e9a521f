import { describe, it } from 'node:test';
import { expect } from 'earl';
import { BYTES_PER_MB, MIN_BUDGET_BYTES } from './consts.ts';
import { computeBudgetBytes, createMemoryBudget, SMALL_BYTES } from './memory-budget.ts';

const LIMIT_BYTES = 100 * BYTES_PER_MB;

describe('memory budget', () => {
  // Guards against requests that are admitted although the process has no memory for them.
  const admissions = [
    { name: 'admits a large request into an empty budget', held: 0, asked: 70, isAdmitted: true },
    {
      name: 'keeps a rest of the budget from large requests',
      held: 0,
      asked: 80,
      isAdmitted: false,
    },
    { name: 'refuses a large request beside others', held: 50, asked: 30, isAdmitted: false },
    { name: 'admits a small request beside large ones', held: 74, asked: 0.05, isAdmitted: true },
  ];
  for (const { name, held, asked, isAdmitted } of admissions) {
    it(name, () => {
      const budget = createMemoryBudget(LIMIT_BYTES);
      budget.openAccount(held * BYTES_PER_MB);
      const account = budget.openAccount(asked * BYTES_PER_MB);
      expect(account !== undefined).toEqual(isAdmitted);
    });
  }

  it('refuses small requests when it is full', () => {
    const budget = createMemoryBudget(4 * SMALL_BYTES);
    const accounts = Array.from({ length: 5 }, () => budget.openAccount(SMALL_BYTES));
    expect(accounts.map((account) => account !== undefined)).toEqual([
      true,
      true,
      true,
      true,
      false,
    ]);
    accounts[0]?.close();
    expect(budget.openAccount(SMALL_BYTES) !== undefined).toEqual(true);
  });

  // Guards against memory that counts as held for good, so that every request is refused in the end.
  it('holds nothing after its accounts are closed, whatever they charged', () => {
    const budget = createMemoryBudget(LIMIT_BYTES);
    const account = budget.openAccount(10);
    expect(account?.tryReserve(20)).toEqual(true);
    account?.charge(2 * LIMIT_BYTES);
    expect(budget.isShort()).toEqual(true);
    expect(account?.tryReserve(1)).toEqual(false);
    account?.charge(-5);
    account?.close();
    account?.charge(7);
    account?.close();
    expect(budget.getHeldBytes()).toEqual(0);
  });
});

describe('size of the memory budget', () => {
  const sizes = [
    { memoryMb: 160, budgetMb: MIN_BUDGET_BYTES / BYTES_PER_MB },
    { memoryMb: 250, budgetMb: 50 },
    { memoryMb: 350, budgetMb: 105 },
    { memoryMb: 1_000, budgetMb: 300 },
  ];
  for (const { memoryMb, budgetMb } of sizes) {
    it(`is ${budgetMb} MB of ${memoryMb} MB`, () => {
      expect(computeBudgetBytes(memoryMb * BYTES_PER_MB)).toEqual(budgetMb * BYTES_PER_MB);
    });
  }
});

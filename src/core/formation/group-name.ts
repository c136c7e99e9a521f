import type { Target } from '../fleet/index.ts';
import { parseAddress } from '../peers/address.ts';

/** The head of a group, as the group's name tells it. */
export type GroupHead = Pick<Target, 'id' | 'address'>;

const SEPARATOR = '@';

/**
 * Formats the name of a group. It tells the head, so that whoever sees a single member's entry can ask
 * the head, also when the head has no entry and the leader that formed the group is gone.
 */
export function formatGroupName(epoch: number, { id, address }: GroupHead): string {
  return [`g${epoch}`, id, address].join(SEPARATOR);
}

/** Returns the head that the name of a group tells; undefined if this process did not choose the name. */
export function parseGroupHead(name: string): GroupHead | undefined {
  const [, id = '', address = '', ...rest] = name.split(SEPARATOR);
  const isValid = id !== '' && parseAddress(address) !== undefined && rest.length === 0;
  return isValid ? { id, address } : undefined;
}

/* eslint-disable import-x/prefer-default-export -- One helper. */
// Tells which process holds the other end of a loopback connection, for partitions between two processes.
import { readdirSync, readFileSync, readlinkSync } from 'node:fs';

const LOCAL_FIELD = 1;
const REMOTE_FIELD = 2;
const INODE_FIELD = 9;
const HEXADECIMAL = 16;

function parsePort(address) {
  return parseInt(address?.split(':')[1] ?? '0', HEXADECIMAL);
}

function findInode({ remotePort, localPort }) {
  const row = readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .slice(1)
    .map((line) => line.trim().split(/\s+/))
    .find(
      (fields) =>
        parsePort(fields[LOCAL_FIELD]) === remotePort &&
        parsePort(fields[REMOTE_FIELD]) === localPort,
    );
  return row?.[INODE_FIELD];
}

function holdsInode(pid, inode) {
  try {
    return readdirSync(`/proc/${pid}/fd`).some((fd) => {
      try {
        return readlinkSync(`/proc/${pid}/fd/${fd}`) === `socket:[${inode}]`;
      } catch {
        return false;
      }
    });
  } catch {
    return false;
  }
}

/** Returns the one of the processes that has opened the connection of an accepted socket. */
export function findOwner(socket, pids) {
  const inode = findInode(socket);
  return inode === undefined ? undefined : pids.find((pid) => holdsInode(pid, inode));
}

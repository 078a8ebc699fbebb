/** Limits on what a process holds for its callers. @packageDocumentation */

const BYTES_PER_MB = 1_000_000;

/**
 * Memory of a machine that the account leaves to the program and to garbage that
 * has not been collected: a host at rest takes about 100 MB.
 */
const DEFAULT_RESERVED_MB = 140;

/** Share of the memory beyond what is reserved that the account may use. */
const ACCOUNT_SHARE = 0.4;

/** Room for four bodies of 4 MiB, on however small a machine. */
const MIN_ACCOUNT_BYTES = 17_000_000;

/** Share of that memory for unfinished heads and for requests that wait. */
const HEADS_SHARE = 0.1;

/** Room for many heads of the largest size, on however small a machine. */
const MIN_HEADS_BYTES = 4_000_000;

/** Memory of a machine whose settings name none. */
const DEFAULT_MEMORY_MB = 602;

/** Descriptors for files, as the platform states. */
const FILE_DESCRIPTORS = 200;

/** Share of the other descriptors for callers; targets and hosts get the rest. */
const CALLER_SHARE = 0.7;

/** Connections of callers where the settings name no number of descriptors. */
const DEFAULT_CONNECTIONS = 4_096;

/** Memory for each connection: a part of a head, and buffers of the parser. */
const CONNECTION_BYTES = 32_768;

const MIN_CONNECTIONS = 16;

/** Longest time in which a request is received, in milliseconds. */
export const MAX_RECEIVE_MS = 300_000;

/**
 * Requests of one connection that are handled at the same time. Each may hold
 * some 128 KiB of an answer that its caller does not read.
 */
export const MAX_PIPELINED = 8;

/** Requests of one connection that may be unanswered. */
export const MAX_UNANSWERED = 64;

/** What a machine has, as far as the settings say. */
export interface MachineLimits {
  /** Memory in megabytes. */
  memoryMb: number | undefined;
  /** Number of descriptors that a process may have open. */
  maxDescriptors: number | undefined;
  /** Memory for the program itself, in megabytes; 140 by default. */
  reservedMb?: number;
}

/** Limits on what a process holds for its callers. */
export interface IntakeLimits {
  /** Bytes of bodies and answers. */
  accountBytes: number;
  /** Bytes of unfinished heads, and of requests that wait for earlier ones. */
  headsBytes: number;
  /** Number of connections. */
  maxConnections: number;
}

/**
 * Derives the limits of a process from its machine.
 *
 * @param machine - see {@link MachineLimits}.
 * @returns the limits.
 */
export function deriveIntakeLimits({
  maxDescriptors,
  memoryMb = DEFAULT_MEMORY_MB,
  reservedMb = DEFAULT_RESERVED_MB,
}: MachineLimits): IntakeLimits {
  const freeBytes = (memoryMb - reservedMb) * BYTES_PER_MB;
  const accountBytes = Math.max(MIN_ACCOUNT_BYTES, freeBytes * ACCOUNT_SHARE);
  const headsBytes = Math.max(MIN_HEADS_BYTES, freeBytes * HEADS_SHARE);
  const byDescriptors =
    maxDescriptors === undefined
      ? DEFAULT_CONNECTIONS
      : (maxDescriptors - FILE_DESCRIPTORS) * CALLER_SHARE;
  const byMemory = accountBytes / CONNECTION_BYTES;
  const count = Math.floor(Math.min(byDescriptors, byMemory));
  const maxConnections = Math.max(MIN_CONNECTIONS, count);
  return {accountBytes, headsBytes, maxConnections};
}

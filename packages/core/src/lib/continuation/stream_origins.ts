/** Where streams have begun. @packageDocumentation */

import {createHash} from 'node:crypto';
import {Clock} from '../time/clock.js';

/** How long it is remembered where a stream has begun. */
export const ORIGIN_LIFETIME_MS = 60_000;

/** Most streams that are remembered. */
const MAX_STREAMS = 16_384;

const KEY_CHARS = 16;

/** The service and the software version that began a stream. */
export interface StreamOrigin {
  service: string;
  softwareVersion: string;
}

/** Streams with the same origin, as sent to other hosts. */
export interface OriginGroup extends StreamOrigin {
  /** Keys of the streams, see {@link streamKey}. */
  keys: string[];
}

interface KnownStream extends StreamOrigin {
  atMs: number;
  /** Whether it began at this host. */
  isOwn: boolean;
  /** Whether other hosts still have to learn of it from this one. */
  isUnsent: boolean;
}

/**
 * Returns the key of a stream. Only the team that began a stream can name it.
 *
 * @param team - name of the team; undefined on routes open to all.
 * @param attemptId - id of the attempt that brought the first event.
 */
export function streamKey(team: string | undefined, attemptId: string): string {
  const hash = createHash('sha256');
  hash.update(JSON.stringify([team ?? null, attemptId]));
  return hash.digest('hex').slice(0, KEY_CHARS);
}

/**
 * Merges groups with the same origin.
 *
 * @param groups - the groups, which stay as they are.
 */
export function mergeGroups(groups: readonly OriginGroup[]): OriginGroup[] {
  const merged = new Map<string, OriginGroup>();
  for (const {keys, service, softwareVersion} of groups) {
    const name = JSON.stringify([service, softwareVersion]);
    const known = merged.get(name);
    if (known !== undefined) known.keys.push(...keys);
    else merged.set(name, {service, softwareVersion, keys: [...keys]});
  }
  return [...merged.values()];
}

/** Remembers the origins of streams of this host and of others. */
export class StreamOrigins {
  private readonly streams = new Map<string, KnownStream>();

  /** @param clock - measures how long a stream is remembered. */
  constructor(private readonly clock: Clock) {}

  /** Returns the origin of a stream, if it is known. */
  get(key: string): StreamOrigin | undefined {
    const known = this.streams.get(key);
    if (known === undefined || this.isExpired(known)) return undefined;
    return known;
  }

  /** Adds a stream that began at this host. */
  addOwn(key: string, origin: StreamOrigin): void {
    this.add(key, origin, true);
  }

  /**
   * Adds streams that another host tells of.
   *
   * @param groups - the streams.
   * @returns those that were not known before.
   */
  addGroups(groups: readonly OriginGroup[]): OriginGroup[] {
    const added: OriginGroup[] = [];
    for (const {keys, ...origin} of groups) {
      const unknown = keys.filter(key => !this.streams.has(key));
      for (const key of unknown) this.add(key, origin, false);
      if (unknown.length > 0) added.push({...origin, keys: unknown});
    }
    return added;
  }

  /**
   * Takes the streams of this host that others still have to learn of.
   *
   * @param isWanted - whether the streams of a service have to be sent.
   */
  takeUnsent(isWanted: (service: string) => boolean): OriginGroup[] {
    return this.group(stream => {
      if (!stream.isUnsent || !isWanted(stream.service)) return false;
      stream.isUnsent = false;
      return true;
    });
  }

  /**
   * Returns all streams of some services.
   *
   * @param isWanted - whether the streams of a service are wanted.
   */
  all(isWanted: (service: string) => boolean): OriginGroup[] {
    return this.group(({service}) => isWanted(service));
  }

  /**
   * Returns the streams of some services that began at this host.
   *
   * @param isWanted - whether the streams of a service are wanted.
   */
  own(isWanted: (service: string) => boolean): OriginGroup[] {
    return this.group(({isOwn, service}) => isOwn && isWanted(service));
  }

  /** Marks streams as not sent, as sending them has failed. */
  markUnsent(groups: readonly OriginGroup[]): void {
    for (const {keys} of groups) {
      for (const key of keys) {
        const stream = this.streams.get(key);
        if (stream !== undefined) stream.isUnsent = true;
      }
    }
  }

  private add(key: string, origin: StreamOrigin, isOwn: boolean): void {
    const {service, softwareVersion} = origin;
    const atMs = this.clock.now();
    const stream = {service, softwareVersion, atMs, isOwn, isUnsent: isOwn};
    this.streams.set(key, stream);
    // The first entries are the oldest.
    for (const [oldest, stream] of this.streams) {
      if (this.streams.size <= MAX_STREAMS && !this.isExpired(stream)) break;
      this.streams.delete(oldest);
    }
  }

  private group(isIncluded: (stream: KnownStream) => boolean): OriginGroup[] {
    const groups = new Map<string, OriginGroup>();
    for (const [key, stream] of this.streams) {
      if (this.isExpired(stream) || !isIncluded(stream)) continue;
      const {service, softwareVersion} = stream;
      const name = JSON.stringify([service, softwareVersion]);
      const group = groups.get(name);
      if (group !== undefined) group.keys.push(key);
      else groups.set(name, {service, softwareVersion, keys: [key]});
    }
    return [...groups.values()];
  }

  private isExpired({atMs}: KnownStream): boolean {
    return this.clock.now() - atMs > ORIGIN_LIFETIME_MS;
  }
}

/** A counting cuckoo filter for the reconcile benchmark. @packageDocumentation */

import {createHash} from 'node:crypto';
import {Random} from '@fuchsiacleat/core';

const SLOTS_PER_BUCKET = 4;
const MAX_KICKS = 500;
const MAX_COUNT = 255;
const COUNTER_BITS = 8;
const TARGET_OCCUPANCY = 0.95;
const BITS_PER_BYTE = 8;

interface Slot {
  fingerprint: number;
  count: number;
}

interface Location {
  fingerprint: number;
  first: number;
  second: number;
}

/**
 * Represents a multiset by fingerprints with counters, after "Multiset
 * Synchronization with Counting Cuckoo Filters" (Li, Luo, Guo).
 */
export class CountingCuckooFilter {
  private readonly buckets: Slot[][];
  private readonly random = new Random(1);

  /**
   * @param elements - number of distinct elements to make room for.
   * @param fingerprintBits - length of a fingerprint, in bits.
   */
  constructor(
    elements: number,
    private readonly fingerprintBits: number,
  ) {
    const needed = elements / (SLOTS_PER_BUCKET * TARGET_OCCUPANCY);
    // The second bucket is found by exclusive or, which needs a power of two.
    const count = 2 ** Math.ceil(Math.log2(needed));
    this.buckets = Array.from({length: count}, () => []);
  }

  /** Size on the wire, in bytes. */
  get bytes(): number {
    const slotBits = this.fingerprintBits + COUNTER_BITS;
    const slots = this.buckets.length * SLOTS_PER_BUCKET;
    return Math.ceil((slots * slotBits) / BITS_PER_BYTE);
  }

  /**
   * Inserts an element.
   *
   * @param element - element that is not in the filter yet.
   * @param count - its multiplicity.
   * @returns whether the filter had room.
   */
  insert(element: string, count: number): boolean {
    const {fingerprint, first, second} = this.locate(element);
    let slot: Slot = {fingerprint, count: Math.min(count, MAX_COUNT)};
    for (const bucket of [first, second]) {
      if (this.put(bucket, slot)) return true;
    }
    let bucket = this.random.pick([first, second]);
    for (let kick = 0; kick < MAX_KICKS; kick++) {
      const victim = this.random.int(0, SLOTS_PER_BUCKET - 1);
      const moved = this.buckets[bucket][victim];
      this.buckets[bucket][victim] = slot;
      slot = moved;
      bucket = this.otherBucket(bucket, slot.fingerprint);
      if (this.put(bucket, slot)) return true;
    }
    return false;
  }

  /** @returns the multiplicity of an element, 0 if it is not in the filter. */
  count(element: string): number {
    const {fingerprint, first, second} = this.locate(element);
    for (const bucket of [first, second]) {
      const slot = this.buckets[bucket].find(
        known => known.fingerprint === fingerprint,
      );
      if (slot !== undefined) return slot.count;
    }
    return 0;
  }

  private put(bucket: number, slot: Slot): boolean {
    const slots = this.buckets[bucket];
    if (slots.length >= SLOTS_PER_BUCKET) return false;
    slots.push(slot);
    return true;
  }

  private locate(element: string): Location {
    const hash = createHash('sha1').update(element).digest();
    const fingerprint =
      (hash.readUInt32BE(0) % (2 ** this.fingerprintBits - 1)) + 1;
    const first = hash.readUInt32BE(4) % this.buckets.length;
    const second = this.otherBucket(first, fingerprint);
    return {fingerprint, first, second};
  }

  private otherBucket(bucket: number, fingerprint: number): number {
    const hash = Math.imul(fingerprint, 0x5bd1e995) >>> 0;
    return (bucket ^ hash) & (this.buckets.length - 1);
  }
}

/** Digests of callers' keys. @packageDocumentation */

import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';

const KEY_BYTES = 24;
const KEY_PREFIX = 'fc-';

/** A new key and its digest. */
export interface NewKey {
  /** The key itself, shown once and stored nowhere. */
  key: string;
  /** What goes into the declarations. */
  digest: string;
}

/** @returns a random key. */
export function createKey(): NewKey {
  const key = KEY_PREFIX + randomBytes(KEY_BYTES).toString('base64url');
  return {key, digest: digestOf(key)};
}

/**
 * @param secret - a key or an operator's token.
 * @returns its SHA-256 digest in hexadecimal.
 */
export function digestOf(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/**
 * Compares in constant time.
 *
 * @param secret - what a caller gave.
 * @param digest - the expected SHA-256 digest in hexadecimal.
 * @returns whether they match.
 */
export function matchesDigest(secret: string, digest: string): boolean {
  const given = Buffer.from(digestOf(secret), 'hex');
  const expected = Buffer.from(digest, 'hex');
  return given.length === expected.length && timingSafeEqual(given, expected);
}

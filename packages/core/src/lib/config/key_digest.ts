/** Creation and digests of keys. @packageDocumentation */

import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';

const KEY_BYTES = 24;
const KEY_PREFIX = 'fc-';

/** A newly created key and its digest. */
export interface NewKey {
  /** The key in plain text, which is shown once and never stored. */
  key: string;
  /** Digest of the key, for the declarations. */
  digest: string;
}

/** Creates a random key. */
export function createKey(): NewKey {
  const key = KEY_PREFIX + randomBytes(KEY_BYTES).toString('base64url');
  return {key, digest: digestOf(key)};
}

/**
 * Computes the digest of a secret.
 *
 * @param secret - a key or an operator's token.
 * @returns the SHA-256 digest, in hexadecimal.
 */
export function digestOf(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/**
 * Compares a secret with an expected digest in constant time.
 *
 * @param secret - the secret that the caller sent.
 * @param digest - the expected SHA-256 digest, in hexadecimal.
 * @returns whether the digest of the secret matches.
 */
export function matchesDigest(secret: string, digest: string): boolean {
  const given = Buffer.from(digestOf(secret), 'hex');
  const expected = Buffer.from(digest, 'hex');
  return given.length === expected.length && timingSafeEqual(given, expected);
}

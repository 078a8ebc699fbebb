/** IPv4 addresses with ports. @packageDocumentation */

import {isIPv4} from 'node:net';

const PORT = /^[1-9]\d{0,4}$/;
const MAX_PORT = 65_535;

/** An address that a connection can be opened to. */
export interface SocketAddress {
  /** IPv4 address. */
  address: string;
  port: number;
}

/**
 * Parses an address that another process has written.
 *
 * @param text - should be an IPv4 address, a colon and a port.
 * @returns the address; undefined if no connection can be opened to it.
 */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const colon = text.lastIndexOf(':');
  const address = text.slice(0, Math.max(0, colon));
  const portText = text.slice(colon + 1);
  const port = Number(portText);
  const isValid = isIPv4(address) && PORT.test(portText) && port <= MAX_PORT;
  return isValid ? {address, port} : undefined;
}

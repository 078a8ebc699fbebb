/** Loopback addresses of hosts in tests. @packageDocumentation */

/**
 * Number of deployments of one process that get distinct addresses; more of
 * them reuse those of the first.
 */
const DEPLOYMENTS_PER_PROCESS = 16;

/** Least second and last byte of an address; 127.0.0.1 is left to others. */
const MIN_SECOND_BYTE = 16;
const MIN_LAST_BYTE = 10;

let deploymentCount = 0;

/**
 * Returns the number of a new deployment of this process, for
 * {@link loopbackAddress}.
 */
export function nextDeployment(): number {
  return deploymentCount++;
}

/**
 * Returns a loopback address that no other deployment is likely to use. No
 * outgoing connection takes its ports either, as those are from 127.0.0.1.
 *
 * @param deployment - number of the deployment.
 * @param host - number of the host in the deployment.
 */
export function loopbackAddress(deployment: number, host: number): string {
  const number = deployment % DEPLOYMENTS_PER_PROCESS;
  const run = process.pid * DEPLOYMENTS_PER_PROCESS + number;
  const second = MIN_SECOND_BYTE + ((run >> 8) & 0x7f);
  return `127.${second}.${run & 0xff}.${MIN_LAST_BYTE + host}`;
}

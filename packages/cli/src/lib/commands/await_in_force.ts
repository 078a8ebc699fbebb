/** Waits until a version is in force on all hosts. @packageDocumentation */

import {setTimeout as sleep} from 'node:timers/promises';
import {HostVersion} from '@fuchsiacleat/core';
import {reportClientError} from '../client_error_report.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';

const POLL_INTERVAL_MS = 250;
const MS_PER_SECOND = 1_000;

/**
 * Polls one host for the versions of all hosts until the version is in force on
 * every one.
 *
 * @param terminal - receives the output.
 * @param client - client of the polled host.
 * @param version - the version to wait for.
 * @param waitS - timeout, in seconds.
 * @returns `behind` if some hosts do not have the version in time; they are
 *     listed on the terminal.
 */
export async function awaitInForce(
  terminal: Terminal,
  client: OperatorClient,
  version: number,
  waitS: number,
): Promise<ExitCode> {
  const endMs = performance.now() + waitS * MS_PER_SECOND;
  for (;;) {
    const hosts = await client.hostVersions();
    const hasTimedOut = performance.now() >= endMs;
    if (hosts.isErr()) {
      if (hasTimedOut) return reportClientError(terminal, hosts.error);
    } else {
      const behind = hosts.value.filter(host => isBehind(host, version));
      if (behind.length === 0) {
        terminal.out(`in force on all ${hosts.value.length} hosts`);
        return EXIT_CODE.ok;
      }
      if (hasTimedOut) return reportBehind(terminal, behind);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

function isBehind(host: HostVersion, version: number): boolean {
  return host.version === null || host.version < version;
}

function reportBehind(
  terminal: Terminal,
  behind: readonly HostVersion[],
): ExitCode {
  terminal.error('accepted, but not in force yet on:');
  for (const {host, zone, version} of behind) {
    const state = version === null ? 'no answer' : `version ${version}`;
    terminal.error(`  ${host} (zone ${zone}): ${state}`);
  }
  return EXIT_CODE.behind;
}

/** The `fuchsiacleat status` command. @packageDocumentation */

import {reportClientError} from '../client_error_report.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {HostStatus, KnownHost} from '@fuchsiacleat/core';
import {OperatorClient} from '../operator_client.js';
import {formatTable} from '../table.js';
import {Terminal} from '../terminal.js';

const HEADER = [
  'HOST',
  'ZONE',
  'STATE',
  'VERSION',
  'AGE',
  'CONTROLLER',
  'LINKS',
  'QUEUED',
];
const UNKNOWN = '-';

/** A known host and its status. */
export interface HostReport {
  host: string;
  zone: string;
  /** Null if the host did not respond. */
  status: HostStatus | null;
  /** Why the status is missing. */
  problem?: string;
}

/**
 * Shows the status of all hosts known to an entry host.
 *
 * @param terminal - receives the output.
 * @param client - client of any entry host.
 * @param asJson - whether to print one JSON array instead of a table.
 */
export async function showStatus(
  terminal: Terminal,
  client: OperatorClient,
  asJson: boolean,
): Promise<ExitCode> {
  const hosts = await client.hosts();
  if (hosts.isErr()) return reportClientError(terminal, hosts.error);
  const reports = await Promise.all(
    hosts.value.map(h => fetchStatus(client, h)),
  );
  if (asJson) {
    terminal.out(JSON.stringify(reports));
    return EXIT_CODE.ok;
  }
  for (const line of formatTable(HEADER, reports.map(toRow))) {
    terminal.out(line);
  }
  for (const {host, problem} of reports) {
    if (problem !== undefined) terminal.error(`${host}: ${problem}`);
  }
  return EXIT_CODE.ok;
}

async function fetchStatus(
  client: OperatorClient,
  {host, zone, url}: KnownHost,
): Promise<HostReport> {
  const status = await client.forHost(url).status();
  if (status.isOk()) return {host, zone, status: status.value};
  return {host, zone, status: null, problem: status.error.message};
}

function toRow({host, zone, status}: HostReport): string[] {
  if (status === null) {
    const rest = HEADER.slice(3).map(() => UNKNOWN);
    return [host, zone, 'no answer', ...rest];
  }
  const {configAgeS, leaseHolder, peers, queued} = status;
  return [
    host,
    zone,
    status.ready ? 'ready' : 'not ready',
    String(status.configVersion),
    configAgeS === null ? UNKNOWN : `${configAgeS.toFixed(1)}s`,
    leaseHolder ?? UNKNOWN,
    String(peers.length),
    String(queued),
  ];
}

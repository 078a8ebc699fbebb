/** Replaces the ports that a host process connects to. @packageDocumentation */

import {existsSync, readFileSync, renameSync, writeFileSync} from 'node:fs';

/** Port to connect to by the requested one; `null` if nothing replies there. */
export type Reroutes = Record<string, number | null>;

/** Returns the reroutes of the host with a settings file. */
export function readReroutes(settingsFile: string): Reroutes {
  const file = fileOf(settingsFile);
  if (!existsSync(file)) return {};
  return JSON.parse(readFileSync(file, 'utf8')) as Reroutes;
}

/** Sets the reroutes of the host with a settings file, for new connections. */
export function writeReroutes(settingsFile: string, reroutes: Reroutes): void {
  const file = fileOf(settingsFile);
  // The host may read at any time.
  writeFileSync(`${file}.new`, JSON.stringify(reroutes));
  renameSync(`${file}.new`, file);
}

function fileOf(settingsFile: string): string {
  return `${settingsFile}.reroutes`;
}

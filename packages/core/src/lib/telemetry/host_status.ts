/** Status that hosts report to operators. @packageDocumentation */

/** Status of a host. */
export interface HostStatus {
  host: string;
  zone: string;
  ready: boolean;
  configVersion: number;
  /**
   * Seconds since the version was last confirmed to be the newest in the log;
   * null if never.
   */
  configAgeS: number | null;
  leaseHolder: string | null;
  /** Hosts with an established link. */
  peers: string[];
  /** Known hosts of other zones. */
  remoteHosts: string[];
  queued: number;
}

/** A host known to this host, which includes itself. */
export interface KnownHost {
  host: string;
  zone: string;
  /** Base URL of the host's operator API. */
  url: string;
}

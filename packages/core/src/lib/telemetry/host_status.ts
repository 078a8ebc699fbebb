/** What hosts tell operators. @packageDocumentation */

/** What a host tells operators of itself. */
export interface HostStatus {
  host: string;
  zone: string;
  ready: boolean;
  configVersion: number;
  /** Seconds since the log confirmed the version; null if it never did. */
  configAgeS: number | null;
  leaseHolder: string | null;
  /** Hosts to which a link is up. */
  peers: string[];
  /** Known hosts of other zones. */
  remoteHosts: string[];
  queued: number;
}

/** A host that this one knows, itself included. */
export interface KnownHost {
  host: string;
  zone: string;
  /** Base URL of its operator API. */
  url: string;
}

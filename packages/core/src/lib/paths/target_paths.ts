/** The ways over which connections reach targets. @packageDocumentation */

import {KnownTarget} from '../gateway/target_table.js';
import {SocketAddress} from '../net/socket_address.js';

/** A way over which connections reach a target. */
export type TargetPath =
  /** The host connects to the target itself. */
  | {readonly type: 'direct'}
  /** Another host connects to it, and passes the bytes on. */
  | {
      readonly type: 'tunnel';
      /** Name of the helper host. */
      readonly host: string;
      /** Where the helper host serves tunnels. */
      readonly address: SocketAddress;
    };

/** The path without a helper host. */
export const DIRECT_PATH: TargetPath = {type: 'direct'};

/**
 * Returns whether two paths are the same. A helper host that has moved to
 * another address is another path.
 */
export function isSamePath(a: TargetPath, b: TargetPath): boolean {
  if (a.type === 'direct' || b.type === 'direct') return a.type === b.type;
  return (
    a.host === b.host &&
    a.address.address === b.address.address &&
    a.address.port === b.address.port
  );
}

/**
 * Chooses the path of new connections to targets, and learns from connections
 * how their paths fare. All calls return at once.
 */
export abstract class TargetPaths {
  /**
   * Returns the path for new connections to a target. Idle connections over
   * another path are not used any more.
   */
  abstract pathTo(target: KnownTarget): TargetPath;

  /**
   * Records that the set-up of a connection begins. It is followed by either
   * {@link recordConnected} or {@link recordConnectFailure}, also if nothing needs
   * the connection any more.
   *
   * @returns a function that is called once when the set-up has ended, before its
   *     result is recorded.
   */
  abstract recordConnecting(target: KnownTarget, path: TargetPath): () => void;

  /**
   * Records that a connection has been established.
   *
   * @param target - its target.
   * @param path - the path that it uses.
   * @param tookMs - time of the set-up, in milliseconds.
   */
  abstract recordConnected(
    target: KnownTarget,
    path: TargetPath,
    tookMs: number,
  ): void;

  /**
   * Records that a connection could not be established.
   *
   * @param target - its target.
   * @param path - the path that it would have used.
   * @param code - error code: `ECONNREFUSED` if the target does not listen,
   *     `UND_ERR_CONNECT_TIMEOUT` if it did not reply in time, `ERR_TUNNEL` if
   *     the helper host did not provide a tunnel; undefined if the error has none.
   */
  abstract recordConnectFailure(
    target: KnownTarget,
    path: TargetPath,
    code: string | undefined,
  ): void;

  /**
   * Records an unexpected error of this process in the handling of a connection,
   * which it has ended.
   */
  abstract recordFault(
    target: KnownTarget,
    path: TargetPath,
    fault: Error,
  ): void;

  /** Records that bytes of a target were read. Called for each read. */
  abstract recordReceived(target: KnownTarget, path: TargetPath): void;
}

/** Connects to all targets directly. */
export class DirectPaths extends TargetPaths {
  /** @param recorder - receives the records; they are dropped by default. */
  constructor(private readonly recorder?: TargetPaths) {
    super();
  }

  override pathTo(): TargetPath {
    return DIRECT_PATH;
  }

  override recordConnecting(target: KnownTarget, path: TargetPath): () => void {
    return this.recorder?.recordConnecting(target, path) ?? (() => {});
  }

  override recordConnected(
    target: KnownTarget,
    path: TargetPath,
    tookMs: number,
  ): void {
    this.recorder?.recordConnected(target, path, tookMs);
  }

  override recordConnectFailure(
    target: KnownTarget,
    path: TargetPath,
    code: string | undefined,
  ): void {
    this.recorder?.recordConnectFailure(target, path, code);
  }

  override recordFault(
    target: KnownTarget,
    path: TargetPath,
    fault: Error,
  ): void {
    this.recorder?.recordFault(target, path, fault);
  }

  override recordReceived(target: KnownTarget, path: TargetPath): void {
    this.recorder?.recordReceived(target, path);
  }
}

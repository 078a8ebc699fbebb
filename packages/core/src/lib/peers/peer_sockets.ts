/** The sockets of peer links: plain or TLS with a pre-shared key. @packageDocumentation */

import {createHash} from 'node:crypto';
import {Server, Socket, connect, createServer} from 'node:net';
import * as tls from 'node:tls';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';

const DIAL_TIMEOUT_MS = 1_000;
const HANDSHAKE_TIMEOUT_MS = 2_000;
const MAX_ACCEPTED_LINKS = 1_024;
const PSK_IDENTITY = 'fuchsiacleat';
const PSK_CIPHERS = 'DHE-PSK-AES256-GCM-SHA384';

/** Where a peer listens. */
export interface PeerAddress {
  address: string;
  port: number;
}

/** What {@link PeerSockets} works with. */
export interface PeerSocketsOptions {
  clock: Clock;
  logger: Logger;
  /** Shared by all hosts; undefined for plain links. */
  secret: string | undefined;
}

/** Dials and accepts the sockets of peer links. */
export class PeerSockets {
  private readonly psk: Buffer | undefined;

  constructor(private readonly options: PeerSocketsOptions) {
    const {secret} = options;
    this.psk =
      secret === undefined
        ? undefined
        : createHash('sha256').update(secret).digest();
  }

  /**
   * @param accept - takes each socket that is ready for use.
   * @returns a server that does not listen yet.
   */
  createServer(accept: (socket: Socket) => void): Server {
    const acceptSafely = (socket: Socket) => {
      socket.on('error', () => socket.destroy());
      accept(socket);
    };
    const {psk} = this;
    const server =
      psk === undefined
        ? createServer(acceptSafely)
        : this.createTlsServer(psk, acceptSafely);
    server.maxConnections = MAX_ACCEPTED_LINKS;
    return server;
  }

  /**
   * @param where - address of the peer.
   * @returns a socket that is ready for use, or nothing if it took too long
   *     or failed.
   */
  connect(where: PeerAddress): Promise<Socket | undefined> {
    return new Promise(resolve => {
      const onConnect = () => {
        timer.cancel();
        resolve(socket);
      };
      const socket = this.dial(where, onConnect);
      const giveUp = () => {
        timer.cancel();
        socket.destroy();
        resolve(undefined);
      };
      const timer = this.options.clock.after(DIAL_TIMEOUT_MS, giveUp);
      socket.on('error', giveUp);
    });
  }

  private dial({address, port}: PeerAddress, onConnect: () => void): Socket {
    const {psk} = this;
    const where = {host: address, port};
    if (psk === undefined) return connect(where, onConnect);
    const options = {
      ...where,
      ciphers: PSK_CIPHERS,
      maxVersion: 'TLSv1.2' as const,
      checkServerIdentity: () => undefined,
      pskCallback: () => ({psk, identity: PSK_IDENTITY}),
    };
    return tls.connect(options, onConnect);
  }

  private createTlsServer(
    psk: Buffer,
    accept: (socket: Socket) => void,
  ): Server {
    const options: tls.TlsOptions = {
      ciphers: PSK_CIPHERS,
      maxVersion: 'TLSv1.2',
      dhparam: 'auto',
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      pskCallback: (unusedSocket, identity) =>
        identity === PSK_IDENTITY ? psk : null,
    };
    const server = tls.createServer(options, accept);
    server.on('tlsClientError', error =>
      this.options.logger.warn('peer_handshake_failed', {
        reason: error.message,
      }),
    );
    return server;
  }
}

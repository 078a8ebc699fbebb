/** Sockets of peer links, plain or with TLS and a pre-shared key. @packageDocumentation */

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

/** Address on which a peer listens. */
export interface PeerAddress {
  address: string;
  port: number;
}

/** Options of {@link PeerSockets}. */
export interface PeerSocketsOptions {
  clock: Clock;
  logger: Logger;
  /** Secret that all hosts share; undefined for links without encryption. */
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
   * Creates a server that accepts links. It does not listen yet.
   *
   * @param accept - called with each socket once it is ready for use.
   * @returns the server.
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
   * Connects to a peer.
   *
   * @param peerAddress - address of the peer.
   * @returns the socket once it is ready for use, or undefined if the
   *     connection failed or timed out.
   */
  connect(peerAddress: PeerAddress): Promise<Socket | undefined> {
    return new Promise(resolve => {
      const onConnect = () => {
        timer.cancel();
        resolve(socket);
      };
      const socket = this.dial(peerAddress, onConnect);
      const fail = () => {
        timer.cancel();
        socket.destroy();
        resolve(undefined);
      };
      const timer = this.options.clock.after(DIAL_TIMEOUT_MS, fail);
      socket.on('error', fail);
    });
  }

  private dial({address, port}: PeerAddress, onConnect: () => void): Socket {
    const {psk} = this;
    const endpoint = {host: address, port};
    if (psk === undefined) return connect(endpoint, onConnect);
    const options = {
      ...endpoint,
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

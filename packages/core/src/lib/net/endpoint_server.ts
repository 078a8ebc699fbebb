/** HTTP servers for probes and scrapers. @packageDocumentation */

import {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
  createServer,
} from 'node:http';
import {Socket} from 'node:net';
import {readTurns} from '../intake/read_turns.js';

/** Most connections; beyond it, the one that was opened first closes. */
const MAX_CONNECTIONS = 32;

/** Requests of one connection that may be unanswered. */
const MAX_UNANSWERED = 2;

const MAX_HEAD_BYTES = 8_192;

/** Time in which a request is received and an answer is taken, in milliseconds. */
const TIMEOUT_MS = 5_000;

/**
 * Creates an HTTP server for clients that send requests without a body, one at a
 * time. Whatever else they send costs little: the connection closes.
 *
 * @param listener - handles the requests.
 * @returns the server, which does not listen yet.
 */
export function createEndpointServer(listener: RequestListener): Server {
  const unanswered = new Map<Socket, number>();
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: TIMEOUT_MS,
      requestTimeout: TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_MS,
    },
    (req, res) => {
      const {socket} = req;
      if (socket.destroyed) return;
      readTurns.recordRequest(socket);
      const count = (unanswered.get(socket) ?? 0) + 1;
      unanswered.set(socket, count);
      if (count > MAX_UNANSWERED) {
        socket.destroy();
        return;
      }
      res.once('close', () => {
        const left = unanswered.get(socket);
        if (left !== undefined) unanswered.set(socket, left - 1);
      });
      if (hasBody(req)) closeAfter(res, socket);
      listener(req, res);
    },
  );
  server.setTimeout(TIMEOUT_MS);
  server.on('connection', socket => {
    readTurns.add(socket, true);
    if (unanswered.size >= MAX_CONNECTIONS) {
      const [first] = unanswered.keys();
      unanswered.delete(first);
      first.destroy();
    }
    unanswered.set(socket, 0);
    socket.once('close', () => unanswered.delete(socket));
  });
  return server;
}

function hasBody({headers}: IncomingMessage): boolean {
  const {'content-length': length} = headers;
  const isChunked = headers['transfer-encoding'] !== undefined;
  return isChunked || (length !== undefined && Number(length) > 0);
}

/** Closes a connection once an answer has been passed on; nothing more is read. */
function closeAfter(res: ServerResponse, socket: Socket): void {
  res.shouldKeepAlive = false;
  // Before Node reads the rest of the body.
  res.prependOnceListener('finish', () => socket.destroySoon());
}

/** Thread of a {@link TargetLinks}. @packageDocumentation */

import {randomInt} from 'node:crypto';
import {Server, Socket, connect, createServer} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';
import {LINK_CUT, LinkState, LinkThreadData, SHARED} from './target_links.js';

const LOOPBACK = '127.0.0.1';

/** Length of the queue of connections that are not accepted yet. */
const BACKLOG = 16;

/**
 * Ports of links, which the operating system gives to no other connection: a
 * link has to find its port free again after a cut.
 */
const PORTS = {from: 20_000, to: 32_000};

/** Only callers' requests have this header. */
const REQUEST_ID_HEADER = 'x-fuchsiacleat-attempt-id';

const {targets, shared} = workerData as LinkThreadData;
const sockets = new Set<Socket>();

function reset(socket: Socket): void {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  // Node.js never closes a socket that is reset while it is shutting down.
  if (isEnding) socket.destroy();
  else socket.resetAndDestroy();
}

function forward(from: Socket, to: Socket): void {
  sockets.add(from);
  from.pipe(to);
  from.on('error', () => reset(to));
  from.on('close', () => {
    sockets.delete(from);
    to.destroy();
  });
}

function accept(near: Socket, target: number): void {
  const far = connect(target, LOOPBACK);
  near.on('data', chunk => {
    if (chunk.includes(REQUEST_ID_HEADER))
      Atomics.add(shared, SHARED.requestCount, 1);
  });
  forward(near, far);
  forward(far, near);
}

const links = targets.map(target => ({
  port: 0,
  server: createServer(near => accept(near, target)),
}));

async function listen(): Promise<void> {
  for (const link of links) {
    const {port, server} = link;
    if (server.listening) continue;
    if (port > 0) await listenAt(server, port);
    else link.port = await listenAtFreePort(server);
  }
}

async function listenAtFreePort(server: Server): Promise<number> {
  for (;;) {
    const port = randomInt(PORTS.from, PORTS.to);
    try {
      await listenAt(server, port);
      return port;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error;
    }
  }
}

function listenAt(server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host: LOOPBACK, port, backlog: BACKLOG}, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

async function setState(state: LinkState): Promise<void> {
  if (state === 'open') {
    await listen();
  } else if (state !== LINK_CUT.hang) {
    for (const {server} of links) server.close();
    if (state !== LINK_CUT.refuse) for (const socket of sockets) reset(socket);
  }
  if (state === 'closed') {
    parentPort!.close();
    return;
  }
  parentPort!.postMessage(state);
  // Blocks the thread, so that its servers accept nothing.
  if (state === LINK_CUT.hang) Atomics.wait(shared, SHARED.isBlocked, 1);
}

parentPort!.on('message', state => void setState(state));
await listen();
parentPort!.postMessage(links.map(({port}) => port));

/** Targets and helper hosts in tests of tunnels. @packageDocumentation */

import {once} from 'node:events';
import {AddressInfo, Server, Socket, connect, createServer} from 'node:net';
import {Worker} from 'node:worker_threads';

export const ADDRESS = '127.0.0.1';

/** Listens on a free port and handles each connection. */
export async function listen(
  handle: (socket: Socket) => void,
): Promise<{server: Server; port: number}> {
  const server = createServer({allowHalfOpen: true}, socket => {
    socket.on('error', () => {});
    handle(socket);
  });
  server.listen(0, ADDRESS);
  await once(server, 'listening');
  return {server, port: (server.address() as AddressInfo).port};
}

/** Returns a port on which nothing listens. */
export async function freePort(): Promise<number> {
  const {server, port} = await listen(() => {});
  server.close();
  await once(server, 'close');
  return port;
}

const FULL_LISTENER = `
  const {parentPort} = require('node:worker_threads');
  const server = require('node:net').createServer();
  server.listen({port: 0, host: '${ADDRESS}', backlog: 1}, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });`;

/** Starts a listener that replies to no further connection. */
export async function listenWithoutReply(): Promise<{
  port: number;
  close: () => Promise<unknown>;
}> {
  const worker = new Worker(FULL_LISTENER, {eval: true});
  const [port] = (await once(worker, 'message')) as [number];
  const fillers = Array.from({length: 4}, () => connect(port, ADDRESS));
  for (const filler of fillers) filler.on('error', () => {});
  await once(fillers[1], 'connect');
  return {
    port,
    close: () => {
      for (const filler of fillers) filler.destroy();
      return worker.terminate();
    },
  };
}

/**
 * Node.js imports this module before the program of a host, whose last argument
 * is its settings file, to apply its {@link Reroutes}.
 *
 * @packageDocumentation
 */

import {Socket} from 'node:net';
import {readReroutes} from './reroutes.js';

const settingsFile = process.argv.at(-1)!;

type Connect = (this: Socket, args: [{port: number}]) => Socket;

// The types lack the form in which Node.js calls the method itself.
const prototype = Socket.prototype as unknown as {connect: Connect};
const {connect} = prototype;

prototype.connect = function (args) {
  const port = readReroutes(settingsFile)[args[0].port];
  if (port === null) return this;
  if (port !== undefined) args[0].port = port;
  return connect.call(this, args);
};

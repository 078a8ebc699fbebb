import {expect} from 'chai';
import {z} from 'zod';
import {MessageHandlers} from '../../lib/peers/message_handlers.js';
import {PeerMethod} from '../../lib/peers/peer_network.js';
import {TaskSupervisor} from '../../lib/tasks/task_supervisor.js';
import {ConsolaLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

const PEER = {host: 'h2', zone: 'a', incarnation: 'h2.1'};

const NOTE: PeerMethod<string, never> = {
  name: 'test.note',
  body: z.string(),
  event: z.never(),
};
const CALL: PeerMethod<string, string> = {
  name: 'test.call',
  body: z.string(),
  event: z.string(),
};

describe('MessageHandlers', () => {
  let lines: string[];
  let handlers: MessageHandlers;
  let received: string[];

  beforeEach(() => {
    lines = [];
    received = [];
    const clock = new ManualClock();
    const logger = new ConsolaLogger('debug', {}, line => lines.push(line));
    handlers = new MessageHandlers(logger, new TaskSupervisor(clock, logger));
    handlers.onNotification(NOTE, body => received.push(body));
    handlers.serve(CALL, async function* (body) {
      yield body;
    });
  });

  async function call(name: string, body: unknown): Promise<unknown[]> {
    const {signal} = new AbortController();
    const events: unknown[] = [];
    const context = {from: PEER, signal};
    for await (const event of handlers.dispatch(name, body, context))
      events.push(event);
    return events;
  }

  it('passes on what it can decode, and logs nothing', async () => {
    handlers.handleNotification(NOTE.name, 'x', PEER);
    expect(await call(CALL.name, 'y')).to.deep.equal(['y']);
    expect(received).to.deep.equal(['x']);
    expect(lines).to.deep.equal([]);
  });

  for (const [reason, suffix, body] of [
    ['malformed', '', 7],
    ['unknown', '.new', 'x'],
  ] as const) {
    it(`logs the first notification and call of a peer that are ${reason}`, async () => {
      for (let i = 0; i < 3; i++) {
        handlers.handleNotification(NOTE.name + suffix, body, PEER);
        await call(CALL.name + suffix, body).catch(() => {});
      }
      expect(received).to.deep.equal([]);
      expect(lines).to.have.lengthOf(2);
      for (const line of lines)
        expect(line)
          .to.include('peer_message_unread')
          .and.include(`reason=${reason}`);
    });
  }
});

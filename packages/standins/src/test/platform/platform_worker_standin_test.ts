import {connect, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformWorkerStandin} from '../../lib/platform/platform_worker_standin.js';
import {FRAMING} from '../../lib/platform/raw_answer.js';
import {SILENCE_PLACE} from '../../lib/platform/worker_answers.js';

const SILENCE_MS = 300;
const TOLERANCE_MS = 20;

/** Raw connection that records what arrives, and when. */
class Peer {
  text = '';
  readonly arrivalsMs: number[] = [];
  private readonly startMs = performance.now();

  private constructor(private readonly socket: Socket) {
    socket.on('error', () => {});
    socket.on('data', chunk => {
      this.text += String(chunk);
      this.arrivalsMs.push(performance.now() - this.startMs);
    });
  }

  static async open({port}: PlatformWorkerStandin): Promise<Peer> {
    const socket = connect(port, '127.0.0.1');
    await new Promise(resolve => socket.once('connect', resolve));
    return new Peer(socket);
  }

  send(path: string, headers: string[] = []): void {
    const lines = [`GET ${path} HTTP/1.1`, 'host: w', ...headers];
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  }

  get eventIds(): string[] {
    return [...this.text.matchAll(/^id: (\d+)/gm)].map(([, id]) => id);
  }
}

const STREAM = [
  'x-fuchsiacleat-attempt-id: s1',
  'x-fuchsiacleat-model: m1',
  'x-fuchsiacleat-token-count: 70,20',
  'x-fuchsiacleat-request-priority: 3',
];

describe('PlatformWorkerStandin', () => {
  let worker: PlatformWorkerStandin;

  beforeEach(async () => {
    const options = {id: 'e1', service: 'engines', zone: 'a', models: ['m1']};
    worker = new PlatformWorkerStandin(options);
    worker.streamEvents = 6;
    worker.eventGapMs = 50;
    await worker.start();
  });

  afterEach(async () => {
    await worker.stop();
  });

  it('goes on with a stream after the last event that a caller has', async () => {
    const peer = await Peer.open(worker);
    peer.send('/s', [...STREAM, 'last-event-id: 3']);
    await sleep(250);
    expect(peer.eventIds).to.deep.equal(['4', '5', '6']);
  });

  for (const [framing, header] of [
    [FRAMING.length, /\r\ncontent-length: \d+\r\n/i],
    [FRAMING.chunks, /\r\ntransfer-encoding: chunked\r\n/i],
    [FRAMING.none, undefined],
  ] as const) {
    it(`frames streams and plain responses as told: ${framing}`, async () => {
      worker.framingOf = () => framing;
      worker.plainParts = 3;
      for (const headers of [STREAM, []]) {
        const peer = await Peer.open(worker);
        peer.send('/s', headers);
        await sleep(500);
        const [head] = peer.text.split('\r\n\r\n');
        if (header !== undefined) expect(`${head}\r\n`).to.match(header);
        else expect(head).not.to.match(/content-length|transfer-encoding/i);
        expect(peer.arrivalsMs).to.have.lengthOf.above(2);
      }
    });
  }

  it('ends its responses once it has stopped listening', async () => {
    const peer = await Peer.open(worker);
    peer.send('/s', STREAM);
    await sleep(120);
    worker.stopListening();
    expect(worker.runningCount).to.equal(1);
    await new Promise<void>(resolve => (worker.onRunEnd = () => resolve()));
    await sleep(TOLERANCE_MS);
    expect(peer.eventIds).to.have.lengthOf(6);
    expect(worker.runningCount).to.equal(0);
  });

  it('reports the progress of running requests', async () => {
    const [peer, reader] = [await Peer.open(worker), await Peer.open(worker)];
    peer.send('/s', STREAM);
    await sleep(125);
    reader.send('/report');
    await sleep(50);
    expect(reader.text).to.contain('"Runs":[["s1",73,3,3]]');
  });

  it('writes nothing while it is silent and loses nothing', async () => {
    const peer = await Peer.open(worker);
    peer.send('/s', STREAM);
    await sleep(120);
    worker.silence(SILENCE_MS);
    const before = peer.arrivalsMs.length;
    const late = await Peer.open(worker);
    late.send('/report');
    await sleep(SILENCE_MS - TOLERANCE_MS);
    expect(peer.arrivalsMs).to.have.lengthOf(before);
    expect(late.text).to.equal('');
    await sleep(SILENCE_MS);
    expect(peer.eventIds).to.deep.equal(['1', '2', '3', '4', '5', '6']);
    expect(peer.text).to.match(/\r\n0\r\n\r\n$/);
    expect(late.text).to.contain('"Runs":[["s1"');
  });

  for (const place of Object.values(SILENCE_PLACE)) {
    it(`is silent ${place} of one response`, async () => {
      worker.silences.set('s1', [{place, forMs: SILENCE_MS}]);
      const peer = await Peer.open(worker);
      peer.send('/s', STREAM);
      await sleep(2 * SILENCE_MS + 150);
      const times = [0, ...peer.arrivalsMs];
      const gaps = times.slice(1).map((ms, i) => ms - times[i]);
      expect(Math.max(...gaps)).to.be.above(SILENCE_MS - TOLERANCE_MS);
      expect(peer.eventIds).to.have.lengthOf(6);
    });
  }

  it('writes nothing on lost connections, but on new ones', async () => {
    const peer = await Peer.open(worker);
    peer.send('/s', STREAM);
    await sleep(80);
    worker.loseConnections();
    const before = peer.text;
    await sleep(300);
    expect(peer.text).to.equal(before);
    const fresh = await Peer.open(worker);
    fresh.send('/report');
    await sleep(50);
    expect(fresh.text).to.contain('"Running":0');
  });
});

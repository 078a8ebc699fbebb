/** Generates a load of streams and measures their timing. @packageDocumentation */

import {Random} from '@fuchsiacleat/core';
import {createParser} from 'eventsource-parser';
import {Histogram, build, encodeIntoCompressedBase64} from 'hdr-histogram-js';
import {Agent} from 'undici';

const MICROS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const SIGNIFICANT_DIGITS = 3;

/** A request whose response is a stream of events. */
export interface StreamRequest {
  origin: string;
  path: string;
  headers: Record<string, string>;
  /** The body; `ID` in it is replaced by a unique id. */
  body: string;
  /** Number of events in the response that carry a token. */
  tokens: number;
}

/** A load to generate: at a rate, with constant concurrency, or with starts spread over a time. */
export type LoadJob =
  | {
      kind: 'rate';
      request: StreamRequest;
      perSecond: number;
      durationMs: number;
      seed: number;
    }
  | {
      kind: 'concurrency';
      request: StreamRequest;
      streams: number;
      durationMs: number;
    }
  | {kind: 'hold'; request: StreamRequest; streams: number; spreadMs: number};

/** Measurements of a load. */
export interface LoadResult {
  /** Number of streams with all tokens. */
  whole: number;
  /** Number of failed or incomplete streams. */
  broken: number;
  durationMs: number;
  /** Encoded histograms in microseconds. */
  firstToken: string;
  tokenGap: string;
}

/** @returns an empty histogram for times in microseconds. */
export function createHistogram(): Histogram {
  return build({numberOfSignificantValueDigits: SIGNIFICANT_DIGITS});
}

/** Generates one load and measures it. */
export class Load {
  private readonly firstToken = createHistogram();
  private readonly tokenGap = createHistogram();
  private readonly agent = new Agent({
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private sent = 0;
  private whole = 0;
  private broken = 0;

  constructor(private readonly job: LoadJob) {}

  /** @returns the measurements, once all streams have ended. */
  async run(): Promise<LoadResult> {
    const startMs = performance.now();
    await this.sendAll();
    const durationMs = performance.now() - startMs;
    await this.agent.close();
    const {whole, broken} = this;
    return {
      whole,
      broken,
      durationMs,
      firstToken: encodeIntoCompressedBase64(this.firstToken),
      tokenGap: encodeIntoCompressedBase64(this.tokenGap),
    };
  }

  private async sendAll(): Promise<void> {
    const {job} = this;
    switch (job.kind) {
      case 'rate':
        return this.sendAtRate(job.perSecond, job.durationMs, job.seed);
      case 'concurrency':
        return this.keepStreamsOpen(job.streams, job.durationMs);
      case 'hold':
        return this.startStreams(job.streams, job.spreadMs);
    }
  }

  /** Sends requests with exponential gaps (open loop). */
  private async sendAtRate(
    perSecond: number,
    durationMs: number,
    seed: number,
  ): Promise<void> {
    const random = new Random(seed);
    const endMs = performance.now() + durationMs;
    const streams: Array<Promise<void>> = [];
    let dueMs = performance.now();
    while (dueMs < endMs) {
      dueMs -= (Math.log(1 - random.float()) / perSecond) * MS_PER_SECOND;
      const waitMs = dueMs - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      streams.push(this.stream());
    }
    await Promise.all(streams);
  }

  /** Keeps a constant number of streams open (closed loop). */
  private async keepStreamsOpen(
    streams: number,
    durationMs: number,
  ): Promise<void> {
    const endMs = performance.now() + durationMs;
    const keep = async () => {
      while (performance.now() < endMs) await this.stream();
    };
    await Promise.all(Array.from({length: streams}, keep));
  }

  /** Starts streams at regular intervals. */
  private async startStreams(streams: number, spreadMs: number) {
    const startAfter = async (delayMs: number) => {
      await sleep(delayMs);
      await this.stream();
    };
    await Promise.all(
      Array.from({length: streams}, (unused, index) =>
        startAfter((index / streams) * spreadMs),
      ),
    );
  }

  private async stream(): Promise<void> {
    try {
      const tokens = await this.readStream();
      if (tokens === this.job.request.tokens) this.whole += 1;
      else this.broken += 1;
    } catch {
      this.broken += 1;
    }
  }

  private async readStream(): Promise<number> {
    const {origin, path, headers, body, tokens} = this.job.request;
    this.sent += 1;
    const id = `${process.pid}-${this.sent}`;
    let lastMs = performance.now();
    const res = await this.agent.request({
      origin,
      path,
      method: 'POST',
      headers,
      body: body.replace('ID', id),
    });
    let seen = 0;
    const parser = createParser({
      onEvent: () => {
        if (seen === tokens) return;
        const nowMs = performance.now();
        const times = seen === 0 ? this.firstToken : this.tokenGap;
        times.recordValue(Math.round((nowMs - lastMs) * MICROS_PER_MS));
        lastMs = nowMs;
        seen += 1;
      },
    });
    const decoder = new TextDecoder();
    for await (const chunk of res.body) {
      parser.feed(decoder.decode(chunk as Buffer, {stream: true}));
    }
    return res.statusCode === 200 ? seen : 0;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

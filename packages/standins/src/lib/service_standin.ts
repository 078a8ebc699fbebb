/** Fake plain service. @packageDocumentation */

import {Context} from 'hono';
import {stream} from 'hono/streaming';
import {StandinOptions, StandinServer} from './standin_server.js';

/** Call that the service executed. */
export interface RecordedCall {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: string;
  /** Clock time of the start, in milliseconds. */
  startedMs: number;
}

/** Service that records its calls, so that tests detect duplicate runs. */
export class ServiceStandin extends StandinServer {
  /** Executed calls, in order. */
  readonly runs: RecordedCall[] = [];
  /** Duration of a call, in milliseconds. */
  workMs = 1;
  /** Silence in the middle of each response body, in milliseconds. */
  bodySilenceMs = 0;

  constructor(options: StandinOptions = {}) {
    super(options);
    this.app.all('*', c => this.run(c));
  }

  private async run(c: Context): Promise<Response> {
    const {pathname, search} = new URL(c.req.url);
    const run: RecordedCall = {
      method: c.req.method,
      path: pathname + search,
      headers: c.req.header(),
      body: await c.req.text(),
      startedMs: this.clock.now(),
    };
    this.runs.push(run);
    const number = this.runs.length;
    await this.clock.sleep(this.workMs);
    const answer = {number, path: run.path, received: run.body};
    if (this.bodySilenceMs === 0) return c.json(answer);
    const text = JSON.stringify(answer);
    const middle = text.length / 2;
    return stream(c, async body => {
      await body.write(text.slice(0, middle));
      await this.clock.sleep(this.bodySilenceMs);
      await body.write(text.slice(middle));
    });
  }
}

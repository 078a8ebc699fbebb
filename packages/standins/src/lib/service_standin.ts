/** Fake plain service. @packageDocumentation */

import {Context} from 'hono';
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
    return c.json({number, path: run.path, received: run.body});
  }
}

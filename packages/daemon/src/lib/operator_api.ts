/** HTTP API for operators. @packageDocumentation */

import {
  ConfigStore,
  HostStatus,
  HostVersionCollector,
  KnownHost,
  Member,
  Metrics,
  matchesDigest,
  publicationIdSchema,
  publicationSchema,
} from '@fuchsiacleat/core';
import {isIPv6} from 'node:net';
import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';

const MAX_PUBLICATION_BYTES = 32 * 1024 * 1024;

/** A publication with the id that the command-line tool assigned to it. */
const submissionSchema = publicationSchema.extend({
  id: publicationIdSchema.optional(),
});

/**
 * Lists hosts with the URLs of their operator APIs.
 *
 * @param members - hosts as recorded by their zones.
 * @returns name, zone and URL of each host.
 */
export function toKnownHosts(members: readonly Member[]): KnownHost[] {
  return members.map(({host, zone, operator: {address, port}}) => {
    const urlHost = isIPv6(address) ? `[${address}]` : address;
    return {host, zone, url: `http://${urlHost}:${port}`};
  });
}

/** Options of the operator API. */
export interface OperatorApiOptions {
  tokenDigest: string;
  config: ConfigStore;
  versions: HostVersionCollector;
  metrics: Metrics;
  status: () => HostStatus;
  /** Returns the known hosts of all zones. */
  hosts: () => KnownHost[];
  /** Starts a graceful shutdown. */
  drain: () => void;
}

/**
 * Creates the operator API.
 *
 * @param options - see {@link OperatorApiOptions}.
 * @returns the routes of the API.
 */
export function createOperatorApi(options: OperatorApiOptions): Hono {
  const {config, versions, metrics, status, hosts, drain} = options;
  const {tokenDigest} = options;
  const app = new Hono();
  app.get('/healthz', c => c.text('ok'));
  app.get('/metrics', async c => {
    const age = config.ageMs() / 1_000;
    metrics.configAge.set(Number.isFinite(age) ? age : -1);
    const text = await metrics.registry.metrics();
    return c.text(text, 200, {'content-type': metrics.registry.contentType});
  });
  app.use('/api/*', async (c, next) => {
    const token = /^Bearer +(\S+)$/i.exec(c.req.header('authorization') ?? '');
    if (token === null || !matchesDigest(token[1], tokenDigest)) {
      return c.json({message: "send the operators' token as a bearer"}, 401);
    }
    return next();
  });
  app.use('/api/*', bodyLimit({maxSize: MAX_PUBLICATION_BYTES}));
  app.get('/api/status', c => c.json(status()));
  app.get('/api/hosts', c => c.json({hosts: hosts()}));
  app.get('/api/config', c => {
    const {version} = config.state;
    return c.json({version, objects: config.state.rawObjects()});
  });
  app.get('/api/config/hosts', async c =>
    c.json({hosts: await versions.collectAll(c.req.raw.signal)}),
  );
  app.get('/api/config/history', c => c.json({versions: config.state.history}));
  app.post('/api/config/publications', async c => {
    const parsed = submissionSchema.safeParse(await c.req.json());
    if (!parsed.success) return c.json({message: 'malformed publication'}, 400);
    const {id, ...publication} = parsed.data;
    const verdict = await config.publish(publication, c.req.raw.signal, id);
    if (verdict.isErr()) return c.json(verdict.error, 503);
    return c.json(verdict.value, verdict.value.accepted ? 200 : 409);
  });
  app.get('/api/config/publications/:id', c => {
    const verdict = config.verdictOf(c.req.param('id'));
    return c.json({verdict});
  });
  app.post('/api/drain', c => {
    drain();
    return c.json({message: 'stopping'});
  });
  app.onError((error, c) => c.json({message: error.message}, 400));
  return app;
}

/** `npm start`: runs the whole system in one process and shows a request. @packageDocumentation */

import {Tracing} from '@fuchsiacleat/core';
import {InMemorySpanExporter} from '@opentelemetry/sdk-trace-base';
import {request} from 'undici';
import {LocalCluster, OPERATOR_TOKEN} from './lib/local_cluster.js';
import {TEAM_KEY, ROUTE_PATH, PlatformWorld} from './lib/platform_world.js';
import {SAMPLE_KEY, sampleDeclarations} from './lib/sample_declarations.js';
import {formatTrace} from './lib/trace_view.js';

/** Number of hosts in the demonstration on the platform stand-ins. */
const PLATFORM_HOSTS = 2;

const ZONES = ['hfj-a', 'kef-a'] as const;

function print(line: string): void {
  process.stdout.write(line + '\n');
}

async function showRequest(cluster: LocalCluster, host: string) {
  const body = {
    model: 'draft',
    stream: true,
    max_tokens: 8,
    messages: [{role: 'user', content: 'Draft the inspection summary.'}],
  };
  print(`> POST /v1/chat/completions ${JSON.stringify(body)}`);
  const res = await request(`${cluster.callerUrl(host)}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${SAMPLE_KEY}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify(body),
  });
  print(`< ${res.statusCode}`);
  print((await res.body.text()).trimEnd());
}

function printHints(cluster: LocalCluster, host: string): void {
  print('');
  print('Try it (Ctrl-C stops):');
  print(
    `  curl -N ${cluster.callerUrl(host)}/v1/chat/completions ` +
      `-H 'authorization: Bearer ${SAMPLE_KEY}' ` +
      `-H 'content-type: application/json' ` +
      `-d '{"model":"draft","stream":true,"max_tokens":8,` +
      `"messages":[{"role":"user","content":"hello"}]}'`,
  );
  print(
    `  FUCHSIACLEAT_TOKEN=${OPERATOR_TOKEN} npx fuchsiacleat ` +
      `--host ${cluster.operatorUrl(host)} status`,
  );
}

async function showPlatform(isOnce: boolean): Promise<void> {
  const world = await PlatformWorld.start(PLATFORM_HOSTS);
  const headers = {'x-fuchsiacleat-model': 'm2'};
  print('> POST /stream/ for model m2, which no worker holds yet');
  const res = await world.call(ROUTE_PATH.stream, {headers});
  print(`< ${res.status}`);
  print(res.body.trimEnd());
  print(`orders to the worker: ${world.engine.orders.join(', ')}`);
  if (isOnce) {
    await world.stop();
    process.exit(0);
  }
  print('');
  print('Try it (Ctrl-C stops):');
  print(
    `  curl -i ${world.callerUrl()}${ROUTE_PATH.repeatable}x -H 'host: desk.example' ` +
      `-H 'x-fuchsiacleat-key: ${TEAM_KEY}' -H 'x-fuchsiacleat-attempt-id: a1' -d x`,
  );
}

async function main(): Promise<void> {
  const once = process.argv.includes('--once');
  if (process.argv.includes('--platform')) {
    await showPlatform(once);
    return;
  }
  const exporter = new InMemorySpanExporter();
  const cluster = await LocalCluster.start({
    hosts: ZONES.map(zone => ({name: `${zone}-1`, zone})),
    // The second zone has no engine, so the demonstrated request is forwarded
    // to a peer in the first zone.
    engines: [{name: 'pool-1', zone: ZONES[0]}],
    daemonDeps: {tracing: new Tracing([exporter])},
  });
  const version = await cluster.publish([
    ...cluster.platformObjects(),
    ...sampleDeclarations(),
  ]);
  print(`two zones are up; version ${version} of the declarations is in force`);
  const host = `${ZONES[1]}-1`;
  await showRequest(cluster, host);
  print('');
  print('Its trace:');
  for (const line of formatTrace(exporter.getFinishedSpans())) print(line);
  if (!once) {
    printHints(cluster, host);
    await new Promise<void>(resolve => {
      process.once('SIGINT', () => resolve());
      process.once('SIGTERM', () => resolve());
    });
    print('stopping');
  }
  await cluster.stop();
}

await main();
process.exit(0);

/** The operator's configuration in the cases. */

import {HOST_NAME, KEY} from './deployment.mjs';

export const SERVICE = {plain: 'registry-app', engine: 'drafting-models'};
export const MODEL = 'model-1';

export const PATH = {
  once: '/once/',
  repeatable: '/repeatable/',
  stream: '/stream/',
  resumable: '/resumable/',
};

/** A valid configuration with a route of each kind. */
export function deploymentConfig(version, models = [MODEL]) {
  const route = (name, kind, service, more) => ({
    Name: name,
    Host: HOST_NAME,
    PathPrefix: PATH[name],
    Kind: kind,
    Service: service,
    Priority: 1,
    Public: false,
    ...more,
  });
  const plain = {TimeoutMs: 3_000, TargetLatencyMs: 386};
  const stream = {TimeoutMs: 12_000, TargetLatencyMs: 400, GapAimMs: 200};
  return {
    Version: version,
    Routes: [
      route('once', 'non_idempotent', SERVICE.plain, {
        ...plain,
        MaxAttempts: 1,
      }),
      route('repeatable', 'idempotent', SERVICE.plain, {
        ...plain,
        MaxAttempts: 2,
      }),
      route('stream', 'streaming', SERVICE.engine, {
        ...stream,
        MaxAttempts: 1,
        Sticky: true,
        Resumable: false,
      }),
      route('resumable', 'streaming', SERVICE.engine, {
        ...stream,
        MaxAttempts: 2,
        Sticky: true,
        Resumable: true,
      }),
    ],
    Services: [
      {Name: SERVICE.plain, HealthPath: '/healthz', MaxConns: 110},
      {
        Name: SERVICE.engine,
        HealthPath: '/healthz',
        MaxConns: 370,
        Engine: {
          Slots: 64,
          Models: models.map(Name => ({
            Name,
            WeightsMb: 70_000,
            LoadTimeS: 6,
            Adapters: 0,
            AdapterMb: 12,
            WarmS: 0.45,
            DiskS: 0.8,
          })),
          WeightsMb: 230_000,
          AdapterSlots: 8,
          LoadsPerS: 3,
        },
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [
      {
        Name: 'team',
        ApiKeys: [KEY],
        Unit: 'tokens',
        PlainTokens: 200,
        PerS: 0,
        Burst: 0,
      },
    ],
  };
}

/** Sample declarations for the demonstration and for tests. @packageDocumentation */

import {RawObject, digestOf} from '@fuchsiacleat/core';

/** API key of the sample team. */
export const SAMPLE_KEY = 'fc-sample-key';

/** Options of {@link sampleDeclarations}. */
export interface SampleOptions {
  /** Names of the service targets of the `filing` route. */
  services?: readonly string[];
}

/** @returns declarations of a team, a model with an adapter, and routes. */
export function sampleDeclarations(options: SampleOptions = {}): RawObject[] {
  const objects: RawObject[] = [
    {kind: 'team', name: 'inspectors', fields: {}},
    {
      kind: 'key',
      name: 'inspectors-1',
      fields: {team: 'inspectors', digest: digestOf(SAMPLE_KEY)},
    },
    {
      kind: 'rate',
      name: 'inspectors',
      fields: {team: 'inspectors', tokens_per_second: '20000', burst: '40000'},
    },
    {
      kind: 'model',
      name: 'drafter',
      fields: {version: 'drafter-1', max_replicas: '2'},
    },
    {
      kind: 'version',
      name: 'drafter-1',
      fields: {model: 'drafter', weights: '1GiB'},
    },
    {
      kind: 'adapter',
      name: 'gujarati',
      fields: {model: 'drafter', size: '64MiB'},
    },
    {
      kind: 'route',
      name: 'draft',
      fields: {model: 'drafter', teams: 'inspectors'},
    },
    {
      kind: 'route',
      name: 'draft-gujarati',
      fields: {adapter: 'gujarati', teams: 'inspectors'},
    },
  ];
  if (options.services !== undefined) {
    objects.push({
      kind: 'route',
      name: 'filing',
      fields: {
        targets: options.services.join(', '),
        teams: 'inspectors',
        repeatable: 'no',
      },
    });
  }
  return objects;
}

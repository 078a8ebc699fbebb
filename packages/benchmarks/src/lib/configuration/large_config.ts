/** Generates a configuration of the design size. @packageDocumentation */

import {Change, Random, digestOf} from '@fuchsiacleat/core';

/** Number of objects that a configuration declares, by kind. */
export interface ConfigSize {
  models: number;
  adapters: number;
  teams: number;
  engines: number;
}

/** Size that the users plan for. */
export const DESIGN_SIZE: ConfigSize = {
  models: 590,
  adapters: 16_000,
  teams: 200,
  engines: 2_000,
};

const ZONES = 22;

/** @returns the changes that declare a configuration of the given size. */
export function createLargeConfig(size: ConfigSize): Change[] {
  const changes: Change[] = [];
  const add = (
    kind: Change['kind'],
    name: string,
    fields: Record<string, string>,
  ) => changes.push({kind, name, fields});
  for (let i = 0; i < ZONES; i++) add('zone', `z-${i}`, {});
  for (let i = 0; i < size.engines; i++) {
    const zone = `z-${i % ZONES}`;
    const url = `http://10.0.${i >> 8}.${i & 255}:8000`;
    add('target', `e-${i}`, {zone, url, memory: '320GiB', slots: '64'});
  }
  for (let i = 0; i < size.teams; i++) {
    const team = `t-${i}`;
    add('team', team, {});
    add('key', `k-${i}`, {team, digest: digestOf(team)});
    add('rate', team, {team, tokens_per_second: '9000', burst: '90000'});
  }
  for (let i = 0; i < size.models; i++) {
    const model = `m-${i}`;
    add('model', model, {version: `v-${i}`, max_replicas: '4'});
    add('version', `v-${i}`, {model, weights: '40GiB'});
    add('route', model, {model, teams: `t-${i % size.teams}`});
  }
  for (let i = 0; i < size.adapters; i++) {
    const model = `m-${i % size.models}`;
    add('adapter', `a-${i}`, {model, size: '200MiB'});
    const teams = `t-${i % size.teams}`;
    add('route', `a-${i}`, {adapter: `a-${i}`, teams});
  }
  return changes;
}

/** @returns a typical change of a random object. */
export function createTypicalChange(size: ConfigSize, random: Random): Change {
  const model = random.int(0, size.models - 1);
  const adapter = random.int(0, size.adapters - 1);
  const team = random.int(0, size.teams - 1);
  const gib = random.int(20, 60);
  switch (random.int(0, 4)) {
    case 0: {
      const fields = {model: `m-${model}`, weights: `${gib}GiB`};
      return {kind: 'version', name: `v-${model}`, fields};
    }
    case 1: {
      const fields = {digest: digestOf(String(random.float()))};
      const owner = {team: `t-${team}`};
      return {kind: 'key', name: `k-${team}`, fields: {...fields, ...owner}};
    }
    case 2: {
      const rate = String(random.int(8_000, 10_000));
      const fields = {tokens_per_second: rate, burst: '90000'};
      const owner = {team: `t-${team}`};
      return {kind: 'rate', name: `t-${team}`, fields: {...fields, ...owner}};
    }
    case 3: {
      const fields = {adapter: `a-${adapter}`, teams: `t-${team}`};
      return {kind: 'route', name: `a-${adapter}`, fields};
    }
    default: {
      const owner = adapter % size.models;
      const fields = {model: `m-${owner}`, size: `${gib * 5}MiB`};
      return {kind: 'adapter', name: `a-${adapter}`, fields};
    }
  }
}

/** Measures the resources that a host uses for control. @packageDocumentation */

import {RawObject} from '@fuchsiacleat/core';
import {Benchmark, BenchmarkResult, Metric, Series} from './benchmark.js';
import {ControlRates, ControlSystem} from './control/control_system.js';
import {Rate} from './control/usage.js';

const BYTES_PER_MB = 1e6;

/** The design size. */
const DESIGN = {
  hosts: 330,
  hostsPerZone: 15,
  models: 590,
  adapters: 16_000,
};

const ZONE_SIZES = [1, 4, 8, DESIGN.hostsPerZone];
const ZONE_COUNTS = [1, 3, 6, 10];
const HOSTS_PER_SMALL_ZONE = 2;
const MODEL_COUNTS = [0, 295, DESIGN.models];
const ADAPTER_COUNTS = [0, 8_000, DESIGN.adapters];

/** Numbers of hosts for the baseline, a full mesh over all hosts. */
const MESH_SIZES = [DESIGN.hostsPerZone, 22, 30];

/** A resource that a host uses. */
interface Quantity {
  key: string;
  unit: string;
  of: (rate: Rate) => number;
}

const QUANTITIES: readonly Quantity[] = [
  {key: 'bytes', unit: 'B/s', of: rate => rate.bytesPerSecond},
  {key: 'cpu', unit: '%', of: rate => rate.cpuPercent},
  {key: 'memory', unit: 'MB', of: rate => rate.residentBytes / BYTES_PER_MB},
];

interface Point {
  x: number;
  rates: ControlRates;
}

/** Points measured along one dimension, with the others held constant. */
interface Sweep {
  name: string;
  points: Point[];
}

/** Measures idle hosts by number of peers, zones, models and adapters. */
export class ControlBenchmark extends Benchmark {
  override readonly name = 'control';
  override readonly summary =
    'bytes, processor time and memory that a host spends on control';

  override async run(): Promise<BenchmarkResult> {
    const peers = await sweep('peers', ZONE_SIZES, hostsPerZone => ({
      zones: 1,
      hostsPerZone,
    }));
    const zones = await sweep('zones', ZONE_COUNTS, count => ({
      zones: count,
      hostsPerZone: HOSTS_PER_SMALL_ZONE,
    }));
    const models = await sweep('models', MODEL_COUNTS, count => ({
      zones: 1,
      hostsPerZone: HOSTS_PER_SMALL_ZONE,
      objects: modelObjects(count),
    }));
    const adapters = await sweep('adapters', ADAPTER_COUNTS, count => ({
      zones: 1,
      hostsPerZone: HOSTS_PER_SMALL_ZONE,
      objects: [...modelObjects(DESIGN.models), ...adapterObjects(count)],
    }));
    const mesh = await this.measureMesh(peers);
    const sweeps = [peers, zones, models, adapters, mesh];
    return {
      metrics: [
        ...sweeps.flatMap(slopeMetrics),
        ...designMetrics(peers, zones, models, adapters),
        ...meshMetrics(mesh),
      ],
      series: sweeps.flatMap(seriesOf),
    };
  }

  /**
   * Measures full meshes, each as a single zone. Reuses the measurements of
   * zones up to the design size.
   */
  private async measureMesh(peers: Sweep): Promise<Sweep> {
    const larger = MESH_SIZES.filter(size => size > DESIGN.hostsPerZone);
    const measured = await sweep('mesh', larger, hostsPerZone => ({
      zones: 1,
      hostsPerZone,
    }));
    const points = [...peers.points.slice(1), ...measured.points];
    return {name: 'mesh', points};
  }
}

async function sweep(
  name: string,
  counts: readonly number[],
  shapeOf: (count: number) => Parameters<typeof ControlSystem.measure>[0],
): Promise<Sweep> {
  // Idle hosts hardly disturb each other, so all points run concurrently.
  const points = await Promise.all(
    counts.map(async x => {
      const rates = await ControlSystem.measure(shapeOf(x));
      return {x, rates};
    }),
  );
  return {name, points};
}

function modelObjects(count: number): RawObject[] {
  return Array.from({length: count}, (unused, i): RawObject[] => [
    {kind: 'model', name: `m${i}`, fields: {version: `m${i}-v1`}},
    {
      kind: 'version',
      name: `m${i}-v1`,
      fields: {model: `m${i}`, weights: '20GiB'},
    },
  ]).flat();
}

function adapterObjects(count: number): RawObject[] {
  return Array.from({length: count}, (unused, i) => ({
    kind: 'adapter' as const,
    name: `a${i}`,
    fields: {model: `m${i % DESIGN.models}`, size: '64MiB'},
  }));
}

/** @returns the least-squares slope of a quantity of the controller. */
function slopeOf({points}: Sweep, {of}: Quantity): number {
  const ys = points.map(({rates}) => of(rates.controller));
  const meanX = points.reduce((sum, {x}) => sum + x, 0) / points.length;
  const meanY = ys.reduce((sum, y) => sum + y, 0) / ys.length;
  let products = 0;
  let squares = 0;
  points.forEach(({x}, i) => {
    products += (x - meanX) * (ys[i] - meanY);
    squares += (x - meanX) ** 2;
  });
  return products / squares;
}

function slopeMetrics(swept: Sweep): Metric[] {
  return QUANTITIES.map(quantity => ({
    name: `control.${quantity.key}_slope_by_${swept.name}`,
    value: slopeOf(swept, quantity),
    unit: `${quantity.unit} each`,
  }));
}

/**
 * Extrapolates to the design size: the measured use of a host in a full zone,
 * plus the slopes for remote hosts, models and adapters. The increase per
 * remote zone is attributed to that zone's hosts, which gives an upper bound.
 * A negative slope is noise and counts as 0. For memory, the minimum over all
 * hosts counts as the memory of the program itself and is subtracted.
 */
function designMetrics(
  peers: Sweep,
  zones: Sweep,
  models: Sweep,
  adapters: Sweep,
): Metric[] {
  const full = peers.points.at(-1)!.rates;
  const all = [peers, zones, models, adapters].flatMap(({points}) => points);
  const remoteHosts = DESIGN.hosts - DESIGN.hostsPerZone;
  return QUANTITIES.flatMap(quantity => {
    const {key, unit, of} = quantity;
    const least = Math.min(
      ...all.flatMap(({rates}) => [of(rates.member), of(rates.controller)]),
    );
    const program = key === 'memory' ? least : 0;
    const growth = (swept: Sweep) => Math.max(0, slopeOf(swept, quantity));
    const added =
      (growth(zones) / HOSTS_PER_SMALL_ZONE) * remoteHosts +
      growth(models) * DESIGN.models +
      growth(adapters) * DESIGN.adapters;
    const atDesign = (rate: Rate) => of(rate) - program + added;
    return [
      {
        name: `control.${key}_controller_at_design`,
        value: atDesign(full.controller),
        unit,
      },
      {
        name: `control.${key}_member_at_design`,
        value: atDesign(full.member),
        unit,
      },
    ];
  });
}

/** Extrapolates the use of a host in a full mesh over all hosts. */
function meshMetrics(mesh: Sweep): Metric[] {
  const largest = mesh.points.at(-1)!;
  return QUANTITIES.map(quantity => {
    const slope = slopeOf(mesh, quantity);
    const measured = quantity.of(largest.rates.controller);
    return {
      name: `control.${quantity.key}_baseline_full_mesh`,
      value: measured + slope * (DESIGN.hosts - largest.x),
      unit: quantity.unit,
    };
  });
}

function seriesOf({name, points}: Sweep): Series[] {
  return QUANTITIES.flatMap(({key, unit, of}) =>
    (['controller', 'member'] as const).map(kind => ({
      name: `control.${key}_by_${name}_${kind}`,
      xLabel: name,
      yLabel: unit,
      points: points.map(({x, rates}) => ({x, y: of(rates[kind])})),
    })),
  );
}

/** Generates the reference page of the metrics. @packageDocumentation */

import {fileURLToPath} from 'node:url';
import {Metrics, PlacementMetrics} from '@fuchsiacleat/core';
import {GatewayMetrics} from '@fuchsiacleat/core/gateway';

const INTRODUCTION = `# Metrics

This page is written by \`npm run docs\` from the objects that hold the metrics.
`;

const PLATFORM_ENDPOINT = 'Served at `/metrics` on port 9464 of each host.';
const OPERATOR_ENDPOINT = 'Served at `/metrics` on the operator port.';

const TABLE_HEAD =
  '| metric | type | labels | what it tells |\n| --- | --- | --- | --- |';

/** The part of a metrics registry that the page uses. */
interface MetricSource {
  getMetricsAsArray(): object[];
}

/** The fields of a metric object that the page shows. */
interface NamedMetric {
  name: string;
  help: string;
  labelNames?: readonly string[];
}

/** Returns the path of the page in the repository. */
export function metricsPagePath(): string {
  const path = '../../../../docs/operators/metrics.md';
  return fileURLToPath(new URL(path, import.meta.url));
}

/** Returns the page in Markdown. */
export function metricsPage(): string {
  const gateway = new GatewayMetrics().registry;
  const daemon = new Metrics().registry;
  new PlacementMetrics(daemon);
  return [
    INTRODUCTION,
    sectionText("On the users' platform", PLATFORM_ENDPOINT, gateway),
    sectionText("With the product's own interface", OPERATOR_ENDPOINT, daemon),
  ].join('\n');
}

function sectionText(
  title: string,
  location: string,
  source: MetricSource,
): string {
  const rows = source.getMetricsAsArray().map(rowOf).join('\n');
  return `## ${title}\n\n${location}\n\n${TABLE_HEAD}\n${rows}\n`;
}

function rowOf(metric: object): string {
  const {name, help, labelNames = []} = metric as NamedMetric;
  const type = metric.constructor.name.toLowerCase();
  return `| \`${name}\` | ${type} | ${labelNames.join(', ')} | ${help} |`;
}

/** Plots stored results. @packageDocumentation */

import {mkdir, readFile, readdir, writeFile} from 'node:fs/promises';
import {basename, join} from 'node:path';
import {Spec, View, parse} from 'vega';
import {BenchmarkResult, Series} from './benchmark.js';

const WIDTH_PX = 480;
const HEIGHT_PX = 300;
const RESULT_SUFFIX = '.json';

/**
 * Draws every series of the stored results.
 *
 * @param folder - folder of the results; plots are written to `plots` in it.
 * @returns paths of the written files.
 */
export async function plotResults(folder: string): Promise<string[]> {
  const plots = join(folder, 'plots');
  await mkdir(plots, {recursive: true});
  const written: string[] = [];
  for (const file of (await readdir(folder)).sort()) {
    if (!file.endsWith(RESULT_SUFFIX)) continue;
    const text = await readFile(join(folder, file), 'utf8');
    const {series} = JSON.parse(text) as BenchmarkResult;
    for (const group of groupByAxes(series)) {
      const path = join(plots, `${group[0].name}.svg`);
      await writeFile(path, await drawSeries(basename(file, '.json'), group));
      written.push(path);
    }
  }
  return written;
}

/**
 * Draws one plot.
 *
 * @param title - title of the plot.
 * @param series - curves that share their axes.
 * @returns an SVG document.
 */
export function drawSeries(
  title: string,
  series: readonly Series[],
): Promise<string> {
  const view = new View(parse(specOf(title, series)), {renderer: 'none'});
  return view.toSVG();
}

/** Groups the series of a benchmark by their axes. */
function groupByAxes(series: readonly Series[]): Series[][] {
  const groups = new Map<string, Series[]>();
  for (const curve of series) {
    const key = `${curve.xLabel}\n${curve.yLabel}`;
    groups.set(key, [...(groups.get(key) ?? []), curve]);
  }
  return [...groups.values()];
}

function specOf(title: string, series: readonly Series[]): Spec {
  const [{xLabel, yLabel}] = series;
  const values = series.flatMap(({name, points}) =>
    points.map(point => ({...point, name})),
  );
  const encoding = {
    x: {scale: 'x', field: 'x'},
    y: {scale: 'y', field: 'y'},
    stroke: {scale: 'color', field: 'name'},
  };
  return {
    width: WIDTH_PX,
    height: HEIGHT_PX,
    padding: 8,
    background: 'white',
    title,
    data: [{name: 'points', values}],
    scales: [
      {
        name: 'x',
        type: 'linear',
        range: 'width',
        nice: true,
        zero: false,
        domain: {data: 'points', field: 'x'},
      },
      {
        name: 'y',
        type: 'linear',
        range: 'height',
        nice: true,
        zero: true,
        domain: {data: 'points', field: 'y'},
      },
      {
        name: 'color',
        type: 'ordinal',
        range: 'category',
        domain: {data: 'points', field: 'name'},
      },
    ],
    axes: [
      {orient: 'bottom', scale: 'x', title: xLabel, grid: true},
      {orient: 'left', scale: 'y', title: yLabel, grid: true},
    ],
    legends: [{stroke: 'color', symbolType: 'stroke'}],
    marks: [
      {
        type: 'group',
        from: {facet: {name: 'curve', data: 'points', groupby: 'name'}},
        marks: [
          {
            type: 'line',
            from: {data: 'curve'},
            encode: {enter: {...encoding, strokeWidth: {value: 2}}},
          },
        ],
      },
    ],
  };
}

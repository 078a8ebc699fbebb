/** Writes the measured tables into the capacity page. @packageDocumentation */

import {CAPACITY_TABLES} from './capacity_tables.js';
import {StoredResults} from './results.js';

const MARKED = /(<!-- table: (\w+) -->\n)[\s\S]*?(<!-- end -->)/g;

/**
 * @param page - the page with its markers.
 * @param results - stored results of the benchmarks.
 * @returns the page with every table made anew.
 */
export function fillTables(page: string, results: StoredResults): string {
  return page.replace(MARKED, (unused, begin, name, end) => {
    const table = CAPACITY_TABLES[name as string];
    if (table === undefined) throw new Error(`no table ${name}`);
    return `${begin}\n${table(results)}\n\n${end}`;
  });
}

/** Fills the measured tables into the capacity page. @packageDocumentation */

import {CAPACITY_TABLES} from './capacity_tables.js';
import {StoredResults} from './results.js';

const MARKED = /(<!-- table: (\w+) -->\n)[\s\S]*?(<!-- end -->)/g;

/**
 * @param page - text of the page, with markers around each table.
 * @param results - stored results of the benchmarks.
 * @returns the page with all tables generated from the results.
 */
export function fillTables(page: string, results: StoredResults): string {
  return page.replace(MARKED, (unused, begin, name, end) => {
    const table = CAPACITY_TABLES[name as string];
    if (table === undefined)
      throw new Error(`the page names an unknown table ${name}`);
    return `${begin}\n${table(results)}\n\n${end}`;
  });
}

/** `npm run capacity`: rewrites the tables of docs/CAPACITY.md. @packageDocumentation */

import {readFile, writeFile} from 'node:fs/promises';
import {CAPACITY_PAGE, RESULTS_FOLDER} from './lib/capacity/paths.js';
import {fillTables} from './lib/capacity/capacity_page.js';
import {StoredResults} from './lib/capacity/results.js';

const results = await StoredResults.read(RESULTS_FOLDER);
const page = await readFile(CAPACITY_PAGE, 'utf8');
await writeFile(CAPACITY_PAGE, fillTables(page, results));

/** Paths of the capacity page and the stored results. @packageDocumentation */

import {fileURLToPath} from 'node:url';

/** Folder of the stored results. */
export const RESULTS_FOLDER = fileURLToPath(
  new URL('../../../results', import.meta.url),
);

/** The capacity page. */
export const CAPACITY_PAGE = fileURLToPath(
  new URL('../../../../../docs/CAPACITY.md', import.meta.url),
);

/** Entry point of `npm run docs`: writes the generated reference pages. @packageDocumentation */

import {mkdir, writeFile} from 'node:fs/promises';
import {dirname} from 'node:path';
import {metricsPage, metricsPagePath} from './lib/metrics_page.js';
import {settingsPage, settingsPagePath} from './lib/settings_page.js';

await mkdir(dirname(settingsPagePath()), {recursive: true});
await writeFile(settingsPagePath(), settingsPage());
await writeFile(metricsPagePath(), metricsPage());

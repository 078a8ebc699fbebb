/** `npm run docs`: writes the pages that are made from code. @packageDocumentation */

import {mkdir, writeFile} from 'node:fs/promises';
import {dirname} from 'node:path';
import {settingsPage, settingsPagePath} from './lib/settings_page.js';

const path = settingsPagePath();
await mkdir(dirname(path), {recursive: true});
await writeFile(path, settingsPage());

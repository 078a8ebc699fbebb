/** Worker process that generates load for a benchmark. @packageDocumentation */

import {Load, LoadJob, LoadResult} from './load.js';
import {serveJobs} from './worker_process.js';

serveJobs<LoadJob, LoadResult>(job => new Load(job).run());

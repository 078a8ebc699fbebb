/** Scripted session whose transcript is compared with a golden file. @packageDocumentation */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {formatDeclarations, runTool} from '@fuchsiacleat/cli';
import {RawObject} from '@fuchsiacleat/core';
import {request} from 'undici';
import {LocalCluster, OPERATOR_TOKEN} from './local_cluster.js';
import {SAMPLE_KEY, sampleDeclarations} from './sample_declarations.js';
import {normalizeLine, normalizeStatusRow} from './transcript.js';

const DRAINED_TOKENS = 20;
const AUTHOR = ['--author', 'operator'];

/** Path of the golden file. */
export const GOLDEN_FILE = fileURLToPath(
  new URL('../../golden/session.txt', import.meta.url),
);

/** Runs the steps of operators and callers and records their output. */
export class GoldenSession {
  private readonly lines: string[] = [];

  private constructor(
    private readonly cluster: LocalCluster,
    private readonly folder: string,
  ) {}

  /** @returns the normalized transcript of a whole session. */
  static async run(): Promise<string> {
    const folder = await mkdtemp(join(tmpdir(), 'fuchsiacleat-'));
    const cluster = await LocalCluster.start({
      hosts: [
        {name: 'a-1', zone: 'a'},
        {name: 'b-1', zone: 'b'},
      ],
      engines: [{name: 'pool-1', zone: 'a', tokenGapMs: 10}],
      services: [{name: 'registry-1', zone: 'a'}],
    });
    const session = new GoldenSession(cluster, folder);
    try {
      await session.runSteps();
    } finally {
      await cluster.kill();
      await rm(folder, {recursive: true});
    }
    return session.lines.join('\n') + '\n';
  }

  private async runSteps(): Promise<void> {
    const {cluster} = this;
    const objects = [
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: ['registry-1']}),
    ];
    await this.publishFirst(objects);
    await this.callAndStream();
    await this.showRefusals();
    await this.withdrawKey(objects);
    await this.drain();
    await this.stop();
  }

  private async publishFirst(objects: RawObject[]): Promise<void> {
    this.addTitle('Operators publish declarations.');
    await this.writeDeclarations([
      ...objects,
      {kind: 'rate', name: 'x', fields: {}},
    ]);
    await this.recordTool('a-1', 'check', this.folder);
    await this.writeDeclarations(objects);
    await this.recordTool('a-1', 'check', this.folder);
    await this.recordTool(
      'a-1',
      'publish',
      this.folder,
      '-m',
      'first',
      ...AUTHOR,
    );
    await this.cluster.awaitVersion(1);
    await this.cluster.awaitRemoteHosts();
    await this.cluster.awaitStatus(status => status.leaseHolder !== null);
    await this.recordTool('b-1', 'diff', this.folder);
    await this.recordTool('b-1', 'get', 'route');
    await this.recordStatus('b-1');
  }

  private async callAndStream(): Promise<void> {
    this.addTitle('Callers are served, at a host of either zone.');
    await this.chat('a-1', {max_tokens: 2});
    await this.chat('a-1', {max_tokens: 2, stream: true});
    await this.chat('b-1', {max_tokens: 1, model: 'draft-gujarati'});
    await this.call('a-1', 'POST', '/services/filing/cases?id=7', 'a filing');
  }

  private async showRefusals(): Promise<void> {
    this.addTitle('Callers are refused.');
    await this.chat('a-1', {model: 'none'});
    await this.chat('a-1', {max_tokens: 0});
    await this.call('a-1', 'GET', '/v1/models', undefined, 'fc-wrong');
  }

  private async withdrawKey(objects: RawObject[]): Promise<void> {
    this.addTitle('A key is withdrawn and granted again.');
    await this.writeDeclarations(objects.filter(({kind}) => kind !== 'key'));
    await this.recordTool('a-1', 'diff', this.folder);
    await this.recordTool(
      'a-1',
      'publish',
      this.folder,
      '-m',
      'withdraw',
      ...AUTHOR,
    );
    await this.cluster.awaitVersion(2);
    await this.chat('a-1', {});
    await this.chat('b-1', {stream: true});
    await this.recordTool('b-1', 'rollback', '1', ...AUTHOR);
    await this.cluster.awaitVersion(3);
    await this.chat('a-1', {max_tokens: 1});
    await this.recordTool('a-1', 'history');
  }

  private async drain(): Promise<void> {
    this.addTitle('A host is drained while it streams.');
    const caller = this.cluster.caller('a-1');
    const {whenStopped: done} = this.cluster.daemon('a-1');
    let resolveFirstToken = () => {};
    const firstToken = new Promise<void>(resolve => {
      resolveFirstToken = resolve;
    });
    const options = {
      maxTokens: DRAINED_TOKENS,
      onToken: () => resolveFirstToken(),
    };
    const streaming = caller.chat('hello', options);
    await firstToken;
    await this.recordTool('a-1', 'drain');
    const {end, text} = await streaming;
    const tokens = text.trim().split(' ').length;
    this.lines.push(`the running stream ended ${end}, ${tokens} tokens`);
    await done;
    const {end: later} = await caller.chat('hello');
    this.lines.push(`a later request ended ${later}`);
  }

  private async stop(): Promise<void> {
    this.addTitle('The last host stops.');
    const client = this.cluster.operator('b-1');
    await this.cluster.until(async () => {
      const hosts = await client.hosts();
      return hosts.isOk() && hosts.value.length === 1;
    });
    await this.recordStatus('b-1');
    await this.cluster.daemon('b-1').stop();
    await this.recordTool('b-1', 'get');
  }

  private addTitle(text: string): void {
    if (this.lines.length > 0) this.lines.push('');
    this.lines.push(`# ${text}`);
  }

  private writeDeclarations(objects: RawObject[]): Promise<void> {
    const text = formatDeclarations(0, objects);
    return writeFile(join(this.folder, 'all.ini'), text);
  }

  /** Runs the command-line tool against a host and records its output. */
  private async recordTool(host: string, ...args: string[]): Promise<void> {
    this.lines.push(
      '',
      this.normalize(`${host} $ fuchsiacleat ${args.join(' ')}`),
    );
    const output = await this.runTool(host, args);
    this.lines.push(...output.map(line => this.normalize(line)));
  }

  /** Records the status table without the values that differ between runs. */
  private async recordStatus(host: string): Promise<void> {
    this.lines.push('', `${host} $ fuchsiacleat status`);
    const rows = await this.runTool(host, ['status']);
    this.lines.push(...rows.map(normalizeStatusRow));
  }

  private async runTool(host: string, args: string[]): Promise<string[]> {
    const lines: string[] = [];
    const terminal = {
      out: (line: string) => void lines.push(...line.split('\n')),
      error: (line: string) => void lines.push(`! ${line}`),
    };
    const code = await runTool(args, terminal, {
      FUCHSIACLEAT_HOST: this.cluster.operatorUrl(host),
      FUCHSIACLEAT_TOKEN: OPERATOR_TOKEN,
    });
    return [...lines, `exit code ${code}`];
  }

  private chat(host: string, options: object): Promise<void> {
    const messages = [{role: 'user', content: 'Draft the summary.'}];
    const body = JSON.stringify({model: 'draft', messages, ...options});
    return this.call(host, 'POST', '/v1/chat/completions', body);
  }

  private async call(
    host: string,
    method: 'GET' | 'POST',
    path: string,
    body?: string,
    key = SAMPLE_KEY,
  ): Promise<void> {
    this.lines.push('', `${host} > ${method} ${path} ${body ?? ''}`.trimEnd());
    const res = await request(this.cluster.callerUrl(host) + path, {
      method,
      headers: {authorization: `Bearer ${key}`},
      body,
    });
    const outcome = res.headers['x-outcome'] ?? 'served';
    const text = (await res.body.text()).trimEnd();
    this.lines.push(`${host} < ${res.statusCode} ${String(outcome)}`);
    this.lines.push(...text.split('\n').map(line => this.normalize(line)));
  }

  private normalize(line: string): string {
    return normalizeLine(line.replaceAll(this.folder, 'DECLARATIONS'));
  }
}

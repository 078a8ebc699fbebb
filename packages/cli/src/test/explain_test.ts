import {readFile} from 'node:fs/promises';
import {Readable} from 'node:stream';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {EXIT_CODE} from '../index.js';
import {explain} from '../lib/commands/explain_command.js';
import {FakeTerminal} from './fake_terminal.js';

const PAGE = fileURLToPath(
  new URL('../../../../docs/OPERATIONS.md', import.meta.url),
);

/** An event line of the page: time, host and event, then fields. */
const EVENT_LINE = /^ {4}(\S+Z) {2}(\S+) {2}(\S+) {2}(.*)$/;
const CAUSE_LINE = /^ {4}(cause: .*)$/;
const UNQUOTED_DETAIL = /(detail)=([^=]*?)(?= \w+=|$)/;

async function run(id: string, lines: string[]) {
  const terminal = new FakeTerminal();
  const input = Readable.from([lines.join('\n')]);
  const code = await explain(id, [], terminal, input);
  return {code, output: terminal.output, errors: terminal.errors};
}

/** Returns the cause of each example on the page and the log lines for it. */
async function readExamples(): Promise<
  Array<{lines: string[]; cause: string}>
> {
  const examples: Array<{lines: string[]; cause: string}> = [];
  let lines: string[] = [];
  for (const text of (await readFile(PAGE, 'utf8')).split('\n')) {
    const eventMatch = EVENT_LINE.exec(text);
    if (eventMatch !== null) {
      const [, time, host, event, rest] = eventMatch;
      const fields = rest.replace(UNQUOTED_DETAIL, '$1="$2"');
      lines.push(
        `time=${time} level=info event=${event} host=${host} ${fields}`,
      );
    }
    const cause = CAUSE_LINE.exec(text);
    if (cause === null) continue;
    examples.push({lines, cause: cause[1]});
    lines = [];
  }
  return examples;
}

describe('explain', () => {
  it("prints the examples of the operators' page from their log lines", async () => {
    const all = await readExamples();
    expect(all).to.have.lengthOf(4);
    for (const {lines, cause} of all) {
      const end = lines.find(line => line.includes('event=request '))!;
      const id = / id=(\w+)/.exec(end)![1];
      const {code, output} = await run(id, [...lines].reverse());
      expect(code).to.equal(EXIT_CODE.ok);
      expect(output.at(-1)).to.equal(cause);
      expect(output).to.have.lengthOf(lines.length + 1);
    }
  });

  it('omits events of other hosts and other models', async () => {
    const time = (s: number) => `time=2026-01-01T00:00:0${s}.000Z`;
    const lines = [
      `${time(1)} event=target_gone host=a target=t1`,
      `${time(1)} event=target_gone host=b target=t2`,
      `${time(1)} event=target_came host=a target=t9`,
      `${time(2)} event=swap_started host=b model=m1 victims=m2 target=t3`,
      `${time(2)} event=swap_started host=b model=m5 victims=m6 target=t4`,
      `${time(3)} event=request host=a id=x outcome=refused reason=no-capacity model=m2`,
      'not a line of ours',
    ];
    const {output} = await run('x', lines);
    expect(output.join('\n')).to.not.include('t9');
    expect(output.join('\n')).to.include('target=t1').and.include('target=t3');
    expect(output.join('\n')).to.not.include('t2');
    expect(output.join('\n')).to.not.include('t4');
  });

  it('fails when no line names the request', async () => {
    const {code, errors} = await run('x', ['event=request id=y']);
    expect(code).to.equal(EXIT_CODE.failed);
    expect(errors).to.deep.equal(['no line names the request x']);
  });
});

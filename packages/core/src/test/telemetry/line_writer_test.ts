import {spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {LineWriter} from '../../lib/telemetry/line_writer.js';

const MODULE_URL = new URL(
  '../../lib/telemetry/line_writer.js',
  import.meta.url,
);

/** A device whose writes fail, as those to a file on a full disk. */
const FULL_DEVICE = '/dev/full';

/** More than a pipe that nobody reads takes. */
const UNREAD_BYTES = 2_000_000;

/** A pipe that is read only when `drain` is called. */
class UnreadPipe {
  writableLength = 0;
  text = '';

  write(text: string): boolean {
    this.writableLength += text.length;
    this.text += text;
    return false;
  }

  drain(): void {
    this.writableLength = 0;
    this.text = '';
  }
}

describe('LineWriter', () => {
  it('drops lines while nobody reads and then reports their number', () => {
    const pipe = new UnreadPipe();
    const lines = new LineWriter(pipe);
    const line = 'x'.repeat(999);
    for (let i = 0; i < 1_000; i++) lines.write(line);
    expect(pipe.writableLength).to.be.below(300 * 1024);
    const dropped = lines.droppedLines;
    expect(dropped).to.be.above(500);
    pipe.drain();
    lines.write('next');
    expect(pipe.text).to.equal(
      `level=warn event=log_lines_dropped count=${dropped}\nnext\n`,
    );
    expect(lines.droppedLines).to.equal(0);
  });

  it('does not end the process when its file cannot be written', async () => {
    const program =
      `import {LineWriter, openStdout} from '${MODULE_URL.href}';` +
      `new LineWriter(openStdout()).write('line');`;
    const full = openSync(FULL_DEVICE, 'w');
    const args = ['--input-type=module', '--eval', program];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', full, 'ignore'],
    });
    const code = await new Promise(resolve => child.on('exit', resolve));
    closeSync(full);
    expect(code).to.equal(0);
  });

  it('does not end the process when its pipe is full at the start and closed later', async () => {
    const program =
      `import {LineWriter, openStdout} from '${MODULE_URL.href}';` +
      `process.stdout.write('x'.repeat(${UNREAD_BYTES}));` +
      `const lines = new LineWriter(openStdout());` +
      `setInterval(() => lines.write('line'), 10);` +
      `setTimeout(() => process.exit(0), 600);`;
    const args = ['--input-type=module', '--eval', program];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    const ended = new Promise(resolve => child.on('exit', resolve));
    await sleep(300);
    child.stdout.destroy();
    expect(await ended).to.equal(0);
  });
});

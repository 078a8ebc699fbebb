import {expect} from 'chai';
import {LineWriter} from '../../lib/telemetry/line_writer.js';

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
});

import {expect} from 'chai';
import {TaskSupervisor} from '../../lib/tasks/task_supervisor.js';
import {LogFields, LogLevel, Logger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

class RecordingLogger extends Logger {
  readonly lines: LogFields[] = [];

  override log(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.lines.push({level, event, ...fields});
  }
}

function failing(): Promise<void> {
  return Promise.reject(new Error('broken'));
}

describe('TaskSupervisor', () => {
  let clock: ManualClock;
  let logger: RecordingLogger;
  let failed: string[];
  let tasks: TaskSupervisor;

  beforeEach(() => {
    clock = new ManualClock();
    logger = new RecordingLogger();
    failed = [];
    tasks = new TaskSupervisor(clock, logger, task => failed.push(task));
  });

  it('logs and counts a failure with what the work was about', async () => {
    await tasks.run('report', failing, {target: 'e1'});
    expect(failed).to.deep.equal(['report']);
    const [line] = logger.lines;
    expect(line).to.include({level: 'error', event: 'task_failed'});
    expect(line).to.include({task: 'report', target: 'e1', message: 'broken'});
    expect(line.stack).to.include('task_supervisor_test');
  });

  it('logs values that are thrown but no errors', async () => {
    await tasks.run('report', () => Promise.reject('text'));
    expect(logger.lines[0]).to.include({message: 'text'});
  });

  it('tells whether an attempt succeeded', () => {
    const fail = () => {
      throw new Error('broken');
    };
    expect(tasks.attempt('record', fail)).to.equal(false);
    expect(tasks.attempt('record', () => {})).to.equal(true);
    expect(failed).to.deep.equal(['record']);
  });

  it('limits the lines about a task and counts the omitted ones', async () => {
    for (let i = 0; i < 500; i++) {
      await tasks.run('report', failing);
      await clock.advance(10);
    }
    await tasks.run('plan', failing);
    expect(failed).to.have.lengthOf(501);
    expect(logger.lines).to.have.lengthOf(6);
    expect(logger.lines[1]).to.include({task: 'report', omitted: 99});
    expect(logger.lines[5]).to.include({task: 'plan', omitted: undefined});
  });

  it('runs a lasting task again after a failure, until it is stopped', async () => {
    const stop = new AbortController();
    let runs = 0;
    const ended = tasks.keepRunning('loop', stop.signal, async signal => {
      runs += 1;
      if (runs < 3) throw new Error('broken');
      await clock.sleep(Infinity, signal);
    });
    for (let i = 0; i < 100; i++) await clock.advance(50);
    expect(runs).to.equal(3);
    expect(failed).to.deep.equal(['loop', 'loop']);
    stop.abort();
    await ended;
  });

  it('stops the rest of a task that has failed before it runs it again', async () => {
    const stop = new AbortController();
    let loops = 0;
    const loop = async (signal: AbortSignal) => {
      loops += 1;
      await clock.sleep(Infinity, signal);
      loops -= 1;
    };
    let runs = 0;
    const work = (signal: AbortSignal) =>
      Promise.all([loop(signal), ++runs < 4 ? failing() : undefined]);
    void tasks.keepRunning('loop', stop.signal, async signal => {
      await work(signal);
    });
    for (let i = 0; i < 100; i++) await clock.advance(50);
    expect(runs).to.equal(4);
    expect(loops).to.equal(1);
    stop.abort();
  });

  it('does not run a task again that is done', async () => {
    let runs = 0;
    const {signal} = new AbortController();
    await tasks.keepRunning('task', signal, async () => void (runs += 1));
    expect(runs).to.equal(1);
  });
});

/** A worker as a process of its own; its parent directs it. @packageDocumentation */

import {FAULTY_ANSWER, PlatformWorkerStandin} from '@fuchsiacleat/standins';
import {
  COMMAND,
  PART_GAP_MS,
  PLAIN_PARTS,
  PROCESS_STREAM_EVENTS,
  WorkerCommand,
  WorkerEvent,
  WorkerProcessOptions,
  chooseFraming,
} from './worker_messages.js';

const options = JSON.parse(process.argv[2]) as WorkerProcessOptions;
let worker: PlatformWorkerStandin | undefined;
let isLeaving = false;

function tell(event: WorkerEvent): void {
  process.send!(event);
}

async function listen(port: number): Promise<void> {
  const {id, models, service} = options;
  worker = new PlatformWorkerStandin({id, service, zone: 'a', models});
  worker.streamEvents = PROCESS_STREAM_EVENTS;
  worker.plainParts = PLAIN_PARTS;
  worker.eventGapMs = PART_GAP_MS;
  worker.pieceOf = request => request;
  worker.framingOf = request => chooseFraming(options, request);
  worker.onRun = run =>
    tell({
      event: 'run',
      id: run.id,
      framing: chooseFraming(options, run.id),
      afterEvent: Number(run.headers['last-event-id'] ?? 0),
      isLeaving,
    });
  worker.onRunEnd = ({id: request}) => {
    tell({event: 'run-end', id: request, atMs: Date.now()});
    exitIfDone();
  };
  await worker.start(port);
  tell({
    event: 'listening',
    port: worker.port,
    ready: worker.registration(),
    draining: worker.registration('draining'),
  });
}

function exitIfDone(): void {
  if (!isLeaving || worker!.runningCount > 0) return;
  tell({event: 'exiting', atMs: Date.now()});
  process.exit(0);
}

function refuse(): typeof FAULTY_ANSWER.refuseFor {
  tell({event: 'refused'});
  return FAULTY_ANSWER.refuseFor;
}

process.on('disconnect', () => process.exit(0));
process.on('message', ({command, port = 0}: WorkerCommand) => {
  if (command === COMMAND.listen) void listen(port);
  if (command === COMMAND.fill) worker!.faultOf = refuse;
  if (command === COMMAND.accept) worker!.faultOf = () => undefined;
  if (command !== COMMAND.leave) return;
  isLeaving = true;
  worker!.stopListening();
  exitIfDone();
});

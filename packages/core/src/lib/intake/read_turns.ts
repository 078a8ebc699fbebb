/** Takes turns among connections that bring many small chunks. @packageDocumentation */

import {CallerMessage, HOLD} from './caller_message.js';

/**
 * Chunks of a request after which others have their turn. One read of 64 KiB
 * brings up to 11,000 chunks of a byte, which take some 10 ms; without turns, ten
 * connections held the event loop for 1.8 s.
 */
const CHUNKS_PER_TURN = 4_096;

/**
 * Lets one of the requests with many chunks be read in each turn of the event
 * loop, so that everything else goes on between them.
 */
class ReadTurns {
  private readonly queue = new Set<CallerMessage>();
  private isScheduled = false;

  /** Holds a request until it is its turn. */
  wait(req: CallerMessage): void {
    req.hold(HOLD.turn);
    this.queue.add(req);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      for (const req of this.queue) {
        this.queue.delete(req);
        req.release(HOLD.turn);
        break;
      }
      if (this.queue.size > 0) this.schedule();
    });
  }
}

/** The event loop is one for the process, and so are its turns. */
const turns = new ReadTurns();

/** Counts the chunks of one request. */
export class ChunkCounter {
  private chunks = 0;

  /** @param req - the request. */
  constructor(private readonly req: CallerMessage) {}

  /** Records a chunk; holds the request if others have their turn. */
  record(): void {
    this.chunks += 1;
    if (this.chunks < CHUNKS_PER_TURN) return;
    this.chunks = 0;
    turns.wait(this.req);
  }
}

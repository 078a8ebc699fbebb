/** Keeps faults of workers inside the length and the share that are allowed. */
export class FaultWindow {
  /**
   * @param lengthMs - length of the only time with faults.
   * @param maxShare - largest share of a worker's answers in that time.
   */
  constructor(lengthMs, maxShare) {
    this.lengthMs = lengthMs;
    this.maxShare = maxShare;
    this.endMs = -Infinity;
    this.workers = new Map();
    this.faults = 0;
  }

  /** Begins the time with faults. */
  open(workers) {
    this.endMs = performance.now() + this.lengthMs;
    for (const worker of workers)
      this.workers.set(worker, {before: worker.answers, faults: 0});
  }

  /** Returns whether a worker may answer with a fault now, and counts it. */
  take(worker) {
    const state = this.workers.get(worker);
    if (state === undefined || performance.now() >= this.endMs) return false;
    const answers = worker.answers - state.before;
    if (state.faults + 1 > answers * this.maxShare) return false;
    state.faults += 1;
    this.faults += 1;
    return true;
  }
}

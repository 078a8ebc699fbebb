/** Records decisions with the zone's members while the log is down. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';
import {MemberTable} from '../membership/member_table.js';
import {PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {
  DecisionJournal,
  DecisionRecord,
  NotRecorded,
  decisionRecordSchema,
} from './decision_journal.js';

/** How long the log is tried before the members are asked, in milliseconds. */
const LOG_BOUND_MS = 1_000;

/** How long the log is not tried first after it failed, in milliseconds. */
const LOG_DOWN_MS = 5_000;

const MEMBER_TIMEOUT_MS = 1_000;
const REWRITE_DELAY_MS = 5_000;
const MAX_NOTED = 10_000;

const notedSchema = z.object({noted: z.literal(true)});

/** A member keeps a decision until the log can take it. */
export const NOTE_DECISION: PeerMethod<
  DecisionRecord,
  z.output<typeof notedSchema>
> = {
  name: 'placement.note-decision',
  body: decisionRecordSchema,
  event: notedSchema,
};

/** What a {@link MemberDecisionJournal} works with. */
export interface MemberJournalOptions {
  /** Records on the log. */
  log: DecisionJournal;
  members: MemberTable;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  /** Whether the platform has removed a host for good. */
  isGone: (host: string) => boolean;
}

/**
 * Records on the log; while that is unreachable, with every other known
 * member of the zone, and on the log afterwards. These are the members whose
 * consent upholds the lease meanwhile, so whoever claims next has noted it.
 */
export class MemberDecisionJournal extends DecisionJournal {
  private readonly noted = new Map<string, DecisionRecord>();
  private logDownUntilMs = -Infinity;

  constructor(private readonly options: MemberJournalOptions) {
    super();
    options.network.serveUnary(NOTE_DECISION, record => {
      this.note(record);
      return {noted: true as const};
    });
  }

  /** Decisions that this host keeps for the log, oldest first. */
  get kept(): readonly DecisionRecord[] {
    return [...this.noted.values()];
  }

  override async record(
    record: DecisionRecord,
    signal: AbortSignal,
  ): Promise<Result<void, NotRecorded>> {
    const {clock, log} = this.options;
    if (clock.now() >= this.logDownUntilMs) {
      const recorded = await log.record(record, this.bounded(signal));
      if (recorded.isOk()) return recorded;
      this.logDownUntilMs = clock.now() + LOG_DOWN_MS;
    }
    const noted = await this.recordWithMembers(record, signal);
    if (noted.isErr()) return noted;
    this.note(record);
    void this.writeLater(record, signal);
    return ok(undefined);
  }

  private bounded(signal: AbortSignal): AbortSignal {
    const bound = new AbortController();
    this.options.clock.after(LOG_BOUND_MS, () => bound.abort());
    return AbortSignal.any([signal, bound.signal]);
  }

  private async recordWithMembers(
    record: DecisionRecord,
    signal: AbortSignal,
  ): Promise<Result<void, NotRecorded>> {
    const {members, network, isGone} = this.options;
    const others = members
      .known()
      .filter(({host}) => host !== network.self.host && !isGone(host));
    const timeoutMs = MEMBER_TIMEOUT_MS;
    const answers = await Promise.all(
      others.map(({host}) =>
        network.call(host, NOTE_DECISION, record, {timeoutMs, signal}),
      ),
    );
    if (answers.every(answer => answer.isOk())) return ok(undefined);
    const message = 'neither the log nor every member took the decision';
    return err({type: 'not-recorded', message});
  }

  /** Writes a decision to the log once it is back. */
  private async writeLater(
    record: DecisionRecord,
    signal: AbortSignal,
  ): Promise<void> {
    const {log, clock, logger} = this.options;
    while (!signal.aborted) {
      const recorded = await log.record(record, signal);
      if (recorded.isOk()) {
        this.noted.delete(record.decision.id);
        logger.info('decision_written_later', {id: record.decision.id});
        return;
      }
      await clock.sleep(REWRITE_DELAY_MS, signal);
    }
  }

  private note(record: DecisionRecord): void {
    this.noted.set(record.decision.id, record);
    if (this.noted.size <= MAX_NOTED) return;
    const [oldest] = this.noted.keys();
    this.noted.delete(oldest);
  }
}

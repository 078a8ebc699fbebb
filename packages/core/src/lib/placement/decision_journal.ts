/** Durable record of decisions, written before their orders are sent. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';
import {ZoneRecordType, ZoneRecordWriter} from '../membership/zone_stream.js';
import {decisionSchema} from './decision.js';

/** Time limit for appending a record, in milliseconds. */
const RECORD_TIMEOUT_MS = 5_000;

/** Schema of a {@link DecisionRecord}. */
export const decisionRecordSchema = z.object({
  /** Fencing number of the lease under which the decision was made. */
  fencing: z.number().int(),
  decision: decisionSchema,
});

/** A decision with the fencing number under which it was made. */
export type DecisionRecord = z.output<typeof decisionRecordSchema>;

/** Type of decision records on the zone's stream. */
export const DECISION: ZoneRecordType<DecisionRecord> = {
  type: 'replica-decision',
  body: decisionRecordSchema,
};

/** The decision may not have been recorded, so its orders must not be sent. */
export interface NotRecorded {
  type: 'not-recorded';
  message: string;
}

/**
 * Records decisions so that they survive the loss of the host that made them.
 */
export abstract class DecisionJournal {
  /**
   * Records a decision.
   *
   * @param record - the decision and its fencing number.
   * @param signal - cancels the attempt.
   * @returns nothing once the record is durable, or an error if it may not be.
   */
  abstract record(
    record: DecisionRecord,
    signal: AbortSignal,
  ): Promise<Result<void, NotRecorded>>;
}

/** Records decisions on the zone's stream of the platform's log. */
export class ZoneDecisionJournal extends DecisionJournal {
  /**
   * Creates a journal.
   *
   * @param stream - writer of the zone's stream.
   * @param boundMs - time limit for an append, in milliseconds.
   */
  constructor(
    private readonly stream: ZoneRecordWriter,
    private readonly boundMs = RECORD_TIMEOUT_MS,
  ) {
    super();
  }

  override async record(
    record: DecisionRecord,
    signal: AbortSignal,
  ): Promise<Result<void, NotRecorded>> {
    const {stream, boundMs} = this;
    const appended = await stream.append(DECISION, record, boundMs, signal);
    if (appended.isOk()) return ok(undefined);
    return err({type: 'not-recorded', message: appended.error.message});
  }
}

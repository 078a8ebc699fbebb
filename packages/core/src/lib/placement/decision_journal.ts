/** Where decisions are recorded before their orders are given. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';
import {ZoneRecordType, ZoneRecordWriter} from '../membership/zone_stream.js';
import {decisionSchema} from './decision.js';

/** How long a record may take, in milliseconds. */
const RECORD_BOUND_MS = 5_000;

/** See {@link DecisionRecord}. */
export const decisionRecordSchema = z.object({
  /** Fencing number of the lease under which it was decided. */
  fencing: z.number().int(),
  decision: decisionSchema,
});

/** A decision with the authority under which it was made. */
export type DecisionRecord = z.output<typeof decisionRecordSchema>;

/** A decision on the stream of its zone. */
export const DECISION: ZoneRecordType<DecisionRecord> = {
  type: 'replica-decision',
  body: decisionRecordSchema,
};

/** A decision may not have been recorded, so its orders must not be given. */
export interface NotRecorded {
  type: 'not-recorded';
  message: string;
}

/** Records decisions so that they outlast the host that made them. */
export abstract class DecisionJournal {
  /**
   * @param record - the decision and its authority.
   * @param signal - gives up.
   * @returns nothing once the record stands, or that this is not known.
   */
  abstract record(
    record: DecisionRecord,
    signal: AbortSignal,
  ): Promise<Result<void, NotRecorded>>;
}

/** Records decisions on the zone's stream of the platform's log. */
export class ZoneDecisionJournal extends DecisionJournal {
  /**
   * @param stream - the zone's stream, or what stands in for it.
   * @param boundMs - how long to try, in milliseconds.
   */
  constructor(
    private readonly stream: ZoneRecordWriter,
    private readonly boundMs = RECORD_BOUND_MS,
  ) {
    super();
  }

  override async record(
    record: DecisionRecord,
    signal: AbortSignal,
  ): Promise<Result<void, NotRecorded>> {
    const {stream, boundMs} = this;
    const stored = await stream.append(DECISION, record, boundMs, signal);
    if (stored.isOk()) return ok(undefined);
    return err({type: 'not-recorded', message: stored.error.message});
  }
}

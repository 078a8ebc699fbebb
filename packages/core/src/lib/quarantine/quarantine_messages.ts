/** Messages between hosts about prompt parts. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';
import {PartState, partStateSchema} from './part_record.js';
import {TargetEnd, targetEndSchema} from './target_end.js';
import {Trial, trialSchema} from './trial.js';

/** Reports the end of a process to the deciding host. */
export const REPORT_END: PeerMethod<TargetEnd, never> = {
  name: 'quarantine-end',
  body: targetEndSchema,
  event: z.never(),
};

const answerSchema = z.object({
  part: z.string(),
  /** Time since the target began the answer, in milliseconds. */
  begunAgoMs: z.number(),
});

/** Reports an answer to a request with a listed part to the deciding host. */
export const REPORT_ANSWER: PeerMethod<z.output<typeof answerSchema>, never> = {
  name: 'quarantine-answer',
  body: answerSchema,
  event: z.never(),
};

const startedSchema = z.object({
  /** The suspect parts; unset if the request may not be sent now. */
  tried: z.array(z.string()).optional(),
});

/** Asks the deciding host for the trial of a request's suspect parts. */
export const START_TRIAL: PeerMethod<Trial, z.output<typeof startedSchema>> = {
  name: 'quarantine-start-trial',
  body: trialSchema,
  event: startedSchema,
};

/** Ends a trial, whatever its result. */
export const END_TRIAL: PeerMethod<Trial, never> = {
  name: 'quarantine-end-trial',
  body: trialSchema,
  event: z.never(),
};

const statesSchema = z.object({states: z.array(partStateSchema)});

/** States of prompt parts. */
export interface PartStates {
  states: PartState[];
}

/**
 * Sends the deciding host the evidence of this host, and returns the states of
 * all parts.
 */
export const EXCHANGE_STATES: PeerMethod<PartStates, PartStates> = {
  name: 'quarantine-exchange',
  body: statesSchema,
  event: statesSchema,
};

const changesSchema = statesSchema.extend({
  /** Whether the states are those of all parts that are not clear. */
  isComplete: z.boolean(),
});

/** Sends the decisions of the deciding host to another host. */
export const PUBLISH_STATES: PeerMethod<
  z.output<typeof changesSchema>,
  never
> = {
  name: 'quarantine-states',
  body: changesSchema,
  event: z.never(),
};

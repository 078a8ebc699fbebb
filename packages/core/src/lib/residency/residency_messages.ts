/** What hosts tell each other about models and rates. @packageDocumentation */

import {z} from 'zod';
import {NOT_RUN} from '../gateway/target_port.js';
import {Loan, LoanRequest} from '../gateway/team_quotas.js';
import {PeerMethod} from '../peers/peer_network.js';

const findSchema = z.object({
  service: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  /** Time left to the latency objective; negative once it has passed. */
  objectiveInMs: z.number(),
  /** Time left until the caller gives up. */
  giveUpInMs: z.number(),
  tried: z.array(z.string()),
});

/** Asks the lease holder for a target that holds a model. */
export type FindBody = z.output<typeof findSchema>;

const foundSchema = z.object({
  /** Id of the target; unset if there will be none in time. */
  target: z.string().optional(),
  retryAfterMs: z.number(),
  /** Whether asking again before then is in vain. */
  isFinal: z.boolean(),
});

/** See {@link FIND_TARGET}. */
export type FoundBody = z.output<typeof foundSchema>;

/** A host asks the lease holder where a request can run. */
export const FIND_TARGET: PeerMethod<FindBody, FoundBody> = {
  name: 'residency-find',
  body: findSchema,
  event: foundSchema,
};

const refusedSchema = z.object({
  target: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  reason: z.enum(NOT_RUN),
});

/** A target did not run a request that it should be able to run. */
export const TARGET_REFUSED: PeerMethod<
  z.output<typeof refusedSchema>,
  never
> = {
  name: 'residency-refused',
  body: refusedSchema,
  event: z.never(),
};

const usageSchema = z.object({
  /** Tokens that each team used in the last window; told to a new holder. */
  usedTokens: z.array(z.tuple([z.string(), z.number()])).optional(),
  /** How late the host comes as a successor of the lease holder. */
  successorRankMs: z.number(),
  inFlight: z.array(z.tuple([z.string(), z.string(), z.number()])),
  demand: z
    .array(
      z.object({
        service: z.string(),
        model: z.string(),
        perSecond: z.number(),
        adapterPerSecond: z.number(),
        objectiveMs: z.number(),
      }),
    )
    .optional(),
});

/** See {@link HOST_USAGE}. */
export type UsageBody = z.output<typeof usageSchema>;

/** A host tells the lease holder what its requests use. */
export const HOST_USAGE: PeerMethod<UsageBody, never> = {
  name: 'residency-usage',
  body: usageSchema,
  event: z.never(),
};

const targetViewSchema = z.object({
  id: z.string(),
  /** Models that take requests, each with its adapters. */
  held: z.array(z.tuple([z.string(), z.array(z.string())])),
});

/** What requests may be sent to a target. */
export type TargetView = z.output<typeof targetViewSchema>;

const viewSchema = z.object({
  /** Incarnation of the lease holder. */
  holder: z.string(),
  /** Offset after the newest record of its lease. */
  leaseEnd: z.number(),
  targets: z.array(targetViewSchema),
  /** Targets that fill up, with their requests as a share of their slots. */
  crowded: z.array(z.tuple([z.string(), z.number()])),
  /** Hosts that the holder hears, itself included. */
  hosts: z.number(),
});

/** See {@link RESIDENCY_VIEW}. */
export type ViewBody = z.output<typeof viewSchema>;

/** The lease holder tells a host what the targets hold. */
export const RESIDENCY_VIEW: PeerMethod<ViewBody, never> = {
  name: 'residency-view',
  body: viewSchema,
  event: z.never(),
};

const resignedSchema = z.object({
  /** Fencing number of the lease that was given up. */
  fencing: z.number(),
  /** Offset after its newest record, as far as the holder knows. */
  leaseEnd: z.number(),
  /** Host that should claim it; unset if none was heard. */
  successor: z.string().optional(),
});

/** See {@link LEASE_RESIGNED}. */
export type ResignedBody = z.output<typeof resignedSchema>;

/** The lease holder tells a host that it gave the lease up. */
export const LEASE_RESIGNED: PeerMethod<ResignedBody, never> = {
  name: 'lease-resigned',
  body: resignedSchema,
  event: z.never(),
};

const loanRequestSchema = z.object({
  team: z.string(),
  neededTokens: z.number(),
  wantedTokens: z.number(),
});

const loanSchema = z.object({tokens: z.number(), waitMs: z.number()});

/** A host borrows tokens of a team from the lease holder. */
export const BORROW_TOKENS: PeerMethod<LoanRequest, Loan> = {
  name: 'tokens-borrow',
  body: loanRequestSchema,
  event: loanSchema,
};

/** Messages between hosts about models and rates. @packageDocumentation */

import {z} from 'zod';
import {NOT_RUN} from '../gateway/target_port.js';
import {Loan, LoanRequest} from '../gateway/team_quotas.js';
import {pathReportSchema} from '../paths/path_messages.js';
import {PeerMethod} from '../peers/peer_network.js';
import {workEntrySchema} from '../work/work_messages.js';

const findSchema = z.object({
  service: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  /** Time left to the latency objective; negative once it has passed. */
  objectiveInMs: z.number(),
  /** Time left until the caller no longer waits. */
  giveUpInMs: z.number(),
  tried: z.array(z.string()),
  /** Software version of the targets that may be used, if not all may. */
  softwareVersion: z.string().optional(),
});

/** Body of {@link FIND_TARGET}. */
export type FindBody = z.output<typeof findSchema>;

const foundSchema = z.object({
  /** Id of the target; unset if none will hold the model in time. */
  target: z.string().optional(),
  retryAfterMs: z.number(),
  /** Whether a retry before then cannot succeed. */
  isFinal: z.boolean(),
});

/** Answer of {@link FIND_TARGET}. */
export type FoundBody = z.output<typeof foundSchema>;

/** Asks the lease holder for a target that holds a model. */
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

/** Reports a request that a target should have run but did not run. */
export const TARGET_REFUSED: PeerMethod<
  z.output<typeof refusedSchema>,
  never
> = {
  name: 'residency-refused',
  body: refusedSchema,
  event: z.never(),
};

const usageSchema = z.object({
  /** Tokens that each team used in the last window; sent to a new holder. */
  usedTokens: z.array(z.tuple([z.string(), z.number()])).optional(),
  /** Rank of the host as a successor of the holder; the lowest is best. */
  successorRankMs: z.number(),
  inFlight: z.array(z.tuple([z.string(), z.string(), z.number()])),
  /** Work and pace of targets; unset if there is none to report. */
  work: z
    .object({entries: z.array(workEntrySchema), isFull: z.boolean()})
    .optional(),
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
  /** Unset if it was sent lately, and from older hosts. */
  path: pathReportSchema.optional(),
});

/** Body of {@link HOST_USAGE}. */
export type UsageBody = z.output<typeof usageSchema>;

/** Reports a host's requests in flight and demand to the lease holder. */
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

/** Models and adapters of a target that take requests. */
export type TargetModelsView = z.output<typeof targetViewSchema>;

const viewSchema = z.object({
  /** Incarnation of the lease holder. */
  holder: z.string(),
  /** Offset after the newest record of its lease. */
  leaseEnd: z.number(),
  /** Fencing number of the lease; missing in messages of an earlier release. */
  fencing: z.number().optional(),
  targets: z.array(targetViewSchema),
  /** Targets that fill up, with their requests as a fraction of their slots. */
  crowded: z.array(z.tuple([z.string(), z.number()])),
  /** Work of all hosts at targets where it has changed. */
  work: z.array(workEntrySchema).optional(),
  /** Number of hosts that report to the holder, itself included. */
  hosts: z.number(),
});

/** Body of {@link RESIDENCY_VIEW}. */
export type ViewBody = z.output<typeof viewSchema>;

/** Sends a host the models that targets hold, from the lease holder. */
export const RESIDENCY_VIEW: PeerMethod<ViewBody, never> = {
  name: 'residency-view',
  body: viewSchema,
  event: z.never(),
};

const resignedSchema = z.object({
  /** Fencing number of the lease that ended. */
  fencing: z.number(),
  /** Offset after its newest record, as far as the holder knows. */
  leaseEnd: z.number(),
  /** Host that should claim the lease; unset if none reported lately. */
  successor: z.string().optional(),
});

/** Body of {@link LEASE_RESIGNED}. */
export type ResignedBody = z.output<typeof resignedSchema>;

/** Notifies a host that the lease holder resigned before the lease expired. */
export const LEASE_RESIGNED: PeerMethod<ResignedBody, never> = {
  name: 'lease-resigned',
  body: resignedSchema,
  event: z.never(),
};

const turnRequestSchema = z.object({
  id: z.string(),
  content: z.string(),
  urgency: z.number(),
  objectiveInMs: z.number(),
  deadlineInMs: z.number(),
  waitedMs: z.number(),
  canWait: z.boolean(),
});

const loanRequestSchema = z.object({
  team: z.string(),
  neededTokens: z.number(),
  wantedTokens: z.number(),
  /** Unset for requests that do not wait, and from older hosts. */
  turn: turnRequestSchema.optional(),
});

const loanSchema = z.object({
  tokens: z.number(),
  waitMs: z.number(),
  /** Unset if no turn was asked for, and from older hosts. */
  isRefused: z.boolean().optional(),
});

/** Borrows tokens of a team from the lease holder. */
export const BORROW_TOKENS: PeerMethod<LoanRequest, Loan> = {
  name: 'tokens-borrow',
  body: loanRequestSchema,
  event: loanSchema,
};

/** Messages between hosts about the paths to targets. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';

/** What a host has seen when it connected to a target directly. */
export const PATH_REPLY = {
  /** The target has accepted the connection. */
  listening: 'listening',
  /** The target has refused the connection. */
  refused: 'refused',
  /** No reply arrived in time. */
  silent: 'silent',
  /** The host did not check the target. */
  unchecked: 'unchecked',
  /** The host has lost its own paths. */
  noPath: 'no-path',
} as const;

/** One of {@link PATH_REPLY}. */
export type PathReply = (typeof PATH_REPLY)[keyof typeof PATH_REPLY];

const checkSchema = z.object({
  /** Id of the target. */
  target: z.string(),
});

const checkedSchema = z.object({reply: z.enum(PATH_REPLY)});

/** Asks a host whether it can connect to a target directly. */
export const PATH_CHECK: PeerMethod<
  z.output<typeof checkSchema>,
  z.output<typeof checkedSchema>
> = {name: 'path-check', body: checkSchema, event: checkedSchema};

/** What a host reports about its paths to the holder of the order lease. */
export const pathReportSchema = z.object({
  /** Availability zone of the host. */
  zone: z.string(),
  /** IP address and port of the host's tunnels. */
  tunnel: z.string(),
  /** Whether the host reaches the targets directly. */
  isSound: z.boolean(),
  /** Whether the host is shutting down. */
  isStopping: z.boolean(),
  /** Open tunnels as a fraction of those that the host allows. */
  load: z.number(),
});

/** See {@link pathReportSchema}. */
export type PathReport = z.output<typeof pathReportSchema>;

const helperSchema = z.object({
  host: z.string(),
  zone: z.string(),
  /** IP address and port. */
  tunnel: z.string(),
  /** Open tunnels as a fraction of those that the host allows. */
  load: z.number(),
});

/** A host that can connect other hosts to targets. */
export type HelperHost = z.output<typeof helperSchema>;

const helpersSchema = z.object({hosts: z.array(helperSchema)});

const helpersRequestSchema = z.object({
  /** Availability zone of the host that asks. */
  zone: z.string(),
});

/** Asks the holder of the order lease for helper hosts. */
export const HELPER_HOSTS: PeerMethod<
  z.output<typeof helpersRequestSchema>,
  z.output<typeof helpersSchema>
> = {name: 'helper-hosts', body: helpersRequestSchema, event: helpersSchema};

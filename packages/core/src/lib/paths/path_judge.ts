/** Tells a lost path from a failed target. @packageDocumentation */

import {KnownTarget} from '../gateway/target_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {DirectChecks} from './direct_checks.js';
import {HelperChoice, KnownHelper} from './helper_choice.js';
import {HelperDirectory} from './helper_directory.js';
import {PATH_CHECK, PATH_REPLY, PathReply} from './path_messages.js';
import {PATH_VERDICT, PathVerdict} from './path_view.js';

/** Helpers that are asked at the same time, and rounds of asking. */
const HELPERS_PER_ROUND = 2;
const MAX_ROUNDS = 2;

/** Age up to which the helpers are known well enough for a suspicion. */
const MAX_LIST_AGE_MS = 1_000;

/** Timeout of a question: the helper's own check takes 150 ms at most. */
const ASK_TIMEOUT_MS = 300;

/** Result of a comparison. */
export interface Judgement {
  verdict: PathVerdict;
  /** Whether direct connections got no reply, rather than a refusal. */
  isSilent: boolean;
}

/** Dependencies of a {@link PathJudge}. */
export interface PathJudgeParts {
  tasks: TaskSupervisor;
  network: PeerNetwork;
  checks: DirectChecks;
  choice: HelperChoice;
  directory: HelperDirectory;
  /** Ends all questions. */
  signal: AbortSignal;
}

/**
 * Compares a direct connection of this host with one of other hosts at the same
 * time. Only the difference shows that a path is lost.
 */
export class PathJudge {
  /** @param parts - see {@link PathJudgeParts}. */
  constructor(private readonly parts: PathJudgeParts) {}

  /**
   * Judges the path to a target.
   *
   * @param target - the target.
   * @param hasConnected - returns whether a direct connection has been
   *     established since the call.
   */
  async judge(
    target: KnownTarget,
    hasConnected: () => boolean,
  ): Promise<Judgement> {
    const {checks, choice, directory, signal, tasks} = this.parts;
    const refreshed = tasks.run('helper_refresh', () =>
      directory.refresh(signal, MAX_LIST_AGE_MS),
    );
    const first = await checks.check(target);
    if (first === PATH_REPLY.listening)
      return {verdict: PATH_VERDICT.sound, isSilent: false};
    if (!choice.hasUsable) await refreshed;
    // Repeated, as a single packet may be lost on a sound path.
    const [second, control] = await Promise.all([
      checks.check(target),
      this.askHelpers(target),
    ]);
    const isSilent = second === PATH_REPLY.silent;
    const isSound = second === PATH_REPLY.listening || hasConnected();
    const verdict = isSound ? PATH_VERDICT.sound : verdictOf(control);
    return {verdict, isSilent};
  }

  /**
   * Asks helpers whether they reach a target.
   *
   * @returns the reply that says most; `unchecked` if there is none.
   */
  async askHelpers(target: KnownTarget): Promise<PathReply> {
    const asked = new Set<string>();
    for (let round = 0; round < MAX_ROUNDS; round++) {
      const helpers = this.parts.choice.forChecks(HELPERS_PER_ROUND, asked);
      if (helpers.length === 0) break;
      for (const {host} of helpers) asked.add(host);
      const reply = await this.askAll(helpers, target);
      if (reply !== PATH_REPLY.unchecked) return reply;
    }
    return PATH_REPLY.unchecked;
  }

  /** Resolves at the first reply of a target that listens, else after all. */
  private askAll(
    helpers: readonly KnownHelper[],
    target: KnownTarget,
  ): Promise<PathReply> {
    return new Promise((resolve, reject) => {
      const ask = async (helper: KnownHelper) => {
        const reply = await this.ask(helper, target);
        if (reply === PATH_REPLY.listening) resolve(reply);
        return reply;
      };
      Promise.all(helpers.map(ask)).then(
        replies => resolve(summaryOf(replies)),
        reject,
      );
    });
  }

  private async ask(
    {host}: KnownHelper,
    target: KnownTarget,
  ): Promise<PathReply> {
    const {choice, network, signal} = this.parts;
    const body = {target: target.registration.id};
    const answer = await network.call(host, PATH_CHECK, body, {
      timeoutMs: ASK_TIMEOUT_MS,
      signal,
    });
    const reply = answer.isOk() ? answer.value.reply : PATH_REPLY.unchecked;
    if (answer.isErr()) choice.recordFailure(host, true, answer.error.type);
    if (reply !== PATH_REPLY.noPath) return reply;
    choice.recordFailure(host, true, reply);
    return PATH_REPLY.unchecked;
  }
}

/** Returns what the replies of helpers that do not reach a target show. */
function summaryOf(replies: readonly PathReply[]): PathReply {
  const known = replies.filter(reply => reply !== PATH_REPLY.unchecked);
  if (known.length === 0) return PATH_REPLY.unchecked;
  const isRefused = known.every(reply => reply === PATH_REPLY.refused);
  return isRefused ? PATH_REPLY.refused : PATH_REPLY.silent;
}

function verdictOf(control: PathReply): PathVerdict {
  switch (control) {
    case PATH_REPLY.listening:
      return PATH_VERDICT.lost;
    case PATH_REPLY.refused:
      return PATH_VERDICT.targetEnded;
    case PATH_REPLY.silent:
      return PATH_VERDICT.targetSilent;
    default:
      return PATH_VERDICT.unknown;
  }
}

/** Checks whether targets accept direct connections. @packageDocumentation */

import {KnownTarget} from '../gateway/target_table.js';
import {PATH_REPLY, PathReply} from './path_messages.js';

/** Most checks of one call at the same time. */
const MAX_PARALLEL_CHECKS = 32;

/** Connects to targets without sending anything. */
export class DirectChecks {
  private readonly running = new Map<string, Promise<PathReply>>();

  /**
   * @param isListening - checks whether a target accepts connections; undefined
   *     if it did not reply in time.
   * @param onCheck - called for each check, which is a connection of its own.
   */
  constructor(
    private readonly isListening: (
      target: KnownTarget,
    ) => Promise<boolean | undefined>,
    private readonly onCheck: () => void = () => {},
  ) {}

  /** Checks a target; calls at the same time share one check. */
  check(target: KnownTarget): Promise<PathReply> {
    const {address} = target.registration;
    let reply = this.running.get(address);
    if (reply === undefined) {
      reply = this.checkOnce(target).finally(() =>
        this.running.delete(address),
      );
      this.running.set(address, reply);
    }
    return reply;
  }

  /** Checks targets, some at a time. */
  async checkAll(
    targets: readonly KnownTarget[],
  ): Promise<Map<KnownTarget, PathReply>> {
    const replies = new Map<KnownTarget, PathReply>();
    const next = targets.values();
    const checkNext = async () => {
      for (const target of next) replies.set(target, await this.check(target));
    };
    await Promise.all(Array.from({length: MAX_PARALLEL_CHECKS}, checkNext));
    return replies;
  }

  private async checkOnce(target: KnownTarget): Promise<PathReply> {
    if (target.isEvacuated) return PATH_REPLY.unchecked;
    this.onCheck();
    const isListening = await this.isListening(target);
    if (isListening === undefined) return PATH_REPLY.silent;
    return isListening ? PATH_REPLY.listening : PATH_REPLY.refused;
  }
}

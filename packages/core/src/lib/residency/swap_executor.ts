/** Carries out swaps and adapter loads. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {AdapterSwap} from './adapter_choice.js';
import {ResidencyOrders} from './order_sender.js';
import {ResidencyAccount, UNTRIED_MS} from './residency_account.js';
import {Swap} from './swap_choice.js';

/** Pause after an unload, during which the target drops the weights. */
const UNLOAD_PAUSE_MS = 52;

/** Time that a load may take longer than the configuration says. */
const LOAD_MARGIN_MS = 20;

/** Time between looks at a load that should have ended, and their number. */
const LOAD_LOOK_MS = 300;
const MAX_LOAD_LOOKS = 40;

/** Time until an adapter can be used after its load was accepted. */
const ADAPTER_LOAD_MS = 9;

/** What a {@link SwapExecutor} works with. */
export interface SwapExecutorParts {
  clock: Clock;
  logger: Logger;
  orders: ResidencyOrders;
  /** Tells the hosts what a target can be sent. */
  publish: (account: ResidencyAccount) => void;
}

/**
 * Turns decisions into orders, and keeps the accounts in step with them: hosts
 * hear that a model leaves before its unload is ordered, and that one is there
 * only once it can take requests.
 */
export class SwapExecutor {
  /** @param parts - see {@link SwapExecutorParts}. */
  constructor(private readonly parts: SwapExecutorParts) {}

  /**
   * Exchanges models on a target.
   *
   * @param swap - what to exchange.
   * @param signal - gives up.
   * @returns once the target takes orders for models again, the time that a
   *     load from the weight store took, if it is known.
   */
  async carryOut(swap: Swap, signal: AbortSignal): Promise<number | undefined> {
    const {account, model} = swap;
    // The target will have the weights on its disk once it has loaded them.
    const {loadMs} = account.loadOf(model);
    let loadedMs: number | undefined;
    account.isBusy = true;
    account.coming = model;
    account.busyUntilMs = this.parts.clock.now() + swap.readyInMs;
    account.readsStore = swap.fromStore;
    for (const victim of swap.victims) {
      account.residents.get(victim)!.isLeaving = true;
    }
    if (swap.victims.length > 0) this.parts.publish(account);
    const {reportCount} = account;
    const started = await account.inTurn(async () => {
      const isOutdated = account.reportCount !== reportCount;
      return isOutdated ? false : this.exchange(swap, signal);
    });
    account.coming = undefined;
    this.parts.publish(account);
    if (started) {
      const resident = account.residents.get(model);
      const leftMs = (resident?.readyMs ?? 0) - this.parts.clock.now();
      await this.parts.clock.sleep(leftMs, signal);
      this.parts.publish(account);
      void this.publishProven(account, signal);
      if (swap.fromStore) {
        const beganMs = (resident?.readyMs ?? 0) - loadMs - LOAD_MARGIN_MS;
        loadedMs = await this.watchLoad(account, beganMs, signal);
      }
    }
    this.parts.logger.info('swap_ended', {
      target: account.id,
      model,
      victims: swap.victims.join(','),
      loaded: started,
    });
    account.isBusy = false;
    account.readsStore = false;
    return loadedMs;
  }

  /** Tells the hosts of a model that nobody has asked for since its load. */
  private async publishProven(
    account: ResidencyAccount,
    signal: AbortSignal,
  ): Promise<void> {
    await this.parts.clock.sleep(UNTRIED_MS, signal);
    this.parts.publish(account);
  }

  /**
   * Waits until a target has ended a load from the weight store, which takes
   * longer than expected while many are under way.
   *
   * @returns how long the load took; undefined if the target does not say.
   */
  private async watchLoad(
    account: ResidencyAccount,
    beganMs: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const {clock, orders} = this.parts;
    for (let i = 0; i < MAX_LOAD_LOOKS && !signal.aborted; i++) {
      const isBusy = await orders.isBusy(account, signal);
      if (isBusy === undefined) return undefined;
      if (!isBusy) return clock.now() - beganMs;
      await clock.sleep(LOAD_LOOK_MS, signal);
    }
    return undefined;
  }

  /** Unloads the victims and starts the load, while nothing else is ordered. */
  private async exchange(swap: Swap, signal: AbortSignal): Promise<boolean> {
    const {clock, orders} = this.parts;
    const {account, model} = swap;
    for (const victim of swap.victims) {
      const order = {
        verb: 'unload',
        model: victim,
        adapter: undefined,
      } as const;
      const isGone = await orders.send(account, order, signal);
      if (!isGone) return this.takeBack(swap);
      account.residents.delete(victim);
    }
    if (swap.victims.length > 0) {
      await clock.sleep(UNLOAD_PAUSE_MS, signal);
    }
    const {loadMs} = account.loadOf(model);
    const weightsMb = account.engine.models.get(model)!.weightsMb;
    if (account.usedMb + weightsMb > account.engine.weightsMb) return false;
    const resident = account.addResident(model, [], Infinity);
    const order = {verb: 'load', model, adapter: undefined} as const;
    const isAccepted = await orders.send(account, order, signal);
    if (!isAccepted) {
      if (!account.needsReport) account.residents.delete(model);
      return false;
    }
    account.noteLate(model);
    resident.readyMs = clock.now() + loadMs + LOAD_MARGIN_MS;
    resident.usedMs = resident.readyMs;
    account.busyUntilMs = resident.readyMs;
    return true;
  }

  private takeBack({account, victims}: Swap): false {
    for (const victim of victims) {
      const resident = account.residents.get(victim);
      if (resident !== undefined) resident.isLeaving = false;
    }
    return false;
  }

  /**
   * Loads an adapter, in the place of another if need be.
   *
   * @param swap - what to load.
   * @param signal - gives up.
   * @returns once the adapter can be used, or its load has failed.
   */
  async loadAdapter(swap: AdapterSwap, signal: AbortSignal): Promise<void> {
    const {clock, orders, publish} = this.parts;
    const {account, model, adapter, victim} = swap;
    const resident = account.residents.get(model)!;
    const leaving =
      victim &&
      account.residents.get(victim.model)?.adapters.get(victim.adapter);
    if (leaving !== undefined) leaving.isLeaving = true;
    account.addAdapter(model, adapter, Infinity);
    if (victim !== undefined) publish(account);
    const {reportCount} = account;
    await account.inTurn(async () => {
      // The report has replaced the account in which the place was taken.
      if (account.reportCount !== reportCount) return;
      if (victim !== undefined) {
        const order = {verb: 'unload', ...victim} as const;
        const isGone = await orders.send(account, order, signal);
        if (!isGone) {
          resident.adapters.delete(adapter);
          return;
        }
        account.residents.get(victim.model)?.adapters.delete(victim.adapter);
      }
      const order = {verb: 'load', model, adapter} as const;
      const isAccepted = await orders.send(account, order, signal);
      const added = resident.adapters.get(adapter);
      if (!isAccepted && !account.needsReport) {
        resident.adapters.delete(adapter);
      } else if (added !== undefined) {
        added.readyMs = clock.now() + ADAPTER_LOAD_MS;
      }
    });
    await clock.sleep(ADAPTER_LOAD_MS, signal);
    publish(account);
  }
}

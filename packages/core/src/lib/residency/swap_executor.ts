/** Carries out swaps and adapter loads. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Clock} from '../time/clock.js';
import {AdapterSwap} from './adapter_choice.js';
import {ResidencyOrders} from './residency_order_sender.js';
import {ResidencyAccount, UNPROBED_CONFIRM_MS} from './residency_account.js';
import {Swap} from './swap_choice.js';

/** Delay after an unload, during which the target frees the weights. */
const UNLOAD_PAUSE_MS = 52;

/** Margin added to the load time of the configuration. */
const LOAD_MARGIN_MS = 20;

/** Time between polls of a load that should have ended, and their number. */
const LOAD_POLL_MS = 300;
const MAX_LOAD_POLLS = 40;

/** Time until an adapter can be used after its load was accepted. */
const ADAPTER_LOAD_MS = 9;

/** Dependencies of {@link SwapExecutor}. */
export interface SwapExecutorParts {
  clock: Clock;
  logger: Logger;
  tasks: TaskSupervisor;
  orders: ResidencyOrders;
  /** Publishes to the hosts which models of a target take requests. */
  publish: (account: ResidencyAccount) => void;
}

/**
 * Sends the orders of swaps and keeps the accounts consistent with them. The
 * removal of a model is published before its unload is ordered, and a loaded
 * model only once it takes requests.
 */
export class SwapExecutor {
  /** @param parts - see {@link SwapExecutorParts}. */
  constructor(private readonly parts: SwapExecutorParts) {}

  /**
   * Executes a swap. Resolves when the target takes orders for models again.
   *
   * @param swap - the swap.
   * @param signal - cancels the swap.
   * @returns the time that a load from the weight store took, if it is known.
   */
  async execute(swap: Swap, signal: AbortSignal): Promise<number | undefined> {
    const {account, model} = swap;
    // The target will have the weights on its disk once it has loaded them.
    const {loadMs} = account.loadEstimate(model);
    let loadedMs: number | undefined;
    account.isBusy = true;
    account.loadingModel = model;
    account.busyUntilMs = this.parts.clock.now() + swap.readyInMs;
    account.isLoadingFromStore = swap.fromStore;
    for (const victim of swap.victims) {
      account.residents.get(victim)!.isUnloading = true;
    }
    if (swap.victims.length > 0) this.parts.publish(account);
    const {reportCount} = account;
    const isStarted = await account.runExclusive(async () => {
      const isOutdated = account.reportCount !== reportCount;
      return isOutdated ? false : this.swapModels(swap, signal);
    });
    account.loadingModel = undefined;
    this.parts.publish(account);
    if (isStarted) {
      const resident = account.residents.get(model);
      const leftMs = (resident?.readyMs ?? 0) - this.parts.clock.now();
      await this.parts.clock.sleep(leftMs, signal);
      this.parts.publish(account);
      const publish = () => this.publishUnprobed(account, signal);
      void this.parts.tasks.run('view_of_target', publish, {
        target: account.id,
      });
      if (swap.fromStore) {
        const beganMs = (resident?.readyMs ?? 0) - loadMs - LOAD_MARGIN_MS;
        loadedMs = await this.awaitLoad(account, beganMs, signal);
      }
    }
    this.parts.logger.info('swap_ended', {
      target: account.id,
      model,
      victims: swap.victims.join(','),
      loaded: isStarted,
    });
    account.isBusy = false;
    account.isLoadingFromStore = false;
    return loadedMs;
  }

  /** Publishes a model that had no request since its load. */
  private async publishUnprobed(
    account: ResidencyAccount,
    signal: AbortSignal,
  ): Promise<void> {
    await this.parts.clock.sleep(UNPROBED_CONFIRM_MS, signal);
    this.parts.publish(account);
  }

  /**
   * Waits until a target has completed a load from the weight store, which
   * takes longer than expected while many loads are under way.
   *
   * @returns how long the load took; undefined if the target reports nothing.
   */
  private async awaitLoad(
    account: ResidencyAccount,
    beganMs: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const {clock, orders} = this.parts;
    for (let i = 0; i < MAX_LOAD_POLLS && !signal.aborted; i++) {
      const isBusy = await orders.isBusy(account, signal);
      if (isBusy === undefined) return undefined;
      if (!isBusy) return clock.now() - beganMs;
      await clock.sleep(LOAD_POLL_MS, signal);
    }
    return undefined;
  }

  /** Unloads the victims and starts the load, exclusively on the account. */
  private async swapModels(swap: Swap, signal: AbortSignal): Promise<boolean> {
    const {clock, orders} = this.parts;
    const {account, model} = swap;
    for (const victim of swap.victims) {
      const order = {
        verb: 'unload',
        model: victim,
        adapter: undefined,
      } as const;
      const isUnloaded = await orders.send(account, order, signal);
      if (!isUnloaded) return this.restoreVictims(swap);
      account.residents.delete(victim);
    }
    if (swap.victims.length > 0) {
      await clock.sleep(UNLOAD_PAUSE_MS, signal);
    }
    const {loadMs} = account.loadEstimate(model);
    const weightsMb = account.weightsMbOf(model);
    if (account.usedMb + weightsMb > account.engine.weightsMb) return false;
    const resident = account.addResident(model, [], Infinity);
    const order = {verb: 'load', model, adapter: undefined} as const;
    const isAccepted = await orders.send(account, order, signal);
    if (!isAccepted) {
      if (!account.needsReport) account.residents.delete(model);
      return false;
    }
    account.markUnconfirmed(model);
    resident.readyMs = clock.now() + loadMs + LOAD_MARGIN_MS;
    resident.usedMs = resident.readyMs;
    account.busyUntilMs = resident.readyMs;
    return true;
  }

  private restoreVictims({account, victims}: Swap): false {
    for (const victim of victims) {
      const resident = account.residents.get(victim);
      if (resident !== undefined) resident.isUnloading = false;
    }
    return false;
  }

  /**
   * Loads an adapter, after the unload of another one if needed. Resolves when
   * the adapter can be used or its load has failed.
   *
   * @param swap - the load.
   * @param signal - cancels the load.
   */
  async loadAdapter(swap: AdapterSwap, signal: AbortSignal): Promise<void> {
    const {clock, orders, publish} = this.parts;
    const {account, model, adapter, victim} = swap;
    const resident = account.residents.get(model)!;
    const victimItem =
      victim &&
      account.residents.get(victim.model)?.adapters.get(victim.adapter);
    if (victimItem !== undefined) victimItem.isUnloading = true;
    account.addAdapter(model, adapter, Infinity);
    if (victim !== undefined) publish(account);
    const {reportCount} = account;
    await account.runExclusive(async () => {
      // A report has replaced the state in which the slot was reserved.
      if (account.reportCount !== reportCount) return;
      if (victim !== undefined) {
        const order = {verb: 'unload', ...victim} as const;
        const isUnloaded = await orders.send(account, order, signal);
        if (!isUnloaded) {
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

/** Decides which replicas a zone's targets hold. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {LeaseAuthority} from '../membership/lease_authority.js';
import {MemberTable} from '../membership/member_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {RecordIds} from '../platform/stream_tail.js';
import {EngineClient, Inventory, Order} from '../targets/engine_client.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {WANT, Want, WantAnswer, ZONE_VIEW} from './placement_messages.js';
import {ReplicaDirectory, TargetView, ZoneView} from './replica_directory.js';

const POLL_INTERVAL_MS = 500;
const ORDER_TIMEOUT_MS = 30_000;

/** What a {@link ZoneController} works with. */
export interface ZoneControllerOptions {
  zone: string;
  config: ConfigState;
  lease: LeaseAuthority;
  members: MemberTable;
  network: PeerNetwork;
  directory: ReplicaDirectory;
  clock: Clock;
  logger: Logger;
  ids: RecordIds;
  /** @returns the client of a declared engine. */
  engineOf: (target: string) => EngineClient;
}

/** Runs on every host and acts on the one that holds the zone's lease. */
export class ZoneController {
  private readonly inventories = new Map<string, Inventory>();
  private readonly loads = new Map<string, Promise<string | undefined>>();
  private sequence = 0;

  constructor(private readonly options: ZoneControllerOptions) {
    const {network, directory} = options;
    network.serveUnary(WANT, want => this.want(want));
    network.onNote(ZONE_VIEW, view => directory.update(view));
  }

  /** Watches the zone's targets until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, lease} = this.options;
    await clock.every(POLL_INTERVAL_MS, signal, async () => {
      if (lease.check().isErr()) return;
      await this.refresh(signal);
    });
  }

  /**
   * Provides a replica. Wants for the same model join one load.
   *
   * @param want - what waits.
   * @returns the zone's view once the replica is ready, or why it cannot be.
   */
  async want(want: Want): Promise<WantAnswer> {
    const load = this.loads.get(want.model) ?? this.load(want.model);
    this.loads.set(want.model, load);
    const problem = await load;
    this.loads.delete(want.model);
    if (problem !== undefined) return {type: 'impossible', message: problem};
    if (want.adapter !== undefined) {
      const message = await this.loadAdapter(want.model, want.adapter);
      if (message !== undefined) return {type: 'impossible', message};
    }
    return {type: 'ready', view: this.currentView(this.fencing())};
  }

  private fencing(): number {
    const authority = this.options.lease.check();
    return authority.isOk() ? authority.value.fencing : 0;
  }

  private async load(model: string): Promise<string | undefined> {
    const {config, directory} = this.options;
    const signal = AbortSignal.timeout(ORDER_TIMEOUT_MS);
    await this.refresh(signal);
    if (directory.ready(model).length > 0) return undefined;
    const version = config.declared.get('model', model)?.version;
    const weights = config.declared.get('version', version ?? '')?.weights;
    if (version === undefined || weights === undefined) {
      return `no model "${model}"`;
    }
    const target = this.roomiest(weights);
    if (target === undefined) return 'no target has room for the model';
    return this.order(target, {kind: 'load', model, version}, signal);
  }

  private async loadAdapter(
    model: string,
    adapter: string,
  ): Promise<string | undefined> {
    const {directory} = this.options;
    if (directory.ready(model, adapter).length > 0) return undefined;
    const signal = AbortSignal.timeout(ORDER_TIMEOUT_MS);
    const target = directory.ready(model)[0]?.target;
    if (target === undefined) return 'the model is no longer loaded';
    return this.order(target, {kind: 'load-adapter', adapter, model}, signal);
  }

  private async order(
    target: string,
    order: Order,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const {lease, ids, engineOf, logger} = this.options;
    const id = ids.take();
    const authority = lease.check();
    if (authority.isErr()) return authority.error.message;
    const {fencing} = authority.value;
    const answer = await engineOf(target).order({id, fencing, order}, signal);
    const error = answer.isErr() ? answer.error.message : undefined;
    logger.info('order_done', {target, kind: order.kind, fencing, error});
    await this.refresh(signal);
    return error;
  }

  private roomiest(bytes: number): string | undefined {
    let best: Inventory | undefined;
    for (const inventory of this.inventories.values()) {
      if (inventory.leaving || freeBytes(inventory) < bytes) continue;
      if (best === undefined || freeBytes(inventory) > freeBytes(best)) {
        best = inventory;
      }
    }
    return best?.target;
  }

  private async refresh(signal: AbortSignal): Promise<void> {
    const {zone, config, engineOf} = this.options;
    const queries = [];
    for (const [name, target] of config.declared.all('target')) {
      if (target.zone !== zone || target.kind !== 'engine') continue;
      queries.push(this.refreshTarget(name, engineOf(name), signal));
    }
    await Promise.all(queries);
    this.broadcast();
  }

  private async refreshTarget(
    name: string,
    engine: EngineClient,
    signal: AbortSignal,
  ): Promise<void> {
    const inventory = await engine.inventory(signal);
    if (inventory.isOk()) this.inventories.set(name, inventory.value);
    else this.inventories.delete(name);
  }

  private broadcast(): void {
    const {lease, members, network, directory} = this.options;
    const authority = lease.check();
    if (authority.isErr()) return;
    this.sequence += 1;
    const view = this.currentView(authority.value.fencing);
    directory.update(view);
    for (const {host} of members.all()) {
      if (host !== network.self.host) network.notify(host, ZONE_VIEW, view);
    }
  }

  private currentView(fencing: number): ZoneView {
    const targets = [...this.inventories].map(([name, i]) => toView(name, i));
    const {zone} = this.options;
    return {zone, fencing, sequence: this.sequence, targets};
  }
}

function freeBytes(inventory: Inventory): number {
  return inventory.memoryBytes - inventory.usedBytes;
}

function toView(target: string, inventory: Inventory): TargetView {
  const {slots, running, leaving, residents} = inventory;
  return {
    target,
    slots,
    running,
    leaving,
    residents: residents.map(({model, version, state, adapters}) => ({
      model,
      version,
      state,
      adapters: adapters.map(({adapter}) => adapter),
    })),
  };
}

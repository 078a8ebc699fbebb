/** Requests replicas from the zone controller. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {LeaseAuthority} from '../membership/lease_authority.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {REQUEST_REPLICA, ReplicaRequest} from './placement_messages.js';
import {ReplicaDirectory} from './replica_directory.js';
import {ZoneController} from './zone_controller.js';

const RETRY_DELAY_MS = 100;

/** Dependencies of a {@link PlacementClient}. */
export interface PlacementClientOptions {
  lease: LeaseAuthority;
  controller: ZoneController;
  directory: ReplicaDirectory;
  network: PeerNetwork;
  clock: Clock;
}

/** Sends replica requests to the zone controller, on this host or a peer. */
export class PlacementClient {
  constructor(private readonly options: PlacementClientOptions) {}

  /**
   * Requests a replica and waits until it is ready. Retries while the lease
   * holder is unknown, unreachable or changing.
   *
   * @param request - what is needed; its slack limits the duration of the call.
   * @param signal - cancels the call.
   * @returns nothing once a replica is ready, or why none can be provided.
   */
  async provide(
    request: ReplicaRequest,
    signal: AbortSignal,
  ): Promise<Result<void, string>> {
    const {clock, lease, directory} = this.options;
    const deadlineMs = clock.now() + request.slackMs;
    for (;;) {
      const slackMs = deadlineMs - clock.now();
      if (slackMs <= 0 || signal.aborted) {
        return err('no replica could be provided in time');
      }
      const holder = lease.holder();
      if (holder !== undefined) {
        const answer = await this.askController(
          holder,
          {...request, slackMs},
          signal,
        );
        if (answer?.type === 'impossible') return err(answer.message);
        if (answer?.type === 'ready') {
          directory.update(answer.view);
          return ok(undefined);
        }
      }
      await clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  private async askController(
    holder: string,
    request: ReplicaRequest,
    signal: AbortSignal,
  ) {
    const {network, controller} = this.options;
    if (holder === network.self.host) return controller.want(request, signal);
    const timeoutMs = request.slackMs;
    const answer = await network.call(holder, REQUEST_REPLICA, request, {
      timeoutMs,
      signal,
    });
    return answer.isOk() ? answer.value : undefined;
  }
}

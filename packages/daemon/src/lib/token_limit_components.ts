/** Components for token limits that are shared by all hosts. @packageDocumentation */

import {
  Clock,
  ConfigStore,
  MemberShareView,
  Membership,
  PeerNetwork,
  ShareExchange,
  SharedTokenLimiter,
  ZoneDirectory,
} from '@fuchsiacleat/core';

/** Options of {@link TokenLimitComponents}. */
export interface TokenLimitComponentsOptions {
  config: ConfigStore;
  membership: Membership;
  zones: ZoneDirectory;
  network: PeerNetwork;
  clock: Clock;
}

/** Enforces token limits and exchanges tokens with the other hosts. */
export class TokenLimitComponents {
  readonly limiter: SharedTokenLimiter;
  readonly exchange: ShareExchange;

  constructor(private readonly options: TokenLimitComponentsOptions) {
    const {config, membership, zones, network, clock} = options;
    const view = new MemberShareView({
      self: network.self,
      config: config.state,
      members: membership.members,
      joins: membership.joinTracker,
      zones,
    });
    this.exchange = new ShareExchange({network, clock, view});
    this.limiter = new SharedTokenLimiter({
      config: config.state,
      exchange: this.exchange,
    });
  }

  /** Applies configuration changes and exchanges tokens until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    this.options.config.onChange(() => this.limiter.sync());
    this.limiter.sync();
    return this.exchange.run(signal);
  }
}

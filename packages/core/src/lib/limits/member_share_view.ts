/** Share view backed by membership and configuration. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {JoinStatus} from '../membership/join_status.js';
import {MemberTable} from '../membership/member_table.js';
import {ZoneDirectory} from '../membership/zone_directory.js';
import {ShareHost, ShareView} from './share_view.js';

/** Dependencies of a {@link MemberShareView}. */
export interface MemberShareViewOptions {
  self: ShareHost;
  config: ConfigState;
  members: MemberTable;
  zones: ZoneDirectory;
  joins: JoinStatus;
}

/** A {@link ShareView} over the members of all zones. */
export class MemberShareView extends ShareView {
  constructor(private readonly options: MemberShareViewOptions) {
    super();
  }

  override get self(): ShareHost {
    return this.options.self;
  }

  override get version(): number {
    return this.options.config.version;
  }

  override get isEstablished(): boolean {
    return this.options.joins.isEstablished;
  }

  override get isComplete(): boolean {
    return this.options.zones.isCaughtUp;
  }

  override peers(): ShareHost[] {
    const {members, zones, self} = this.options;
    const all: ShareHost[] = [...members.known(), ...zones.remoteHosts()];
    return all.filter(({host}) => host !== self.host);
  }

  override zoneWeights(): ReadonlyMap<string, number> {
    const declared = this.options.config.declared.all('zone');
    return new Map([...declared].map(([name, {weight}]) => [name, weight]));
  }
}

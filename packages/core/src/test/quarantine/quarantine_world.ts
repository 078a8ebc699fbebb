/** Hosts that exchange evidence about prompt parts, for tests. @packageDocumentation */

import {MemoryHub} from '../../lib/peers/memory_peer_network.js';
import {PeerNetwork} from '../../lib/peers/peer_network.js';
import {AnsweredParts} from '../../lib/quarantine/answered_parts.js';
import {PartLedger} from '../../lib/quarantine/part_ledger.js';
import {PromptGuard} from '../../lib/quarantine/prompt_guard.js';
import {QuarantineExchange} from '../../lib/quarantine/quarantine_exchange.js';
import {TargetEndDetector} from '../../lib/quarantine/target_end_detector.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';

/** One host of a {@link QuarantineWorld}. */
export class QuarantineHost {
  readonly ledger: PartLedger;
  readonly exchange: QuarantineExchange;
  readonly guard: PromptGuard;
  /** Whether the host has read the archive. */
  isInformed = true;
  private readonly shutdown = new AbortController();

  constructor(
    world: QuarantineWorld,
    readonly network: PeerNetwork,
    random: Random,
  ) {
    const {clock} = world;
    const logger = new SilentLogger();
    this.ledger = new PartLedger(clock, logger);
    const {self} = network;
    this.exchange = new QuarantineExchange({
      clock,
      random,
      network,
      ledger: this.ledger,
      answered: new AnsweredParts(clock),
      decidingHost: () => world.decidingHostFor(self.host),
      hostCount: () => world.hosts.length,
      isInformed: () => this.isInformed,
    });
    const detector = new TargetEndDetector({
      clock,
      logger,
      isListening: async () => false,
      onEnded: () => {},
      report: end => this.exchange.reportEnd(end),
    });
    this.guard = new PromptGuard({
      clock,
      ledger: this.ledger,
      exchange: this.exchange,
      detector,
    });
    void this.exchange.run(this.shutdown.signal);
  }

  stop(): void {
    this.shutdown.abort();
  }
}

/** A number of hosts, one of which decides for all. */
export class QuarantineWorld {
  readonly clock = new ManualClock();
  readonly hosts: QuarantineHost[] = [];
  /** Index of the deciding host, if there is one. */
  deciding: number | undefined = 0;
  /** Names of the hosts that reach no other host. */
  readonly isolated = new Set<string>();
  private readonly random = new Random(1);
  private readonly hub = new MemoryHub(this.clock, this.random);
  private incarnations = 0;
  private endedProcesses = 0;

  constructor(hostCount: number) {
    this.hub.isPartitioned = (from, to) =>
      this.isolated.has(from.host) || this.isolated.has(to.host);
    for (let i = 0; i < hostCount; i++) this.startHost(i);
  }

  /** Starts a host, in place of the earlier one with this index. */
  startHost(index: number): QuarantineHost {
    this.hosts[index]?.stop();
    const host = `h${index}`;
    const incarnation = `${host}-${++this.incarnations}`;
    const network = this.hub.join({host, zone: 'z', incarnation});
    const started = new QuarantineHost(this, network, this.random);
    this.hosts[index] = started;
    return started;
  }

  /** Returns the deciding host that a host hears. */
  decidingHostFor(host: string) {
    if (this.deciding === undefined) return undefined;
    const deciding = this.hosts[this.deciding]?.network.self;
    if (deciding === undefined) return undefined;
    const isHeard =
      host === deciding.host ||
      !(this.isolated.has(host) || this.isolated.has(deciding.host));
    return isHeard ? deciding : undefined;
  }

  /** Reports, by one host, the end of a process under a request. */
  end(host: number, parts: string[], tried: string[] = []): void {
    this.hosts[host].exchange.reportEnd({
      target: `t${++this.endedProcesses}`,
      startedMs: 1,
      runs: [{id: `r${this.endedProcesses}`, parts, hasBegun: true, tried}],
    });
  }

  /** Returns how the hosts treat a part. */
  standings(part: string): string[] {
    return this.hosts.map(({ledger}) => ledger.standingOf(part));
  }
}

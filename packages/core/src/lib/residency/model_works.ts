/** The work of models, by service. @packageDocumentation */

import {EngineConfig} from '../gateway/deployment.js';
import {Clock} from '../time/clock.js';
import {ModelWork} from './model_work.js';

/** Keeps what is known of the work of the models of each service. */
export class ModelWorks {
  private readonly works = new Map<string, ModelWork>();

  /**
   * @param clock - measures ages.
   * @param isEnabled - whether any service is planned by work.
   */
  constructor(
    private readonly clock: Clock,
    private readonly isEnabled: boolean,
  ) {}

  /** Clears everything that was learnt. */
  clear(): void {
    this.works.clear();
  }

  /**
   * Returns what is known of a service.
   *
   * @param service - name of the service.
   * @param engine - its engine in the configuration.
   * @returns undefined if the engine states no token capacity: such services
   *     are planned by the requests in flight alone.
   */
  of(service: string, engine: EngineConfig | undefined): ModelWork | undefined {
    if (!this.isEnabled || engine?.kvCapacityTokens === undefined)
      return undefined;
    let work = this.works.get(service);
    if (work === undefined) {
      work = new ModelWork(this.clock);
      this.works.set(service, work);
    }
    return work;
  }
}

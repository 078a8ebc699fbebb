/** Counts the decisions about prompt parts. @packageDocumentation */

import {GatewayMetrics} from '../gateway/gateway_metrics.js';
import {PartLedger} from './part_ledger.js';

/**
 * Connects a ledger to the metrics of its host.
 *
 * @param ledger - the ledger.
 * @param metrics - receives the counts.
 */
export function measureQuarantine(
  ledger: PartLedger,
  metrics: GatewayMetrics,
): void {
  ledger.onQuarantined(() => metrics.quarantines.inc());
  metrics.countRestrictedParts = () => {
    const {suspect, quarantined} = ledger.countByStanding();
    return {suspect, quarantined};
  };
}

import {expect} from 'chai';
import {ZoneEvacuations} from '../../lib/evacuation/zone_evacuations.js';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {PathTable} from '../../lib/paths/path_table.js';
import {TunnelAdmission} from '../../lib/paths/tunnel_admission.js';
import {TUNNEL_REFUSAL} from '../../lib/paths/tunnel_refusal.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {targetRegistration} from '../gateway/gateway_fixtures.js';

const ADDRESS = '10.0.0.1:8000';

describe('TunnelAdmission', () => {
  const clock = new ManualClock();
  let targets: TargetTable;
  let evacuations: ZoneEvacuations;
  let paths: PathTable;
  let admission: TunnelAdmission;
  let isStopping: boolean;
  let isMemoryPressed: boolean;

  beforeEach(() => {
    isStopping = false;
    isMemoryPressed = false;
    evacuations = new ZoneEvacuations(clock);
    targets = new TargetTable(clock, evacuations);
    targets.put(targetRegistration({address: ADDRESS, zone: 'a'}), true);
    paths = new PathTable(clock, targets);
    admission = new TunnelAdmission({
      targets,
      paths,
      isStopping: () => isStopping,
      isMemoryPressed: () => isMemoryPressed,
    });
  });

  it('admits registered targets, leaving ones too', () => {
    expect(admission.check(ADDRESS)).to.equal(undefined);
    targets.markLeaving('t1', 1);
    expect(admission.check(ADDRESS)).to.equal(undefined);
  });

  it('admits no other address', () => {
    const refusal = TUNNEL_REFUSAL.unknownTarget;
    expect(admission.check('10.0.0.1:8001')).to.equal(refusal);
    targets.remove('t1');
    expect(admission.check(ADDRESS)).to.equal(refusal);
  });

  it('admits no target of an evacuated zone', () => {
    evacuations.set('a', true, 1);
    expect(admission.check(ADDRESS)).to.equal(TUNNEL_REFUSAL.unknownTarget);
  });

  it('admits no target that this host does not reach itself', () => {
    paths.lose([targets.get('t1')!]);
    expect(admission.check(ADDRESS)).to.equal(TUNNEL_REFUSAL.noPath);
  });

  it('admits none while it stops or is short of memory', () => {
    isMemoryPressed = true;
    expect(admission.check(ADDRESS)).to.equal(TUNNEL_REFUSAL.noResources);
    isStopping = true;
    expect(admission.check(ADDRESS)).to.equal(TUNNEL_REFUSAL.stopping);
  });
});

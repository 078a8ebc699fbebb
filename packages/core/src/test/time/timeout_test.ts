import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {withTimeout} from '../../index.js';

function untilAborted(signal: AbortSignal): Promise<string> {
  if (signal.aborted) return Promise.resolve('aborted');
  return new Promise(resolve =>
    signal.addEventListener('abort', () => resolve('aborted')),
  );
}

describe('withTimeout', () => {
  it('aborts the work after the timeout, even after a garbage collection', async () => {
    setFlagsFromString('--expose-gc');
    const collect = runInNewContext('gc') as () => void;
    const outer = new AbortController();
    const result = withTimeout(50, outer.signal, limited => {
      const aborted = untilAborted(AbortSignal.any([limited, outer.signal]));
      collect();
      return aborted;
    });
    collect();
    expect(await result).to.equal('aborted');
  });

  it('aborts the work with the signal, before or during the work', async () => {
    const outer = new AbortController();
    const result = withTimeout(60_000, outer.signal, untilAborted);
    outer.abort();
    expect(await result).to.equal('aborted');
    const late = withTimeout(60_000, outer.signal, untilAborted);
    expect(await late).to.equal('aborted');
  });
});

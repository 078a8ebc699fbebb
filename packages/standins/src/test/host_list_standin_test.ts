import {HttpHostList, ListedHost} from '@fuchsiacleat/core';
import {expect} from 'chai';
import {HostListStandin} from '../index.js';

const HOST: ListedHost = {name: 'a-1', zone: 'a', state: 'live'};

describe('HostListStandin', () => {
  let standin: HostListStandin;
  let list: HttpHostList;

  beforeEach(async () => {
    standin = new HostListStandin({lagMs: 0});
    list = new HttpHostList(await standin.start());
  });

  afterEach(() => standin.stop());

  async function fetch(): Promise<ListedHost[]> {
    const hosts = await list.fetch(new AbortController().signal);
    return hosts._unsafeUnwrap();
  }

  it('sends an unchanged list only once', async () => {
    standin.set(HOST);
    expect(await fetch()).to.deep.equal([HOST]);
    // The same object shows that the client reused its cached list.
    expect(await fetch()).to.equal(await fetch());
  });

  it('sends the list again after a change', async () => {
    standin.set(HOST);
    await fetch();
    standin.set({...HOST, state: 'leaving'});
    expect(await fetch()).to.deep.equal([{...HOST, state: 'leaving'}]);
    standin.remove(HOST.name);
    expect(await fetch()).to.deep.equal([]);
  });
});

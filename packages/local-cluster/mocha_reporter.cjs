'use strict';
/**
 * Mocha's `spec` report, closed by the line `N passed, N failed`. Failures of
 * tests that KNOWN-RED.txt lists by title (`test: <full title>`) are printed
 * and do not fail the run.
 */
const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {reporters, Runner} = require('mocha');

const KNOWN_RED = join(__dirname, '../../KNOWN-RED.txt');

function knownRedTitles() {
  const text = readFileSync(KNOWN_RED, 'utf8');
  return new Set(
    [...text.matchAll(/^ *test: (.+)$/gm)].map(([, title]) => title),
  );
}

class CountingReporter extends reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    const known = knownRedTitles();
    const passedOver = [];
    runner.on(Runner.constants.EVENT_TEST_FAIL, test => {
      if (test.type === 'test' && known.has(test.fullTitle())) {
        passedOver.push(test.fullTitle());
      }
    });
    runner.once(Runner.constants.EVENT_RUN_END, () => {
      const {passes, failures} = this.stats;
      for (const title of passedOver)
        console.log(`known red, passed over: ${title}`);
      runner.failures -= passedOver.length;
      console.log(`${passes} passed, ${failures - passedOver.length} failed`);
    });
  }
}

module.exports = CountingReporter;

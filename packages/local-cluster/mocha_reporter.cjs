'use strict';
/** Mocha's `spec` report, closed by the line `N passed, N failed`. */
const {reporters, Runner} = require('mocha');

class CountingReporter extends reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    runner.once(Runner.constants.EVENT_RUN_END, () => {
      const {passes, failures} = this.stats;
      console.log(`${passes} passed, ${failures} failed`);
    });
  }
}

module.exports = CountingReporter;

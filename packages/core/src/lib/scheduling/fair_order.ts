/** Weighted fair queueing between teams. @packageDocumentation */

/**
 * Orders teams for weighted fair queueing.
 *
 * The virtual time of a team is the number of tokens served to it, divided by
 * its weight. The team with the lowest virtual time is served first. A team
 * that was idle resumes at the current virtual time, so that it cannot
 * accumulate credit.
 */
export class FairOrder {
  private readonly virtualTimes = new Map<string, number>();
  private currentVirtualTime = 0;

  /** @param weightOf - returns the weight of a team, greater than 0. */
  constructor(private readonly weightOf: (team: string) => number) {}

  /**
   * Advances the virtual time of a team that was idle to the current one.
   *
   * @param team - team that has waiting requests again.
   */
  activate(team: string): void {
    const before = this.virtualTimes.get(team) ?? 0;
    this.virtualTimes.set(team, Math.max(before, this.currentVirtualTime));
  }

  /** Returns the virtual time of a team; the lowest is served first. */
  virtualTimeOf(team: string): number {
    return this.virtualTimes.get(team) ?? this.currentVirtualTime;
  }

  /**
   * Charges a team for a request that is served.
   *
   * @param team - name of the team.
   * @param tokens - number of tokens of the request.
   */
  charge(team: string, tokens: number): void {
    const start = this.virtualTimeOf(team);
    this.currentVirtualTime = Math.max(this.currentVirtualTime, start);
    this.virtualTimes.set(team, start + tokens / this.weightOf(team));
  }
}

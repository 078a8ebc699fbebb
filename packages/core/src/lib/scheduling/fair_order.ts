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
  private present = 0;

  /** @param weightOf - returns the weight of a team, greater than 0. */
  constructor(private readonly weightOf: (team: string) => number) {}

  /**
   * Advances the virtual time of a team that was idle to the current one.
   *
   * @param team - team that has waiting requests again.
   */
  activate(team: string): void {
    const before = this.virtualTimes.get(team) ?? 0;
    this.virtualTimes.set(team, Math.max(before, this.present));
  }

  /** Returns the virtual time of a team; the lowest is served first. */
  of(team: string): number {
    return this.virtualTimes.get(team) ?? this.present;
  }

  /**
   * Charges a team for a request that is served.
   *
   * @param team - name of the team.
   * @param tokens - number of tokens of the request.
   */
  serve(team: string, tokens: number): void {
    const start = this.of(team);
    this.present = Math.max(this.present, start);
    this.virtualTimes.set(team, start + tokens / this.weightOf(team));
  }
}

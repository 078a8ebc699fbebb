/** Weighted fair queueing between teams. @packageDocumentation */

/**
 * Virtual time of each team: the tokens served to it, divided by its weight.
 * The team with the least goes first; a team that was idle starts at the
 * present virtual time, so that it can't save up service.
 */
export class FairOrder {
  private readonly virtualTimes = new Map<string, number>();
  private present = 0;

  /** @param weightOf - weight of a team, above 0. */
  constructor(private readonly weightOf: (team: string) => number) {}

  /** @param team - has work again after it had none. */
  activate(team: string): void {
    const before = this.virtualTimes.get(team) ?? 0;
    this.virtualTimes.set(team, Math.max(before, this.present));
  }

  /** @returns the virtual time of a team; the least goes first. */
  of(team: string): number {
    return this.virtualTimes.get(team) ?? this.present;
  }

  /**
   * Counts service.
   *
   * @param team - whom it was given to.
   * @param tokens - what it was given.
   */
  serve(team: string, tokens: number): void {
    const start = this.of(team);
    this.present = Math.max(this.present, start);
    this.virtualTimes.set(team, start + tokens / this.weightOf(team));
  }
}

/** Text of the streams of the stand-in workers. @packageDocumentation */

/**
 * @param count - number of events.
 * @param piece - what each event holds.
 * @returns the whole stream, with every event once.
 */
export function wholeStream(count: number, piece: string): string {
  let text = '';
  for (let id = 1; id <= count; id++) text += `id: ${id}\ndata: ${piece}\n\n`;
  return text;
}

/** @returns what the events of a stream hold, each once. */
export function versionsIn(text: string): string[] {
  return [...new Set([...text.matchAll(/^data: (.+)$/gm)].map(m => m[1]))];
}

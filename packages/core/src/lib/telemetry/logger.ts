/** Structured logs: one line of key=value pairs for each event. @packageDocumentation */

import {createConsola} from 'consola/core';

/** Values that a log field may hold. */
export type LogValue = string | number | boolean | undefined;

/** The fields of an event; an undefined field is left out. */
export type LogFields = Record<string, LogValue>;

/** Severities, least severe first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/**
 * Writes events. Callers never pass a key, a digest of a key or a prompt.
 */
export abstract class Logger {
  /**
   * @param level - severity.
   * @param event - a constant name in snake case.
   * @param fields - what is particular to this event.
   */
  abstract log(level: LogLevel, event: string, fields?: LogFields): void;

  /** Logs at level `debug`. See {@link Logger.log}. */
  debug(event: string, fields?: LogFields): void {
    this.log('debug', event, fields);
  }

  /** Logs at level `info`. See {@link Logger.log}. */
  info(event: string, fields?: LogFields): void {
    this.log('info', event, fields);
  }

  /** Logs at level `warn`. See {@link Logger.log}. */
  warn(event: string, fields?: LogFields): void {
    this.log('warn', event, fields);
  }

  /** Logs at level `error`. See {@link Logger.log}. */
  error(event: string, fields?: LogFields): void {
    this.log('error', event, fields);
  }
}

/** A {@link Logger} that writes nothing. */
export class SilentLogger extends Logger {
  override log(): void {}
}

/** A {@link Logger} that writes lines through `consola`. */
export class ConsolaLogger extends Logger {
  private readonly output;
  private readonly lowest: number;

  /**
   * @param level - lowest severity that is written.
   * @param base - fields that every line carries, such as the host's name.
   * @param write - takes a finished line; standard error by default.
   */
  constructor(
    level: LogLevel,
    private readonly base: LogFields = {},
    write: (line: string) => void = line => process.stderr.write(line + '\n'),
  ) {
    super();
    this.lowest = LOG_LEVELS.indexOf(level);
    this.output = createConsola({
      level: 5,
      reporters: [{log: entry => write(String(entry.args[0]))}],
    });
  }

  override log(level: LogLevel, event: string, fields: LogFields = {}): void {
    if (LOG_LEVELS.indexOf(level) < this.lowest) return;
    const time = new Date().toISOString();
    const all = {time, level, event, ...this.base, ...fields};
    this.output[level](formatFields(all));
  }
}

/**
 * @param fields - the pairs, in output order.
 * @returns one line of space-separated key=value pairs.
 */
export function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ');
}

function formatValue(value: LogValue): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

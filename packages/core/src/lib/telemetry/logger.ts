/** Structured logging with one line of key=value pairs per event. @packageDocumentation */

import {createConsola} from 'consola/core';

/** Value of a log field. */
export type LogValue = string | number | boolean | undefined;

/** Fields of an event. Undefined fields are omitted. */
export type LogFields = Record<string, LogValue>;

/** Log levels, least severe first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/**
 * Writes log events. Callers must never pass a key, the digest of a key or a
 * prompt.
 */
export abstract class Logger {
  /**
   * Logs an event.
   *
   * @param level - severity of the event.
   * @param event - constant event name in snake case.
   * @param fields - details of this occurrence.
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

/** A {@link Logger} that discards all events. */
export class SilentLogger extends Logger {
  override log(): void {}
}

/** A {@link Logger} that writes lines through `consola`. */
export class ConsolaLogger extends Logger {
  private readonly output;
  private readonly minLevelIndex: number;

  /**
   * @param level - minimum level; events below it are discarded.
   * @param base - fields that are added to every line, such as the host name.
   * @param write - receives each formatted line; writes to standard error by
   *     default.
   */
  constructor(
    level: LogLevel,
    private readonly base: LogFields = {},
    write: (line: string) => void = line => process.stderr.write(line + '\n'),
  ) {
    super();
    this.minLevelIndex = LOG_LEVELS.indexOf(level);
    this.output = createConsola({
      level: 5,
      reporters: [{log: entry => write(String(entry.args[0]))}],
    });
  }

  override log(level: LogLevel, event: string, fields: LogFields = {}): void {
    if (LOG_LEVELS.indexOf(level) < this.minLevelIndex) return;
    const time = new Date().toISOString();
    const all = {time, level, event, ...this.base, ...fields};
    this.output[level](formatFields(all));
  }
}

/**
 * Formats the fields of an event.
 *
 * @param fields - the fields, in output order.
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

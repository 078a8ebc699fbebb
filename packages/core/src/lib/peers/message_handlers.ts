/** Decodes the messages of peers and passes them to their handlers. @packageDocumentation */

import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Logger} from '../telemetry/logger.js';
import {LinkHandler} from './incoming_calls.js';
import {
  CallContext,
  NotificationHandler,
  PeerHandler,
  PeerIdentity,
  PeerMethod,
} from './peer_network.js';

/** Reasons why a message is not handled. */
const UNREAD_REASON = {unknown: 'unknown', malformed: 'malformed'} as const;

type UnreadReason = (typeof UNREAD_REASON)[keyof typeof UNREAD_REASON];

/** Most kinds of messages, by method and peer, that are logged as unread. */
const MAX_LOGGED_KINDS = 100;

interface RegisteredMethod {
  method: PeerMethod<unknown, unknown>;
  handler: PeerHandler<unknown, unknown>;
}

interface RegisteredNotification {
  method: PeerMethod<unknown, never>;
  handler: NotificationHandler<unknown>;
}

/**
 * Handlers of calls and notifications by method. Peers may be of another release,
 * whose messages this one does not know or cannot decode.
 */
export class MessageHandlers implements LinkHandler {
  private readonly calls = new Map<string, RegisteredMethod>();
  private readonly unaryMethods = new Set<string>();
  private readonly notifications = new Map<string, RegisteredNotification>();
  /** Methods and peers of messages that were logged as unread. */
  private readonly logged = new Set<string>();

  /**
   * @param logger - receives the first unread message of each method and peer.
   * @param tasks - confines errors of handlers to their message.
   */
  constructor(
    private readonly logger: Logger,
    private readonly tasks: TaskSupervisor,
  ) {}

  /** Sets the handler of the calls of a method. */
  serve<Body, Event>(
    method: PeerMethod<Body, Event>,
    handler: PeerHandler<Body, Event>,
  ): void {
    this.calls.set(method.name, {method, handler} as RegisteredMethod);
  }

  /** Records that a method responds with a single event. */
  setUnary({name}: {name: string}): void {
    this.unaryMethods.add(name);
  }

  /** Sets the handler of the notifications of a method. */
  onNotification<Body>(
    method: PeerMethod<Body, never>,
    handler: NotificationHandler<Body>,
  ): void {
    this.notifications.set(method.name, {
      method,
      handler,
    } as RegisteredNotification);
  }

  /** Implements {@link LinkHandler}. */
  isUnary(name: string): boolean {
    return this.unaryMethods.has(name);
  }

  /** Implements {@link LinkHandler}. */
  async *dispatch(
    name: string,
    body: unknown,
    context: CallContext,
  ): AsyncGenerator<unknown, void> {
    const registered = this.calls.get(name);
    if (registered === undefined) {
      this.recordUnread(name, context.from, UNREAD_REASON.unknown);
      throw new Error(`no method ${name}`);
    }
    const parsed = registered.method.body.safeParse(body);
    if (!parsed.success) {
      this.recordUnread(name, context.from, UNREAD_REASON.malformed);
      throw new Error(`malformed body of ${name}`);
    }
    yield* registered.handler(parsed.data, context);
  }

  /** Implements {@link LinkHandler}. */
  handleNotification(name: string, body: unknown, from: PeerIdentity): void {
    const registered = this.notifications.get(name);
    if (registered === undefined) {
      this.recordUnread(name, from, UNREAD_REASON.unknown);
      return;
    }
    const parsed = registered.method.body.safeParse(body);
    if (!parsed.success) {
      this.recordUnread(name, from, UNREAD_REASON.malformed);
      return;
    }
    // The link carries other work; one message must not close it.
    this.tasks.attempt(
      'peer_message',
      () => registered.handler(parsed.data, from),
      {method: name, peer: from.host},
    );
  }

  private recordUnread(
    method: string,
    {host}: PeerIdentity,
    reason: UnreadReason,
  ): void {
    const kind = `${method} ${host}`;
    if (this.logged.has(kind) || this.logged.size >= MAX_LOGGED_KINDS) return;
    this.logged.add(kind);
    this.logger.warn('peer_message_unread', {method, peer: host, reason});
  }
}

/** Keeps streams at the software version that began them. @packageDocumentation */

import {StreamContinuity} from '../continuation/stream_continuity.js';
import {CallerRequest} from './caller_request.js';
import {RelayCall} from './relay_call.js';

/** Applies the origins of streams to the requests for them. */
export class StreamResumption<Req extends CallerRequest> {
  /** @param continuity - knows where streams have begun. */
  constructor(private readonly continuity: StreamContinuity) {}

  /**
   * Finds where a stream that a caller takes up may go on.
   *
   * @returns whether it is known; also true for all other requests.
   */
  tryResume(req: Req, call: RelayCall<Req>): boolean {
    if (req.lastEventId === undefined || call.splitter === undefined)
      return true;
    const origin = this.continuity.originOf({
      team: call.team?.name,
      resumedId: req.resumedId,
      service: call.service,
      timeoutMs: call.route.timeoutMs,
    });
    if (origin === undefined) return false;
    const {service} = origin;
    if (!call.route.shares.some(share => share.service === service))
      return false;
    call.service = service;
    call.fixVersion(origin.softwareVersion);
    return true;
  }

  /** Records where a stream has begun, before its caller learns of it. */
  recordEvents(call: RelayCall<Req>): void {
    const target = call.recordEvents();
    if (target === undefined) return;
    const {softwareVersion} = target;
    const {id, service, team} = call;
    this.continuity.recordBegun(team?.name, id, service, softwareVersion);
  }
}

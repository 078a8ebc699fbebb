/** Frames on peer links: a length, then a CBOR value. @packageDocumentation */

import {Encoder} from 'cbor-x';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';

const LENGTH_BYTES = 4;

/** Largest frame that a peer may send, in bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

const codec = new Encoder({useRecords: false, mapsAsObjects: true});
const callId = z.number().int().min(0);

/** What two hosts send each other. */
export const frameSchema = z.discriminatedUnion('t', [
  z.object({
    t: z.literal('hello'),
    host: z.string(),
    zone: z.string(),
    incarnation: z.string(),
  }),
  z.object({t: z.literal('beat')}),
  z.object({
    t: z.literal('open'),
    id: callId,
    method: z.string(),
    body: z.unknown(),
  }),
  z.object({t: z.literal('event'), id: callId, body: z.unknown()}),
  z.object({
    t: z.literal('end'),
    id: callId,
    error: z.string().optional(),
    /** The last event, if the handler returned it. */
    body: z.unknown().optional(),
  }),
  z.object({t: z.literal('cancel'), id: callId}),
  z.object({
    t: z.literal('credit'),
    id: callId,
    events: z.number().int().min(1),
  }),
  z.object({t: z.literal('note'), method: z.string(), body: z.unknown()}),
]);

/** See {@link frameSchema}. */
export type Frame = z.output<typeof frameSchema>;

/** A frame that breaks the protocol. */
export interface BadFrame {
  type: 'bad-frame';
  message: string;
}

/**
 * @param frame - what to send.
 * @returns its bytes, length first.
 */
export function encodeFrame(frame: Frame): Buffer {
  const body = codec.encode(frame);
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  body.copy(bytes, LENGTH_BYTES);
  return bytes;
}

/** Cuts a byte stream into frames. */
export class FrameDecoder {
  private buffered: Buffer = Buffer.alloc(0);

  /**
   * @param chunk - the next bytes of the stream.
   * @returns the frames that are now whole; after an error the stream cannot
   *     be read on.
   */
  push(chunk: Buffer): Result<Frame[], BadFrame> {
    this.buffered =
      this.buffered.length === 0
        ? chunk
        : Buffer.concat([this.buffered, chunk]);
    const frames: Frame[] = [];
    for (;;) {
      if (this.buffered.length < LENGTH_BYTES) return ok(frames);
      const length = this.buffered.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) {
        return bad(`a frame of ${length} bytes exceeds the limit`);
      }
      const end = LENGTH_BYTES + length;
      if (this.buffered.length < end) return ok(frames);
      const frame = decodeFrame(this.buffered.subarray(LENGTH_BYTES, end));
      if (frame.isErr()) return err(frame.error);
      frames.push(frame.value);
      this.buffered = this.buffered.subarray(end);
    }
  }
}

function decodeFrame(bytes: Buffer): Result<Frame, BadFrame> {
  try {
    const parsed = frameSchema.safeParse(codec.decode(bytes));
    return parsed.success ? ok(parsed.data) : bad('a frame of unknown form');
  } catch {
    return bad('a frame that is not CBOR');
  }
}

function bad(message: string): Result<never, BadFrame> {
  return err({type: 'bad-frame', message});
}

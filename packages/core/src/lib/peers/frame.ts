/** Frames on peer links: a length prefix and a CBOR value. @packageDocumentation */

import {Encoder} from 'cbor-x';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';
import {BodyBuffer} from '../intake/body_buffer.js';

const LENGTH_BYTES = 4;

/** Greatest size of a frame without its length prefix, in bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

const codec = new Encoder({useRecords: false, mapsAsObjects: true});
const callId = z.number().int().min(0);

/** Schema of the frames that hosts send each other. */
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
    /** The single event of a unary call. */
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

/** A frame; see {@link frameSchema}. */
export type Frame = z.output<typeof frameSchema>;

/** A frame that violates the protocol. */
export interface FrameError {
  type: 'bad-frame';
  message: string;
}

/**
 * Encodes a frame.
 *
 * @param frame - the frame to send.
 * @returns the encoded frame with its length prefix.
 */
export function encodeFrame(frame: Frame): Buffer {
  const body = codec.encode(frame);
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  body.copy(bytes, LENGTH_BYTES);
  return bytes;
}

/** Decodes a byte stream into frames. */
export class FrameDecoder {
  private readonly buffer = new BodyBuffer();
  /** Bytes from which on the next frame, or its length, is complete. */
  private neededBytes = LENGTH_BYTES;

  /** Length of the frame that is incomplete, as far as it is known, in bytes. */
  get pendingBytes(): number {
    return this.neededBytes;
  }

  /** Bytes that are kept until their frame is complete. */
  get bufferedBytes(): number {
    return this.buffer.length;
  }

  /**
   * Adds bytes and decodes the frames that they complete.
   *
   * @param chunk - the next bytes of the stream.
   * @returns the completed frames. After an error the rest of the stream
   *     cannot be decoded.
   */
  push(chunk: Buffer): Result<Frame[], FrameError> {
    let bytes = chunk;
    if (this.buffer.length > 0) {
      this.buffer.append(chunk);
      if (this.buffer.length < this.neededBytes) return ok([]);
      bytes = this.buffer.take();
    }
    const frames: Frame[] = [];
    for (;;) {
      this.neededBytes = LENGTH_BYTES;
      if (bytes.length < LENGTH_BYTES) break;
      const length = bytes.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) {
        return frameError(`frame of ${length} bytes exceeds the size limit`);
      }
      const end = LENGTH_BYTES + length;
      this.neededBytes = end;
      if (bytes.length < end) break;
      const frame = decodeFrame(bytes.subarray(LENGTH_BYTES, end));
      if (frame.isErr()) return err(frame.error);
      frames.push(frame.value);
      bytes = bytes.subarray(end);
    }
    if (bytes.length > 0) this.buffer.append(bytes);
    return ok(frames);
  }
}

function decodeFrame(bytes: Buffer): Result<Frame, FrameError> {
  try {
    const parsed = frameSchema.safeParse(codec.decode(bytes));
    return parsed.success
      ? ok(parsed.data)
      : frameError('frame does not match the schema');
  } catch {
    return frameError('frame is not valid CBOR');
  }
}

function frameError(message: string): Result<never, FrameError> {
  return err({type: 'bad-frame', message});
}

import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** Text of several tokens in a row. */
export interface TokenBatch {
  text: string;
  /** Offset after the last token. */
  endOffset: number;
  /** Bytes of the log that the tokens take. */
  bytes: number;
}

/**
 * Tokens of one answer in a compact form of about one byte more than the text. An array of
 * strings would take about 30 bytes for a token of 4.
 */
export interface TokenLog {
  add(text: string): number;
  /**
   * Returns tokens from an offset on; at least one when there is one. Offsets only grow: what was
   * read is packed, because it is needed again only for a continuation.
   */
  readBatch(offset: number, maxBytes: number): TokenBatch | undefined;
  /** Returns all tokens held, as an engine takes them for a continuation. */
  list(): string[];
  /** Forgets the packed tokens; the answer can't be continued after that. */
  dropPacked(): void;
  /** Tells whether all tokens added are held. */
  isWhole(): boolean;
  getPackedBytes(): number;
  getEndOffset(): number;
  /** Bytes allocated. */
  getBytes(): number;
}

interface Segment {
  buffer: Buffer;
  used: number;
}

interface Position {
  offset: number;
  segment: number;
  byte: number;
}

const SEGMENT_BYTES = 2_048;

/** Segments packed together; 8 KiB of text shrink to about a third. */
const SEGMENTS_PER_PACK = 4;

/** Length byte of a token whose length takes four more bytes. */
const LONG_MARK = 255;

/** Length byte of a token with half a surrogate pair, which UTF-8 can't hold. */
const UTF16_MARK = 254;

const LENGTH_BYTES = 4;
const LONE_SURROGATE = /\p{Surrogate}/u;

function encodeToken(text: string): Buffer {
  const isUtf16 = LONE_SURROGATE.test(text);
  const body = Buffer.from(text, isUtf16 ? 'utf16le' : 'utf8');
  if (!isUtf16 && body.length < UTF16_MARK) {
    return Buffer.concat([Buffer.of(body.length), body]);
  }
  const head = Buffer.alloc(1 + LENGTH_BYTES);
  head[0] = isUtf16 ? UTF16_MARK : LONG_MARK;
  head.writeUInt32LE(body.length, 1);
  return Buffer.concat([head, body]);
}

interface DecodedToken {
  text: string;
  endByte: number;
}

function decodeToken(buffer: Buffer, byte: number): DecodedToken {
  const mark = buffer[byte] ?? 0;
  if (mark < UTF16_MARK) {
    const endByte = byte + 1 + mark;
    return { text: buffer.toString('utf8', byte + 1, endByte), endByte };
  }
  const start = byte + 1 + LENGTH_BYTES;
  const endByte = start + buffer.readUInt32LE(byte + 1);
  const encoding = mark === UTF16_MARK ? 'utf16le' : 'utf8';
  return { text: buffer.toString(encoding, start, endByte), endByte };
}

function listPacked(pack: Buffer): string[] {
  const buffer = inflateRawSync(pack);
  const texts: string[] = [];
  for (let byte = 0; byte < buffer.length;) {
    const { text, endByte } = decodeToken(buffer, byte);
    texts.push(text);
    byte = endByte;
  }
  return texts;
}

/** Creates the log of an answer whose first token has this offset. */
export function createTokenLog(firstOffset = 0): TokenLog {
  let segments: Segment[] = [];
  let packs: Buffer[] = [];
  let isWhole = true;
  let endOffset = firstOffset;
  const reader: Position = { offset: firstOffset, segment: 0, byte: 0 };

  const packRead = (): void => {
    if (reader.segment < SEGMENTS_PER_PACK) return;
    const read = segments.slice(0, SEGMENTS_PER_PACK);
    const used = read.map(({ buffer, used: end }) => buffer.subarray(0, end));
    packs.push(deflateRawSync(Buffer.concat(used)));
    segments = segments.slice(SEGMENTS_PER_PACK);
    reader.segment -= SEGMENTS_PER_PACK;
  };

  /** Moves over one token; undefined at the end. */
  const readToken = (position: Position): string | undefined => {
    let segment = segments[position.segment];
    if (segment !== undefined && position.byte >= segment.used) {
      if (position.segment + 1 >= segments.length) return undefined;
      position.segment++;
      position.byte = 0;
      segment = segments[position.segment];
    }
    if (segment === undefined) return undefined;
    const { text, endByte } = decodeToken(segment.buffer, position.byte);
    position.byte = endByte;
    position.offset++;
    return text;
  };

  /** Moves the reader to an offset; it reads in order, so that this is rarely more than a check. */
  const setReader = (offset: number): void => {
    while (reader.offset < offset && readToken(reader) !== undefined);
  };

  const getPackedBytes = (): number => packs.reduce((sum, { length }) => sum + length, 0);

  return {
    add(text) {
      const token = encodeToken(text);
      let segment = segments.at(-1);
      if (segment === undefined || segment.used + token.length > segment.buffer.length) {
        const buffer = Buffer.alloc(Math.max(SEGMENT_BYTES, token.length));
        segment = { buffer, used: 0 };
        segments.push(segment);
      }
      token.copy(segment.buffer, segment.used);
      segment.used += token.length;
      endOffset++;
      return token.length;
    },
    readBatch(offset, maxBytes) {
      if (offset >= endOffset) return undefined;
      setReader(offset);
      let text = '';
      let bytes = 0;
      while (bytes < maxBytes) {
        const { segment, byte } = reader;
        const token = readToken(reader);
        if (token === undefined) break;
        bytes += reader.segment === segment ? reader.byte - byte : reader.byte;
        text += token;
      }
      packRead();
      return { text, endOffset: reader.offset, bytes };
    },
    list() {
      const position: Position = { offset: firstOffset, segment: 0, byte: 0 };
      const texts = packs.flatMap(listPacked);
      for (let text = readToken(position); text !== undefined; text = readToken(position)) {
        texts.push(text);
      }
      return texts;
    },
    getEndOffset: () => endOffset,
    dropPacked() {
      if (packs.length > 0) isWhole = false;
      packs = [];
    },
    isWhole: () => isWhole,
    getPackedBytes,
    getBytes: () => getPackedBytes() + segments.reduce((sum, { buffer }) => sum + buffer.length, 0),
  };
}

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

/** How a token is stored. */
interface TokenForm {
  encoding: 'utf8' | 'utf16le';
  bodyBytes: number;
  headBytes: number;
}

function computeForm(text: string): TokenForm {
  const isUtf16 = LONE_SURROGATE.test(text);
  const encoding = isUtf16 ? 'utf16le' : 'utf8';
  const bodyBytes = Buffer.byteLength(text, encoding);
  const isShort = !isUtf16 && bodyBytes < UTF16_MARK;
  return { encoding, bodyBytes, headBytes: isShort ? 1 : 1 + LENGTH_BYTES };
}

/** Writes into the segment itself, because a buffer for each token costs far more than the token. */
function writeToken(buffer: Buffer, byte: number, text: string, form: TokenForm): void {
  const { encoding, bodyBytes, headBytes } = form;
  if (headBytes === 1) {
    buffer[byte] = bodyBytes;
  } else {
    buffer[byte] = encoding === 'utf16le' ? UTF16_MARK : LONG_MARK;
    buffer.writeUInt32LE(bodyBytes, byte + 1);
  }
  buffer.write(text, byte + headBytes, encoding);
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

/** Copies the result, because zlib returns a view of a buffer of 16 KiB. */
function packBytes(bytes: Buffer): Buffer {
  const packed = deflateRawSync(bytes);
  const copy = Buffer.alloc(packed.length);
  packed.copy(copy);
  return copy;
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
    packs.push(packBytes(Buffer.concat(used)));
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
      const form = computeForm(text);
      const bytes = form.headBytes + form.bodyBytes;
      let segment = segments.at(-1);
      if (segment === undefined || segment.used + bytes > segment.buffer.length) {
        const buffer = Buffer.alloc(Math.max(SEGMENT_BYTES, bytes));
        segment = { buffer, used: 0 };
        segments.push(segment);
      }
      writeToken(segment.buffer, segment.used, text, form);
      segment.used += bytes;
      endOffset++;
      return bytes;
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

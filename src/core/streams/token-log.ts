import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** Text of consecutive tokens. */
export interface TokenBatch {
  text: string;
  /** Offset after the last token. */
  endOffset: number;
  /** Size of the tokens in the log, in bytes. */
  bytes: number;
}

/**
 * Compact log of the tokens of one answer, with about one byte of overhead per token. An array of
 * strings would take about 30 bytes for a token of 4 bytes.
 */
export interface TokenLog {
  /** Appends a token and returns its size in the log, in bytes. */
  add(text: string): number;
  /**
   * Returns the tokens from an offset on, at least one if available; otherwise undefined. Offsets
   * must not decrease: tokens that were read are compressed, since only a continuation needs them.
   */
  readBatch(offset: number, maxBytes: number): TokenBatch | undefined;
  /** Returns all tokens held, in the form in which an engine accepts a continuation. */
  list(): string[];
  /** Discards the compressed tokens. The answer can't be continued on another target after that. */
  dropPacked(): void;
  /** Tells whether all tokens that were added are still held. */
  isWhole(): boolean;
  getPackedBytes(): number;
  getEndOffset(): number;
  /** Returns the number of bytes allocated. */
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

/** Segments compressed together; 8 KiB of text shrink to about a third. */
const SEGMENTS_PER_PACK = 4;

/** First header byte of a token whose length follows in four more bytes. */
const LONG_MARK = 255;

/** First header byte of a UTF-16 token: it has a lone surrogate, which UTF-8 can't encode. */
const UTF16_MARK = 254;

const LENGTH_BYTES = 4;
const LONE_SURROGATE = /\p{Surrogate}/u;

/** Storage layout of a token. */
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

/** Writes directly into the segment, because a buffer per token costs far more than the token. */
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

/** Compresses bytes into a buffer of exact size, because zlib returns a view of a 16 KiB buffer. */
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

/** Creates the log of an answer whose first token has the given offset. */
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

  /** Reads one token and advances the position. Returns undefined at the end. */
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

  /** Advances the reader to an offset. Reads are sequential, so it is rarely more than a check. */
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

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
  dropCompressed(): void;
  /** Tells whether all tokens that were added are still held. */
  isComplete(): boolean;
  getCompressedBytes(): number;
  getEndOffset(): number;
  /** Returns the number of bytes allocated. */
  getBytes(): number;
}

interface Segment {
  buffer: Buffer;
  used: number;
}

interface ReadPosition {
  offset: number;
  segment: number;
  byte: number;
}

const SEGMENT_BYTES = 2_048;

/** Segments compressed together; 8 KiB of text shrink to about a third. */
const SEGMENTS_PER_BLOCK = 4;

/** First header byte of a token whose length follows in four more bytes. */
const LONG_MARKER = 255;

/** First header byte of a UTF-16 token: it has a lone surrogate, which UTF-8 can't encode. */
const UTF16_MARKER = 254;

const LENGTH_BYTES = 4;
const LONE_SURROGATE = /\p{Surrogate}/u;

/** Storage layout of a token. */
interface TokenLayout {
  encoding: 'utf8' | 'utf16le';
  bodyBytes: number;
  headerBytes: number;
}

function computeLayout(text: string): TokenLayout {
  const isUtf16 = LONE_SURROGATE.test(text);
  const encoding = isUtf16 ? 'utf16le' : 'utf8';
  const bodyBytes = Buffer.byteLength(text, encoding);
  const isShort = !isUtf16 && bodyBytes < UTF16_MARKER;
  return { encoding, bodyBytes, headerBytes: isShort ? 1 : 1 + LENGTH_BYTES };
}

/** Writes directly into the segment, because a buffer per token costs far more than the token. */
function writeToken(buffer: Buffer, byte: number, text: string, layout: TokenLayout): void {
  const { encoding, bodyBytes, headerBytes } = layout;
  if (headerBytes === 1) {
    buffer[byte] = bodyBytes;
  } else {
    buffer[byte] = encoding === 'utf16le' ? UTF16_MARKER : LONG_MARKER;
    buffer.writeUInt32LE(bodyBytes, byte + 1);
  }
  buffer.write(text, byte + headerBytes, encoding);
}

interface DecodedToken {
  text: string;
  endByte: number;
}

function decodeToken(buffer: Buffer, byte: number): DecodedToken {
  const marker = buffer[byte] ?? 0;
  if (marker < UTF16_MARKER) {
    const endByte = byte + 1 + marker;
    return { text: buffer.toString('utf8', byte + 1, endByte), endByte };
  }
  const start = byte + 1 + LENGTH_BYTES;
  const endByte = start + buffer.readUInt32LE(byte + 1);
  const encoding = marker === UTF16_MARKER ? 'utf16le' : 'utf8';
  return { text: buffer.toString(encoding, start, endByte), endByte };
}

/** Compresses bytes into a buffer of exact size, because zlib returns a view of a 16 KiB buffer. */
function compressBytes(bytes: Buffer): Buffer {
  const compressed = deflateRawSync(bytes);
  const copy = Buffer.alloc(compressed.length);
  compressed.copy(copy);
  return copy;
}

function listCompressedTokens(block: Buffer): string[] {
  const buffer = inflateRawSync(block);
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
  let compressedBlocks: Buffer[] = [];
  let isComplete = true;
  let endOffset = firstOffset;
  const reader: ReadPosition = { offset: firstOffset, segment: 0, byte: 0 };

  const compressReadSegments = (): void => {
    if (reader.segment < SEGMENTS_PER_BLOCK) return;
    const readSegments = segments.slice(0, SEGMENTS_PER_BLOCK);
    const used = readSegments.map(({ buffer, used: end }) => buffer.subarray(0, end));
    compressedBlocks.push(compressBytes(Buffer.concat(used)));
    segments = segments.slice(SEGMENTS_PER_BLOCK);
    reader.segment -= SEGMENTS_PER_BLOCK;
  };

  /** Reads one token and advances the position. Returns undefined at the end. */
  const readToken = (position: ReadPosition): string | undefined => {
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
  const seekReader = (offset: number): void => {
    while (reader.offset < offset && readToken(reader) !== undefined);
  };

  const countCompressedBytes = (): number =>
    compressedBlocks.reduce((sum, { length }) => sum + length, 0);

  return {
    add(text) {
      const layout = computeLayout(text);
      const bytes = layout.headerBytes + layout.bodyBytes;
      let segment = segments.at(-1);
      if (segment === undefined || segment.used + bytes > segment.buffer.length) {
        const buffer = Buffer.alloc(Math.max(SEGMENT_BYTES, bytes));
        segment = { buffer, used: 0 };
        segments.push(segment);
      }
      writeToken(segment.buffer, segment.used, text, layout);
      segment.used += bytes;
      endOffset++;
      return bytes;
    },
    readBatch(offset, maxBytes) {
      if (offset >= endOffset) return undefined;
      seekReader(offset);
      let text = '';
      let bytes = 0;
      while (bytes < maxBytes) {
        const { segment, byte } = reader;
        const token = readToken(reader);
        if (token === undefined) break;
        bytes += reader.segment === segment ? reader.byte - byte : reader.byte;
        text += token;
      }
      compressReadSegments();
      return { text, endOffset: reader.offset, bytes };
    },
    list() {
      const position: ReadPosition = { offset: firstOffset, segment: 0, byte: 0 };
      const texts = compressedBlocks.flatMap(listCompressedTokens);
      for (let text = readToken(position); text !== undefined; text = readToken(position)) {
        texts.push(text);
      }
      return texts;
    },
    getEndOffset: () => endOffset,
    dropCompressed() {
      if (compressedBlocks.length > 0) isComplete = false;
      compressedBlocks = [];
    },
    isComplete: () => isComplete,
    getCompressedBytes: countCompressedBytes,
    getBytes: () =>
      countCompressedBytes() + segments.reduce((sum, { buffer }) => sum + buffer.length, 0),
  };
}

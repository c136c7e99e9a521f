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
  /** Returns tokens from an offset on; at least one when there is one. */
  readBatch(offset: number, maxBytes: number): TokenBatch | undefined;
  /** Returns all tokens, as an engine takes them for a continuation. */
  list(): string[];
  getEndOffset(): number;
  /** Bytes allocated. */
  getBytes(): number;
}

interface Segment {
  firstOffset: number;
  buffer: Buffer;
  used: number;
}

interface Position {
  offset: number;
  segment: number;
  byte: number;
}

const SEGMENT_BYTES = 2_048;

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

/** Creates the log of an answer whose first token has this offset. */
export function createTokenLog(firstOffset = 0): TokenLog {
  const segments: Segment[] = [];
  let endOffset = firstOffset;
  let reader: Position = { offset: firstOffset, segment: 0, byte: 0 };

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
    if (offset < reader.offset) reader = { offset: firstOffset, segment: 0, byte: 0 };
    while (reader.offset < offset && readToken(reader) !== undefined);
  };

  return {
    add(text) {
      const token = encodeToken(text);
      let segment = segments.at(-1);
      if (segment === undefined || segment.used + token.length > segment.buffer.length) {
        const buffer = Buffer.alloc(Math.max(SEGMENT_BYTES, token.length));
        segment = { firstOffset: endOffset, buffer, used: 0 };
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
      return { text, endOffset: reader.offset, bytes };
    },
    list() {
      const position: Position = { offset: firstOffset, segment: 0, byte: 0 };
      const texts: string[] = [];
      for (let text = readToken(position); text !== undefined; text = readToken(position)) {
        texts.push(text);
      }
      return texts;
    },
    getEndOffset: () => endOffset,
    getBytes: () => segments.reduce((sum, { buffer }) => sum + buffer.length, 0),
  };
}

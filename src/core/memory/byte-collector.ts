/** Collects the bytes of a body that arrives in chunks of any size. */
export interface ByteCollector {
  addChunk(chunk: Buffer): void;
  countBytes(): number;
  /** Returns all bytes and starts anew. */
  takeBytes(): Buffer;
}

/**
 * Chunks below this size are copied together. A chunk of a byte takes some hundred bytes of the heap,
 * and holds the whole buffer that the system read it into.
 */
const SMALL_CHUNK_BYTES = 4 * 1024;
/** Size of the blocks that small chunks are copied into. */
const BLOCK_BYTES = 16 * 1024;

/** Creates an empty collector. */
export function createByteCollector(): ByteCollector {
  let parts: Buffer[] = [];
  let block: Buffer | undefined;
  let blockBytes = 0;
  let bytes = 0;

  const closeBlock = (): void => {
    if (block !== undefined) parts.push(block.subarray(0, blockBytes));
    block = undefined;
    blockBytes = 0;
  };

  const addSmallChunk = (chunk: Buffer): void => {
    if (blockBytes + chunk.length > BLOCK_BYTES) closeBlock();
    block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    chunk.copy(block, blockBytes);
    blockBytes += chunk.length;
  };

  return {
    addChunk(chunk) {
      const isFirst = bytes === 0;
      bytes += chunk.length;
      // Most bodies are a single chunk.
      if (!isFirst && chunk.length < SMALL_CHUNK_BYTES) {
        addSmallChunk(chunk);
        return;
      }
      closeBlock();
      parts.push(chunk);
    },
    countBytes: () => bytes,
    takeBytes() {
      closeBlock();
      const whole = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
      parts = [];
      bytes = 0;
      return whole;
    },
  };
}

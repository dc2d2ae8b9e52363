const minCapacityBytes = 1_024;

/** Collects bytes in one buffer that grows, so that no chunk is kept. */
export class ByteBuffer {
  #bytes = Buffer.alloc(0);
  #length = 0;

  /** The memory that the buffer takes. */
  get capacityBytes(): number {
    return this.#bytes.length;
  }

  get length(): number {
    return this.#length;
  }

  /** The capacity after an append of so many bytes. */
  capacityAfter(addedBytes: number): number {
    const neededBytes = this.#length + addedBytes;
    const { capacityBytes } = this;
    if (neededBytes <= capacityBytes) return capacityBytes;
    return Math.max(neededBytes, 2 * capacityBytes, minCapacityBytes);
  }

  append(chunk: Uint8Array): void {
    const capacityBytes = this.capacityAfter(chunk.byteLength);
    if (capacityBytes > this.capacityBytes) {
      // A pooled buffer would keep its pool alive.
      const bytes = Buffer.allocUnsafeSlow(capacityBytes);
      this.#bytes.copy(bytes, 0, 0, this.#length);
      this.#bytes = bytes;
    }
    this.#bytes.set(chunk, this.#length);
    this.#length += chunk.byteLength;
  }

  /** Returns the collected bytes, and is empty afterwards. */
  take(): Buffer {
    const bytes = this.#bytes.subarray(0, this.#length);
    this.#bytes = Buffer.alloc(0);
    this.#length = 0;
    return bytes;
  }
}

import type { PeerId } from "../../schema/peer_id.ts";

const separator = "~";

/** An idempotency key that names the only process that may run the order. */
export class OrderKey {
  constructor(
    readonly home: PeerId,
    readonly incarnation: string,
    readonly mintedAtMs: number,
    readonly nonce: string,
  ) {}

  /** Parses a key; returns undefined unless `toString` can have made it. */
  static parse(text: string): OrderKey | undefined {
    const parts = text.split(separator);
    const [home, incarnation, mintedText, nonce] = parts;
    const mintedAtMs = Number(mintedText);
    const hasAllParts = parts.length === 4 && home && incarnation && nonce;
    if (!hasAllParts || !Number.isSafeInteger(mintedAtMs)) return undefined;
    return new OrderKey(home as PeerId, incarnation, mintedAtMs, nonce);
  }

  toString(): string {
    const { home, incarnation, mintedAtMs, nonce } = this;
    return [home, incarnation, mintedAtMs, nonce].join(separator);
  }
}

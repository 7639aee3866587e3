import { type Secret } from "@galenaglade/settings";
import { createHash, timingSafeEqual } from "node:crypto";

function hash(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

/** Authenticates calls by the fleet key. */
export class Authorization {
    readonly #expected: Buffer;

    constructor(fleetKey: Secret) {
        this.#expected = hash(`Bearer ${fleetKey.reveal()}`);
    }

    /**
     * Compares in constant time. A comparison that ends at the first wrong byte would let an attacker find the key byte
     * by byte from response times. Comparing hashes of equal length reveals neither the key's length nor a prefix.
     *
     * @param header - the request's `authorization` header
     * @returns whether it contains the fleet key
     */
    accepts(header: string | undefined): boolean {
        return timingSafeEqual(hash(header ?? ""), this.#expected);
    }
}

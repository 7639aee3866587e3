import { type Secret } from "@galenaglade/settings";
import { createHash, timingSafeEqual } from "node:crypto";

function hash(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

/** Checks that a call carries the fleet's key. */
export class Authorization {
    readonly #expected: Buffer;

    constructor(fleetKey: Secret) {
        this.#expected = hash(`Bearer ${fleetKey.reveal()}`);
    }

    /**
     * Compares in constant time. A comparison that ends at the first wrong byte lets a stranger find the key byte by
     * byte from the time that refusals take; comparing hashes of equal length gives neither length nor prefix away.
     *
     * @param header - the request's `authorization` header
     * @returns whether it carries the key
     */
    accepts(header: string | undefined): boolean {
        return timingSafeEqual(hash(header ?? ""), this.#expected);
    }
}

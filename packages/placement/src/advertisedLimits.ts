import { type RegisteredServer } from "@galenaglade/fleet-state";

/** What an answer of a backend server says of the requests a second that it takes from all gateways together. */
export type ParsedLimit =
    | { readonly type: "none"; }
    | { readonly type: "named"; readonly perSecond: number; }
    /** Something that is no limit; it says nothing. */
    | { readonly type: "malformed"; readonly text: string; };

/** What this gateway believes of one server's limit. */
export interface AdvertisedLimit {
    readonly perSecond: number;
    /** When the server first named one to this gateway, without an end since. */
    readonly sinceMs: number;
    /** When it last did. */
    readonly lastAdvertisedAtMs: number;
}

/** What a server answered as it named a limit, or none. */
export interface LimitSource {
    readonly answered: "request" | "question";
    /** When that was sent: answers may overtake each other, and only one to what was sent later ends a limit. */
    readonly sentAtMs: number;
}

/** A change of what is believed of a server's limit, for the log. */
export type AdvertisedLimitChange =
    | { readonly type: "named" | "changed"; readonly perSecond: number; readonly before: number | undefined; }
    | { readonly type: "ended"; readonly before: number; readonly heldMs: number; };

interface KnownLimit extends AdvertisedLimit {
    readonly startedAtEpochMs: number | undefined;
    /** Answers to what have named it: a service may do so in one kind only. */
    readonly namedIn: ReadonlySet<LimitSource["answered"]>;
}

/** The limits that backend servers have named, as this gateway heard them. */
export class AdvertisedLimits {
    readonly #limits = new Map<string, KnownLimit>();

    /**
     * A server answered.
     *
     * @param server - as it was when it was sent to
     * @param limit - what the answer says
     * @param source - what it answered
     * @param nowMs - the present time
     * @returns what is believed otherwise now
     */
    onResponse(
        server: RegisteredServer,
        limit: ParsedLimit,
        source: LimitSource,
        nowMs: number,
    ): AdvertisedLimitChange | undefined {
        const known = this.#find(server);
        if (limit.type === "malformed") {
            return undefined;
        }
        if (limit.type === "none") {
            if (
                known === undefined || source.sentAtMs < known.lastAdvertisedAtMs || !known.namedIn.has(source.answered)
            ) {
                return undefined;
            }
            this.#limits.delete(server.id);
            return { type: "ended", before: known.perSecond, heldMs: nowMs - known.sinceMs };
        }
        const { perSecond } = limit;
        this.#limits.set(server.id, {
            perSecond,
            sinceMs: known?.sinceMs ?? nowMs,
            lastAdvertisedAtMs: nowMs,
            startedAtEpochMs: server.startedAtEpochMs,
            namedIn: new Set([...known?.namedIn ?? [], source.answered]),
        });
        if (known?.perSecond === perSecond) {
            return undefined;
        }
        return { type: known === undefined ? "named" : "changed", perSecond, before: known?.perSecond };
    }

    /** @returns a server's limit; one that was started again under its id has named none yet */
    of(server: RegisteredServer): AdvertisedLimit | undefined {
        return this.#find(server);
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#limits.keys()) {
            if (!serverIds.has(serverId)) {
                this.#limits.delete(serverId);
            }
        }
    }

    #find({ id, startedAtEpochMs }: RegisteredServer): KnownLimit | undefined {
        const known = this.#limits.get(id);
        return known?.startedAtEpochMs === startedAtEpochMs ? known : undefined;
    }
}

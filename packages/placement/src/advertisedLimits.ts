import { type RegisteredServer } from "@galenaglade/fleet-state";

/** Limit in a backend server's response: requests per second that it accepts from all gateways together. */
export type ParsedLimit =
    | { readonly type: "none"; }
    | { readonly type: "named"; readonly perSecond: number; }
    /** An invalid value, which is ignored. */
    | { readonly type: "malformed"; readonly text: string; };

/** The limit of one server that is in effect at this gateway. */
export interface AdvertisedLimit {
    readonly perSecond: number;
    /** Arrival of the first response with a limit since the server last had none. */
    readonly sinceMs: number;
    /** Arrival of the latest response with a limit. */
    readonly lastAdvertisedAtMs: number;
}

/** The exchange in whose response a server advertised a limit or none. */
export interface LimitSource {
    readonly answered: "request" | "question";
    /**
     * When the request or probe was sent. Responses may overtake each other, so only a later exchange can end a limit.
     */
    readonly sentAtMs: number;
}

/** Change of a server's limit, for the log. */
export type AdvertisedLimitChange =
    | { readonly type: "named" | "changed"; readonly perSecond: number; readonly before: number | undefined; }
    | { readonly type: "ended"; readonly before: number; readonly heldMs: number; };

interface KnownLimit extends AdvertisedLimit {
    readonly startedAtEpochMs: number | undefined;
    /** Kinds of exchanges whose responses have carried the limit: a service may use only one of them. */
    readonly advertisedIn: ReadonlySet<LimitSource["answered"]>;
}

/** Limits that backend servers have advertised to this gateway. */
export class AdvertisedLimits {
    readonly #limits = new Map<string, KnownLimit>();

    /**
     * Handles the limit in a server's response.
     *
     * @param server - registration of the server when the request or probe was sent
     * @param limit - the limit in the response
     * @param source - the exchange
     * @param nowMs - current time
     * @returns the change of the server's limit, if any
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
                known === undefined || source.sentAtMs < known.lastAdvertisedAtMs
                || !known.advertisedIn.has(source.answered)
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
            advertisedIn: new Set([...known?.advertisedIn ?? [], source.answered]),
        });
        if (known?.perSecond === perSecond) {
            return undefined;
        }
        return { type: known === undefined ? "named" : "changed", perSecond, before: known?.perSecond };
    }

    /** @returns a server's limit; a server that restarted under the same id has none yet */
    of(server: RegisteredServer): AdvertisedLimit | undefined {
        return this.#find(server);
    }

    /** Drops the entries of servers that are no longer registered. */
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

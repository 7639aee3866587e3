import { type RegisteredServer } from "@galenaglade/fleet-state";

/** What an answer of a backend server says of the requests a second that it takes from all gateways together. */
export type NamedLimit =
    | { readonly type: "none"; }
    | { readonly type: "named"; readonly perSecond: number; }
    /** Something that is no limit; it says nothing. */
    | { readonly type: "malformed"; readonly text: string; };

/** What this gateway believes of one server's limit. */
export interface ServerLimit {
    readonly perSecond: number;
    /** When the server first named one to this gateway, without an end since. */
    readonly sinceMs: number;
    /** When it last did. */
    readonly heardAtMs: number;
}

/** A change of what is believed of a server's limit, for the log. */
export type LimitChange =
    | { readonly type: "named" | "changed"; readonly perSecond: number; readonly before: number | undefined; }
    | { readonly type: "ended"; readonly before: number; readonly heldMs: number; };

interface KnownLimit extends ServerLimit {
    readonly startedAtEpochMs: number | undefined;
}

/** The limits that backend servers have named, as this gateway heard them. */
export class ServerLimits {
    readonly #limits = new Map<string, KnownLimit>();

    /**
     * A server answered a request.
     *
     * @param server - as it was when the request was sent
     * @param limit - what the answer says
     * @param sentAtMs - when the request was sent: answers may overtake each other, and only one to a later request ends a limit
     * @param nowMs - the present time
     * @returns what is believed otherwise now
     */
    onAnswer(server: RegisteredServer, limit: NamedLimit, sentAtMs: number, nowMs: number): LimitChange | undefined {
        const known = this.of(server);
        if (limit.type === "malformed") {
            return undefined;
        }
        if (limit.type === "none") {
            if (known === undefined || sentAtMs < known.heardAtMs) {
                return undefined;
            }
            this.#limits.delete(server.id);
            return { type: "ended", before: known.perSecond, heldMs: nowMs - known.sinceMs };
        }
        const { perSecond } = limit;
        this.#limits.set(server.id, {
            perSecond,
            sinceMs: known?.sinceMs ?? nowMs,
            heardAtMs: nowMs,
            startedAtEpochMs: server.startedAtEpochMs,
        });
        if (known?.perSecond === perSecond) {
            return undefined;
        }
        return { type: known === undefined ? "named" : "changed", perSecond, before: known?.perSecond };
    }

    /** @returns a server's limit; one that was started again under its id has named none yet */
    of({ id, startedAtEpochMs }: RegisteredServer): ServerLimit | undefined {
        const known = this.#limits.get(id);
        return known?.startedAtEpochMs === startedAtEpochMs ? known : undefined;
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#limits.keys()) {
            if (!serverIds.has(serverId)) {
                this.#limits.delete(serverId);
            }
        }
    }
}

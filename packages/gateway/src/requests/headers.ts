import { didRunHeader } from "@galenaglade/at-most-once";
import { backendHeaderPrefix, deadlineHeader } from "../constants.js";

/** Names and values in turn, as node and undici take them. */
export type RawHeaders = readonly string[];

/** Headers that belong to one connection and must not be passed on (RFC 9110, section 7.6.1). */
const hopByHop: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

/** Headers that only the gateway may set towards backend servers. */
const setByGateway: ReadonlySet<string> = new Set([deadlineHeader, didRunHeader, "traceparent", "tracestate"]);

/** Headers that a `Connection` header declares as belonging to the connection as well. */
function declaredHopByHop(raw: RawHeaders): ReadonlySet<string> {
    const declared = new Set<string>();
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (raw[i]?.toLowerCase() === "connection") {
            for (const name of (raw[i + 1] ?? "").split(",")) {
                declared.add(name.trim().toLowerCase());
            }
        }
    }
    return declared;
}

function keep(raw: RawHeaders, isDropped: (name: string) => boolean): string[] {
    const declared = declaredHopByHop(raw);
    const kept: string[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = (raw[i] ?? "").toLowerCase();
        if (!hopByHop.has(name) && !declared.has(name) && !isDropped(name)) {
            kept.push(name, raw[i + 1] ?? "");
        }
    }
    return kept;
}

/**
 * Headers for the backend server.
 *
 * @param raw - as the caller sent them
 * @param added - what the gateway says itself
 * @returns names and values in turn
 */
export function resolveForwardHeaders(raw: RawHeaders, added: Readonly<Record<string, string>>): string[] {
    const kept = keep(raw, name => setByGateway.has(name) || name.startsWith(backendHeaderPrefix));
    for (const [name, value] of Object.entries(added)) {
        kept.push(name, value);
    }
    return kept;
}

/**
 * Headers for the caller.
 *
 * @param raw - as the backend server sent them
 * @returns names and values in turn
 */
export function resolveAnswerHeaders(raw: RawHeaders): string[] {
    return keep(raw, name => name.startsWith(backendHeaderPrefix) || name === didRunHeader);
}

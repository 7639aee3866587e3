import { filterEndToEndHeaders, type RawHeaders } from "@galenaglade/http-parts";
import { didRunHeader } from "@galenaglade/at-most-once";
import { backendHeaderPrefix, deadlineHeader } from "../constants.js";

/** Headers that only the gateway may set towards backend servers. */
const setByGateway: ReadonlySet<string> = new Set([deadlineHeader, didRunHeader, "traceparent", "tracestate"]);

/**
 * Headers for the backend server.
 *
 * @param raw - as the caller sent them
 * @param added - what the gateway says itself
 * @returns names and values in turn
 */
export function resolveForwardHeaders(raw: RawHeaders, added: Readonly<Record<string, string>>): string[] {
    const kept = filterEndToEndHeaders(raw, name => setByGateway.has(name) || name.startsWith(backendHeaderPrefix));
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
export function resolveResponseHeaders(raw: RawHeaders): string[] {
    return filterEndToEndHeaders(raw, name => name.startsWith(backendHeaderPrefix) || name === didRunHeader);
}

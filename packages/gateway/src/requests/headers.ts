import { filterEndToEndHeaders, type RawHeaders } from "@galenaglade/http-parts";
import { didRunHeader } from "@galenaglade/at-most-once";
import { backendHeaderPrefix, deadlineHeader } from "../constants.js";

/** Headers to backend servers that only the gateway may set; a caller's own are removed. */
const gatewayOnlyHeaders: ReadonlySet<string> = new Set([deadlineHeader, didRunHeader, "traceparent", "tracestate"]);

/**
 * Builds the headers of a request to a backend server.
 *
 * @param raw - the caller's headers
 * @param added - headers that the gateway itself sets, by name
 * @returns a flat list of alternating names and values
 */
export function resolveForwardHeaders(raw: RawHeaders, added: Readonly<Record<string, string>>): string[] {
    const kept = filterEndToEndHeaders(
        raw,
        name => gatewayOnlyHeaders.has(name) || name.startsWith(backendHeaderPrefix),
    );
    for (const [name, value] of Object.entries(added)) {
        kept.push(name, value);
    }
    return kept;
}

/**
 * Builds the headers of a response to a caller.
 *
 * @param raw - the backend server's headers
 * @returns a flat list of alternating names and values
 */
export function resolveResponseHeaders(raw: RawHeaders): string[] {
    return filterEndToEndHeaders(raw, name => name.startsWith(backendHeaderPrefix) || name === didRunHeader);
}

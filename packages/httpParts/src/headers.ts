/** Alternating names and values, as in Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** Hop-by-hop headers, which must not be forwarded (RFC 9110, section 7.6.1). */
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

/** Finds further hop-by-hop headers, which are named by a `Connection` header. */
function findConnectionHeaders(raw: RawHeaders): ReadonlySet<string> {
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

/**
 * Removes hop-by-hop headers and those selected by a predicate.
 *
 * @param raw - the received headers
 * @param isDropped - called with the lower-case name of each end-to-end header
 * @returns alternating lower-case names and values
 */
export function filterEndToEndHeaders(raw: RawHeaders, isDropped: (name: string) => boolean): string[] {
    const declared = findConnectionHeaders(raw);
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
 * @param raw - the headers
 * @param name - header name in lower case
 * @returns the values of all headers with that name
 */
export function findHeaders(raw: RawHeaders, name: string): readonly string[] {
    return raw.filter((_, i) => i % 2 === 1 && raw[i - 1]?.toLowerCase() === name);
}

/**
 * @param raw - the headers
 * @param name - header name in lower case
 * @returns the value of the first header with that name
 */
export function findHeader(raw: RawHeaders, name: string): string | undefined {
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (raw[i]?.toLowerCase() === name) {
            return raw[i + 1];
        }
    }
    return undefined;
}

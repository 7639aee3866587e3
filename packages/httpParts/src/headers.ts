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

/**
 * Leaves out the headers that belong to one connection, and those that a caller of this function sets itself.
 *
 * @param raw - as received
 * @param isDropped - asked for each other header by its lower-case name
 * @returns names in lower case and values, in turn
 */
export function filterEndToEndHeaders(raw: RawHeaders, isDropped: (name: string) => boolean): string[] {
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
 * @param raw - names and values in turn
 * @param name - in lower case
 * @returns all values under that name
 */
export function findHeaders(raw: RawHeaders, name: string): readonly string[] {
    return raw.filter((_, i) => i % 2 === 1 && raw[i - 1]?.toLowerCase() === name);
}

/**
 * @param raw - names and values in turn
 * @param name - in lower case
 * @returns the first value under that name
 */
export function findHeader(raw: RawHeaders, name: string): string | undefined {
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (raw[i]?.toLowerCase() === name) {
            return raw[i + 1];
        }
    }
    return undefined;
}

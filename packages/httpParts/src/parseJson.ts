/**
 * Parses JSON that may be anything, for a schema to check.
 *
 * @param text - as received
 * @returns the value, or `undefined` for what is no JSON, which no schema of an object takes
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

/**
 * Parses untrusted JSON for validation by a schema.
 *
 * @param text - received text
 * @returns the parsed value, or `undefined` for invalid JSON, which every object schema rejects
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

/** Where the command writes. */
export interface Terminal {
    /** Writes one line of results. */
    out(line: string): void;
    /** Writes one line about a failure. */
    err(line: string): void;
}

/**
 * Makes a text safe for a terminal: what others wrote could move the cursor or hide lines.
 *
 * @param text - any text
 * @returns the text, with a `?` for each control character but line breaks
 */
export function replaceControlCharacters(text: string): string {
    return text.replace(/[\u0000-\u0009\u000b-\u001f\u007f-\u009f]/g, "?");
}

/**
 * Lays rows out in columns.
 *
 * @param header - names of the columns
 * @param rows - their cells
 * @returns lines, columns two spaces apart and none padded at the end
 */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): readonly string[] {
    const lines = [header, ...rows];
    const widths = header.map((_, i) => Math.max(...lines.map(line => (line[i] ?? "").length)));
    return lines.map(line => line.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join("  ").trimEnd());
}

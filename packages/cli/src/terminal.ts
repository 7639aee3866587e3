/** Output of a command. */
export interface Terminal {
    /** Writes one line of results to standard output. */
    out(line: string): void;
    /** Writes one line about a failure to standard error. */
    err(line: string): void;
}

/**
 * Makes untrusted text safe to print: control characters could move the cursor or hide lines.
 *
 * @param text - any text
 * @returns the text, with each control character other than a line feed replaced by `?`
 */
export function replaceControlCharacters(text: string): string {
    return text.replace(/[\u0000-\u0009\u000b-\u001f\u007f-\u009f]/g, "?");
}

/**
 * Formats rows as a table.
 *
 * @param header - names of the columns
 * @param rows - cells of each row
 * @returns lines of text, with columns two spaces apart and no trailing spaces
 */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): readonly string[] {
    const lines = [header, ...rows];
    const widths = header.map((_, i) => Math.max(...lines.map(line => (line[i] ?? "").length)));
    return lines.map(line => line.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join("  ").trimEnd());
}

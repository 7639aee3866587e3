import { type LogLine } from "./logLine.js";

/** Period before the end of a request from which context events are included, in milliseconds. */
const contextPeriodMs = 5_000;

/** Log events about a process's view of the fleet, its dependencies and its own state. */
const contextEvents: ReadonlySet<string> = new Set([
    "belief",
    "storeLost",
    "storeRegained",
    "serverReach",
    "stopping",
    "started",
]);

/**
 * Collects the log lines that explain the outcome of one request: every line with its id or its content id, from any
 * host, and the preceding context events on the hosts that handled it.
 *
 * @param requestId - the request's id
 * @param lines - log lines of all hosts, in any order
 * @returns the lines in order of time; empty if no line has the request's id
 */
export function explainRequest(requestId: string, lines: readonly LogLine[]): readonly LogLine[] {
    const ownLines = lines.filter(({ fields }) => fields["requestId"] === requestId);
    const last = [...ownLines].sort(compareTime).at(-1);
    if (last === undefined) {
        return [];
    }
    const processes = new Set(ownLines.map(({ process }) => process));
    const contents = new Set(ownLines.flatMap(({ fields }) => formatValue(fields["contentId"]) || []));
    const servers = new Set(ownLines.flatMap(({ fields }) => getServerNames(fields)));
    const untilMs = Date.parse(last.time);
    const context = lines.filter(line => {
        const ageMs = untilMs - Date.parse(line.time);
        return processes.has(line.process) && ageMs >= 0 && ageMs <= contextPeriodMs && isRelevant(line, servers);
    });
    const sameContent = lines.filter(line =>
        !ownLines.includes(line) && contents.has(formatValue(line.fields["contentId"]))
    );
    return [...ownLines, ...sameContent, ...context].sort(compareTime);
}

/** A cause of failed requests, with the number of requests. */
export interface FailureCause {
    readonly kind: string;
    readonly detail: string;
    readonly count: number;
    /** Id of the first request that failed for this cause. */
    readonly example: string;
}

/**
 * Counts failed requests by cause.
 *
 * @param lines - log lines of all hosts, in any order
 * @returns the causes, most frequent first
 */
export function summarizeFailures(lines: readonly LogLine[]): readonly FailureCause[] {
    const causes = new Map<string, FailureCause>();
    for (const { message, fields } of [...lines].sort(compareTime)) {
        // The host that responded to the caller also logs the failure of a handed-over request; count only that line.
        if (message !== "requestFailed" || fields["handedOverBy"] !== undefined) {
            continue;
        }
        const kind = formatValue(fields["kind"]);
        const detail = formatValue(fields["detail"]);
        const key = `${kind}\n${detail}`;
        const known = causes.get(key) ?? { kind, detail, count: 0, example: formatValue(fields["requestId"]) };
        causes.set(key, { ...known, count: known.count + 1 });
    }
    return [...causes.values()].sort((a, b) => b.count - a.count);
}

/** @returns the log line as human-readable text */
export function formatLine({ time, process, message, fields }: LogLine): string {
    const values = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`);
    return [time, process, message, ...values].join(" ");
}

function isRelevant({ message, fields }: LogLine, servers: ReadonlySet<string>): boolean {
    if (!contextEvents.has(message)) {
        return false;
    }
    if (message !== "belief" || fields["subject"] === "configuration" || fields["subject"] === "availabilityZone") {
        return true;
    }
    return servers.has(formatValue(fields["name"]));
}

/** @returns names of the backend servers in a request's log line */
function getServerNames(fields: LogLine["fields"]): readonly string[] {
    const listed = formatValue(fields["servers"]).split(",");
    return [...listed, formatValue(fields["from"]), formatValue(fields["to"])].filter(name => name !== "");
}

function formatValue(value: unknown): string {
    return typeof value === "string" ? value : value === undefined ? "" : JSON.stringify(value);
}

function compareTime(a: LogLine, b: LogLine): number {
    return Date.parse(a.time) - Date.parse(b.time);
}

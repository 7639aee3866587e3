import { type LogLine } from "./logLine.js";

/** Period before the end of a request from which context events are included, in milliseconds. */
const contextMs = 5_000;

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
    const own = lines.filter(({ fields }) => fields["requestId"] === requestId);
    const last = [...own].sort(byTime).at(-1);
    if (last === undefined) {
        return [];
    }
    const processes = new Set(own.map(({ process }) => process));
    const contents = new Set(own.flatMap(({ fields }) => textOf(fields["contentId"]) || []));
    const servers = new Set(own.flatMap(({ fields }) => namesOf(fields)));
    const untilMs = Date.parse(last.time);
    const context = lines.filter(line => {
        const ageMs = untilMs - Date.parse(line.time);
        return processes.has(line.process) && ageMs >= 0 && ageMs <= contextMs && concerns(line, servers);
    });
    const sameContent = lines.filter(line => !own.includes(line) && contents.has(textOf(line.fields["contentId"])));
    return [...own, ...sameContent, ...context].sort(byTime);
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
    for (const { message, fields } of [...lines].sort(byTime)) {
        // The host that responded to the caller also logs the failure of a handed-over request; count only that line.
        if (message !== "requestFailed" || fields["handedOverBy"] !== undefined) {
            continue;
        }
        const kind = textOf(fields["kind"]);
        const detail = textOf(fields["detail"]);
        const key = `${kind}\n${detail}`;
        const known = causes.get(key) ?? { kind, detail, count: 0, example: textOf(fields["requestId"]) };
        causes.set(key, { ...known, count: known.count + 1 });
    }
    return [...causes.values()].sort((a, b) => b.count - a.count);
}

/** @returns the log line as human-readable text */
export function formatLine({ time, process, message, fields }: LogLine): string {
    const values = Object.entries(fields).map(([name, value]) => `${name}=${textOf(value)}`);
    return [time, process, message, ...values].join(" ");
}

function concerns({ message, fields }: LogLine, servers: ReadonlySet<string>): boolean {
    if (!contextEvents.has(message)) {
        return false;
    }
    if (message !== "belief" || fields["subject"] === "configuration" || fields["subject"] === "availabilityZone") {
        return true;
    }
    return servers.has(textOf(fields["name"]));
}

/** @returns names of the backend servers in a request's log line */
function namesOf(fields: LogLine["fields"]): readonly string[] {
    const listed = textOf(fields["servers"]).split(",");
    return [...listed, textOf(fields["from"]), textOf(fields["to"])].filter(name => name !== "");
}

function textOf(value: unknown): string {
    return typeof value === "string" ? value : value === undefined ? "" : JSON.stringify(value);
}

function byTime(a: LogLine, b: LogLine): number {
    return Date.parse(a.time) - Date.parse(b.time);
}

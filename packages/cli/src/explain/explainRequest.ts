import { type LogLine } from "./logLine.js";

/** How long before a request's end what a process learnt is told with it, in milliseconds. */
const contextMs = 5_000;

/** Events that change what a process believes, or what it depends on. */
const contextEvents: ReadonlySet<string> = new Set([
    "belief",
    "storeLost",
    "storeRegained",
    "serverReach",
    "stopping",
    "started",
]);

/**
 * Tells the story of one request: every line that names it on any host, or another request with the same content, and what the
 * hosts concerned learnt of its servers, their store and themselves shortly before.
 *
 * @param requestId - the request's id
 * @param lines - lines of all hosts, in any order
 * @returns the lines of the story in order of time; empty where no line names the request
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

/** One cause of failed requests. */
export interface FailureCause {
    readonly kind: string;
    readonly detail: string;
    readonly count: number;
    /** The first request that failed so. */
    readonly example: string;
}

/**
 * Counts failed requests by their cause, most frequent first.
 *
 * @param lines - lines of all hosts
 */
export function summarizeFailures(lines: readonly LogLine[]): readonly FailureCause[] {
    const causes = new Map<string, FailureCause>();
    for (const { message, fields } of [...lines].sort(byTime)) {
        // What another host failed at is told by the host that answered the caller.
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

/** @returns the line for a person */
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

/** Backend servers that a request's line names. */
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

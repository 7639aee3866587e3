import { type HistoryLine, type Violation } from "@galenaglade/history";
import { serviceOf as resolveService } from "./soakConfiguration.js";
import { type Spans } from "./spans.js";

/** How long after an answer under one version a gateway may still send under an older one, in milliseconds. */
const rollbackSlackMs = 250;

/** What the checker needs to know besides the history. */
export interface MovingRouteInput {
    /** Service of each backend server. */
    readonly serviceOf: ReadonlyMap<string, string>;
    readonly harmed: Spans;
    /** Time after its acceptance in which a version must be in force. */
    readonly applyMs: number;
    /** Calm time after which every gateway must know what the store says. */
    readonly settledMs: number;
}

interface Version {
    readonly revision: number;
    readonly writtenAtMs: number;
    acceptedAtMs: number;
}

interface MovingRequest {
    readonly gatewayLife: string;
    readonly sentAtMs: number;
}

/**
 * Checks the route that goes to another service with each version: an accepted version is in force in time, and no life
 * of a gateway goes back to an older one after its callers have seen a newer one.
 *
 * @param history - every line of a run, in the order of its times
 * @param input - what is known besides
 * @returns what was found against it; empty where the invariant held
 */
export function checkMovingRoute(history: readonly HistoryLine[], input: MovingRouteInput): readonly Violation[] {
    const versions: Version[] = [];
    const requests = new Map<string, MovingRequest>();
    const ranIn = new Map<string, string>();
    const seenBy = new Map<string, { readonly atMs: number; readonly revision: number; }[]>();
    const violations: Violation[] = [];
    for (const line of history) {
        switch (line.type) {
            case "configurationWritten":
                versions.push({ revision: line.revision, writtenAtMs: line.atMs, acceptedAtMs: Infinity });
                break;
            case "configurationAccepted":
                for (const version of versions) {
                    version.acceptedAtMs = version.revision === line.revision ? line.atMs : version.acceptedAtMs;
                }
                break;
            case "callerSent":
                if (line.service === "moving") {
                    requests.set(line.requestId, { gatewayLife: line.process, sentAtMs: line.atMs });
                }
                break;
            case "serverStarted": {
                const request = requests.get(line.requestId);
                const service = input.serviceOf.get(line.server);
                if (request === undefined || service === undefined) {
                    break;
                }
                ranIn.set(line.requestId, service);
                const least = Math.max(findDue(versions, request, line.atMs, input), findSeen(seenBy, request));
                const allowed = versions.some(({ revision }) =>
                    revision >= least && resolveService("moving", revision) === service
                );
                if (!allowed) {
                    violations.push({
                        invariant: "configurationInForce",
                        detail: `${line.requestId} went to ${service}, as no version from ${least} on says`,
                        lines: [line.sequence],
                    });
                }
                break;
            }
            case "callerAnswered": {
                const request = requests.get(line.requestId);
                const service = ranIn.get(line.requestId);
                if (request === undefined || service === undefined || line.status !== 200) {
                    break;
                }
                const seen = seenBy.get(request.gatewayLife) ?? [];
                seenBy.set(request.gatewayLife, seen);
                const before = seen.at(-1)?.revision ?? 0;
                const shown = versions.find(({ revision }) =>
                    revision >= before && resolveService("moving", revision) === service
                );
                if (shown !== undefined) {
                    seen.push({ atMs: line.atMs, revision: shown.revision });
                }
            }
        }
    }
    return violations;
}

/** @returns the oldest version by which a request may be handled, for all that was accepted; 0 where nothing is due */
function findDue(
    versions: readonly Version[],
    { sentAtMs }: MovingRequest,
    ranAtMs: number,
    { harmed, applyMs, settledMs }: MovingRouteInput,
): number {
    if (!harmed.isCalm(sentAtMs - settledMs, ranAtMs)) {
        return 0;
    }
    const due = versions.filter(({ acceptedAtMs }) => acceptedAtMs + applyMs < sentAtMs);
    return Math.max(0, ...due.map(({ revision }) => revision));
}

/** @returns the newest version that this life of the gateway has surely shown before the request was sent */
function findSeen(
    seenBy: ReadonlyMap<string, readonly { readonly atMs: number; readonly revision: number; }[]>,
    { gatewayLife, sentAtMs }: MovingRequest,
): number {
    const seen = (seenBy.get(gatewayLife) ?? []).filter(({ atMs }) => atMs + rollbackSlackMs < sentAtMs);
    return seen.at(-1)?.revision ?? 0;
}

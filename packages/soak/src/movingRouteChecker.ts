import { type HistoryLine, type Violation } from "@galenaglade/history";
import { resolveRouteService as resolveService } from "./soakConfiguration.js";
import { type FaultWindows } from "./faultWindows.js";

/** How long after an answer under one version a gateway may still send under an older one, in milliseconds. */
const rollbackSlackMs = 250;

/** What the checker needs to know besides the history. */
export interface MovingRouteInput {
    /** Service of each backend server. */
    readonly serviceOf: ReadonlyMap<string, string>;
    readonly faultWindows: FaultWindows;
    /** Time after its acceptance in which a version must be in force. */
    readonly applyMs: number;
    /** Calm time after which every gateway must know what the store says. */
    readonly convergenceMs: number;
}

interface Version {
    readonly revision: number;
    acceptedAtMs: number;
}

interface MovingRequest {
    readonly gatewayLife: string;
    readonly sentAtMs: number;
    /** Service of the server that ran it last. */
    ranIn: string | undefined;
}

interface SeenVersion {
    readonly atMs: number;
    readonly revision: number;
}

type LineOf<Type extends HistoryLine["type"]> = Extract<HistoryLine, { readonly type: Type; }>;

const okStatus = 200;

/**
 * Checks the route that goes to another service with each version: an accepted version is in force in time, and no life
 * of a gateway goes back to an older one after its callers have seen a newer one.
 *
 * @param history - every line of a run, in the order of its times
 * @param input - what is known besides
 * @returns what was found against it; empty where the invariant held
 */
export function checkMovingRoute(history: readonly HistoryLine[], input: MovingRouteInput): readonly Violation[] {
    const checker = new MovingRouteChecker(input);
    for (const line of history) {
        checker.onLine(line);
    }
    return checker.violations;
}

class MovingRouteChecker {
    readonly violations: Violation[] = [];
    readonly #input: MovingRouteInput;
    readonly #versions: Version[] = [];
    readonly #requests = new Map<string, MovingRequest>();
    /** What each life of a gateway has surely shown, oldest first. */
    readonly #seen = new Map<string, SeenVersion[]>();

    constructor(input: MovingRouteInput) {
        this.#input = input;
    }

    onLine(line: HistoryLine): void {
        switch (line.type) {
            case "configurationWritten":
                this.#versions.push({ revision: line.revision, acceptedAtMs: Infinity });
                return;
            case "configurationAccepted":
                this.#onAccepted(line);
                return;
            case "callerSent":
                this.#onSent(line);
                return;
            case "serverStarted":
                this.#onStarted(line);
                return;
            case "callerAnswered":
                this.#onAnswered(line);
        }
    }

    #onAccepted({ revision, atMs }: LineOf<"configurationAccepted">): void {
        for (const version of this.#versions) {
            version.acceptedAtMs = version.revision === revision ? atMs : version.acceptedAtMs;
        }
    }

    #onSent({ service, requestId, process, atMs }: LineOf<"callerSent">): void {
        if (service === "moving") {
            this.#requests.set(requestId, { gatewayLife: process, sentAtMs: atMs, ranIn: undefined });
        }
    }

    #onStarted(line: LineOf<"serverStarted">): void {
        const request = this.#requests.get(line.requestId);
        const service = this.#input.serviceOf.get(line.server);
        if (request === undefined || service === undefined) {
            return;
        }
        request.ranIn = service;
        const least = Math.max(this.#findDue(request, line.atMs), this.#findSeen(request));
        if (this.#findShown(service, least) === undefined) {
            this.violations.push({
                invariant: "configurationInForce",
                detail: `${line.requestId} went to ${service}, as no version from ${least} on says`,
                lines: [line.sequence],
            });
        }
    }

    #onAnswered({ requestId, status, atMs }: LineOf<"callerAnswered">): void {
        const request = this.#requests.get(requestId);
        if (request?.ranIn === undefined || status !== okStatus) {
            return;
        }
        const seen = this.#seen.get(request.gatewayLife) ?? [];
        this.#seen.set(request.gatewayLife, seen);
        const shown = this.#findShown(request.ranIn, seen.at(-1)?.revision ?? 0);
        if (shown !== undefined) {
            seen.push({ atMs, revision: shown.revision });
        }
    }

    /** @returns the oldest version, from one on, by which the route goes to a service */
    #findShown(service: string, least: number): Version | undefined {
        return this.#versions.find(({ revision }) =>
            revision >= least && resolveService("moving", revision) === service
        );
    }

    /** @returns the oldest version by which a request may be handled, for all that was accepted; 0 where nothing is due */
    #findDue({ sentAtMs }: MovingRequest, ranAtMs: number): number {
        const { faultWindows, applyMs, convergenceMs } = this.#input;
        if (!faultWindows.isFaultFree(sentAtMs - convergenceMs, ranAtMs)) {
            return 0;
        }
        const due = this.#versions.filter(({ acceptedAtMs }) => acceptedAtMs + applyMs < sentAtMs);
        return Math.max(0, ...due.map(({ revision }) => revision));
    }

    /** @returns the newest version that this life of the gateway has surely shown before the request was sent */
    #findSeen({ gatewayLife, sentAtMs }: MovingRequest): number {
        const seen = (this.#seen.get(gatewayLife) ?? []).filter(({ atMs }) => atMs + rollbackSlackMs < sentAtMs);
        return seen.at(-1)?.revision ?? 0;
    }
}

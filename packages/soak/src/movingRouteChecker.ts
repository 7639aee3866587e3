import { type HistoryLine, type Violation } from "@galenaglade/history";
import { resolveRouteService } from "./soakConfiguration.js";
import { type FaultWindows } from "./faultWindows.js";

/** How long after a response under one version a gateway may still send under an older one, in milliseconds. */
const staleSendGraceMs = 250;

/** The input of the checker besides the history. */
export interface MovingRouteInput {
    /** Service of each backend server, by server ID. */
    readonly serviceOf: ReadonlyMap<string, string>;
    /** When a fault affected the store, a gateway, or a connection between them. */
    readonly faultWindows: FaultWindows;
    /** Time after its acceptance until a version must be in force, in milliseconds. */
    readonly applyMs: number;
    /** Time without faults after which every gateway must have the store's state, in milliseconds. */
    readonly convergenceMs: number;
}

interface Version {
    readonly revision: number;
    acceptedAtMs: number;
}

interface MovingRequest {
    readonly gatewayIncarnation: string;
    readonly sentAtMs: number;
    /** Service of the server that last ran it; `undefined` before the first. */
    lastService: string | undefined;
}

interface ServedVersion {
    readonly atMs: number;
    readonly revision: number;
}

type LineOf<Type extends HistoryLine["type"]> = Extract<HistoryLine, { readonly type: Type; }>;

const okStatus = 200;

/**
 * Checks the route whose service changes with each configuration version: an accepted version is in force in time, and
 * no incarnation of a gateway returns to an older version after its callers have seen a newer one.
 *
 * @param history - all lines of a run, in chronological order
 * @param input - further input of the checker
 * @returns the violations; empty if there are none
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
    /** Versions that each gateway incarnation has provably served, oldest first. */
    readonly #servedVersions = new Map<string, ServedVersion[]>();

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
            this.#requests.set(requestId, { gatewayIncarnation: process, sentAtMs: atMs, lastService: undefined });
        }
    }

    #onStarted(line: LineOf<"serverStarted">): void {
        const request = this.#requests.get(line.requestId);
        const service = this.#input.serviceOf.get(line.server);
        if (request === undefined || service === undefined) {
            return;
        }
        request.lastService = service;
        const minRevision = Math.max(this.#findRequiredRevision(request, line.atMs), this.#findServedRevision(request));
        if (this.#findRoutingVersion(service, minRevision) === undefined) {
            this.violations.push({
                invariant: "configurationInForce",
                detail: `${line.requestId} went to ${service}, which no version since ${minRevision} routes to`,
                lines: [line.sequence],
            });
        }
    }

    #onAnswered({ requestId, status, atMs }: LineOf<"callerAnswered">): void {
        const request = this.#requests.get(requestId);
        if (request?.lastService === undefined || status !== okStatus) {
            return;
        }
        const served = this.#servedVersions.get(request.gatewayIncarnation) ?? [];
        this.#servedVersions.set(request.gatewayIncarnation, served);
        const version = this.#findRoutingVersion(request.lastService, served.at(-1)?.revision ?? 0);
        if (version !== undefined) {
            served.push({ atMs, revision: version.revision });
        }
    }

    /** @returns the oldest version, not older than `minRevision`, that routes to a service */
    #findRoutingVersion(service: string, minRevision: number): Version | undefined {
        return this.#versions.find(({ revision }) =>
            revision >= minRevision && resolveRouteService("moving", revision) === service
        );
    }

    /** @returns the newest revision that must be in force for a request; 0 if none, or if a fault excuses it */
    #findRequiredRevision({ sentAtMs }: MovingRequest, ranAtMs: number): number {
        const { faultWindows, applyMs, convergenceMs } = this.#input;
        if (!faultWindows.isFaultFree(sentAtMs - convergenceMs, ranAtMs)) {
            return 0;
        }
        const due = this.#versions.filter(({ acceptedAtMs }) => acceptedAtMs + applyMs < sentAtMs);
        return Math.max(0, ...due.map(({ revision }) => revision));
    }

    /** @returns the newest revision that the gateway incarnation has served before the request was sent; 0 if none */
    #findServedRevision({ gatewayIncarnation, sentAtMs }: MovingRequest): number {
        const served = (this.#servedVersions.get(gatewayIncarnation) ?? []).filter(({ atMs }) =>
            atMs + staleSendGraceMs < sentAtMs
        );
        return served.at(-1)?.revision ?? 0;
    }
}

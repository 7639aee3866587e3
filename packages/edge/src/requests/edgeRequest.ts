import { type ConfigurationInForce, type Route, type ServiceRules } from "@galenaglade/fleet-state";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type RawHeaders } from "@galenaglade/http-parts";
import { pickDestination } from "@galenaglade/placement";
import { type RandomSource } from "@galenaglade/routing";
import { type CallerIdentity, authenticate, type RejectionReason } from "@galenaglade/workspaces";
import { type Either, Left, Right } from "purify-ts";
import { type HandoverMetadata } from "../handover/handoverMessages.js";
import { type EdgeMetadataCodec, type ForwardIdentity } from "../metadataCodec.js";

/** What the gateway reads from a request's head. */
export interface RequestHead {
    readonly method: string;
    /** Path and query as sent. */
    readonly url: string;
    readonly authority: string;
    readonly headers: RawHeaders;
    /** Address of the connection that it came on. */
    readonly callerAddress: string;
    /** Where another gateway handed it over: what that one said of it. */
    readonly handover?: HandoverMetadata | undefined;
    /** Declared length of the body; `undefined` where it is sent in chunks. */
    readonly bodyBytes: number | undefined;
}

/** A caller's request, understood. */
export interface EdgeRequest extends RequestHead {
    readonly requestId: string | undefined;
    readonly route: Route;
    /** On whose behalf it is made; holds a secret and is never logged. */
    readonly admission: CallerIdentity;
    /** Rank; 0 goes first. Its workspace's goes before its route's. */
    readonly priority: number;
    readonly rules: ServiceRules;
    /** Version of the configuration that it was understood by. */
    readonly version: number;
    readonly maximumBodyBytes: number;
    readonly arrivedAtMs: number;
    /** Name of the gateway that took it from its caller, where that is another one. */
    readonly handedOverBy: string | undefined;
    /** When its caller gives up. */
    readonly deadlineMs: number;
    /** When its final answer is due: at its caller's deadline or its route's timeout. */
    readonly cutoffMs: number;
}

/**
 * Understands a request by the configuration in force.
 *
 * @param head - as received
 * @param inForce - the configuration
 * @param vocabulary - names what the head says
 * @param random - draws the service among the route's destinations
 * @param nowMs - when it arrived
 * @returns the request, or why it can't be taken
 */
export function resolveEdgeRequest(
    head: RequestHead,
    inForce: ConfigurationInForce,
    vocabulary: EdgeMetadataCodec,
    random: RandomSource,
    nowMs: number,
): Either<Failure, EdgeRequest> {
    const { limits, version } = inForce.configuration;
    if (!head.url.startsWith("/")) {
        return Left(createFailure("badRequest", "the request target must be a path"));
    }
    const route = inForce.routes.find(head.authority, pathOf(head.url));
    if (route === undefined) {
        return Left(createFailure("noSuchService", "no route for this authority and path"));
    }
    const { requestId, patienceMs, callerKey } = vocabulary.readRequest(head.headers);
    const admission = authenticate(callerKey, inForce.workspaces, route.open ?? false);
    if (typeof admission === "string") {
        return Left(createFailure("unauthenticated", rejectionDetails[admission]));
    }
    if (countHeaderBytes(head.headers) > limits.maximumHeaderBytes) {
        return Left(createFailure("headersTooLarge", `at most ${limits.maximumHeaderBytes} bytes are taken`));
    }
    if (head.bodyBytes !== undefined && head.bodyBytes > limits.maximumBodyBytes) {
        return Left(createFailure("bodyTooLarge", `at most ${limits.maximumBodyBytes} bytes are taken`));
    }
    const service = findOrdered(route, head.handover) ?? pickDestination(route, random);
    const rules = service === undefined ? undefined : inForce.services.get(service);
    if (rules === undefined) {
        return Left(createFailure("noBackendServer", `route ${route.name} leads to no service`));
    }
    const times = resolveTimes(head.handover, patienceMs ?? route.timeoutMs, route.timeoutMs, nowMs);
    return Right({
        ...head,
        requestId,
        route: head.handover === undefined
            ? route
            : { ...route, maximumRuns: Math.min(route.maximumRuns, head.handover.runs) },
        admission,
        priority: (admission.type === "known" ? admission.workspace.priority : undefined) ?? route.priority,
        rules,
        version,
        maximumBodyBytes: limits.maximumBodyBytes,
        handedOverBy: head.handover?.from,
        ...times,
    });
}

/** A request keeps the service that it was drawn to, or the shares of a route's destinations would be dealt twice. */
function findOrdered({ destinations }: Route, order: HandoverMetadata | undefined): string | undefined {
    return destinations.find(({ service, weight }) => service === order?.service && weight > 0)?.service;
}

function resolveTimes(
    order: HandoverMetadata | undefined,
    patienceMs: number,
    timeoutMs: number,
    nowMs: number,
): Pick<EdgeRequest, "arrivedAtMs" | "deadlineMs" | "cutoffMs"> {
    const arrivedAtMs = nowMs - (order?.ageMs ?? 0);
    const deadlineMs = order === undefined ? nowMs + patienceMs : nowMs + order.remainingMs;
    return { arrivedAtMs, deadlineMs, cutoffMs: Math.min(deadlineMs, arrivedAtMs + timeoutMs) };
}

/** @returns what a backend server is told of a request's caller */
export function resolveIdentity(admission: CallerIdentity): ForwardIdentity {
    return admission.type === "known" ? { type: "workspace", name: admission.workspace.name } : admission;
}

const rejectionDetails: Readonly<Record<RejectionReason, string>> = {
    noKey: "the request carries no key",
    malformedKey: "the request's key can't be read",
    unknownKey: "no workspace holds the request's key",
};

function pathOf(url: string): string {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
}

/** Bytes of the head as sent: each header with its colon, space and line end. */
function countHeaderBytes(headers: RawHeaders): number {
    let bytes = 0;
    for (let i = 0; i + 1 < headers.length; i += 2) {
        bytes += (headers[i] ?? "").length + (headers[i + 1] ?? "").length + 4;
    }
    return bytes;
}

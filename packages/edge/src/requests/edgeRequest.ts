import { type ConfigurationInForce, type Route, type ServiceRules } from "@galenaglade/fleet-state";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type RawHeaders } from "@galenaglade/http-parts";
import { pickDestination } from "@galenaglade/placement";
import { type RandomSource } from "@galenaglade/routing";
import { type CallerIdentity, authenticate, type RejectionReason } from "@galenaglade/workspaces";
import { type Either, Left, Right } from "purify-ts";
import { type HandoverMetadata } from "../handover/handoverMessages.js";
import { type EdgeMetadataCodec, type ForwardIdentity } from "../metadataCodec.js";

/** A request's head as received. */
export interface RequestHead {
    readonly method: string;
    /** Path and query as sent by the caller. */
    readonly url: string;
    readonly authority: string;
    readonly headers: RawHeaders;
    /** Remote address of the caller's connection. */
    readonly callerAddress: string;
    /** Metadata from the gateway that handed the request over; `undefined` if it came from a caller directly. */
    readonly handover?: HandoverMetadata | undefined;
    /** Declared length of the body in bytes; `undefined` with chunked transfer encoding. */
    readonly bodyBytes: number | undefined;
}

/** A caller's request, resolved against the configuration. */
export interface EdgeRequest extends RequestHead {
    readonly requestId: string | undefined;
    readonly route: Route;
    /** Identity of the caller. Holds a secret and is never logged. */
    readonly callerIdentity: CallerIdentity;
    /** 0 is the most urgent. The workspace's priority takes precedence over the route's. */
    readonly priority: number;
    readonly rules: ServiceRules;
    /** Version of the configuration that the request was resolved against. */
    readonly version: number;
    readonly maximumBodyBytes: number;
    readonly arrivedAtMs: number;
    /** Name of the gateway that received the request from its caller; `undefined` if it is this one. */
    readonly handedOverBy: string | undefined;
    /** When the caller gives up, by the monotonic clock. */
    readonly deadlineMs: number;
    /** When the final response is due: the caller's deadline or the route's timeout, whichever comes first. */
    readonly cutoffMs: number;
}

/**
 * Resolves a request against the configuration in force: its route, its workspace, its service and its deadlines.
 *
 * @param head - request head as received
 * @param inForce - the configuration in force
 * @param metadataCodec - reads the product-specific headers
 * @param random - picks one of the route's weighted destinations
 * @param nowMs - arrival time by the monotonic clock
 * @returns the request, or why it is rejected
 */
export function resolveEdgeRequest(
    head: RequestHead,
    inForce: ConfigurationInForce,
    metadataCodec: EdgeMetadataCodec,
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
    const { requestId, patienceMs, callerKey } = metadataCodec.readRequest(head.headers);
    const callerIdentity = authenticate(callerKey, inForce.workspaces, route.open ?? false);
    if (typeof callerIdentity === "string") {
        return Left(createFailure("unauthenticated", rejectionDetails[callerIdentity]));
    }
    if (countHeaderBytes(head.headers) > limits.maximumHeaderBytes) {
        return Left(createFailure("headersTooLarge", `at most ${limits.maximumHeaderBytes} bytes are taken`));
    }
    if (head.bodyBytes !== undefined && head.bodyBytes > limits.maximumBodyBytes) {
        return Left(createFailure("bodyTooLarge", `at most ${limits.maximumBodyBytes} bytes are taken`));
    }
    const service = findHandedOverService(route, head.handover) ?? pickDestination(route, random);
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
        callerIdentity: callerIdentity,
        priority: (callerIdentity.type === "known" ? callerIdentity.workspace.priority : undefined) ?? route.priority,
        rules,
        version,
        maximumBodyBytes: limits.maximumBodyBytes,
        handedOverBy: head.handover?.from,
        ...times,
    });
}

/** A handed-over request keeps the service that the first gateway picked: a new pick would skew the traffic split. */
function findHandedOverService({ destinations }: Route, handover: HandoverMetadata | undefined): string | undefined {
    return destinations.find(({ service, weight }) => service === handover?.service && weight > 0)?.service;
}

function resolveTimes(
    handover: HandoverMetadata | undefined,
    patienceMs: number,
    timeoutMs: number,
    nowMs: number,
): Pick<EdgeRequest, "arrivedAtMs" | "deadlineMs" | "cutoffMs"> {
    const arrivedAtMs = nowMs - (handover?.ageMs ?? 0);
    const deadlineMs = handover === undefined ? nowMs + patienceMs : nowMs + handover.remainingMs;
    return { arrivedAtMs, deadlineMs, cutoffMs: Math.min(deadlineMs, arrivedAtMs + timeoutMs) };
}

/** @returns the caller's identity as it is forwarded to backend servers */
export function resolveIdentity(callerIdentity: CallerIdentity): ForwardIdentity {
    return callerIdentity.type === "known"
        ? { type: "workspace", name: callerIdentity.workspace.name }
        : callerIdentity;
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

/** Counts the bytes of the headers as sent: each one with its colon, space and line end. */
function countHeaderBytes(headers: RawHeaders): number {
    let bytes = 0;
    for (let i = 0; i + 1 < headers.length; i += 2) {
        bytes += (headers[i] ?? "").length + (headers[i + 1] ?? "").length + 4;
    }
    return bytes;
}

import { type ConfigurationInForce, type Route, type ServiceRules } from "@galenaglade/fleet-state";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type RawHeaders } from "@galenaglade/http-parts";
import { drawDestination } from "@galenaglade/placement";
import { type RandomSource } from "@galenaglade/routing";
import { type Either, Left, Right } from "purify-ts";
import { type EdgeVocabulary } from "../vocabulary.js";

/** What the gateway reads from a request's head. */
export interface RequestHead {
    readonly method: string;
    /** Path and query as sent. */
    readonly url: string;
    readonly authority: string;
    readonly headers: RawHeaders;
    /** Address of the connection that it came on. */
    readonly callerAddress: string;
    /** Declared length of the body; `undefined` where it is sent in chunks. */
    readonly bodyBytes: number | undefined;
}

/** A caller's request, understood. */
export interface EdgeRequest extends RequestHead {
    readonly requestId: string | undefined;
    readonly route: Route;
    readonly rules: ServiceRules;
    /** Version of the configuration that it was understood by. */
    readonly version: number;
    readonly maximumBodyBytes: number;
    readonly arrivedAtMs: number;
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
    vocabulary: EdgeVocabulary,
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
    if (countHeaderBytes(head.headers) > limits.maximumHeaderBytes) {
        return Left(createFailure("headersTooLarge", `at most ${limits.maximumHeaderBytes} bytes are taken`));
    }
    if (head.bodyBytes !== undefined && head.bodyBytes > limits.maximumBodyBytes) {
        return Left(createFailure("bodyTooLarge", `at most ${limits.maximumBodyBytes} bytes are taken`));
    }
    const service = drawDestination(route, random);
    const rules = service === undefined ? undefined : inForce.services.get(service);
    if (rules === undefined) {
        return Left(createFailure("noBackendServer", `route ${route.name} leads to no service`));
    }
    const { requestId, patienceMs } = vocabulary.readRequest(head.headers);
    const deadlineMs = nowMs + (patienceMs ?? route.timeoutMs);
    return Right({
        ...head,
        requestId,
        route,
        rules,
        version,
        maximumBodyBytes: limits.maximumBodyBytes,
        arrivedAtMs: nowMs,
        deadlineMs,
        cutoffMs: Math.min(deadlineMs, nowMs + route.timeoutMs),
    });
}

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

import { idempotencyKeyHeader } from "@galenaglade/at-most-once";
import { defaultCallerKind, resolvePatience } from "@galenaglade/configuration";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { type ServiceRoute, type ServiceTable } from "./serviceTable.js";

/** Request line and headers of a caller's request. */
export interface RequestHead {
    readonly method: string;
    /** Path and query as sent. */
    readonly url: string;
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
}

/** A caller's request, parsed and matched to a service. */
export interface CallerRequest {
    readonly id: number;
    readonly method: string;
    readonly url: string;
    readonly route: ServiceRoute;
    readonly callerKind: string;
    readonly arrivedAtMs: number;
    /** The caller's deadline, on the monotonic clock. */
    readonly deadlineMs: number;
    /** Whether the request may run more than once without harm. */
    readonly idempotent: boolean;
    /** The caller's `Idempotency-Key`, if it sent one. */
    readonly idempotencyKey: string | undefined;
    /** Size of the body in bytes; `undefined` with chunked transfer encoding. */
    readonly bodyBytes: number | undefined;
}

/** Arrival time of a request, on the monotonic and the wall clock. */
export interface Arrival {
    readonly monotonicMs: number;
    readonly epochMs: number;
}

let lastId = 0;

/**
 * Parses a request's head and matches it to a service.
 *
 * @param head - method, URL and headers as received
 * @param table - services of the current configuration
 * @param arrival - arrival time
 * @returns the request, or why it is refused
 */
export function parseCallerRequest(
    head: RequestHead,
    table: ServiceTable,
    arrival: Arrival,
): Either<Failure, CallerRequest> {
    if (!head.url.startsWith("/")) {
        return Left(createFailure("badRequest", "the request target must be a path"));
    }
    const route = table.find(firstValue(head.headers["host"]) ?? "", stripQuery(head.url));
    if (route === undefined) {
        return Left(createFailure("noSuchService", "no service is declared for this authority and path"));
    }
    const { service, configuration } = route;
    const idempotencyKey = firstValue(head.headers[idempotencyKeyHeader]);
    const idempotent = !service.nonIdempotentMethods.includes(head.method);
    if (!idempotent && service.requireIdempotencyKey && (idempotencyKey ?? "") === "") {
        return Left(createFailure("badRequest", `${service.name} needs an Idempotency-Key header for ${head.method}`));
    }
    const bodyBytes = resolveBodyBytes(head);
    if (bodyBytes !== undefined && bodyBytes > service.maximumBodyBytes) {
        return Left(createFailure("bodyTooLarge", `at most ${service.maximumBodyBytes} bytes are taken`));
    }
    const callerKind = firstValue(head.headers[configuration.callerKindHeader.toLowerCase()]) ?? defaultCallerKind;
    const patienceMs = resolvePatience(configuration, service, callerKind, arrival.epochMs);
    return Right({
        id: ++lastId,
        method: head.method,
        url: head.url,
        route,
        callerKind,
        arrivedAtMs: arrival.monotonicMs,
        deadlineMs: arrival.monotonicMs + patienceMs,
        idempotent,
        idempotencyKey,
        bodyBytes,
    });
}

function resolveBodyBytes(head: RequestHead): number | undefined {
    if (head.headers["transfer-encoding"] !== undefined) {
        return undefined;
    }
    return Number(firstValue(head.headers["content-length"]) ?? 0);
}

function stripQuery(url: string): string {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
}

function firstValue(value: string | readonly string[] | undefined): string | undefined {
    return typeof value === "string" ? value : value?.[0];
}

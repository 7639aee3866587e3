import { idempotencyKeyHeader } from "@galenaglade/at-most-once";
import { defaultCallerKind, resolvePatience } from "@galenaglade/configuration";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { type ServiceRoute, type ServiceTable } from "./serviceTable.js";

/** What the gateway reads from a request's head. */
export interface RequestHead {
    readonly method: string;
    /** Path and query as sent. */
    readonly url: string;
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
}

/** A caller's request, understood. */
export interface CallerRequest {
    readonly id: number;
    readonly method: string;
    readonly url: string;
    readonly route: ServiceRoute;
    readonly callerKind: string;
    readonly arrivedAtMs: number;
    /** When the caller's patience ends, on the monotonic clock. */
    readonly deadlineMs: number;
    /** Whether running it twice does no harm. */
    readonly idempotent: boolean;
    /** The caller's `Idempotency-Key`, where it sent one. */
    readonly idempotencyKey: string | undefined;
    /** Bytes of the body; `undefined` where it is sent in chunks. */
    readonly bodyBytes: number | undefined;
}

/** When a request arrived, on both clocks. */
export interface Arrival {
    readonly monotonicMs: number;
    readonly epochMs: number;
}

let lastId = 0;

/**
 * Understands a request's head.
 *
 * @param head - as received
 * @param table - the services in force
 * @param arrival - when it arrived
 * @returns the request, or why it can't be taken
 */
export function resolveCallerRequest(
    head: RequestHead,
    table: ServiceTable,
    arrival: Arrival,
): Either<Failure, CallerRequest> {
    if (!head.url.startsWith("/")) {
        return Left(createFailure("badRequest", "the request target must be a path"));
    }
    const route = table.find(first(head.headers["host"]) ?? "", pathOf(head.url));
    if (route === undefined) {
        return Left(createFailure("noSuchService", "no service is declared for this authority and path"));
    }
    const { service, configuration } = route;
    const idempotencyKey = first(head.headers[idempotencyKeyHeader]);
    const idempotent = !service.nonIdempotentMethods.includes(head.method);
    if (!idempotent && service.requireIdempotencyKey && (idempotencyKey ?? "") === "") {
        return Left(createFailure("badRequest", `${service.name} needs an Idempotency-Key header for ${head.method}`));
    }
    const bodyBytes = resolveBodyBytes(head);
    if (bodyBytes !== undefined && bodyBytes > service.maximumBodyBytes) {
        return Left(createFailure("bodyTooLarge", `at most ${service.maximumBodyBytes} bytes are taken`));
    }
    const callerKind = first(head.headers[configuration.callerKindHeader.toLowerCase()]) ?? defaultCallerKind;
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
    return Number(first(head.headers["content-length"]) ?? 0);
}

function pathOf(url: string): string {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
}

function first(value: string | readonly string[] | undefined): string | undefined {
    return typeof value === "string" ? value : value?.[0];
}

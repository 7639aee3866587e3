import { createFailure, type ErrorKind, type Failure } from "@galenaglade/errors";
import { createConnector } from "@galenaglade/http-parts";
import { type Either, Left, Right } from "purify-ts";
import { Agent, request } from "undici";
import { clientHeader, type Operation } from "./protocol.js";

/** Addresses and timeouts of the platform's service. */
export interface PlatformClientOptions {
    /** URLs such as `http://10.0.0.1:7000`, without a path; the first one that accepts a connection is used. */
    readonly addresses: readonly string[];
    /** Name of this client, for the service's accounting. */
    readonly client: string;
    /** Timeout of one call in milliseconds; a watch adds its long-poll time. */
    readonly timeoutMs?: number | undefined;
    /** Timeout for opening a connection, in milliseconds. */
    readonly connectTimeoutMs?: number | undefined;
}

const defaultTimeoutMs = 2_000;
const defaultConnectTimeoutMs = 500;
/** Maximum size of a response, in bytes. */
const maxResponseBytes = 33_554_432;

/** HTTP client of the platform's service with its own connection pool and failover between addresses. */
export class PlatformClient {
    readonly #options: PlatformClientOptions;
    readonly #agent: Agent;
    #current = 0;

    constructor(options: PlatformClientOptions) {
        this.#options = options;
        // No pipelining: an aborted call destroys its connection, which may be dead, and pipelined calls would be lost
        // with it. The next call opens a new connection.
        this.#agent = new Agent({
            pipelining: 1,
            connect: createConnector({ timeoutMs: options.connectTimeoutMs ?? defaultConnectTimeoutMs }),
            headersTimeout: 0,
            bodyTimeout: 0,
            maxResponseSize: maxResponseBytes,
        });
    }

    /**
     * Sends one call, at most once: retries are left to callers, who know whether the operation may be repeated. If no
     * connection to an address can be opened, nothing was sent and the next address is tried.
     *
     * @param operation - one of the protocol's operations
     * @param body - request body
     * @param more - `waitMs`: long-poll time added by the service; `slackMs`: timeout after that, instead of the
     * default; `signal`: aborts the call
     * @returns the validated response, or `storeUnavailable`, `storeOutcomeUnknown`, `storeRateLimited` or `notFound`
     */
    async call<Req, Res>(
        operation: Operation<Req, Res>,
        body: Req,
        more: {
            readonly waitMs?: number;
            readonly slackMs?: number | undefined;
            readonly signal?: AbortSignal | undefined;
        } = {},
    ): Promise<Either<Failure, Res>> {
        const timeout = AbortSignal.timeout(
            (more.slackMs ?? this.#options.timeoutMs ?? defaultTimeoutMs) + (more.waitMs ?? 0),
        );
        const signal = more.signal === undefined ? timeout : AbortSignal.any([timeout, more.signal]);
        const { addresses } = this.#options;
        let failure = createFailure("storeUnavailable", `${operation.path}: the platform has no address`);
        for (let tried = 0; tried < addresses.length; tried++) {
            const address = addresses[this.#current % addresses.length] ?? "";
            try {
                return await this.#send(address, operation, body, signal);
            }
            catch (err) {
                const detail = `${operation.path}: ${err instanceof Error ? err.message : "failed"}`;
                if (!isBeforeSending(err)) {
                    return Left(createFailure(resolveLoss(operation), detail));
                }
                failure = createFailure("storeUnavailable", detail);
                this.#current++;
            }
        }
        return Left(failure);
    }

    async #send<Req, Res>(
        address: string,
        operation: Operation<Req, Res>,
        body: Req,
        signal: AbortSignal,
    ): Promise<Either<Failure, Res>> {
        const res = await request(address + operation.path, {
            method: "POST",
            dispatcher: this.#agent,
            headers: { "content-type": "application/json", [clientHeader]: this.#options.client },
            body: JSON.stringify(body),
            signal,
        });
        if (res.statusCode !== 200) {
            await res.body.dump();
            return Left(resolveRefusal(res.statusCode, operation));
        }
        const parsed = operation.response.safeParse(await res.body.json());
        if (!parsed.success) {
            return Left(createFailure(resolveLoss(operation), `${operation.path}: the answer is malformed`));
        }
        return Right(parsed.data);
    }

    /** Aborts all pending calls and closes the connections. */
    async close(): Promise<void> {
        await this.#agent.destroy();
    }
}

/** The service sends 503 and 429 only before an operation takes effect; other error statuses leave the outcome open. */
function resolveRefusal(status: number, operation: Operation<unknown, unknown>): Failure {
    const detail = `${operation.path}: status ${status}`;
    switch (status) {
        case 404:
            return createFailure("notFound", detail);
        case 429:
            return createFailure("storeRateLimited", detail);
        case 503:
            return createFailure("storeUnavailable", detail);
        default:
            return createFailure(resolveLoss(operation), detail);
    }
}

/** A write may have taken effect although its response was lost; a read has no effect. */
function resolveLoss(operation: Pick<Operation<unknown, unknown>, "writes">): ErrorKind {
    return operation.writes ? "storeOutcomeUnknown" : "storeUnavailable";
}

/**
 * Only a failed connection attempt proves that nothing was sent; any later error may occur after the call took effect.
 */
function isBeforeSending(err: unknown): boolean {
    if (!(err instanceof Error)) {
        return false;
    }
    const { code, syscall } = err as NodeJS.ErrnoException;
    return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}

import { createFailure, type ErrorKind, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { Agent, request } from "undici";
import { clientHeader, type Operation } from "./protocol.js";

/** Where the platform's service is, and how long it may take. */
export interface PlatformClientOptions {
    /** Such as `http://10.0.0.1:7000`, without a path; the first one to which a connection opens is used. */
    readonly addresses: readonly string[];
    /** Who calls, for the service's own accounts. */
    readonly client: string;
    /** Whole time of one call in milliseconds; a watch adds its waiting time. */
    readonly timeoutMs?: number | undefined;
    /** Time to open a connection in milliseconds. */
    readonly connectTimeoutMs?: number | undefined;
}

const defaultTimeoutMs = 2_000;
const defaultConnectTimeoutMs = 500;

/** One caller's connections to the platform's service. */
export class PlatformClient {
    readonly #options: PlatformClientOptions;
    readonly #agent: Agent;
    #current = 0;

    constructor(options: PlatformClientOptions) {
        this.#options = options;
        // No pipelining: a call given up on destroys its connection, which may have gone silent for good, and with
        // pipelining the calls behind it would be lost with it. The next call opens a new one.
        this.#agent = new Agent({
            pipelining: 1,
            connect: { timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs },
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /**
     * Makes one call. It is sent once: whether to try again is for those to say who know what it means. An address to
     * which no connection opens was sent nothing, so that the next one may be tried.
     *
     * @param operation - a row of the protocol's table
     * @param body - what the operation asks
     * @param more - a waiting time in milliseconds that the service adds on purpose, the time beyond it where that isn't the usual
     * one, and a signal that gives the call up
     * @returns the checked answer, or `storeUnavailable`, `storeOutcomeUnknown`, `storeRateLimited` or `notFound`
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
        const answer = operation.response.safeParse(await res.body.json());
        if (!answer.success) {
            return Left(createFailure(resolveLoss(operation), `${operation.path}: the answer is malformed`));
        }
        return Right(answer.data);
    }

    /** Gives up every open call and closes the connections. */
    async close(): Promise<void> {
        await this.#agent.destroy();
    }
}

/** 503 and 429 are said before an operation takes effect; of any other status nothing can be concluded. */
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

/** A write whose answer was lost may have taken effect; a read can't have. */
function resolveLoss(operation: Pick<Operation<unknown, unknown>, "writes">): ErrorKind {
    return operation.writes ? "storeOutcomeUnknown" : "storeUnavailable";
}

/** Only a connection that was never opened shows that nothing was sent; any later error may follow the effect. */
function isBeforeSending(err: unknown): boolean {
    if (!(err instanceof Error)) {
        return false;
    }
    const { code, syscall } = err as NodeJS.ErrnoException;
    return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}

import { type Client, createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { OperatorService } from "@galenaglade/schema";
import { type Secret } from "@galenaglade/settings";
import { type Either, Left, Right } from "purify-ts";
import { type CallError, toCallError } from "./callOutcome.js";
import { callTimeoutMs, maxCallAttempts, maxRetryDelayMs, pingIntervalMs, retryDelayMs } from "./constants.js";

/** Client of the operator API. */
export type OperatorClient = Client<typeof OperatorService>;

/** Options of an {@link AdminClient}. */
export interface AdminClientOptions {
    /** URLs of admin servers; any of them can handle any call. */
    readonly addresses: readonly string[];
    readonly fleetKey: Secret;
    /** Sleeps for a number of milliseconds; returns early if the command is interrupted. */
    readonly sleep: (ms: number) => Promise<void>;
    /** Aborted when the command is interrupted. */
    readonly signal: AbortSignal;
    /** Timeout of one call, in milliseconds. */
    readonly callTimeoutMs?: number | undefined;
}

/** Calls the admin servers and retries calls that get no response. */
export class AdminClient {
    readonly #options: AdminClientOptions;
    #nextAddress = 0;

    constructor(options: AdminClientOptions) {
        this.#options = options;
    }

    /** Whether the command has been interrupted. */
    get isInterrupted(): boolean {
        return this.#options.signal.aborted;
    }

    /**
     * Sleeps; returns early if the command is interrupted.
     *
     * @param ms - duration in milliseconds
     */
    async sleep(ms: number): Promise<void> {
        await this.#options.sleep(ms);
    }

    /**
     * Makes one call, and retries it at the next address while there is no response.
     *
     * The response to a change may be lost after the change took effect: the host stopped, the connection became
     * unresponsive, or the store's response was lost. A retry under a new change id would conflict with the first
     * attempt or apply the change twice. `make` therefore sends the same message, with the same change id, in every
     * attempt, and the server detects the duplicate.
     *
     * @param makeCall - makes one attempt
     * @returns the response, or the failure of the last attempt
     */
    async call<T>(
        makeCall: (operator: OperatorClient, options: CallOptions) => Promise<T>,
    ): Promise<Either<CallError, T>> {
        for (let attempt = 1;; attempt++) {
            const result = await this.#attempt(makeCall);
            if (result.isRight()) {
                return result;
            }
            const error = result.extract() as CallError;
            if (!error.retryable || attempt === maxCallAttempts || this.isInterrupted) {
                return Left(error);
            }
            await this.sleep(Math.min(error.retryAfterMs ?? retryDelayMs, maxRetryDelayMs));
        }
    }

    async #attempt<T>(
        makeCall: (operator: OperatorClient, options: CallOptions) => Promise<T>,
    ): Promise<Either<CallError, T>> {
        const { operator, close } = this.#connect();
        const timeoutMs = this.#options.callTimeoutMs ?? callTimeoutMs;
        try {
            return Right(await makeCall(operator, { timeoutMs, signal: this.#options.signal }));
        }
        catch (err) {
            return Left(toCallError(err));
        }
        finally {
            close();
        }
    }

    /**
     * Reads a response stream until it ends.
     *
     * @param open - opens the stream
     * @param onEvent - called for each message
     * @returns the reason why the stream ended
     */
    async followStream<T>(
        open: (operator: OperatorClient, options: CallOptions) => AsyncIterable<T>,
        onEvent: (event: T) => void,
    ): Promise<CallError> {
        const { operator, close } = this.#connect();
        try {
            for await (const event of open(operator, { signal: this.#options.signal })) {
                onEvent(event);
            }
            return toCallError(undefined);
        }
        catch (err) {
            return toCallError(err);
        }
        finally {
            close();
        }
    }

    /** Opens a new connection for every attempt, since the previous one may have become unresponsive. */
    #connect(): { readonly operator: OperatorClient; readonly close: () => void; } {
        const { addresses, fleetKey } = this.#options;
        const baseUrl = addresses[this.#nextAddress++ % addresses.length] ?? "";
        const sessionManager = new Http2SessionManager(baseUrl, { pingIntervalMs });
        const authorize: Interceptor = next => req => {
            req.header.set("authorization", `Bearer ${fleetKey.reveal()}`);
            return next(req);
        };
        const transport = createConnectTransport({
            baseUrl,
            httpVersion: "2",
            interceptors: [authorize],
            sessionManager,
        });
        return { operator: createClient(OperatorService, transport), close: () => sessionManager.abort() };
    }
}

/** Options of a single call. */
export interface CallOptions {
    readonly timeoutMs?: number;
    readonly signal: AbortSignal;
}

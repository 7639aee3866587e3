import { type Client, createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { OperatorService } from "@galenaglade/schema";
import { type Secret } from "@galenaglade/settings";
import { type Either, Left, Right } from "purify-ts";
import { type CallError, toCallError } from "./callOutcome.js";
import { callTimeoutMs, maxCallAttempts, maxRetryDelayMs, pingIntervalMs, retryDelayMs } from "./constants.js";

/** The calls of the schema file. */
export type OperatorClient = Client<typeof OperatorService>;

/** How to reach the operators' servers. */
export interface AdminClientOptions {
    /** URLs of operators' servers; each can answer any call. */
    readonly addresses: readonly string[];
    readonly fleetKey: Secret;
    /** Waits, in milliseconds; early where the command is interrupted. */
    readonly pause: (ms: number) => Promise<void>;
    /** Aborted when the command is interrupted. */
    readonly signal: AbortSignal;
    /** How long one call may take, in milliseconds. */
    readonly callTimeoutMs?: number | undefined;
}

/** Makes calls, and sends unanswered ones again. */
export class AdminClient {
    readonly #options: AdminClientOptions;
    #next = 0;

    constructor(options: AdminClientOptions) {
        this.#options = options;
    }

    /** Whether the command is interrupted. */
    get isInterrupted(): boolean {
        return this.#options.signal.aborted;
    }

    /**
     * Waits.
     *
     * @param ms - how long, in milliseconds
     */
    async pause(ms: number): Promise<void> {
        await this.#options.pause(ms);
    }

    /**
     * Makes one call, and sends it again to the next address while it goes unanswered.
     *
     * The failure: the answer of a change is lost after the change took effect, because the host stopped, the
     * connection went silent or the store's own answer was lost. Sent again with another id, a change would conflict
     * with itself or take effect twice; `make` gives every try the same message and so the same change id, by which
     * the server recognises it.
     *
     * @param make - makes the call
     * @returns its answer, or why the last try failed
     */
    async call<T>(make: (operator: OperatorClient, options: CallOptions) => Promise<T>): Promise<Either<CallError, T>> {
        for (let i = 1;; i++) {
            const tried = await this.#try(make);
            if (tried.isRight()) {
                return tried;
            }
            const error = tried.extract() as CallError;
            if (!error.retryable || i === maxCallAttempts || this.isInterrupted) {
                return Left(error);
            }
            await this.pause(Math.min(error.retryAfterMs ?? retryDelayMs, maxRetryDelayMs));
        }
    }

    async #try<T>(make: (operator: OperatorClient, options: CallOptions) => Promise<T>): Promise<Either<CallError, T>> {
        const { operator, close } = this.#connect();
        const timeoutMs = this.#options.callTimeoutMs ?? callTimeoutMs;
        try {
            return Right(await make(operator, { timeoutMs, signal: this.#options.signal }));
        }
        catch (err) {
            return Left(toCallError(err));
        }
        finally {
            close();
        }
    }

    /**
     * Follows a stream until it ends.
     *
     * @param open - opens the stream
     * @param onEvent - gets what it brings
     * @returns why it ended
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

    /** A new connection for every try: the last one may have gone silent for good. */
    #connect(): { readonly operator: OperatorClient; readonly close: () => void; } {
        const { addresses, fleetKey } = this.#options;
        const baseUrl = addresses[this.#next++ % addresses.length] ?? "";
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

/** What each call is made with. */
export interface CallOptions {
    readonly timeoutMs?: number;
    readonly signal: AbortSignal;
}

import { createFailure, type Failure } from "@galenaglade/errors";
import { type ServerAddress } from "@galenaglade/fleet-state";
import { parseJson } from "@galenaglade/http-parts";
import { type Either, Left, Right } from "purify-ts";
import { Client } from "undici";
import { catchUpTimeoutMs, relayLongPollGraceMs, relayLongPollMs } from "../constants.js";
import {
    contactResponse,
    contactPath,
    relayResponse,
    type RelayResponse,
    relayPath,
    relayParams,
    relayStatus,
} from "./relayMessages.js";

/** A question for changes. */
export interface RelayRequest {
    readonly address: ServerAddress;
    readonly afterRevision: number;
    /** Whether to wait for changes; otherwise the answer comes at once. */
    readonly longPoll: boolean;
    readonly signal: AbortSignal;
}

/** Asks other gateways for changes of the store. */
export abstract class RelayClient {
    /**
     * @param req - what to ask, and whom
     * @returns the changes, or `storeHistoryLost` where the peer doesn't know that far back, `bodyTooLarge` where there are some that it
     * doesn't pass on, or why none came
     */
    abstract fetchChanges(req: RelayRequest): Promise<Either<Failure, RelayResponse>>;

    /**
     * @param address - of any gateway
     * @returns for how long it has heard the store without an outage, in milliseconds, or why it doesn't say
     */
    abstract fetchStoreContactMs(address: ServerAddress): Promise<Either<Failure, number>>;
    abstract close(): void;
}

/** Asks over one kept connection. */
export class HttpRelayClient extends RelayClient {
    #client: Client | undefined;
    #origin = "";

    override async fetchChanges(
        { address, afterRevision, longPoll, signal }: RelayRequest,
    ): Promise<Either<Failure, RelayResponse>> {
        const waitMs = longPoll ? relayLongPollMs : 0;
        const timeout = AbortSignal.timeout(resolveRelayTimeoutMs(longPoll));
        try {
            const res = await this.#connect(address).request({
                method: "GET",
                path: relayPath,
                query: { [relayParams.after]: String(afterRevision), [relayParams.wait]: String(waitMs) },
                signal: AbortSignal.any([timeout, signal]),
            });
            const text = await res.body.text();
            return parseRelayResponse(res.statusCode, text);
        }
        catch (err) {
            // A connection that may have gone silent for good must not be asked again.
            this.close();
            return Left(createFailure("peerUnreachable", err instanceof Error ? err.message : String(err)));
        }
    }

    override async fetchStoreContactMs({ host, port }: ServerAddress): Promise<Either<Failure, number>> {
        // A connection of its own: the kept one is for the relay, which is asked at the same time.
        const client = new Client(`http://${host}:${port}`, { connect: { timeout: catchUpTimeoutMs } });
        try {
            const signal = AbortSignal.timeout(catchUpTimeoutMs);
            const res = await client.request({ method: "GET", path: contactPath, signal });
            return parseContactResponse(res.statusCode, await res.body.text());
        }
        catch (err) {
            return Left(createFailure("peerUnreachable", err instanceof Error ? err.message : String(err)));
        }
        finally {
            client.destroy().catch(() => undefined);
        }
    }

    override close(): void {
        this.#client?.destroy().catch(() => undefined);
        this.#client = undefined;
    }

    #connect({ host, port }: ServerAddress): Client {
        const origin = `http://${host}:${port}`;
        if (this.#client === undefined || this.#origin !== origin) {
            this.close();
            this.#origin = origin;
            this.#client = new Client(origin, { connect: { timeout: catchUpTimeoutMs } });
        }
        return this.#client;
    }
}

/** @returns how long an answer is waited for, in milliseconds */
export function resolveRelayTimeoutMs(waits: boolean): number {
    return waits ? relayLongPollMs + relayLongPollGraceMs : catchUpTimeoutMs;
}

/** @returns what a peer's answer says, or why it says nothing */
export function parseRelayResponse(status: number, text: string): Either<Failure, RelayResponse> {
    if (status === relayStatus.gone) {
        return Left(createFailure("storeHistoryLost", "the peer doesn't know that far back"));
    }
    if (status === relayStatus.tooLarge) {
        return Left(createFailure("bodyTooLarge", "the changes are too large to be passed on"));
    }
    if (status === relayStatus.unavailable) {
        return Left(createFailure("storeUnavailable", "the peer doesn't reach the store"));
    }
    if (status !== relayStatus.ok) {
        return Left(createFailure("peerUnreachable", `status ${status}`));
    }
    const parsed = relayResponse.safeParse(parseJson(text));
    return parsed.success ? Right(parsed.data) : Left(createFailure("peerUnreachable", "the answer is malformed"));
}

/** @returns for how long a peer has heard the store, or why it doesn't say */
export function parseContactResponse(status: number, text: string): Either<Failure, number> {
    if (status !== relayStatus.ok) {
        return Left(createFailure("peerUnreachable", `status ${status}`));
    }
    const parsed = contactResponse.safeParse(parseJson(text));
    return parsed.success
        ? Right(parsed.data.heardForMs)
        : Left(createFailure("peerUnreachable", "the answer is malformed"));
}

import { createFailure, type Failure } from "@galenaglade/errors";
import { type ServerAddress } from "@galenaglade/fleet-state";
import { parseJson } from "@galenaglade/http-parts";
import { type Either, Left, Right } from "purify-ts";
import { Client } from "undici";
import { catchUpTimeoutMs, relayLongPollGraceMs, relayLongPollMs } from "../constants.js";
import {
    contactAnswer,
    contactPath,
    relayAnswer,
    type RelayAnswer,
    relayPath,
    relayQuery,
    relayStatus,
} from "./relayMessages.js";

/** A question for changes. */
export interface RelayRequest {
    readonly address: ServerAddress;
    readonly afterRevision: number;
    /** Whether to wait for changes; otherwise the answer comes at once. */
    readonly waits: boolean;
    readonly signal: AbortSignal;
}

/** Asks other gateways for changes of the store. */
export abstract class PeerChanges {
    /**
     * @param req - what to ask, and whom
     * @returns the changes, or `storeHistoryLost` where the peer doesn't know that far back, `bodyTooLarge` where there are some that it
     * doesn't pass on, or why none came
     */
    abstract ask(req: RelayRequest): Promise<Either<Failure, RelayAnswer>>;

    /**
     * @param address - of any gateway
     * @returns for how long it has heard the store without an outage, in milliseconds, or why it doesn't say
     */
    abstract askContact(address: ServerAddress): Promise<Either<Failure, number>>;
    abstract close(): void;
}

/** Asks over one kept connection. */
export class RelayClient extends PeerChanges {
    #client: Client | undefined;
    #origin = "";

    override async ask({ address, afterRevision, waits, signal }: RelayRequest): Promise<Either<Failure, RelayAnswer>> {
        const waitMs = waits ? relayLongPollMs : 0;
        const timeout = AbortSignal.timeout(resolveRelayTimeoutMs(waits));
        try {
            const res = await this.#connect(address).request({
                method: "GET",
                path: relayPath,
                query: { [relayQuery.after]: String(afterRevision), [relayQuery.wait]: String(waitMs) },
                signal: AbortSignal.any([timeout, signal]),
            });
            const text = await res.body.text();
            return readRelayAnswer(res.statusCode, text);
        }
        catch (err) {
            // A connection that may have gone silent for good must not be asked again.
            this.close();
            return Left(createFailure("peerUnreachable", err instanceof Error ? err.message : String(err)));
        }
    }

    override async askContact({ host, port }: ServerAddress): Promise<Either<Failure, number>> {
        // A connection of its own: the kept one is for the relay, which is asked at the same time.
        const client = new Client(`http://${host}:${port}`, { connect: { timeout: catchUpTimeoutMs } });
        try {
            const signal = AbortSignal.timeout(catchUpTimeoutMs);
            const res = await client.request({ method: "GET", path: contactPath, signal });
            return readContactAnswer(res.statusCode, await res.body.text());
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
export function readRelayAnswer(status: number, text: string): Either<Failure, RelayAnswer> {
    if (status === relayStatus.forgotten) {
        return Left(createFailure("storeHistoryLost", "the peer doesn't know that far back"));
    }
    if (status === relayStatus.tooLarge) {
        return Left(createFailure("bodyTooLarge", "the changes are too large to be passed on"));
    }
    if (status === relayStatus.away) {
        return Left(createFailure("storeUnavailable", "the peer doesn't reach the store"));
    }
    if (status !== relayStatus.told) {
        return Left(createFailure("peerUnreachable", `status ${status}`));
    }
    const parsed = relayAnswer.safeParse(parseJson(text));
    return parsed.success ? Right(parsed.data) : Left(createFailure("peerUnreachable", "the answer is malformed"));
}

/** @returns for how long a peer has heard the store, or why it doesn't say */
export function readContactAnswer(status: number, text: string): Either<Failure, number> {
    if (status !== relayStatus.told) {
        return Left(createFailure("peerUnreachable", `status ${status}`));
    }
    const parsed = contactAnswer.safeParse(parseJson(text));
    return parsed.success
        ? Right(parsed.data.heardForMs)
        : Left(createFailure("peerUnreachable", "the answer is malformed"));
}

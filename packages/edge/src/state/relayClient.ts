import { createFailure, type Failure } from "@galenaglade/errors";
import { type ServerAddress } from "@galenaglade/fleet-state";
import { createConnector, parseJson } from "@galenaglade/http-parts";
import { type Either, Left, Right } from "purify-ts";
import { Client } from "undici";
import { catchUpTimeoutMs, maxPeerResponseBytes, relayLongPollGraceMs, relayLongPollMs } from "../constants.js";
import {
    contactResponse,
    contactPath,
    relayResponse,
    type RelayResponse,
    relayPath,
    relayParams,
    relayStatus,
} from "./relayMessages.js";

/** A request for changes of the store. */
export interface RelayRequest {
    readonly address: ServerAddress;
    readonly afterRevision: number;
    /** Whether the peer holds the request open until there are changes; otherwise it responds at once. */
    readonly longPoll: boolean;
    readonly signal: AbortSignal;
}

/** Client of other gateways that relay changes of the store. */
export abstract class RelayClient {
    /**
     * @param req - the peer's address and the revision after which to fetch changes
     * @returns the changes; `storeHistoryLost` if the peer no longer has the history after that revision,
     * `bodyTooLarge` if the changes are too large to be relayed, or another failure
     */
    abstract fetchChanges(req: RelayRequest): Promise<Either<Failure, RelayResponse>>;

    /**
     * @param address - address of any gateway
     * @returns how long that gateway has been in uninterrupted contact with the store, in milliseconds, or a failure
     */
    abstract fetchStoreContactMs(address: ServerAddress): Promise<Either<Failure, number>>;
    abstract close(): void;
}

/** Sends requests over one persistent connection. */
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
            // The connection may be dead without having been closed, so it isn't reused.
            this.close();
            return Left(createFailure("peerUnreachable", err instanceof Error ? err.message : String(err)));
        }
    }

    override async fetchStoreContactMs({ host, port }: ServerAddress): Promise<Either<Failure, number>> {
        // Uses a separate connection, as the persistent one may be busy with a long poll to the relay.
        const client = new Client(`http://${host}:${port}`, {
            connect: createConnector({ timeoutMs: catchUpTimeoutMs }),
            maxResponseSize: maxPeerResponseBytes,
        });
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
            this.#client = new Client(origin, {
                connect: createConnector({ timeoutMs: catchUpTimeoutMs }),
                maxResponseSize: maxPeerResponseBytes,
            });
        }
        return this.#client;
    }
}

/** @returns the timeout of a request in milliseconds */
export function resolveRelayTimeoutMs(waits: boolean): number {
    return waits ? relayLongPollMs + relayLongPollGraceMs : catchUpTimeoutMs;
}

/** @returns the changes in a peer's response, or the failure that it reports */
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

/** @returns how long a peer has been in contact with the store, in milliseconds, or the failure that it reports */
export function parseContactResponse(status: number, text: string): Either<Failure, number> {
    if (status !== relayStatus.ok) {
        return Left(createFailure("peerUnreachable", `status ${status}`));
    }
    const parsed = contactResponse.safeParse(parseJson(text));
    return parsed.success
        ? Right(parsed.data.heardForMs)
        : Left(createFailure("peerUnreachable", "the answer is malformed"));
}

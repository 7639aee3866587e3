import { type ColdStartHeartbeat } from "@galenaglade/cold-start";
import { createFailure, type Failure } from "@galenaglade/errors";
import { createConnector } from "@galenaglade/http-parts";
import { type ConfigurationOffer, type Heartbeat, type OfferAnswer } from "@galenaglade/membership";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { type Either, Left, Right } from "purify-ts";
import { Agent, request } from "undici";
import { type z } from "zod";
import { idleConnectionTimeoutMs, maxResponseBytes } from "./constants.js";
import { PeerCaller } from "./peerCaller.js";
import { type PeerRouter } from "./peerRouter.js";
import { type ServerObservations } from "./serverObservation.js";
import {
    coldStartHeartbeatSchema,
    heartbeatSchema,
    offerAnswerSchema,
    offerSchema,
    serverObservationsSchema,
} from "./wireSchemas.js";

type HttpFetch = NonNullable<Parameters<typeof httpLink>[0]["fetch"]>;
type FetchInit = Parameters<HttpFetch>[1];
type ResponseEsque = Awaited<ReturnType<HttpFetch>>;

/** Maximum number of cached clients, one for each address. Gateways are replaced, so unused ones would accumulate. */
const maxClients = 256;

/** Options of {@link createPeerCaller}. */
export interface PeerCallerOptions {
    /** Shared secret of the fleet, sent with each call. */
    readonly fleetKey: string;
    /** Timeout of a call, in milliseconds. */
    readonly callTimeoutMs: number;
}

/**
 * @param options - the fleet's key and the timeout
 * @returns a caller that uses tRPC over HTTP
 */
export function createPeerCaller(options: PeerCallerOptions): PeerCaller {
    return new TrpcPeerCaller(options);
}

class TrpcPeerCaller extends PeerCaller {
    readonly #options: PeerCallerOptions;
    readonly #agent: Agent;
    readonly #clients = new Map<string, TRPCClient<PeerRouter>>();

    constructor(options: PeerCallerOptions) {
        super();
        this.#options = options;
        this.#agent = new Agent({
            keepAliveTimeout: idleConnectionTimeoutMs,
            pipelining: 1,
            connect: createConnector({ timeoutMs: options.callTimeoutMs }),
            maxResponseSize: maxResponseBytes,
        });
    }

    override heartbeat(address: string, heartbeat: Heartbeat): Promise<Either<Failure, Heartbeat>> {
        return this.#call(
            address,
            heartbeatSchema,
            (client, signal) => client.heartbeat.mutate(heartbeat, { signal }),
        );
    }

    override fetch(address: string): Promise<Either<Failure, ConfigurationOffer>> {
        return this.#call(address, offerSchema, (client, signal) => client.fetch.mutate(undefined, { signal }));
    }

    override offer(address: string, offer: ConfigurationOffer): Promise<Either<Failure, OfferAnswer>> {
        return this.#call(address, offerAnswerSchema, (client, signal) => client.offer.mutate(offer, { signal }));
    }

    override exchangeColdStart(
        address: string,
        heartbeat: ColdStartHeartbeat,
    ): Promise<Either<Failure, ColdStartHeartbeat>> {
        return this.#call(
            address,
            coldStartHeartbeatSchema,
            (client, signal) => client.exchangeColdStart.mutate(heartbeat, { signal }),
        );
    }

    override observe(address: string, service: string | undefined): Promise<Either<Failure, ServerObservations>> {
        return this.#call(
            address,
            serverObservationsSchema,
            (client, signal) => client.observe.mutate({ service }, { signal }),
        );
    }

    /** A timeout closes the connection, so that an unresponsive one isn't reused for the next call. */
    async #call<T>(
        address: string,
        schema: z.ZodType<T>,
        run: (client: TRPCClient<PeerRouter>, signal: AbortSignal) => Promise<unknown>,
    ): Promise<Either<Failure, T>> {
        try {
            const response = await run(this.#clientFor(address), AbortSignal.timeout(this.#options.callTimeoutMs));
            const parsed = schema.safeParse(response);
            if (!parsed.success) {
                return Left(createFailure("peerUnreachable", `${address} gave an answer that can't be read`));
            }
            return Right(parsed.data);
        }
        catch (err) {
            const reason = err instanceof Error ? err.message : String(err);
            return Left(createFailure("peerUnreachable", `${address}: ${reason}`));
        }
    }

    /** Replaces the global `fetch`, whose browser headers would make up a seventh of a heartbeat. */
    async #send(url: string, init: FetchInit): Promise<ResponseEsque> {
        const res = await request(url, {
            method: "POST",
            headers: init?.headers as Record<string, string>,
            body: init?.body as string,
            signal: init?.signal ?? undefined,
            dispatcher: this.#agent,
        });
        return { ok: res.statusCode < 300, json: () => readJson(res.body) };
    }

    #clientFor(address: string): TRPCClient<PeerRouter> {
        const existing = this.#clients.get(address);
        if (existing !== undefined) {
            return existing;
        }
        for (const oldest of this.#clients.keys()) {
            if (this.#clients.size < maxClients) {
                break;
            }
            this.#clients.delete(oldest);
        }
        const client = createTRPCClient<PeerRouter>({
            links: [httpLink({
                url: `http://${address}`,
                headers: { authorization: `Bearer ${this.#options.fleetKey}` },
                fetch: (url, init) => this.#send(String(url), init),
            })],
        });
        this.#clients.set(address, client);
        return client;
    }
}

/**
 * Reads a response up to the maximum size. Otherwise a faulty peer that sends an endless response could exhaust the
 * caller's memory before the timeout.
 */
async function readJson(body: AsyncIterable<Buffer>): Promise<unknown> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maxResponseBytes) {
            throw new Error(`answered with more than ${maxResponseBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return JSON.parse(Buffer.concat(chunks).toString());
}

import { createFailure, type Failure } from "@galenaglade/errors";
import { FleetView, type ServerAddress } from "@galenaglade/fleet-state";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { createMetrics, type LogFields } from "@galenaglade/telemetry";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Either, Left } from "purify-ts";
import { InitialSyncGate } from "../../state/initialSyncGate.js";
import { Registration } from "../../state/registration.js";
import {
    RelayClient,
    parseContactResponse,
    parseRelayResponse,
    type RelayRequest,
    resolveRelayTimeoutMs,
} from "../../state/relayClient.js";
import { contactPath, type RelayResponse, relayPath } from "../../state/relayMessages.js";
import { RelayServer } from "../../state/relayServer.js";
import { StateSync } from "../../state/stateSync.js";
import { EdgeLog } from "../../telemetry/edgeLog.js";
import { EdgeMetrics } from "../../telemetry/edgeMetrics.js";
import { TestStateCodec } from "./testCodecs.js";
import { FaultyStoreLink, type FaultyStore } from "./faultyStore.js";
import { type VirtualClock } from "./virtualClock.js";

/** One-way latency between gateways, in milliseconds. */
const latencyMs = 1;
const metrics = new EdgeMetrics(createMetrics("test"));

/** The parts of one gateway that use the store, on a simulated network. */
export class SimulatedGateway {
    readonly name: string;
    readonly link: FaultyStoreLink;
    readonly view = new FleetView();
    readonly logs: Readonly<Record<string, unknown>>[] = [];
    readonly relayServer: RelayServer;
    /** When each version came into force, as virtual time in milliseconds. */
    readonly inForceAtMs = new Map<number, number>();
    /** Whether it neither sends requests nor responds. */
    isDead = false;
    /** Network partition of this gateway; gateways in the same one reach each other. */
    partition = 0;
    readonly #sync: StateSync;
    readonly #registration: Registration;

    constructor(fleet: SimulatedFleet, index: number, availabilityZone: string) {
        const { clock, store } = fleet;
        this.name = `gateway-${index}`;
        this.link = new FaultyStoreLink(store);
        const random = createRandomSource(Math.floor(fleet.random.next() * 2 ** 31));
        const write = (message: string, fields: LogFields = {}): void => {
            this.logs.push({ atMs: clock.monotonicMs(), message, ...fields });
        };
        const log = new EdgeLog({ debug: write, info: write, warn: write, error: write }, () => clock.monotonicMs());
        const shared = { store: this.link, codec: new TestStateCodec(), view: this.view, clock, random, log, metrics };
        this.#registration = new Registration({
            ...shared,
            name: this.name,
            registration: { availabilityZone, peerAddress: { host: "127.0.0.1", port: index + 1 } },
        });
        this.#sync = new StateSync({
            ...shared,
            name: this.name,
            availabilityZone,
            onViewChange: () => {
                this.#onChange(clock.monotonicMs());
                this.#registration.onViewChange();
            },
            onRelayFeedChange: () => this.relayServer.onFeedChange(),
            initialSyncGate: new InitialSyncGate(clock),
            relayClient: new SimulatedPeers(fleet, this),
        });
        this.relayServer = new RelayServer(this.#sync);
    }

    start(): void {
        this.#sync.start();
        this.#registration.start();
    }

    /** Stops the gateway without any clean-up, as a power failure does. */
    powerOff(): void {
        this.isDead = true;
        this.#sync.stop();
        this.#registration.stop();
    }

    #onChange(nowMs: number): void {
        const version = this.view.configurationInForce?.configuration.version;
        if (version !== undefined && !this.inForceAtMs.has(version)) {
            this.inForceAtMs.set(version, nowMs);
        }
    }
}

/** Gateways that share one store. */
export class SimulatedFleet {
    readonly clock: VirtualClock;
    readonly store: FaultyStore;
    readonly random: RandomSource;
    readonly gateways: readonly SimulatedGateway[];

    constructor(
        clock: VirtualClock,
        store: FaultyStore,
        random: RandomSource,
        size: { readonly gateways: number; readonly zones: number; },
    ) {
        this.clock = clock;
        this.store = store;
        this.random = random;
        this.gateways = Array.from(
            { length: size.gateways },
            (_, i) => new SimulatedGateway(this, i, `zone-${i % size.zones}`),
        );
    }

    stop(): void {
        for (const gateway of this.gateways) {
            gateway.powerOff();
        }
    }
}

/** Relay client of one gateway on the simulated network. */
class SimulatedPeers extends RelayClient {
    readonly #fleet: SimulatedFleet;
    readonly #self: SimulatedGateway;

    constructor(fleet: SimulatedFleet, self: SimulatedGateway) {
        super();
        this.#fleet = fleet;
        this.#self = self;
    }

    override fetchChanges(
        { address, afterRevision, longPoll, signal }: RelayRequest,
    ): Promise<Either<Failure, RelayResponse>> {
        const url = `${relayPath}?after=${afterRevision}&wait=${longPoll ? 600 : 0}`;
        return this.#exchange(address, url, { timeoutMs: resolveRelayTimeoutMs(longPoll), signal }, parseRelayResponse);
    }

    override fetchStoreContactMs(address: ServerAddress): Promise<Either<Failure, number>> {
        return this.#exchange(address, contactPath, { timeoutMs: resolveRelayTimeoutMs(false) }, parseContactResponse);
    }

    override close(): void {
        // There is no connection to close.
    }

    /** Simulates a request and its response, each of which is lost if the peer is unreachable when it would arrive. */
    #exchange<T>(
        address: ServerAddress,
        url: string,
        { timeoutMs, signal }: { readonly timeoutMs: number; readonly signal?: AbortSignal; },
        read: (status: number, body: string) => Either<Failure, T>,
    ): Promise<Either<Failure, T>> {
        const peer = this.#fleet.gateways[address.port - 1];
        return new Promise(resolve => {
            let close: () => void = () => undefined;
            const finish = (result: Either<Failure, T>): void => {
                clearTimeout(timer);
                close();
                resolve(result);
            };
            const timeOut = (): void => finish(Left(createFailure("peerUnreachable", "no answer")));
            const timer = setTimeout(timeOut, timeoutMs);
            signal?.addEventListener("abort", timeOut, { once: true });
            let status = 0;
            const res = {
                once: (_event: "close", onClose: () => void) => {
                    close = onClose;
                },
                writeHead: (code: number) => {
                    status = code;
                },
                end: (body: string) => {
                    setTimeout(() => {
                        if (this.#reaches(peer)) {
                            finish(read(status, body));
                        }
                    }, latencyMs);
                },
            };
            setTimeout(() => {
                if (this.#reaches(peer)) {
                    peer.relayServer.handle({ url } as unknown as IncomingMessage, res as unknown as ServerResponse);
                }
            }, latencyMs);
        });
    }

    #reaches(peer: SimulatedGateway | undefined): peer is SimulatedGateway {
        return peer !== undefined && !peer.isDead && !this.#self.isDead && peer.partition === this.#self.partition;
    }
}

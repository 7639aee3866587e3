import { type ColdStartHeartbeat } from "@galenaglade/cold-start";
import { type ConfigurationRevision } from "@galenaglade/configuration";
import { createFailure, type Failure } from "@galenaglade/errors";
import {
    defaultFleetTimings,
    type FleetCommand,
    type FleetEvent,
    FleetMember,
    type FleetStatus,
    type FleetTimings,
    type GatewayIdentity,
    type Heartbeat,
    listRosterGateways,
    type Roster,
    storeKeys,
} from "@galenaglade/membership";
import { type ServerLoad, type ServerSignal } from "@galenaglade/routing";
import { randomBytes } from "node:crypto";
import { type Either, Left } from "purify-ts";
import { type Clock, createSystemClock, delay, withTimeout } from "./clock.js";
import { incarnationBytes, tickMs, watchTimeoutMarginMs, watchRetryMs, watchWaitMs } from "./constants.js";
import { type FleetMembership, type FleetMembershipOptions, type OnLoads, type OnSignals } from "./fleetMembership.js";
import { readFleet, register } from "./fleetStore.js";
import { type PeerCaller, type PeerHandler, type PeerListener } from "./peerCaller.js";
import { createPeerListener } from "./httpPeerListener.js";
import { limitObservations, type ObserveServers } from "./serverObservation.js";
import { createPeerCaller } from "./trpcPeerCaller.js";

/**
 * @param options - identity of the gateway, and its connections to the store and to peers
 * @returns the gateway's fleet membership, to be started
 */
export function createFleetMembership(options: FleetMembershipOptions): FleetMembership {
    return new GatewayFleetMembership(options);
}

class GatewayFleetMembership implements FleetMembership {
    readonly #options: FleetMembershipOptions;
    readonly #timings: FleetTimings;
    readonly #clock: Clock;
    readonly #listener: PeerListener;
    readonly #caller: PeerCaller;
    readonly #onConfiguration: ((configuration: ConfigurationRevision) => void)[] = [];
    readonly #onSignals: OnSignals[] = [];
    readonly #onLoads: OnLoads[] = [];
    #observationHandler: ObserveServers = () => [];
    #coldStartHandler: ((heartbeat: ColdStartHeartbeat) => ColdStartHeartbeat) | undefined;
    readonly #stopped = new AbortController();
    #self: GatewayIdentity | undefined;
    #member: FleetMember | undefined;
    #leaseId: string | undefined;
    #hostNames: readonly string[] | undefined;
    #cancelTick: () => void = () => undefined;

    constructor(options: FleetMembershipOptions) {
        this.#options = options;
        this.#timings = options.timings ?? defaultFleetTimings;
        this.#clock = options.clock ?? createSystemClock();
        this.#listener = options.listener
            ?? createPeerListener({ ...options.listen, fleetKey: options.fleetKey });
        this.#caller = options.caller
            ?? createPeerCaller({ fleetKey: options.fleetKey, callTimeoutMs: this.#timings.callTimeoutMs });
    }

    async start(): Promise<Either<Failure, void>> {
        const listening = await this.#listener.listen(this.#createHandler());
        return listening.map(peerAddress => {
            const self = {
                name: this.#options.name,
                incarnation: this.#options.incarnation ?? randomBytes(incarnationBytes).toString("base64url"),
                availabilityZone: this.#options.availabilityZone,
                peerAddress,
            };
            this.#self = self;
            this.#member = new FleetMember(
                { self, seeds: this.#options.seeds, timings: this.#timings },
                this.#clock.nowMs(),
            );
            this.#tick();
            void this.#watch();
            void this.#readHosts();
        });
    }

    current(): ConfigurationRevision | undefined {
        return this.#member?.configuration;
    }

    mayTakeNewWork(): boolean {
        return this.#member?.mayTakeNewWork(this.#clock.nowMs()) ?? false;
    }

    onConfiguration(callback: (configuration: ConfigurationRevision) => void): void {
        this.#onConfiguration.push(callback);
    }

    publishSignals(signals: readonly ServerSignal[]): void {
        this.#handle({ type: "signalsPublished", signals });
    }

    publishLoads(loads: readonly ServerLoad[]): void {
        this.#handle({ type: "loadsPublished", loads });
    }

    onSignals(callback: OnSignals): void {
        this.#onSignals.push(callback);
    }

    onLoads(callback: OnLoads): void {
        this.#onLoads.push(callback);
    }

    setObservationHandler(handler: ObserveServers): void {
        this.#observationHandler = handler;
    }

    setColdStartHandler(handler: (heartbeat: ColdStartHeartbeat) => ColdStartHeartbeat): void {
        this.#coldStartHandler = handler;
    }

    exchangeColdStart(heartbeat: ColdStartHeartbeat): readonly Promise<Either<Failure, ColdStartHeartbeat>>[] {
        const others = listRosterGateways(this.roster()).filter(({ name }) => name !== this.#options.name);
        return others.map(({ peerAddress }) => this.#caller.exchangeColdStart(peerAddress, heartbeat));
    }

    roster(): Roster | undefined {
        return this.#member?.roster;
    }

    status(): FleetStatus | undefined {
        return this.#member?.status(this.#clock.nowMs());
    }

    beginStop(): void {
        this.#handle({ type: "stopping" });
    }

    async stop(): Promise<void> {
        // No new work is accepted from here on: without its lease, this gateway may be unknown to the admin process
        // when a change is declared in force.
        this.beginStop();
        this.#stopped.abort();
        this.#cancelTick();
        if (this.#leaseId !== undefined) {
            await this.#withStoreTimeout(this.#options.store.revokeLease(this.#leaseId));
        }
        await this.#listener.close();
    }

    #createHandler(): PeerHandler {
        return {
            heartbeat: heartbeat => {
                const member = this.#requireMember();
                this.#notifyListeners(heartbeat, 0);
                const { answer, commands } = member.answerHeartbeat(heartbeat, this.#clock.nowMs());
                this.#run(commands);
                return answer;
            },
            fetch: () => this.#requireMember().createOffer(),
            offer: offer => {
                const { answer, commands } = this.#requireMember().answerOffer(offer, this.#clock.nowMs());
                this.#run(commands);
                return answer;
            },
            exchangeColdStart: heartbeat => {
                if (this.#coldStartHandler === undefined) {
                    throw new Error("cold start isn't looked after here");
                }
                return this.#coldStartHandler(heartbeat);
            },
            observe: service => limitObservations(this.#options.name, this.#observationHandler(service)),
        };
    }

    /**
     * The peer port accepts calls shortly before the member is created, which needs the port's address. Calls in this
     * time fail.
     */
    #requireMember(): FleetMember {
        if (this.#member === undefined) {
            throw new Error("not started yet");
        }
        return this.#member;
    }

    #tick(): void {
        this.#handle({ type: "ticked" });
        if (!this.#stopped.signal.aborted) {
            this.#cancelTick = this.#clock.after(tickMs, () => this.#tick());
        }
    }

    #handle(event: FleetEvent): void {
        this.#run(this.#member?.handle(event, this.#clock.nowMs()) ?? []);
    }

    #run(commands: readonly FleetCommand[]): void {
        for (const command of commands) {
            this.#runCommand(command);
        }
    }

    #runCommand(command: FleetCommand): void {
        switch (command.type) {
            case "apply":
                for (const callback of this.#onConfiguration) {
                    callback(command.configuration);
                }
                return;
            case "readStore":
                void this.#readStore();
                return;
            case "register":
                void this.#register();
                return;
            case "renew":
                void this.#renew();
                return;
            case "sendHeartbeat":
                void this.#sendHeartbeat(command.address, command.heartbeat);
                return;
            case "fetch":
                void this.#fetch(command.address);
                return;
            case "swapRoster":
                void this.#withStoreTimeout(this.#options.store.compareAndSwap({
                    key: storeKeys.roster,
                    expectedRevision: command.swap.expectedRevision,
                    value: JSON.stringify(command.swap.roster),
                })).then(() => this.#handle({ type: "storeChanged" }));
                return;
        }
    }

    async #readStore(): Promise<void> {
        const startedAtMs = this.#clock.nowMs();
        const read = await this.#withStoreTimeout(readFleet(this.#options.store));
        if (read.isLeft()) {
            this.#handle({ type: "storeReadFailed" });
            return;
        }
        const { roster, rosterKeyRevision, head, listed } = read.unsafeCoerce();
        const headRevision = head.head?.revision ?? 0;
        this.#handle({
            type: "storeRead",
            startedAtMs,
            head: head.head,
            roster,
            survey: listed && { ...listed, roster, rosterKeyRevision, headRevision, hostNames: this.#hostNames },
        });
    }

    async #register(): Promise<void> {
        if (this.#self === undefined) {
            return;
        }
        const startedAtMs = this.#clock.nowMs();
        const ttlMs = this.#timings.leaseTtlMs;
        const registered = await this.#withStoreTimeout(register(this.#options.store, this.#self, ttlMs));
        if (registered.isLeft()) {
            this.#handle({ type: "registrationFailed" });
            return;
        }
        this.#leaseId = registered.unsafeCoerce();
        this.#handle({ type: "registered", startedAtMs, ttlMs });
    }

    async #renew(): Promise<void> {
        if (this.#leaseId === undefined) {
            return;
        }
        const startedAtMs = this.#clock.nowMs();
        const renewed = await this.#withStoreTimeout(this.#options.store.renewLease(this.#leaseId));
        renewed.caseOf({
            Left: failure => this.#handle({ type: "renewalFailed", lapsed: failure.kind === "notFound" }),
            Right: lease => this.#handle({ type: "renewed", startedAtMs, ttlMs: lease.ttlMs }),
        });
    }

    async #sendHeartbeat(address: string, heartbeat: Heartbeat): Promise<void> {
        const startedAtMs = this.#clock.nowMs();
        const result = await this.#caller.heartbeat(address, heartbeat);
        result.caseOf({
            Left: () => this.#handle({ type: "heartbeatFailed", address }),
            Right: response => {
                this.#notifyListeners(response, this.#clock.nowMs() - startedAtMs);
                this.#handle({ type: "heartbeatAnswered", address, startedAtMs, heartbeat: response });
            },
        });
    }

    async #fetch(address: string): Promise<void> {
        const fetched = await this.#caller.fetch(address);
        fetched.caseOf({
            Left: () => this.#handle({ type: "fetchFailed", address }),
            Right: offer => this.#handle({ type: "fetched", address, offer }),
        });
    }

    #notifyListeners(heartbeat: Heartbeat, maxTransitMs: number): void {
        if (heartbeat.signals.length > 0) {
            const signals = heartbeat.signals.map(signal => ({ ...signal, ageMs: signal.ageMs + maxTransitMs }));
            for (const callback of this.#onSignals) {
                callback(signals, heartbeat.from);
            }
        }
        if (heartbeat.loads.length > 0) {
            const loads = heartbeat.loads.map(load => ({ ...load, ageMs: load.ageMs + maxTransitMs }));
            for (const callback of this.#onLoads) {
                callback(loads, heartbeat.from);
            }
        }
    }

    /** Triggers a read when the head changes. Regular reads continue, since a watch may stop responding forever. */
    async #watch(): Promise<void> {
        let afterRevision = 0;
        while (!this.#stopped.signal.aborted) {
            const watched = await withTimeout(
                this.#clock,
                watchWaitMs + watchTimeoutMarginMs,
                this.#options.store.watch({
                    prefix: storeKeys.head,
                    afterRevision,
                    waitMs: watchWaitMs,
                    signal: this.#stopped.signal,
                }),
                () => Left(createFailure("storeUnavailable", "the watch went silent")),
            );
            if (watched.isLeft()) {
                await delay(this.#clock, watchRetryMs, this.#stopped.signal);
                continue;
            }
            const events = watched.unsafeCoerce();
            afterRevision = events.revision;
            if (events.changed.length > 0) {
                this.#handle({ type: "storeChanged" });
            }
        }
    }

    async #readHosts(): Promise<void> {
        const hosts = this.#options.hosts;
        while (hosts !== undefined && !this.#stopped.signal.aborted) {
            const listed = await this.#withStoreTimeout(hosts.list());
            this.#hostNames = listed.map(entries => entries.map(entry => entry.name)).toMaybe().extract();
            this.#handle({ type: "hostsListed", names: this.#hostNames ?? [] });
            await delay(this.#clock, this.#timings.removeAfterMs / 3, this.#stopped.signal);
        }
    }

    #withStoreTimeout<T>(call: Promise<Either<Failure, T>>): Promise<Either<Failure, T>> {
        return withTimeout(
            this.#clock,
            this.#timings.freshForMs,
            call,
            () => Left(createFailure("storeOutcomeUnknown", "the store took too long")),
        );
    }
}

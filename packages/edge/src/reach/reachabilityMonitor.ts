import { type FleetView, type RegisteredGateway, type RegisteredServer } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import {
    type ServerContact,
    HandoverTargetSelector,
    type LinkFailureKind,
    type ReachabilityChange,
    type ReachabilityState,
    ServiceReachability,
} from "@galenaglade/reachability";
import { type RandomSource } from "@galenaglade/routing";
import { type LogFields } from "@galenaglade/telemetry";
import {
    reachabilityCheckServers,
    maxReachabilityAgeMs,
    maxReachabilityQueries,
    reachabilityQueryPeers,
    reachabilityCheckPeriodMs,
} from "../constants.js";
import { InterruptibleSleep } from "../state/interruptibleSleep.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type ReachabilityClient } from "./reachabilityClient.js";
import { type ReachabilityResponse } from "./reachabilityMessages.js";
import { ReachabilityProvider } from "./reachabilityServer.js";
import { type ServerProbe } from "./serverProbe.js";

/** Dependencies of {@link ReachabilityMonitor}. */
export interface ReachabilityMonitorDeps {
    /** Name of this gateway in its registration. */
    readonly name: string;
    readonly availabilityZone: string;
    readonly view: FleetView;
    readonly probe: ServerProbe;
    readonly reachabilityClient: ReachabilityClient;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
    /** Called when this host's links to a service's servers fail. @param kind - on all connections or new ones only */
    readonly onLinksLost: (servers: readonly RegisteredServer[], kind: LinkFailureKind) => void;
    /** Called when links that had failed work again. */
    readonly onLinksRestored: (service: string, servers: readonly RegisteredServer[]) => void;
}

/**
 * Detects that this host no longer reaches the servers of a service, queries other gateways whether its links or the
 * servers are at fault, and checks until the links work again. It sends nothing while servers respond to requests.
 */
export class ReachabilityMonitor extends ReachabilityProvider {
    readonly #deps: ReachabilityMonitorDeps;
    readonly #services = new Map<string, ServiceReachability>();
    readonly #handoverTargets: HandoverTargetSelector;
    /** By service in doubt, callbacks to run once it is known whether other gateways reach the service. */
    readonly #settledCallbacks = new Map<string, (() => void)[]>();
    readonly #checks = new Map<string, Promise<boolean>>();
    readonly #recoverySleeps = new Map<string, InterruptibleSleep>();
    #stopped = false;

    constructor(deps: ReachabilityMonitorDeps) {
        super();
        this.#deps = deps;
        this.#handoverTargets = new HandoverTargetSelector(deps);
    }

    /** Gateways that can send requests which this one can't. */
    get handoverTargets(): HandoverTargetSelector {
        return this.#handoverTargets;
    }

    /** Records how an exchange with a server ended. */
    onContact(contact: ServerContact): void {
        const { view } = this.#deps;
        const nowMs = this.#nowMs();
        const reach = this.#getServiceReachability(contact.service);
        const countServers = (): number => view.usableServers(contact.service, nowMs).length;
        this.#onStateChange(contact.service, reach.onContact(contact, countServers, nowMs));
    }

    /** @returns whether this host reaches a service, by what is known now */
    stateOf(service: string): ReachabilityState {
        return this.#services.get(service)?.state ?? "reached";
    }

    /** @returns the state of a service; if it is in doubt, once it is known whether other gateways reach the service */
    async whenSettled(service: string): Promise<ReachabilityState> {
        if (this.stateOf(service) === "doubted" && !this.#stopped) {
            await new Promise<void>(resolve => {
                this.#settledCallbacks.set(service, [...this.#settledCallbacks.get(service) ?? [], resolve]);
            });
        }
        return this.stateOf(service);
    }

    /** @returns whether a request that can't be handed to another gateway may try a server from this one */
    tryAcquireLocalAttempt(service: string): boolean {
        return this.#getServiceReachability(service).tryAcquireLocalAttempt(this.#nowMs());
    }

    /**
     * Records that a request of a service has no gateway left to be handed to. This has no effect while other requests
     * still have one, for instance if the request met only busy gateways.
     */
    onHandoverTargetsExhausted(service: string): void {
        const nowMs = this.#nowMs();
        if (this.chooseHandoverTarget(service, new Set()) !== undefined) {
            return;
        }
        const reach = this.#getServiceReachability(service);
        reach.onPeersQueried(nowMs);
        this.#onStateChange(service, reach.onPeerQueryResult(false, nowMs));
    }

    /** @returns a gateway to hand a request to; `undefined` if there is none */
    chooseHandoverTarget(service: string, tried: ReadonlySet<string>): RegisteredGateway | undefined {
        return this.#handoverTargets.choose(service, this.#deps.view.registeredGateways(), tried, this.#nowMs());
    }

    /** @returns whether this gateway reaches a service; probes servers first if none has responded lately */
    override async getReachability(service: string): Promise<ReachabilityResponse> {
        if (this.#deps.view.configurationInForce?.services.has(service) !== true) {
            return { reaches: false, named: [] };
        }
        const reach = this.#getServiceReachability(service);
        const named = this.#handoverTargets.suggest(service, this.#nowMs());
        if (reach.state !== "reached") {
            return { reaches: false, named };
        }
        const hasRecentResponse = reach.sinceLastAnswerMs(this.#nowMs()) <= maxReachabilityAgeMs;
        return { reaches: hasRecentResponse || await this.#check(service), named };
    }

    /** Drops the state of gateways and services that no longer exist. */
    onViewChange(): void {
        const { view } = this.#deps;
        this.#handoverTargets.retain(new Set(view.registeredGateways().map(({ name }) => name)));
        for (const service of this.#services.keys()) {
            if (view.configurationInForce?.services.has(service) === false) {
                this.#services.delete(service);
            }
        }
    }

    stop(): void {
        this.#stopped = true;
        for (const recoverySleep of this.#recoverySleeps.values()) {
            recoverySleep.interrupt();
        }
        for (const service of [...this.#settledCallbacks.keys()]) {
            this.#notifySettled(service);
        }
    }

    #notifySettled(service: string): void {
        const callbacks = this.#settledCallbacks.get(service) ?? [];
        this.#settledCallbacks.delete(service);
        for (const callback of callbacks) {
            callback();
        }
    }

    #onStateChange(service: string, change: ReachabilityChange | undefined): void {
        if (change === undefined) {
            return;
        }
        const { log, metrics, view, onLinksLost, onLinksRestored } = this.#deps;
        log.log(change.to === "reached" ? "info" : "warn", "serverReach", { service, ...describeChange(change) });
        metrics.onReachabilityChanged(service, change.to);
        if (change.from === "doubted") {
            this.#notifySettled(service);
        }
        const servers = view.readyServers(service, this.#nowMs());
        if (change.to === "reached") {
            if (change.from === "lost") {
                onLinksRestored(service, servers);
            }
            return;
        }
        if (change.to === "lost") {
            onLinksLost(servers, change.linkFailure?.kind ?? "all");
        }
        if (change.from === "reached") {
            this.#startRecovery(service);
        }
    }

    #startRecovery(service: string): void {
        const running = this.#recoverySleeps.get(service);
        if (running === undefined) {
            void this.#recover(service);
            return;
        }
        running.interrupt();
    }

    /** Probes servers and queries gateways periodically until the service is reached. */
    async #recover(service: string): Promise<void> {
        const recoverySleep = new InterruptibleSleep();
        this.#recoverySleeps.set(service, recoverySleep);
        while (!this.#stopped && this.stateOf(service) !== "reached") {
            await this.#runRecoveryRound(service).catch((err: unknown) => {
                // Without further rounds the service would stay lost for good.
                this.#deps.log.log("error", "unexpected", { during: "reachRecovery", service, error: String(err) });
            });
            await recoverySleep.sleep(reachabilityCheckPeriodMs);
        }
        this.#recoverySleeps.delete(service);
    }

    async #runRecoveryRound(service: string): Promise<void> {
        const reach = this.#getServiceReachability(service);
        const isQueryDue = reach.isPeerQueryDue(this.#nowMs());
        if (isQueryDue) {
            reach.onPeersQueried(this.#nowMs());
        }
        const [responded, reaches] = await Promise.all([
            this.#check(service),
            isQueryDue ? this.#queryGateways(service) : undefined,
        ]);
        const nowMs = this.#nowMs();
        this.#onStateChange(service, reach.onProbeRound(responded, nowMs));
        if (reaches !== undefined) {
            this.#onStateChange(service, reach.onPeerQueryResult(reaches, nowMs));
        }
    }

    /** Checks a service; concurrent callers share one check. */
    #check(service: string): Promise<boolean> {
        const running = this.#checks.get(service);
        if (running !== undefined) {
            return running;
        }
        const check = this.#checkServers(service).finally(() => this.#checks.delete(service));
        this.#checks.set(service, check);
        return check;
    }

    /** Probes a few servers over new connections. @returns whether most of them responded */
    async #checkServers(service: string): Promise<boolean> {
        const { view } = this.#deps;
        const remaining = [...view.usableServers(service, this.#nowMs())];
        const sample: RegisteredServer[] = [];
        while (sample.length < reachabilityCheckServers && remaining.length > 0) {
            sample.push(...remaining.splice(Math.floor(this.#deps.random.next() * remaining.length), 1));
        }
        const responded = await Promise.all(sample.map(server => this.#checkServer(service, server)));
        return responded.filter(Boolean).length * 2 > responded.length;
    }

    async #checkServer(service: string, server: RegisteredServer): Promise<boolean> {
        const startedAtMs = this.#nowMs();
        const end = await this.#deps.probe.probe(service, server);
        this.onContact({ service, serverId: server.id, isNewConnection: true, end, startedAtMs });
        return end === "heard";
    }

    /** Queries other gateways, a few at a time. @returns whether any of them reaches the service */
    async #queryGateways(service: string): Promise<boolean> {
        const { view } = this.#deps;
        const queried = new Set<string>();
        for (let i = 0; i < maxReachabilityQueries; i++) {
            const gateways = view.registeredGateways();
            const sample = this.#handoverTargets.choosePeersToQuery(
                service,
                gateways,
                queried,
                reachabilityQueryPeers,
                this.#nowMs(),
            );
            if (sample.length === 0) {
                return false;
            }
            sample.forEach(({ name }) => queried.add(name));
            const results = await Promise.all(sample.map(gateway => this.#queryGateway(service, gateway)));
            if (results.includes(true)) {
                return true;
            }
        }
        return false;
    }

    async #queryGateway(service: string, { name, peerAddress }: RegisteredGateway): Promise<boolean> {
        const response = await this.#deps.reachabilityClient.fetchReachability(peerAddress, service);
        const nowMs = this.#nowMs();
        if (response === undefined) {
            this.#handoverTargets.onUnresponsive(name, nowMs);
            return false;
        }
        this.#handoverTargets.onReachability(service, name, response.reaches, nowMs);
        this.#handoverTargets.onSuggested(service, response.named, nowMs);
        return response.reaches;
    }

    #getServiceReachability(service: string): ServiceReachability {
        const reach = this.#services.get(service) ?? new ServiceReachability();
        this.#services.set(service, reach);
        return reach;
    }

    #nowMs(): number {
        return this.#deps.clock.monotonicMs();
    }
}

function describeChange({ from, to, linkFailure, afterMs }: ReachabilityChange): LogFields {
    return {
        from,
        to,
        afterMs: Math.round(afterMs),
        kind: linkFailure?.kind,
        servers: linkFailure?.servers,
        ends: linkFailure && Object.entries(linkFailure.ends).map(([end, count]) => `${end}:${count}`).join(","),
        forMs: linkFailure && Math.round(linkFailure.forMs),
        heardAgoMs: linkFailure?.heardAgoMs === undefined ? undefined : Math.round(linkFailure.heardAgoMs),
    };
}

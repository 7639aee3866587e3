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
    readonly #parts: ReachabilityMonitorDeps;
    readonly #services = new Map<string, ServiceReachability>();
    readonly #helpers: HandoverTargetSelector;
    /** By service in doubt, callbacks to run once it is known whether other gateways reach the service. */
    readonly #waiting = new Map<string, (() => void)[]>();
    readonly #checks = new Map<string, Promise<boolean>>();
    readonly #pauses = new Map<string, InterruptibleSleep>();
    #stopped = false;

    constructor(parts: ReachabilityMonitorDeps) {
        super();
        this.#parts = parts;
        this.#helpers = new HandoverTargetSelector(parts);
    }

    /** Gateways that can send requests which this one can't. */
    get handoverTargets(): HandoverTargetSelector {
        return this.#helpers;
    }

    /** Records how an exchange with a server ended. */
    onContact(contact: ServerContact): void {
        const { view } = this.#parts;
        const nowMs = this.#nowMs();
        const reach = this.#reachOf(contact.service);
        const countServers = (): number => view.usableServers(contact.service, nowMs).length;
        this.#note(contact.service, reach.onContact(contact, countServers, nowMs));
    }

    /** @returns whether this host reaches a service, by what is known now */
    stateOf(service: string): ReachabilityState {
        return this.#services.get(service)?.state ?? "reached";
    }

    /** @returns the state of a service; if it is in doubt, once it is known whether other gateways reach the service */
    async whenSettled(service: string): Promise<ReachabilityState> {
        if (this.stateOf(service) === "doubted" && !this.#stopped) {
            await new Promise<void>(resolve => {
                this.#waiting.set(service, [...this.#waiting.get(service) ?? [], resolve]);
            });
        }
        return this.stateOf(service);
    }

    /** @returns whether a request that can't be handed to another gateway may try a server from this one */
    tryAcquireLocalAttempt(service: string): boolean {
        return this.#reachOf(service).tryAcquireLocalAttempt(this.#nowMs());
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
        const reach = this.#reachOf(service);
        reach.onPeersQueried(nowMs);
        this.#note(service, reach.onPeerQueryResult(false, nowMs));
    }

    /** @returns a gateway to hand a request to; `undefined` if there is none */
    chooseHandoverTarget(service: string, tried: ReadonlySet<string>): RegisteredGateway | undefined {
        return this.#helpers.choose(service, this.#parts.view.registeredGateways(), tried, this.#nowMs());
    }

    /** @returns whether this gateway reaches a service; probes servers first if none has responded lately */
    override async getReachability(service: string): Promise<ReachabilityResponse> {
        if (this.#parts.view.configurationInForce?.services.has(service) !== true) {
            return { reaches: false, named: [] };
        }
        const reach = this.#reachOf(service);
        const named = this.#helpers.suggest(service, this.#nowMs());
        if (reach.state !== "reached") {
            return { reaches: false, named };
        }
        const isFresh = reach.sinceLastAnswerMs(this.#nowMs()) <= maxReachabilityAgeMs;
        return { reaches: isFresh || await this.#check(service), named };
    }

    /** Drops the state of gateways and services that no longer exist. */
    onViewChange(): void {
        const { view } = this.#parts;
        this.#helpers.retain(new Set(view.registeredGateways().map(({ name }) => name)));
        for (const service of this.#services.keys()) {
            if (view.configurationInForce?.services.has(service) === false) {
                this.#services.delete(service);
            }
        }
    }

    stop(): void {
        this.#stopped = true;
        for (const pause of this.#pauses.values()) {
            pause.interrupt();
        }
        for (const service of [...this.#waiting.keys()]) {
            this.#release(service);
        }
    }

    #release(service: string): void {
        const waiting = this.#waiting.get(service) ?? [];
        this.#waiting.delete(service);
        for (const resume of waiting) {
            resume();
        }
    }

    #note(service: string, change: ReachabilityChange | undefined): void {
        if (change === undefined) {
            return;
        }
        const { log, metrics, view, onLinksLost, onLinksRestored } = this.#parts;
        log.log(change.to === "reached" ? "info" : "warn", "serverReach", { service, ...describeChange(change) });
        metrics.onReachChanged(service, change.to);
        if (change.from === "doubted") {
            this.#release(service);
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
            this.#beginRecovery(service);
        }
    }

    #beginRecovery(service: string): void {
        const underWay = this.#pauses.get(service);
        if (underWay === undefined) {
            void this.#recover(service);
            return;
        }
        underWay.interrupt();
    }

    /** Probes servers and queries gateways periodically until the service is reached. */
    async #recover(service: string): Promise<void> {
        const pause = new InterruptibleSleep();
        this.#pauses.set(service, pause);
        while (!this.#stopped && this.stateOf(service) !== "reached") {
            await this.#takeRound(service);
            await pause.sleep(reachabilityCheckPeriodMs);
        }
        this.#pauses.delete(service);
    }

    async #takeRound(service: string): Promise<void> {
        const reach = this.#reachOf(service);
        const isInquiry = reach.isPeerQueryDue(this.#nowMs());
        if (isInquiry) {
            reach.onPeersQueried(this.#nowMs());
        }
        const [heard, reaches] = await Promise.all([
            this.#check(service),
            isInquiry ? this.#inquire(service) : undefined,
        ]);
        const nowMs = this.#nowMs();
        this.#note(service, reach.onProbeRound(heard, nowMs));
        if (reaches !== undefined) {
            this.#note(service, reach.onPeerQueryResult(reaches, nowMs));
        }
    }

    /** Checks a service; concurrent callers share one check. */
    #check(service: string): Promise<boolean> {
        const underWay = this.#checks.get(service);
        if (underWay !== undefined) {
            return underWay;
        }
        const check = this.#checkServers(service).finally(() => this.#checks.delete(service));
        this.#checks.set(service, check);
        return check;
    }

    /** Probes a few servers over new connections. @returns whether most of them responded */
    async #checkServers(service: string): Promise<boolean> {
        const { view } = this.#parts;
        const left = [...view.usableServers(service, this.#nowMs())];
        const drawn: RegisteredServer[] = [];
        while (drawn.length < reachabilityCheckServers && left.length > 0) {
            drawn.push(...left.splice(Math.floor(this.#parts.random.next() * left.length), 1));
        }
        const heard = await Promise.all(drawn.map(server => this.#checkServer(service, server)));
        return heard.filter(Boolean).length * 2 > heard.length;
    }

    async #checkServer(service: string, server: RegisteredServer): Promise<boolean> {
        const startedAtMs = this.#nowMs();
        const end = await this.#parts.probe.probe(service, server);
        this.onContact({ service, serverId: server.id, isNewConnection: true, end, startedAtMs });
        return end === "heard";
    }

    /** Queries other gateways, a few at a time. @returns whether any of them reaches the service */
    async #inquire(service: string): Promise<boolean> {
        const { view } = this.#parts;
        const asked = new Set<string>();
        for (let i = 0; i < maxReachabilityQueries; i++) {
            const gateways = view.registeredGateways();
            const drawn = this.#helpers.choosePeersToQuery(
                service,
                gateways,
                asked,
                reachabilityQueryPeers,
                this.#nowMs(),
            );
            if (drawn.length === 0) {
                return false;
            }
            drawn.forEach(({ name }) => asked.add(name));
            const answers = await Promise.all(drawn.map(gateway => this.#ask(service, gateway)));
            if (answers.includes(true)) {
                return true;
            }
        }
        return false;
    }

    async #ask(service: string, { name, peerAddress }: RegisteredGateway): Promise<boolean> {
        const answer = await this.#parts.reachabilityClient.fetchReachability(peerAddress, service);
        const nowMs = this.#nowMs();
        if (answer === undefined) {
            this.#helpers.onUnresponsive(name, nowMs);
            return false;
        }
        this.#helpers.onReachability(service, name, answer.reaches, nowMs);
        this.#helpers.onSuggested(service, answer.named, nowMs);
        return answer.reaches;
    }

    #reachOf(service: string): ServiceReachability {
        const reach = this.#services.get(service) ?? new ServiceReachability();
        this.#services.set(service, reach);
        return reach;
    }

    #nowMs(): number {
        return this.#parts.clock.monotonicMs();
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

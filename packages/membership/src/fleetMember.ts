import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type FleetTimings, heartbeatBytes, heartbeatEntryBytes } from "./constants.js";
import { PeerContactTracker } from "./peerContactTracker.js";
import { type FleetCommand, type FleetEvent } from "./fleetEvents.js";
import { FreshnessTracker } from "./freshnessTracker.js";
import { HeartbeatSchedule } from "./heartbeatSchedule.js";
import { VersionedState, type StateChange } from "./versionedState.js";
import { LoadRotation } from "./loadRotation.js";
import {
    type ConfigurationOffer,
    type GatewayIdentity,
    type Heartbeat,
    type OfferAnswer,
    type Roster,
} from "./messages.js";
import { RecentCallers } from "./recentCallers.js";
import { hasMajority, listRosterGateways } from "./roster.js";
import { RosterReconciler } from "./rosterReconciler.js";
import { SignalOutbox } from "./signalOutbox.js";
import { TrafficBudget } from "./trafficBudget.js";

/** Options of a {@link FleetMember}. */
export interface FleetMemberOptions {
    readonly self: GatewayIdentity;
    /** Peer addresses from the settings, to start without the store. */
    readonly seeds: readonly string[];
    readonly timings: FleetTimings;
}

/** Membership status of a gateway, for operators and metrics. */
export interface FleetStatus {
    readonly revision: number;
    readonly rosterVersion: number;
    /** Whether the store's confirmation permits it to accept new work. */
    readonly confirmed: boolean;
    /** Whether contact with a majority of the roster permits it to accept new work. */
    readonly inContact: boolean;
    /** Whether it has started and not yet recovered the state that it may have held before. */
    readonly recovering: boolean;
    readonly registered: boolean;
    readonly member: boolean;
    /** Names of the peers that are in contact. */
    readonly peers: readonly string[];
}

/**
 * State machine of one gateway in the fleet, without I/O: holds the configuration and roster, and determines whether
 * they are recent enough to accept new work.
 */
export class FleetMember {
    readonly #self: GatewayIdentity;
    readonly #seeds: readonly string[];
    readonly #timings: FleetTimings;
    readonly #startedAtMs: number;
    readonly #state = new VersionedState();
    readonly #contacts = new PeerContactTracker();
    readonly #recentCallers = new RecentCallers();
    readonly #budget = new TrafficBudget();
    readonly #freshness: FreshnessTracker;
    readonly #schedule: HeartbeatSchedule;
    readonly #rosterReconciler: RosterReconciler;
    readonly #fetching = new Set<string>();
    #recovering = true;
    #stopping = false;
    #isReading = false;
    #readDueAtMs: number;
    #registration: "none" | "asking" | "held" = "none";
    #registrationDueAtMs: number;
    readonly #signals: SignalOutbox;
    readonly #loads = new LoadRotation();

    constructor(options: FleetMemberOptions, nowMs: number) {
        this.#self = options.self;
        this.#seeds = options.seeds;
        this.#timings = options.timings;
        this.#startedAtMs = nowMs;
        this.#readDueAtMs = nowMs;
        this.#registrationDueAtMs = nowMs;
        this.#freshness = new FreshnessTracker(options.self.name);
        this.#schedule = new HeartbeatSchedule(options.timings.heartbeatIntervalMs);
        this.#signals = new SignalOutbox(options.timings.freshForMs);
        this.#rosterReconciler = new RosterReconciler(options.self.name, options.timings);
    }

    get configuration(): ConfigurationRevision | undefined {
        return this.#state.configuration;
    }

    get roster(): Roster | undefined {
        return this.#state.roster;
    }

    /**
     * Whether new work may be sent under {@link configuration}. Must be called in the same turn of the event loop in
     * which the work is sent. Otherwise a process that was paused and resumes would act on a configuration that has
     * been replaced, and an availability zone would get work after its evacuation. The monotonic clock advances during
     * a pause, so that a call after it returns `false`.
     *
     * @param nowMs - current time of the monotonic clock, in milliseconds
     * @returns `false` if the request is to be rejected with `notFresh`
     */
    mayTakeNewWork(nowMs: number): boolean {
        if (this.#stopping || this.#state.configuration === undefined) {
            return false;
        }
        return this.#isConfirmed(nowMs) || this.#isInContact(nowMs);
    }

    status(nowMs: number): FleetStatus {
        const names = listRosterGateways(this.#state.roster).map(gateway => gateway.name);
        return {
            revision: this.#state.revision,
            rosterVersion: this.#state.rosterVersion,
            confirmed: this.#isConfirmed(nowMs),
            inContact: this.#isInContact(nowMs),
            recovering: this.#recovering,
            registered: this.#registration === "held",
            member: names.includes(this.#self.name),
            peers: [...this.#contacts.namesInContactSince(nowMs - this.#timings.freshForMs)].sort(),
        };
    }

    /** Responds to a peer's heartbeat; the commands fetch newer state from the peer. */
    answerHeartbeat(heartbeat: Heartbeat, nowMs: number): {
        readonly answer: Heartbeat;
        readonly commands: readonly FleetCommand[];
    } {
        this.#recentCallers.onCall(heartbeat.from, nowMs);
        return { answer: this.#createHeartbeat(0, nowMs), commands: this.#fetchNewer(heartbeat) };
    }

    /**
     * Merges an offer and reports the versions held afterwards. The commands must be executed before the response is
     * sent.
     */
    answerOffer(offer: ConfigurationOffer, nowMs: number): {
        readonly answer: OfferAnswer;
        readonly commands: readonly FleetCommand[];
    } {
        const commands = this.#mergeOffer(offer);
        const answer = {
            gateway: this.#self,
            revision: this.#state.revision,
            rosterVersion: this.#state.rosterVersion,
            recentCallers: this.#listRecentCallers(nowMs),
        };
        return { answer, commands };
    }

    /** @returns the configuration and roster that this gateway holds, for a peer that fetches them */
    createOffer(): ConfigurationOffer {
        return { offered: this.#state.configuration, roster: this.#state.roster };
    }

    /**
     * @param event - the event to process
     * @param nowMs - current time of the monotonic clock, in milliseconds
     * @returns the commands to execute, in this order
     */
    handle(event: FleetEvent, nowMs: number): readonly FleetCommand[] {
        switch (event.type) {
            case "ticked":
                return this.#tick(nowMs);
            case "storeChanged":
                this.#readDueAtMs = nowMs;
                return this.#tick(nowMs);
            case "storeRead":
                return this.#storeRead(event, nowMs);
            case "storeReadFailed":
                this.#isReading = false;
                return [];
            case "hostsListed":
                this.#rosterReconciler.onHostsListed(event.names);
                return [];
            case "registered":
                this.#registration = "held";
                this.#registrationDueAtMs = event.startedAtMs + event.ttlMs / 3;
                this.#freshness.onRegistered(nowMs, this.#validUntilMs(event.startedAtMs, event.ttlMs));
                this.#readDueAtMs = nowMs;
                return this.#tick(nowMs);
            case "registrationFailed":
                this.#registration = "none";
                this.#registrationDueAtMs = nowMs + this.#timings.storeReadIntervalMs;
                return [];
            case "renewed":
                this.#registrationDueAtMs = event.startedAtMs + event.ttlMs / 3;
                this.#freshness.onRenewed(this.#validUntilMs(event.startedAtMs, event.ttlMs));
                return [];
            case "renewalFailed":
                return this.#renewalFailed(event.lapsed, nowMs);
            case "heartbeatAnswered":
                return this.#heartbeatAnswered(event.address, event.startedAtMs, event.heartbeat, nowMs);
            case "heartbeatFailed":
                this.#schedule.onEnded(event.address);
                return [];
            case "fetched":
                this.#fetching.delete(event.address);
                return this.#mergeOffer(event.offer);
            case "fetchFailed":
                this.#fetching.delete(event.address);
                return [];
            case "signalsPublished":
                this.#signals.add(event.signals, nowMs);
                this.#schedule.markUrgent(this.#peerAddresses(nowMs));
                return this.#tick(nowMs);
            case "loadsPublished":
                this.#loads.replace(event.loads, nowMs);
                return [];
            case "stopping":
                this.#stopping = true;
                return [];
        }
    }

    #isConfirmed(nowMs: number): boolean {
        return this.#freshness.isConfirmed(nowMs - this.#timings.freshForMs, nowMs, this.#state);
    }

    /**
     * Whether a majority of the roster reported in response to recent calls that it holds nothing newer. These gateways
     * need no connection to the store: a change in force is held by a majority, which has at least one gateway in
     * common with this one, and that gateway would have reported the change.
     */
    #isInContact(nowMs: number): boolean {
        const roster = this.#state.roster;
        if (this.#recovering || roster === undefined) {
            return false;
        }
        const names = this.#contacts.namesInContactSince(nowMs - this.#timings.freshForMs);
        names.add(this.#self.name);
        return hasMajority(roster, names);
    }

    #tick(nowMs: number): readonly FleetCommand[] {
        const commands: FleetCommand[] = [];
        if (!this.#isReading && nowMs >= this.#readDueAtMs) {
            this.#isReading = true;
            this.#readDueAtMs = nowMs + this.#timings.storeReadIntervalMs;
            commands.push({ type: "readStore" });
        }
        if (!this.#stopping && this.#registration !== "asking" && nowMs >= this.#registrationDueAtMs) {
            commands.push({ type: this.#registration === "held" ? "renew" : "register" });
            this.#registrationDueAtMs = nowMs + this.#timings.storeReadIntervalMs;
            if (this.#registration === "none") {
                this.#registration = "asking";
            }
        }
        return [...commands, ...this.#heartbeats(nowMs)];
    }

    #heartbeats(nowMs: number): readonly FleetCommand[] {
        const rosterNames = new Set(listRosterGateways(this.#state.roster).map(gateway => gateway.name));
        this.#contacts.prune(rosterNames, nowMs - 2 * this.#timings.freshForMs);
        const commands: FleetCommand[] = [];
        for (const address of this.#schedule.due(this.#peerAddresses(nowMs), nowMs)) {
            const signalBytes = this.#signals.read(nowMs).length * heartbeatEntryBytes;
            const remainingBytes = this.#budget.available(nowMs) - heartbeatBytes - signalBytes;
            if (remainingBytes < 0 && !this.#schedule.isUrgent(address)) {
                break;
            }
            const loadLimit = Math.max(0, Math.floor(remainingBytes / heartbeatEntryBytes));
            const heartbeat = this.#createHeartbeat(loadLimit, nowMs);
            this.#budget.spend(heartbeatBytes + signalBytes + heartbeat.loads.length * heartbeatEntryBytes);
            this.#schedule.onSent(address, nowMs);
            commands.push({ type: "sendHeartbeat", address, heartbeat });
        }
        return commands;
    }

    #storeRead(event: Extract<FleetEvent, { readonly type: "storeRead"; }>, nowMs: number): readonly FleetCommand[] {
        const { startedAtMs, head, roster, survey } = event;
        this.#isReading = false;
        const commands = [...this.#mergeOffer({ offered: head, roster })];
        const headRevision = head?.revision ?? 0;
        const rosterVersion = roster?.version ?? 0;
        // A store that returns older state than this gateway holds was restored from a backup or serves stale reads. It
        // confirms nothing, and nothing is written on the basis of this read.
        if (headRevision !== this.#state.revision || rosterVersion !== this.#state.rosterVersion) {
            return commands;
        }
        if (head !== undefined && head.changeId !== this.#state.configuration?.changeId) {
            return commands;
        }
        this.#recovering = false;
        this.#freshness.onStoreRead(startedAtMs, this.#state);
        this.#reportOwnVersions(nowMs);
        const swap = survey === undefined ? undefined : this.#rosterReconciler.reconcile(survey, nowMs);
        if (swap !== undefined && !this.#stopping) {
            commands.push({ type: "swapRoster", swap });
        }
        return commands;
    }

    #heartbeatAnswered(
        address: string,
        startedAtMs: number,
        heartbeat: Heartbeat,
        nowMs: number,
    ): readonly FleetCommand[] {
        this.#schedule.onEnded(address);
        if (heartbeat.from.name === this.#self.name) {
            return [];
        }
        this.#contacts.onHeartbeat(startedAtMs, heartbeat, this.#state);
        this.#freshness.onPeerHeartbeat(startedAtMs, heartbeat, this.#state);
        this.#rosterReconciler.onVersionReport({
            gateway: heartbeat.from,
            revision: heartbeat.revision,
            rosterVersion: heartbeat.rosterVersion,
            recentCallers: [],
            startedAtMs,
            answeredAtMs: nowMs,
        });
        this.#recoverFromPeers();
        return this.#fetchNewer(heartbeat);
    }

    #fetchNewer(heartbeat: Heartbeat): readonly FleetCommand[] {
        const address = heartbeat.from.peerAddress;
        if (this.#state.isAtLeast(heartbeat.revision, heartbeat.rosterVersion) || this.#fetching.has(address)) {
            return [];
        }
        this.#fetching.add(address);
        return [{ type: "fetch", address }];
    }

    #renewalFailed(lapsed: boolean, nowMs: number): readonly FleetCommand[] {
        if (!lapsed) {
            return [];
        }
        this.#registration = "none";
        this.#registrationDueAtMs = nowMs;
        this.#freshness.onRegistrationLost();
        return this.#tick(nowMs);
    }

    #mergeOffer(offer: ConfigurationOffer): readonly FleetCommand[] {
        const change: StateChange = this.#state.merge(offer);
        this.#contacts.reevaluate(this.#state);
        this.#recoverFromPeers();
        return change.configuration === undefined ? [] : [{ type: "apply", configuration: change.configuration }];
    }

    /**
     * A process that starts while the store is down recovers the state that it may have held before from a majority of
     * the roster, without counting itself. It may have been the only gateway that the majority for a change had in
     * common with the peers that respond now, and it has lost the change.
     */
    #recoverFromPeers(): void {
        const roster = this.#state.roster;
        if (!this.#recovering || roster === undefined) {
            return;
        }
        const names = this.#contacts.namesInContactSince(this.#startedAtMs);
        names.delete(this.#self.name);
        this.#recovering = !hasMajority(roster, names);
    }

    #reportOwnVersions(nowMs: number): void {
        this.#rosterReconciler.onVersionReport({
            gateway: this.#self,
            revision: this.#state.revision,
            rosterVersion: this.#state.rosterVersion,
            recentCallers: [],
            startedAtMs: nowMs,
            answeredAtMs: nowMs,
        });
    }

    #createHeartbeat(loadLimit: number, nowMs: number): Heartbeat {
        return {
            from: this.#self,
            revision: this.#state.revision,
            rosterVersion: this.#state.rosterVersion,
            freshnessAgeMs: this.#freshness.ageMs(nowMs, this.#state),
            recovering: this.#recovering,
            signals: this.#signals.read(nowMs),
            loads: this.#loads.next(loadLimit, nowMs),
            stopping: this.#stopping,
        };
    }

    #listRecentCallers(nowMs: number): readonly GatewayIdentity[] {
        return this.#recentCallers.since(nowMs - this.#timings.freshForMs - this.#timings.marginMs);
    }

    /**
     * Peer addresses: the one that each peer reported last, otherwise the one in the roster. Gateways that aren't in
     * the roster yet are known from their calls. The seeds are included while no majority is in contact.
     */
    #peerAddresses(nowMs: number): readonly string[] {
        const byName = new Map<string, string>();
        for (const gateway of listRosterGateways(this.#state.roster)) {
            byName.set(gateway.name, gateway.peerAddress);
        }
        for (const gateway of [...this.#contacts.identities, ...this.#listRecentCallers(nowMs)]) {
            byName.set(gateway.name, gateway.peerAddress);
        }
        byName.delete(this.#self.name);
        const seeds = this.#isInContact(nowMs) ? [] : this.#seeds;
        return [...byName.values(), ...seeds].filter(address => address !== this.#self.peerAddress);
    }

    /** Expiry of a lease, counted from the start of the call and reduced by a margin for the rates of the clocks. */
    #validUntilMs(startedAtMs: number, ttlMs: number): number {
        return startedAtMs + ttlMs - Math.min(this.#timings.marginMs, ttlMs / 4);
    }
}

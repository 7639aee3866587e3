import { storeOutageThresholdMs } from "./constants.js";
import { type StoredCrashReport } from "./crashReport.js";
import { type GatewayMembers, GatewayRoster } from "./gatewayRoster.js";
import {
    type FleetConfiguration,
    type RegisteredServer,
    type ServiceRules,
    type StateChanges,
    type StateItem,
} from "./model.js";
import { type RegisteredGateway } from "./watchSourceSelector.js";
import { StoreRestoreOverrides } from "./storeRestoreOverrides.js";
import { isLaterStatus } from "./isLaterStatus.js";
import { RolloutRegistry } from "./rolloutRegistry.js";
import { createRouteTable, type RouteTable } from "./routeTable.js";
import { ServerDirectory } from "./serverDirectory.js";
import { type RolloutPlan } from "./versionEligibility.js";
import { WorkspaceDirectory } from "@galenaglade/workspaces";

/** A configuration in force, ready for look-ups. */
export interface ConfigurationInForce {
    readonly configuration: FleetConfiguration;
    readonly routes: RouteTable;
    readonly services: ReadonlyMap<string, ServiceRules>;
    /** `undefined` where the configuration has no workspaces. */
    readonly workspaces: WorkspaceDirectory | undefined;
}

/** Something that this process believes from now on, for its log. */
export interface FleetChange {
    readonly subject: "configuration" | "availabilityZone" | "server" | "gateway" | "rollout" | "crashReport" | "item";
    readonly name: string;
    readonly change: string;
}

/**
 * What one process believes of the fleet: the configuration in force, availability zones taken out, backend servers and
 * gateways. Fed by whole readings of the store and by the changes after them; the configuration never goes back.
 */
export class FleetView {
    readonly #directory = new ServerDirectory();
    readonly #roster = new GatewayRoster();
    readonly #rollouts = new RolloutRegistry();
    readonly #itemsByKey = new Map<string, StateItem>();
    readonly #zonesOut = new Set<string>();
    readonly #crashReports = new Map<string, StoredCrashReport>();
    #crashReportChanges = 0;
    #inForce: ConfigurationInForce | undefined;
    #lastContactMs = -Infinity;
    #currentAsOfMs = -Infinity;
    #awaySinceMs: number | undefined;
    /** Since when the store has been heard without an outage; `undefined` where that isn't known. */
    #heardSinceMs: number | undefined;
    #isRead = false;
    /** How often the store came back from an older copy, as of the last reading. */
    #term = 0;
    readonly #restored = new StoreRestoreOverrides();

    /** `undefined` until the store gave a configuration. */
    get configurationInForce(): ConfigurationInForce | undefined {
        return this.#inForce;
    }

    /** Whether the store has been read in whole. */
    get hasSynced(): boolean {
        return this.#isRead;
    }

    /** When the store last answered. */
    get lastStoreContactMs(): number {
        return this.#lastContactMs;
    }

    /**
     * Until when what is believed is known to be the store's present state. Contact alone doesn't show it: a cheap reading may be
     * seconds old, and tells of no change that came since.
     */
    get currentAsOfMs(): number {
        return this.#currentAsOfMs;
    }

    /** What is believed was the store's whole state at that time, by a reading that can't be old. */
    markCurrentAsOf(asOfMs: number): void {
        this.#currentAsOfMs = Math.max(this.#currentAsOfMs, asOfMs);
    }

    /**
     * The store answered, whether with changes or without.
     *
     * @param nowMs - the present time
     * @param ageMs - how long ago, where another gateway passes the answer on
     * @returns how long it had been away, where it was
     */
    onStoreContact(nowMs: number, ageMs = 0): number | undefined {
        const awaySinceMs = this.#awaySinceMs;
        const wasAway = awaySinceMs !== undefined && nowMs - awaySinceMs > storeOutageThresholdMs;
        const wasSilent = nowMs - ageMs - this.#lastContactMs > storeOutageThresholdMs;
        this.#awaySinceMs = undefined;
        this.#lastContactMs = Math.max(this.#lastContactMs, nowMs - ageMs);
        if (this.#heardSinceMs === undefined || wasAway || wasSilent) {
            this.#heardSinceMs = nowMs;
        }
        if (!wasAway) {
            return undefined;
        }
        this.#directory.onStoreRecovered(nowMs);
        return nowMs - awaySinceMs;
    }

    /**
     * @returns for how long the store has been heard without an outage, in milliseconds; `undefined` where this process can't
     * vouch for the present
     */
    storeReachableForMs(nowMs: number): number | undefined {
        const isHeard = this.#awaySinceMs === undefined && nowMs - this.#lastContactMs <= storeOutageThresholdMs;
        return isHeard && this.#heardSinceMs !== undefined ? nowMs - this.#heardSinceMs : undefined;
    }

    /**
     * Another gateway has heard the store without an outage until now. Where this one lost it for longer, it alone was cut off, and
     * what it misses was deleted.
     *
     * @param forMs - for how long the other one has heard it
     * @param nowMs - the present time
     */
    onPeerStoreContact(forMs: number, nowMs: number): void {
        const sinceMs = nowMs - forMs;
        if (this.#heardSinceMs !== undefined) {
            this.#heardSinceMs = Math.min(this.#heardSinceMs, sinceMs);
        }
        this.#directory.onStoreUpSince(sinceMs);
    }

    /** This host stood still: the store may have been away meanwhile, and nothing here shows it. */
    onProcessPaused(): void {
        this.#heardSinceMs = undefined;
    }

    /** @returns whether any server is believed whose entry went missing, because the store may have been away */
    hasLapsedServers(nowMs: number): boolean {
        return this.#directory.hasLapsedEntries(nowMs);
    }

    /** A call of the store has failed. @param sinceMs - from when on the store may have been away */
    onStoreCallFailed(sinceMs: number): void {
        this.#awaySinceMs ??= sinceMs;
    }

    /** How often the store came back from an older copy, as of the last whole reading. */
    get term(): number {
        return this.#term;
    }

    /**
     * A whole reading: what it lacks is gone. Where the store came back from an older copy, what it lacks may just have been lost, and what
     * it has may have been changed or withdrawn before.
     *
     * @param items - everything that was read
     * @param nowMs - the present time
     * @param term - of the store, in which it was read
     * @returns what is believed from now on
     */
    onFullRead(items: readonly StateItem[], nowMs: number, term = 0): readonly FleetChange[] {
        const read = new Set(items.map(item => item.key));
        const lacking = [...this.#itemsByKey.values()].filter(({ key }) => !read.has(key));
        const deletedKeys: string[] = [];
        const isRestored = this.#isRead && term > this.#term;
        if (isRestored) {
            this.#restored.onStoreRestored(nowMs);
            this.#directory.onStoreRestored(nowMs);
        }
        for (const item of lacking) {
            if (item.type === "server" || (!isRestored && !this.#restored.retains(item.key, nowMs))) {
                deletedKeys.push(item.key);
            }
            else if (isRestored) {
                this.#restored.onMissing(item, nowMs);
            }
        }
        this.#isRead = true;
        this.#term = Math.max(this.#term, term);
        return this.onChanges({ items: items.filter(item => !this.#isOutdated(item, nowMs)), deletedKeys }, nowMs);
    }

    /** @returns how many keys are believed that the store lacks since it came back from an older copy */
    countUnconfirmedKeys(): number {
        return this.#restored.unconfirmedKeys.size;
    }

    /** What changed since the last reading or change. */
    onChanges(changes: StateChanges, nowMs: number): readonly FleetChange[] {
        const beliefs: FleetChange[] = [];
        for (const key of changes.deletedKeys) {
            this.#forget(key, nowMs, beliefs);
        }
        for (const item of changes.items) {
            this.#learn(item, nowMs, beliefs);
        }
        return beliefs;
    }

    /** Lets go of what was believed for a limited time. */
    expire(nowMs: number): readonly FleetChange[] {
        const { expiredKeys, confirmedItems } = this.#restored.expire(nowMs);
        const beliefs = [...this.onChanges({ items: confirmedItems, deletedKeys: expiredKeys }, nowMs)];
        for (const { id, change } of this.#directory.expire(nowMs)) {
            beliefs.push({ subject: "server", name: id, change });
        }
        return beliefs;
    }

    /** @returns backend servers of a service that may be given any new work */
    usableServers(service: string, nowMs: number): readonly RegisteredServer[] {
        const ready = this.readyServers(service, nowMs);
        if (this.#rollouts.planOf(service) === undefined) {
            return ready;
        }
        const stable = ready.filter(server => this.#rollouts.eligibilityOf(server) === "stable");
        return stable.length > 0
            ? stable
            : ready.filter(server => this.#rollouts.eligibilityOf(server) === "superseded");
    }

    /** @returns backend servers of a version on trial, which may be given a bounded share of new work */
    trialServers(service: string, nowMs: number): readonly RegisteredServer[] {
        return this.#rollouts.planOf(service) === undefined
            ? []
            : this.readyServers(service, nowMs).filter(server => this.#rollouts.eligibilityOf(server) === "trial");
    }

    /** @returns roll-outs of all services, those that have ended included */
    rollouts(): readonly RolloutPlan[] {
        return this.#rollouts.plans;
    }

    /** @returns a service's latest roll-out */
    rolloutOf(service: string): RolloutPlan | undefined {
        return this.#rollouts.planOf(service);
    }

    /** Reports on requests under which servers ended, by gateway. */
    get crashReports(): ReadonlyMap<string, StoredCrashReport> {
        return this.#crashReports;
    }

    /** Rises with each change of {@link crashReports}. */
    get crashReportsVersion(): number {
        return this.#crashReportChanges;
    }

    /** @returns whether a server may be given new work; asked again right before a request is written */
    isUsable(id: string, nowMs: number): boolean {
        const server = this.#directory.get(id);
        if (
            server === undefined || !this.#directory.isReady(id, nowMs)
            || this.#zonesOut.has(server.availabilityZone)
        ) {
            return false;
        }
        const use = this.#rollouts.eligibilityOf(server);
        return use === "superseded"
            ? this.usableServers(server.service, nowMs).some(other => other.id === id)
            : use !== "blocked";
    }

    /** @returns backend servers of a service that may be given new work for all that roll-outs don't say */
    readyServers(service: string, nowMs: number): readonly RegisteredServer[] {
        return this.#directory.ready(service, nowMs).filter(server => !this.#zonesOut.has(server.availabilityZone));
    }

    /** Every backend server that has an entry, whatever its state. */
    knownServerIds(): readonly string[] {
        return this.#directory.ids();
    }

    /** @returns the names of all gateways that count, sorted */
    gatewayNames(nowMs: number): readonly string[] {
        return this.#roster.names(nowMs);
    }

    /** @returns the gateways that count, with their availability zones; the same object while they are the same */
    gatewayMembers(nowMs: number): GatewayMembers {
        return this.#roster.members(nowMs);
    }

    /** @returns the gateways that tell others changes of the store */
    registeredGateways(): readonly RegisteredGateway[] {
        return this.#roster.registered();
    }

    /** @returns whether a gateway's registration is in the store, as far as is known */
    isRegistered(name: string): boolean {
        return this.#roster.isRegistered(name) && !this.#isUnconfirmedGateway(name);
    }

    /** @returns the lease that a gateway's registration is under, as far as is known */
    registrationLease(name: string): string | undefined {
        return this.#isUnconfirmedGateway(name) ? undefined : this.#roster.leaseOf(name);
    }

    #isUnconfirmedGateway(name: string): boolean {
        for (const key of this.#restored.unconfirmedKeys.keys()) {
            const item = this.#itemsByKey.get(key);
            if (item?.type === "gateway" && item.name === name) {
                return true;
            }
        }
        return false;
    }

    /** Whether a reading has something of before what is believed. */
    #isOutdated(item: StateItem, nowMs: number): boolean {
        if (item.type === "server") {
            return this.#directory.isOutdated(item.server);
        }
        if (item.type === "rolloutStatus") {
            const known = this.#rollouts.planOf(item.status.service)?.status;
            return known !== undefined && isLaterStatus(known, item.status);
        }
        return !this.#itemsByKey.has(item.key) && this.#restored.suppresses(item, nowMs);
    }

    #learn(item: StateItem, nowMs: number, beliefs: FleetChange[]): void {
        this.#restored.onWritten(item.key);
        const before = this.#itemsByKey.get(item.key);
        if (before !== undefined && !isSameSubject(before, item)) {
            this.#forget(item.key, nowMs, beliefs);
        }
        this.#itemsByKey.set(item.key, item);
        switch (item.type) {
            case "configuration":
                this.#learnConfiguration(item.configuration, beliefs);
                return;
            case "zoneOut":
                if (!this.#zonesOut.has(item.availabilityZone)) {
                    this.#zonesOut.add(item.availabilityZone);
                    beliefs.push({ subject: "availabilityZone", name: item.availabilityZone, change: "out" });
                }
                return;
            case "server": {
                const change = this.#directory.onEntry(item.server);
                if (change !== undefined) {
                    beliefs.push({ subject: "server", name: change.id, change: change.change });
                }
                return;
            }
            case "gateway":
                if (!this.#roster.isRegistered(item.name)) {
                    beliefs.push({ subject: "gateway", name: item.name, change: "present" });
                }
                this.#roster.onRegistered(item.name, item.leaseId, item.registration);
                return;
            case "rolloutOrder":
                this.#rollouts.onOrder(item.order);
                beliefs.push({
                    subject: "rollout",
                    name: item.order.service,
                    change: `ordered ${item.order.version} within ${item.order.allowedMs} ms`,
                });
                return;
            case "rolloutStatus":
                this.#rollouts.onStatus(item.status, item.revision, this.#directory.ready(item.status.service, nowMs));
                beliefs.push({
                    subject: "rollout",
                    name: item.status.service,
                    change: `${item.status.version} ${item.status.stage}`,
                });
                return;
            case "crashReport": {
                const { gateway, report, revision } = item;
                this.#crashReports.set(gateway, { report, revision });
                this.#crashReportChanges++;
                const change = `${report.strikes.length} strikes, ${report.cleared.length} cleared`;
                beliefs.push({ subject: "crashReport", name: gateway, change });
                return;
            }
            case "ignored":
                if (item.reason !== undefined) {
                    beliefs.push({ subject: "item", name: item.key, change: `ignored: ${item.reason}` });
                }
        }
    }

    #learnConfiguration(configuration: FleetConfiguration, beliefs: FleetChange[]): void {
        const current = this.#inForce?.configuration.version ?? -1;
        if (configuration.version <= current) {
            return;
        }
        this.#inForce = {
            configuration,
            routes: createRouteTable(configuration.routes),
            services: new Map(configuration.services.map(rules => [rules.name, rules])),
            workspaces: configuration.workspaces && new WorkspaceDirectory(configuration.workspaces),
        };
        beliefs.push({ subject: "configuration", name: String(configuration.version), change: "inForce" });
    }

    #forget(key: string, nowMs: number, beliefs: FleetChange[]): void {
        const item = this.#itemsByKey.get(key);
        this.#itemsByKey.delete(key);
        this.#restored.onDeleted(key, item, nowMs);
        switch (item?.type) {
            case "zoneOut":
                this.#zonesOut.delete(item.availabilityZone);
                beliefs.push({ subject: "availabilityZone", name: item.availabilityZone, change: "in" });
                return;
            case "server": {
                const change = this.#directory.onEntryMissing(item.server.id, nowMs);
                if (change !== undefined) {
                    beliefs.push({ subject: "server", name: change.id, change: change.change });
                }
                return;
            }
            case "gateway":
                this.#roster.onUnregistered(item.name, nowMs);
                beliefs.push({ subject: "gateway", name: item.name, change: "gone" });
                return;
            case "rolloutOrder":
                this.#rollouts.onOrderDeleted(item.order);
                beliefs.push({ subject: "rollout", name: item.order.service, change: "order withdrawn" });
                return;
            case "crashReport":
                this.#crashReports.delete(item.gateway);
                this.#crashReportChanges++;
                beliefs.push({ subject: "crashReport", name: item.gateway, change: "gone" });
                return;
            case "rolloutStatus":
                this.#rollouts.onStatusDeleted(item.status);
        }
    }
}

function isSameSubject(a: StateItem, b: StateItem): boolean {
    if (a.type === "server" && b.type === "server") {
        return a.server.id === b.server.id;
    }
    if (a.type === "rolloutOrder" && b.type === "rolloutOrder") {
        return a.order.service === b.order.service;
    }
    if (a.type === "rolloutStatus" && b.type === "rolloutStatus") {
        return a.status.service === b.status.service;
    }
    return a.type === b.type;
}

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

/** The configuration in force, indexed for lookups. */
export interface ConfigurationInForce {
    readonly configuration: FleetConfiguration;
    readonly routes: RouteTable;
    readonly services: ReadonlyMap<string, ServiceRules>;
    /** `undefined` if the configuration has no workspaces. */
    readonly workspaces: WorkspaceDirectory | undefined;
}

/** A change of the fleet view, for the log. */
export interface FleetChange {
    readonly subject: "configuration" | "availabilityZone" | "server" | "gateway" | "rollout" | "crashReport" | "item";
    readonly name: string;
    readonly change: string;
}

/**
 * The state of the fleet as one process sees it: the configuration in force, evacuated availability zones, backend
 * servers and gateways. It is fed by full reads of the store and by the changes after them. The configuration never
 * reverts to an older version.
 */
export class FleetView {
    readonly #directory = new ServerDirectory();
    readonly #roster = new GatewayRoster();
    readonly #rollouts = new RolloutRegistry();
    readonly #itemsByKey = new Map<string, StateItem>();
    readonly #evacuatedZones = new Set<string>();
    readonly #crashReports = new Map<string, StoredCrashReport>();
    #crashReportsVersion = 0;
    #configurationInForce: ConfigurationInForce | undefined;
    #lastStoreContactMs = -Infinity;
    #currentAsOfMs = -Infinity;
    #storeUnavailableSinceMs: number | undefined;
    /** Start of the current period without a store outage; `undefined` if unknown. */
    #storeReachableSinceMs: number | undefined;
    #hasSynced = false;
    /** Term of the store, which counts its restores from older backups, as of the last full read. */
    #term = 0;
    readonly #restoreOverrides = new StoreRestoreOverrides();

    /** `undefined` until the first configuration has been read. */
    get configurationInForce(): ConfigurationInForce | undefined {
        return this.#configurationInForce;
    }

    /** Whether a full read of the store has completed. */
    get hasSynced(): boolean {
        return this.#hasSynced;
    }

    /** Time of the last answer from the store. */
    get lastStoreContactMs(): number {
        return this.#lastStoreContactMs;
    }

    /**
     * Time as of which this view is known to match the store. The last answer does not show it: an eventually
     * consistent read may be seconds old and miss later changes.
     */
    get currentAsOfMs(): number {
        return this.#currentAsOfMs;
    }

    /** This view matched the whole store at that time, according to a read that cannot be stale. */
    markCurrentAsOf(asOfMs: number): void {
        this.#currentAsOfMs = Math.max(this.#currentAsOfMs, asOfMs);
    }

    /**
     * Handles an answer from the store, with or without changes.
     *
     * @param nowMs - the current time
     * @param ageMs - age of the answer if another gateway relayed it, in milliseconds
     * @returns duration of the outage that this answer ends, in milliseconds; `undefined` if there was none
     */
    onStoreContact(nowMs: number, ageMs = 0): number | undefined {
        const unavailableSinceMs = this.#storeUnavailableSinceMs;
        const wasUnavailable = unavailableSinceMs !== undefined && nowMs - unavailableSinceMs > storeOutageThresholdMs;
        const hadContactGap = nowMs - ageMs - this.#lastStoreContactMs > storeOutageThresholdMs;
        this.#storeUnavailableSinceMs = undefined;
        this.#lastStoreContactMs = Math.max(this.#lastStoreContactMs, nowMs - ageMs);
        if (this.#storeReachableSinceMs === undefined || wasUnavailable || hadContactGap) {
            this.#storeReachableSinceMs = nowMs;
        }
        if (!wasUnavailable) {
            return undefined;
        }
        this.#directory.onStoreRecovered(nowMs);
        return nowMs - unavailableSinceMs;
    }

    /**
     * @returns for how long the store has been reachable without an outage, in milliseconds; `undefined` if this
     * process cannot vouch for it now
     */
    storeReachableForMs(nowMs: number): number | undefined {
        const isReachable = this.#storeUnavailableSinceMs === undefined
            && nowMs - this.#lastStoreContactMs <= storeOutageThresholdMs;
        return isReachable && this.#storeReachableSinceMs !== undefined
            ? nowMs - this.#storeReachableSinceMs
            : undefined;
    }

    /**
     * Another gateway has reached the store without an outage until now. If this gateway lost the store for longer,
     * only this one was partitioned, and the entries that it finds missing were deleted.
     *
     * @param forMs - for how long the other gateway has reached the store, in milliseconds
     * @param nowMs - the current time
     */
    onPeerStoreContact(forMs: number, nowMs: number): void {
        const sinceMs = nowMs - forMs;
        if (this.#storeReachableSinceMs !== undefined) {
            this.#storeReachableSinceMs = Math.min(this.#storeReachableSinceMs, sinceMs);
        }
        this.#directory.onStoreUpSince(sinceMs);
    }

    /** This host was paused: a store outage may have gone unnoticed meanwhile. */
    onProcessPaused(): void {
        this.#storeReachableSinceMs = undefined;
    }

    /** @returns whether any server is kept whose entry is missing, because the store may have been unavailable */
    hasLapsedServers(nowMs: number): boolean {
        return this.#directory.hasLapsedEntries(nowMs);
    }

    /**
     * Handles a failed call to the store.
     *
     * @param sinceMs - when the store may have become unavailable
     */
    onStoreCallFailed(sinceMs: number): void {
        this.#storeUnavailableSinceMs ??= sinceMs;
    }

    /** Term of the store, which counts its restores from older backups, as of the last full read. */
    get term(): number {
        return this.#term;
    }

    /**
     * Applies a full read of the store. Entries that it lacks were deleted. After a restore from an older backup,
     * however, they may just have been lost, and entries that it has may be outdated or withdrawn.
     *
     * @param items - all items that were read
     * @param nowMs - the current time
     * @param term - term of the store at the read
     * @returns the resulting changes
     */
    onFullRead(items: readonly StateItem[], nowMs: number, term = 0): readonly FleetChange[] {
        const readKeys = new Set(items.map(item => item.key));
        const missing = [...this.#itemsByKey.values()].filter(({ key }) => !readKeys.has(key));
        const deletedKeys: string[] = [];
        const isRestored = this.#hasSynced && term > this.#term;
        if (isRestored) {
            this.#restoreOverrides.onStoreRestored(nowMs);
            this.#directory.onStoreRestored(nowMs);
        }
        for (const item of missing) {
            if (item.type === "server" || (!isRestored && !this.#restoreOverrides.retains(item.key, nowMs))) {
                deletedKeys.push(item.key);
            }
            else if (isRestored) {
                this.#restoreOverrides.onMissing(item, nowMs);
            }
        }
        this.#hasSynced = true;
        this.#term = Math.max(this.#term, term);
        return this.onChanges({ items: items.filter(item => !this.#isOutdated(item, nowMs)), deletedKeys }, nowMs);
    }

    /**
     * @returns how many keys are still in effect although the store has lacked them since it was restored from a
     * backup
     */
    countUnconfirmedKeys(): number {
        return this.#restoreOverrides.unconfirmedKeys.size;
    }

    /** Applies changes since the last full read or change. */
    onChanges(changes: StateChanges, nowMs: number): readonly FleetChange[] {
        const fleetChanges: FleetChange[] = [];
        for (const key of changes.deletedKeys) {
            this.#removeKey(key, nowMs, fleetChanges);
        }
        for (const item of changes.items) {
            this.#applyItem(item, nowMs, fleetChanges);
        }
        return fleetChanges;
    }

    /** Ends overrides and lapsed entries whose time is over. */
    expire(nowMs: number): readonly FleetChange[] {
        const { expiredKeys, confirmedItems } = this.#restoreOverrides.expire(nowMs);
        const fleetChanges = [...this.onChanges({ items: confirmedItems, deletedKeys: expiredKeys }, nowMs)];
        for (const { id, change } of this.#directory.expire(nowMs)) {
            fleetChanges.push({ subject: "server", name: id, change });
        }
        return fleetChanges;
    }

    /** @returns backend servers of a service that may get any new request */
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

    /** @returns backend servers of a version on trial, which may get a bounded share of new requests */
    trialServers(service: string, nowMs: number): readonly RegisteredServer[] {
        return this.#rollouts.planOf(service) === undefined
            ? []
            : this.readyServers(service, nowMs).filter(server => this.#rollouts.eligibilityOf(server) === "trial");
    }

    /** @returns the latest rollout of each service, including those that have ended */
    rollouts(): readonly RolloutPlan[] {
        return this.#rollouts.plans;
    }

    /** @returns the latest rollout of a service */
    rolloutOf(service: string): RolloutPlan | undefined {
        return this.#rollouts.planOf(service);
    }

    /** Crash reports by gateway. */
    get crashReports(): ReadonlyMap<string, StoredCrashReport> {
        return this.#crashReports;
    }

    /** Incremented with each change of {@link crashReports}. */
    get crashReportsVersion(): number {
        return this.#crashReportsVersion;
    }

    /** @returns whether a server may get new requests; checked again right before a request is written */
    isUsable(id: string, nowMs: number): boolean {
        const server = this.#directory.get(id);
        if (
            server === undefined || !this.#directory.isReady(id, nowMs)
            || this.#evacuatedZones.has(server.availabilityZone)
        ) {
            return false;
        }
        const eligibility = this.#rollouts.eligibilityOf(server);
        return eligibility === "superseded"
            ? this.usableServers(server.service, nowMs).some(other => other.id === id)
            : eligibility !== "blocked";
    }

    /** @returns backend servers of a service that may get new requests, ignoring rollouts */
    readyServers(service: string, nowMs: number): readonly RegisteredServer[] {
        return this.#directory.ready(service, nowMs).filter(server =>
            !this.#evacuatedZones.has(server.availabilityZone)
        );
    }

    /** Ids of all known backend servers, whatever their state. */
    knownServerIds(): readonly string[] {
        return this.#directory.ids();
    }

    /** @returns the names of all member gateways, sorted */
    gatewayNames(nowMs: number): readonly string[] {
        return this.#roster.names(nowMs);
    }

    /** @returns the member gateways with their availability zones; the same object until the membership changes */
    gatewayMembers(nowMs: number): GatewayMembers {
        return this.#roster.members(nowMs);
    }

    /** @returns the registered gateways that can relay store changes */
    registeredGateways(): readonly RegisteredGateway[] {
        return this.#roster.registered();
    }

    /** @returns whether a gateway's registration is in the store, as far as this process knows */
    isRegistered(name: string): boolean {
        return this.#roster.isRegistered(name) && !this.#isUnconfirmedGateway(name);
    }

    /** @returns the id of the lease that a gateway's registration is attached to, as far as this process knows */
    registrationLease(name: string): string | undefined {
        return this.#isUnconfirmedGateway(name) ? undefined : this.#roster.leaseOf(name);
    }

    #isUnconfirmedGateway(name: string): boolean {
        for (const key of this.#restoreOverrides.unconfirmedKeys.keys()) {
            const item = this.#itemsByKey.get(key);
            if (item?.type === "gateway" && item.name === name) {
                return true;
            }
        }
        return false;
    }

    /** Whether an item of a full read is older than the known state. */
    #isOutdated(item: StateItem, nowMs: number): boolean {
        if (item.type === "server") {
            return this.#directory.isOutdated(item.server);
        }
        if (item.type === "rolloutStatus") {
            const known = this.#rollouts.planOf(item.status.service)?.status;
            return known !== undefined && isLaterStatus(known, item.status);
        }
        return !this.#itemsByKey.has(item.key) && this.#restoreOverrides.suppresses(item, nowMs);
    }

    #applyItem(item: StateItem, nowMs: number, fleetChanges: FleetChange[]): void {
        this.#restoreOverrides.onWritten(item.key);
        const before = this.#itemsByKey.get(item.key);
        if (before !== undefined && !isSameSubject(before, item)) {
            this.#removeKey(item.key, nowMs, fleetChanges);
        }
        this.#itemsByKey.set(item.key, item);
        switch (item.type) {
            case "configuration":
                this.#applyConfiguration(item.configuration, fleetChanges);
                return;
            case "zoneOut":
                if (!this.#evacuatedZones.has(item.availabilityZone)) {
                    this.#evacuatedZones.add(item.availabilityZone);
                    fleetChanges.push({ subject: "availabilityZone", name: item.availabilityZone, change: "out" });
                }
                return;
            case "server": {
                const change = this.#directory.onEntry(item.server);
                if (change !== undefined) {
                    fleetChanges.push({ subject: "server", name: change.id, change: change.change });
                }
                return;
            }
            case "gateway":
                if (!this.#roster.isRegistered(item.name)) {
                    fleetChanges.push({ subject: "gateway", name: item.name, change: "present" });
                }
                this.#roster.onRegistered(item.name, item.leaseId, item.registration);
                return;
            case "rolloutOrder":
                this.#rollouts.onOrder(item.order);
                fleetChanges.push({
                    subject: "rollout",
                    name: item.order.service,
                    change: `ordered ${item.order.version} within ${item.order.allowedMs} ms`,
                });
                return;
            case "rolloutStatus":
                this.#rollouts.onStatus(item.status, item.revision, this.#directory.ready(item.status.service, nowMs));
                fleetChanges.push({
                    subject: "rollout",
                    name: item.status.service,
                    change: `${item.status.version} ${item.status.stage}`,
                });
                return;
            case "crashReport": {
                const { gateway, report, revision } = item;
                this.#crashReports.set(gateway, { report, revision });
                this.#crashReportsVersion++;
                const change = `${report.strikes.length} strikes, ${report.cleared.length} cleared`;
                fleetChanges.push({ subject: "crashReport", name: gateway, change });
                return;
            }
            case "ignored": {
                // A writer that repeats the entry would otherwise repeat the log line.
                const isKnown = before?.type === "ignored" && before.reason === item.reason;
                if (item.reason !== undefined && !isKnown) {
                    fleetChanges.push({ subject: "item", name: item.key, change: `ignored: ${item.reason}` });
                }
            }
        }
    }

    #applyConfiguration(configuration: FleetConfiguration, fleetChanges: FleetChange[]): void {
        const current = this.#configurationInForce?.configuration.version ?? -1;
        if (configuration.version <= current) {
            return;
        }
        this.#configurationInForce = {
            configuration,
            routes: createRouteTable(configuration.routes),
            services: new Map(configuration.services.map(rules => [rules.name, rules])),
            workspaces: configuration.workspaces && new WorkspaceDirectory(configuration.workspaces),
        };
        fleetChanges.push({ subject: "configuration", name: String(configuration.version), change: "inForce" });
    }

    #removeKey(key: string, nowMs: number, fleetChanges: FleetChange[]): void {
        const item = this.#itemsByKey.get(key);
        this.#itemsByKey.delete(key);
        this.#restoreOverrides.onDeleted(key, item, nowMs);
        switch (item?.type) {
            case "zoneOut":
                this.#evacuatedZones.delete(item.availabilityZone);
                fleetChanges.push({ subject: "availabilityZone", name: item.availabilityZone, change: "in" });
                return;
            case "server": {
                const change = this.#directory.onEntryMissing(item.server.id, nowMs);
                if (change !== undefined) {
                    fleetChanges.push({ subject: "server", name: change.id, change: change.change });
                }
                return;
            }
            case "gateway":
                this.#roster.onUnregistered(item.name, nowMs);
                fleetChanges.push({ subject: "gateway", name: item.name, change: "gone" });
                return;
            case "rolloutOrder":
                this.#rollouts.onOrderDeleted(item.order);
                fleetChanges.push({ subject: "rollout", name: item.order.service, change: "order withdrawn" });
                return;
            case "crashReport":
                this.#crashReports.delete(item.gateway);
                this.#crashReportsVersion++;
                fleetChanges.push({ subject: "crashReport", name: item.gateway, change: "gone" });
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

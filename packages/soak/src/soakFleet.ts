import { planUnusableEntries } from "./unusableEntryPlan.js";
import { type RolloutStage } from "@galenaglade/fleet-state";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { MemoryHistoryRecorder } from "@galenaglade/stand-ins";
import { setTimeout as sleep } from "node:timers/promises";
import {
    applyMs,
    coldDurationMs,
    edgeCount,
    initialServerVersion,
    gatewayZoneCount,
    serversPerService,
    services,
    stopGraceMs,
} from "./constants.js";
import { type PlannedStoreRestore } from "./storeRestorePlan.js";
import { type Fault, type LinkFault } from "./faults.js";
import { createSoakConfiguration } from "./soakConfiguration.js";
import { SoakEdge } from "./soakEdge.js";
import { SoakStore } from "./soakStore.js";
import { zoneAt } from "./soakZones.js";
import {
    type ServerFaults,
    type SoakSystem,
    type StoreFaults,
    type StoreWrite,
    maxRewriteDelayMs,
} from "./soakSystem.js";
import { ActivePartitions } from "./soakPartitions.js";
import { SoakBackend } from "./soakBackend.js";
import { injectLinkFault, injectServerFaults } from "./faultInjection.js";
import { monotonicNow, FaultWindows } from "./faultWindows.js";
import { type SoakWorkspace } from "./workspacePlan.js";

/** How long the store keeps the entry of a process that has crashed, in milliseconds. */
const entryExpiryMs = 1_500;
/** How long a drained server continues to serve after its entry is deleted, in milliseconds. */
const drainedLingerMs = 600;
/** Time between the removal of a crashed server's entry and the start of its replacement, in milliseconds. */
const crashRestartDelayMs = 500;
/** How often a fault checks for a live server to affect, in milliseconds. */
const liveCheckPeriodMs = 50;
const slowdown = 5;
const storeSlowMs = 400;
const firstVersion = 2;

/** Current behavior of the callers. */
export interface CallerBehavior {
    /** Multiplies the usual request rate. */
    readonly loadFactor: number;
    /** Share of the callers that disconnect early. */
    readonly earlyDisconnectShare: number;
}

/** All processes of a run, and the faults that are injected into them. */
export class SoakFleet {
    readonly history = new MemoryHistoryRecorder("operator");
    /** When a fault affected the store, a gateway, a connection between them, or a connection to a server. */
    readonly faultWindows = new FaultWindows();
    readonly backends: SoakBackend[] = [];
    readonly edges: SoakEdge[] = [];
    readonly #system: SoakSystem;
    readonly #dir: string;
    readonly #random: RandomSource;
    readonly #store: SoakStore;
    readonly #partitions = new ActivePartitions();
    readonly #liveBackends: SoakBackend[] = [];
    readonly #leavingBackends = new Set<SoakBackend>();
    readonly #zonesOut = new Set<string>();
    #version = firstVersion;
    #workspaces: readonly SoakWorkspace[] | undefined;
    #acceptedWorkspaces: readonly SoakWorkspace[] = [];
    #lastWrite: Promise<void> = Promise.resolve();
    #startedServerCount = 0;
    #closed = false;
    #callerBehavior: CallerBehavior = { loadFactor: 1, earlyDisconnectShare: 0 };

    private constructor(system: SoakSystem, dir: string, random: RandomSource, store: SoakStore) {
        this.#system = system;
        this.#dir = dir;
        this.#random = random;
        this.#store = store;
    }

    /**
     * Starts all processes.
     *
     * @param workspaces - workspaces of the first configuration version; `undefined` if callers need no keys
     * @param graceMs - grace period of planned stops, in milliseconds
     */
    static async start(
        system: SoakSystem,
        dir: string,
        seed: number,
        workspaces: readonly SoakWorkspace[] | undefined,
        graceMs = stopGraceMs,
    ): Promise<SoakFleet> {
        const fleet = new SoakFleet(system, dir, createRandomSource(seed + 1), await SoakStore.start(system));
        fleet.#workspaces = workspaces;
        try {
            await fleet.#startAll(seed, graceMs);
        }
        catch (err) {
            // If a process fails to start, for instance because its port has been taken, none may be left running.
            fleet.abort();
            throw err;
        }
        return fleet;
    }

    async #startAll(seed: number, graceMs: number): Promise<void> {
        await this.configure();
        const places = services.flatMap(service =>
            Array.from({ length: serversPerService }, (_, i) => ({ service, i }))
        );
        await Promise.all(places.map(({ service, i }) => this.startBackend(service, zoneAt(i), false)));
        for (let i = 0; i < edgeCount; i++) {
            const name = `edge-${i + 1}`;
            this.edges.push(
                await SoakEdge.start(
                    name,
                    zoneAt(i % gatewayZoneCount),
                    this.#system,
                    createRandomSource(seed + 10 + i),
                    this.#dir,
                    this.#store.port,
                    `127.0.1.${i + 1}`,
                    graceMs,
                ),
            );
        }
    }

    /** Workspaces of the configuration version that the store acknowledged last. */
    get workspaces(): readonly SoakWorkspace[] {
        return this.#acceptedWorkspaces;
    }

    get callerBehavior(): CallerBehavior {
        return this.#callerBehavior;
    }

    /** Injects a fault, and resolves when it has ended. */
    async injectFault(fault: Fault): Promise<void> {
        const { kind, durationMs } = fault;
        await this.#waitForLiveServer();
        const edge = pick(this.edges, fault.target);
        const backend = pick(this.#liveBackends, fault.target);
        switch (kind) {
            case "edgeTerm":
                return this.#recordFault(() => edge.restart(durationMs));
            case "edgeKill":
                return this.#recordFault(() => edge.kill(durationMs));
            case "edgePause":
                return this.#recordFault(() => edge.pause(durationMs));
            case "edgeHup":
                edge.sendSighup();
                return;
            case "allEdgesKill":
                return this.#recordFault(async () => {
                    await Promise.all(this.edges.map(each => each.kill(durationMs)));
                });
            case "storeLink":
                return this.#recordFault(() => injectLinkFault(edge.storeProxy, fault));
            case "storeRefuse":
                return this.#injectStoreFaults({ refuses: true }, durationMs);
            case "storeHang":
                return this.#injectStoreFaults({ hangs: true }, durationMs);
            case "storeSlow":
                return this.#injectStoreFaults({ slowMs: storeSlowMs }, durationMs);
            case "storeLoseAnswers":
                return this.#injectStoreFaults({ losesAnswers: true }, durationMs);
            case "storeCompact":
                return this.#recordFault(() => this.#store.execute({ compact: true }));
            case "storePause":
                return this.#recordFault(async () => {
                    this.#store.pause();
                    await sleep(durationMs);
                    this.#store.resume();
                });
            case "serverLink":
                return this.#recordFault(() => injectLinkFault(backend.proxy, fault));
            case "serverKill":
                return this.#replaceKilled(backend, durationMs);
            case "serverPause":
                return this.#recordFault(async () => {
                    backend.pause();
                    await sleep(durationMs);
                    backend.resume();
                });
            case "serverSlow":
                return injectServerFaults(backend, { slowdown }, durationMs);
            case "serverFail":
                return injectServerFaults(backend, { fails: true }, durationMs);
            case "serverShed":
                return injectServerFaults(backend, { sheds: true }, durationMs);
            case "serverSpoil":
                return injectServerFaults(backend, { spoils: true }, durationMs);
            case "serverCold":
                return backend.setCold(coldDurationMs);
            case "serverDrain":
                return this.#replaceDrained(backend, durationMs);
            case "configure":
                return this.configure();
            case "zoneOut":
                return this.#takeZoneOut(zoneAt(fault.target), durationMs);
            case "burst":
                return this.#changeCallerBehavior({ loadFactor: 5 }, durationMs);
            case "hangUp":
                return this.#changeCallerBehavior({ earlyDisconnectShare: 0.4 }, durationMs);
        }
    }

    /** Partitions gateways from all backend servers for some milliseconds. */
    partition(edges: readonly SoakEdge[], linkFault: LinkFault, durationMs: number): Promise<void> {
        return this.#recordFault(async () => {
            const end = this.#partitions.begin(edges, this.backends, linkFault);
            await sleep(durationMs);
            end(this.backends);
        });
    }

    /** Makes the store unavailable, then restores it from an older snapshot. */
    restoreStore({ outageKind, outageMs, snapshotAgeMs }: PlannedStoreRestore): Promise<void> {
        return this.#recordFault(async () => {
            const end = await this.#store.injectFaults({ [outageKind]: true });
            await sleep(outageMs);
            await this.#store.execute({ restoreMs: snapshotAgeMs });
            await end();
            // Until then, lost writes of operators and servers may be missing.
            await sleep(maxRewriteDelayMs);
        });
    }

    /** @returns a server that hasn't begun to leave, once there is one */
    async pickLiveBackend(target: number): Promise<SoakBackend> {
        await this.#waitForLiveServer();
        return pick(this.#liveBackends, target);
    }

    /** @returns the servers of a service and version that haven't begun to leave */
    findLiveBackends(service: string, version: string): readonly SoakBackend[] {
        return this.#liveBackends.filter(({ info }) => info.service === service && info.version === version);
    }

    /** Waits for a live server. Faults may end all servers at once; replacements start within seconds. */
    async #waitForLiveServer(): Promise<void> {
        while (this.#liveBackends.length === 0 && !this.#closed) {
            await sleep(liveCheckPeriodMs);
        }
    }

    /** Writes to the store as the operator does, regardless of injected faults. */
    writeAsOperator(write: StoreWrite): Promise<void> {
        return this.#store.execute({ puts: [write] });
    }

    /** @returns the stage of a service's rollout in the store; `undefined` if there is none */
    readRolloutStage(service: string): Promise<RolloutStage | undefined> {
        return this.#system.readRolloutStage(this.#store.port, service);
    }

    /** Kills servers, and deletes their entries after the time in which they would expire. */
    async killBackends(backends: readonly SoakBackend[]): Promise<void> {
        await Promise.all(
            backends.filter(backend => this.#beginLeaving(backend)).map(async backend => {
                await backend.kill();
                await sleep(entryExpiryMs);
                await this.#deleteEntry(backend);
            }),
        );
    }

    /** Kills all processes without waiting for their end, so that none is left running when the soak test exits. */
    abort(): void {
        this.#closed = true;
        for (const each of [...this.edges, ...this.backends, this.#store]) {
            each.abort();
        }
    }

    /** Kills all processes of the run. */
    async close(): Promise<void> {
        this.#closed = true;
        await Promise.all([...this.edges, ...this.backends].map(each => each.close()));
        await this.#store.close();
    }

    async #recordFault(run: () => Promise<void>): Promise<void> {
        const end = this.faultWindows.begin(monotonicNow());
        await run();
        end(monotonicNow());
    }

    #injectStoreFaults(faults: Partial<StoreFaults>, durationMs: number): Promise<void> {
        return this.#recordFault(async () => {
            const end = await this.#store.injectFaults(faults);
            await sleep(durationMs);
            await end();
        });
    }

    /**
     * Starts a server. One of a version that is to be rolled out has to be registered with `register`, after the order
     * of its rollout.
     */
    async startBackend(
        service: string,
        availabilityZone: string,
        cold: boolean,
        version = initialServerVersion,
        faults: Partial<ServerFaults> = {},
    ): Promise<SoakBackend> {
        const number = ++this.#startedServerCount;
        const info = { id: `server-${number}`, service, availabilityZone, version };
        const backend = await SoakBackend.start(info, this.#system, this.#dir, number);
        this.backends.push(backend);
        this.#partitions.onBackendStarted(backend);
        void backend.exited.then(() => this.#onExited(backend));
        await backend.injectFaults(faults);
        if (version === initialServerVersion) {
            await this.registerBackend(backend, cold);
        }
        return backend;
    }

    /** Replaces a server that exited, like one that was killed. */
    async #onExited(backend: SoakBackend): Promise<void> {
        this.history.record({ type: "serverExited", server: backend.info.id });
        try {
            if (!this.#closed) {
                await this.#replaceKilled(backend, crashRestartDelayMs);
            }
        }
        catch (err) {
            // The run, and with it the store, may have ended in the meantime.
            if (!this.#closed) {
                throw err;
            }
        }
    }

    /** Writes a server's entry to the store, cold or warm. */
    async registerBackend(backend: SoakBackend, cold: boolean): Promise<void> {
        this.#liveBackends.push(backend);
        const coldForMs = cold ? coldDurationMs : 0;
        await backend.setCold(coldForMs);
        await this.#store.execute({
            puts: [this.#system.renderServer(backend.createRegistration("ready", coldForMs))],
        });
    }

    /** Writes entries of another writer at their times. */
    async writeUnusableEntries(seed: number): Promise<void> {
        const [backend] = this.backends;
        if (backend === undefined) {
            return;
        }
        const sound = this.#system.renderServer(backend.createRegistration("ready", 0));
        await Promise.all(
            planUnusableEntries(seed, sound).map(async ({ atMs, write }) => {
                await sleep(atMs);
                await this.#store.execute({ puts: [write] });
            }),
        );
    }

    #deleteEntry(backend: SoakBackend): Promise<void> {
        const { key } = this.#system.renderServer(backend.createRegistration("draining", 0));
        return this.#store.execute({ deletes: [key] });
    }

    /** Kills a server, deletes its entry after the time in which it would expire, and starts a cold replacement. */
    async #replaceKilled(backend: SoakBackend, downMs: number): Promise<void> {
        if (!this.#beginLeaving(backend)) {
            return;
        }
        await backend.kill();
        await sleep(entryExpiryMs);
        await this.#deleteEntry(backend);
        await sleep(downMs);
        await this.#replace(backend);
    }

    /** Starts a replacement, then drains the server: it announces that it is leaving, continues to serve, and ends. */
    async #replaceDrained(backend: SoakBackend, lingerMs: number): Promise<void> {
        if (!this.#beginLeaving(backend)) {
            return;
        }
        await this.#replace(backend);
        await this.#store.execute({ puts: [this.#system.renderServer(backend.createRegistration("draining", 0))] });
        this.history.record({ type: "drainAccepted", server: backend.info.id });
        await backend.injectFaults({ leaves: true });
        await sleep(applyMs + lingerMs);
        await this.#deleteEntry(backend);
        await sleep(drainedLingerMs);
        await backend.kill();
    }

    async #replace({ info: { service, availabilityZone, version } }: SoakBackend): Promise<void> {
        // The history lists the servers of a version that is rolled out at its order, so that none may be added later.
        if (version === initialServerVersion) {
            await this.startBackend(service, availabilityZone, true);
        }
    }

    /** @returns whether this is the first call for the server */
    #beginLeaving(backend: SoakBackend): boolean {
        if (this.#leavingBackends.has(backend)) {
            return false;
        }
        this.#leavingBackends.add(backend);
        this.#liveBackends.splice(this.#liveBackends.indexOf(backend), 1);
        return true;
    }

    /** Writes a configuration version with other workspaces. The service of the moving route stays the same. */
    changeWorkspaces(workspaces: readonly SoakWorkspace[]): Promise<void> {
        this.#workspaces = workspaces;
        this.#version += services.length;
        return this.#writeVersion();
    }

    /** Writes the next configuration version. */
    configure(): Promise<void> {
        this.#version += 1 + this.#random.nextInt(3);
        return this.#writeVersion();
    }

    /** Writes versions one at a time: of two concurrent writes, the store could keep the older version. */
    #writeVersion(): Promise<void> {
        const [revision, workspaces, before] = [this.#version, this.#workspaces, this.#lastWrite];
        const write = async (): Promise<void> => {
            await before;
            const entry = this.#system.renderConfiguration(createSoakConfiguration(revision, workspaces));
            const written = workspaces?.map(({ name, keys, limit }) => ({
                name,
                keyIds: keys.map(({ id }) => id),
                limit,
            }));
            this.history.record({ type: "configurationWritten", revision, changeId: "", workspaces: written });
            await this.#store.execute({ puts: [entry] });
            this.history.record({ type: "configurationAccepted", revision, changeId: "" });
            this.#acceptedWorkspaces = workspaces ?? [];
        };
        this.#lastWrite = write();
        return this.#lastWrite;
    }

    async #takeZoneOut(availabilityZone: string, durationMs: number): Promise<void> {
        // With a second zone out, too few servers would remain to distinguish valid rejections from failures.
        if (this.#zonesOut.size > 0) {
            return;
        }
        this.#zonesOut.add(availabilityZone);
        const key = this.#system.zoneOutKey(availabilityZone);
        await this.#store.execute({ puts: [{ key, value: "{}" }] });
        this.history.record({ type: "zoneOutAccepted", availabilityZone });
        await sleep(durationMs);
        this.history.record({ type: "zoneInRequested", availabilityZone });
        await this.#store.execute({ deletes: [key] });
        this.#zonesOut.delete(availabilityZone);
    }

    async #changeCallerBehavior(behavior: Partial<CallerBehavior>, durationMs: number): Promise<void> {
        this.#callerBehavior = { ...this.#callerBehavior, ...behavior };
        await sleep(durationMs);
        this.#callerBehavior = { loadFactor: 1, earlyDisconnectShare: 0 };
    }
}

function pick<T>(items: readonly T[], number: number): T {
    const item = items[number % items.length];
    if (item === undefined) {
        throw new Error("can't pick from an empty list");
    }
    return item;
}

import {
    FleetView,
    type RegisteredServer,
    type RolloutOrder,
    type RolloutStatus,
    type StateItem,
} from "@galenaglade/fleet-state";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { GatewayRollouts, type RolloutCommand, RolloutParticipant } from "@galenaglade/rollout";
import { createGatewayItem } from "./createGatewayItem.js";
import { type RolloutSimulationResult, type RolloutScenario } from "./rolloutScenario.js";
import { newVersion, oldVersion, service, VersionedServers, workMs } from "./versionedServers.js";

const stepMs = 10;
const tickMs = 250;
/** Maximum time until a connected gateway receives a change of the store. */
const maxDeliveryDelayMs = 500;
/** Time of the rollout order on the virtual clock. */
const orderAtMs = 10_000;

interface Gateway {
    readonly name: string;
    incarnation: number;
    view: FleetView;
    rollouts: GatewayRollouts;
    participant: RolloutParticipant;
    nextTickMs: number;
    downUntilMs: number;
    partitionedUntilMs: number;
}

interface Pending {
    readonly atMs: number;
    readonly run: () => void;
}

/** Deterministic simulation of a rollout: gateways, a store and servers of two versions on a virtual clock. */
export class RolloutSimulation {
    readonly #scenario: RolloutScenario;
    readonly #random: RandomSource;
    readonly #gateways: Gateway[] = [];
    readonly #servers: VersionedServers;
    readonly #statuses: { readonly status: RolloutStatus; readonly atMs: number; }[] = [];
    #pending: Pending[] = [];
    #revision = 1;
    #statusRevision = 0;
    #storeDownUntilMs = 0;
    #nowMs = 0;
    #sends = 0;
    #newVersionSends = 0;
    #sendsAfterRollback = 0;
    #oldVersionInFlightAtCompletion = 0;
    #orderedAtMs = Infinity;
    #lastWriter: Gateway | undefined;

    constructor(scenario: RolloutScenario) {
        this.#scenario = scenario;
        this.#random = createRandomSource(scenario.seed);
        this.#servers = new VersionedServers(scenario, this.#random);
        for (let i = 0; i < scenario.gateways; i++) {
            this.#gateways.push(this.#createGateway(`gateway-${i}`));
        }
    }

    /** Runs the rollout to its end, and for some time after that. */
    run(): RolloutSimulationResult {
        const { allowedMs } = this.#scenario;
        const order: RolloutOrder = { service, version: newVersion, allowedMs };
        this.#schedule(orderAtMs, () => {
            this.#orderedAtMs = this.#nowMs;
            this.#publish({ type: "rolloutOrder", key: "order", order });
            for (const server of this.#servers.all.filter(({ version }) => version === newVersion)) {
                this.#publish({ type: "server", key: server.id, server });
            }
        });
        this.#scheduleInjectedFault();
        const endMs = orderAtMs + allowedMs + 3_000;
        for (; this.#nowMs < endMs; this.#nowMs += stepMs) {
            this.#runPending();
            this.#sendRequests();
            this.#tick();
        }
        const last = this.#statuses.at(-1);
        return {
            statuses: this.#statuses.map(({ status }) => status),
            sends: this.#sends,
            newVersionSends: this.#newVersionSends,
            sendsAfterRollback: this.#sendsAfterRollback,
            oldVersionInFlightAtCompletion: this.#oldVersionInFlightAtCompletion,
            endedAtMs: last !== undefined && isFinal(last.status) ? last.atMs - orderAtMs : undefined,
        };
    }

    #scheduleInjectedFault(): void {
        const { trouble, allowedMs } = this.#scenario;
        const drawFaultTimeMs = (): number => orderAtMs + this.#random.next() * allowedMs * 0.8;
        switch (trouble) {
            case "deaths":
                for (const gateway of this.#gateways.filter(() => this.#random.next() < 0.3)) {
                    this.#schedule(drawFaultTimeMs(), () => this.#kill(gateway));
                }
                return;
            case "coordinatorDies":
                for (let atMs = orderAtMs + 500; atMs < orderAtMs + allowedMs; atMs += 2_000) {
                    this.#schedule(atMs, () => this.#killLastWriter());
                }
                return;
            case "storeAway": {
                const fromMs = drawFaultTimeMs();
                this.#schedule(fromMs, () => {
                    this.#storeDownUntilMs = fromMs + 3_000;
                });
                return;
            }
            case "cuts":
                for (const gateway of this.#gateways.filter(() => this.#random.next() < 0.3)) {
                    this.#schedule(drawFaultTimeMs(), () => {
                        gateway.partitionedUntilMs = this.#nowMs + 3_000;
                    });
                }
                return;
            default:
        }
    }

    #killLastWriter(): void {
        const gateway = this.#lastWriter ?? this.#gateways[0];
        if (gateway !== undefined) {
            this.#kill(gateway);
        }
    }

    /** Kills a gateway, which restarts after a while without its state. */
    #kill(gateway: Gateway): void {
        gateway.downUntilMs = this.#nowMs + 2_000;
        this.#schedule(gateway.downUntilMs, () => {
            Object.assign(gateway, this.#createGateway(gateway.name, gateway.incarnation + 1));
        });
    }

    #createGateway(name: string, incarnation = 0): Gateway {
        const view = new FleetView();
        const rollouts = new GatewayRollouts({
            name,
            incarnation: String(incarnation),
            view,
            random: this.#random,
            exposureShare: 0.1,
        });
        view.onFullRead(this.#createItems(), this.#nowMs);
        view.onStoreContact(this.#nowMs);
        return {
            name,
            incarnation,
            view,
            rollouts,
            participant: new RolloutParticipant({ name, view, rollouts }),
            nextTickMs: this.#nowMs + this.#random.next() * tickMs,
            downUntilMs: 0,
            partitionedUntilMs: 0,
        };
    }

    #createItems(): readonly StateItem[] {
        const { allowedMs, gateways } = this.#scenario;
        const isOrdered = this.#nowMs >= this.#orderedAtMs;
        const items: StateItem[] = this.#servers.all
            .filter(({ version }) => isOrdered || version === oldVersion)
            .map(server => ({ type: "server", key: server.id, server }));
        for (let i = 0; i < gateways; i++) {
            items.push(createGatewayItem(`gateway-${i}`));
        }
        if (isOrdered) {
            items.push({ type: "rolloutOrder", key: "order", order: { service, version: newVersion, allowedMs } });
        }
        const last = this.#statuses.at(-1);
        if (last !== undefined) {
            items.push({ type: "rolloutStatus", key: "status", status: last.status, revision: this.#statusRevision });
        }
        return items;
    }

    #publish(item: StateItem): void {
        this.#revision++;
        for (const gateway of this.#gateways) {
            const incarnation = gateway.incarnation;
            const deliver = (): void => {
                if (gateway.incarnation !== incarnation || gateway.downUntilMs > this.#nowMs) {
                    return;
                }
                if (gateway.partitionedUntilMs > this.#nowMs) {
                    this.#schedule(gateway.partitionedUntilMs + 1, deliver);
                    return;
                }
                gateway.view.onChanges({ items: [item], deletedKeys: [] }, this.#nowMs);
            };
            this.#schedule(this.#nowMs + this.#random.next() * maxDeliveryDelayMs, deliver);
        }
    }

    #tick(): void {
        for (const gateway of this.#gateways) {
            if (gateway.downUntilMs > this.#nowMs || this.#nowMs < gateway.nextTickMs) {
                continue;
            }
            gateway.nextTickMs = this.#nowMs + tickMs;
            if (gateway.partitionedUntilMs <= this.#nowMs && this.#storeDownUntilMs <= this.#nowMs) {
                gateway.view.onStoreContact(this.#nowMs);
            }
            this.#execute(gateway, gateway.participant.tick({ nowMs: this.#nowMs, epochMs: this.#nowMs }));
        }
    }

    #execute(gateway: Gateway, commands: readonly RolloutCommand[]): void {
        for (const command of commands) {
            if (command.type === "report") {
                this.#report(gateway, command);
            }
            if (command.type === "write") {
                this.#write(gateway, command);
            }
        }
    }

    #report(gateway: Gateway, command: RolloutCommand & { readonly type: "report"; }): void {
        const to = this.#gateways.find(({ name }) => name === command.to.name);
        this.#schedule(this.#nowMs + 5, () => {
            const reached = to !== undefined && to.downUntilMs <= this.#nowMs && to.partitionedUntilMs <= this.#nowMs
                && gateway.partitionedUntilMs <= this.#nowMs;
            const answer = reached
                ? to.participant.onPeerReport(command.report, { nowMs: this.#nowMs, epochMs: this.#nowMs })
                : undefined;
            this.#schedule(this.#nowMs + (reached ? 5 : 400), () => {
                const outcome = answer === undefined ? { taken: false } as const : { taken: true, ...answer } as const;
                this.#execute(gateway, gateway.participant.onReportSent(command, outcome, this.#nowMs));
            });
        });
    }

    #write(gateway: Gateway, { status, expectedRevision }: RolloutCommand & { readonly type: "write"; }): void {
        const { trouble } = this.#scenario;
        this.#lastWriter = gateway;
        const { participant } = gateway;
        const isStoreUnreachable = gateway.partitionedUntilMs > this.#nowMs || this.#storeDownUntilMs > this.#nowMs;
        const isResponseLost = trouble === "lostWrites" && this.#random.next() < 0.5;
        // A write whose response is lost may be committed seconds later, if its expected revision still matches.
        const delayMs = isResponseLost ? this.#random.next() * 4_000 : 5;
        if (isStoreUnreachable) {
            this.#schedule(this.#nowMs + 400, () => participant.onStatusWritten(service, undefined, this.#nowMs));
            return;
        }
        this.#schedule(this.#nowMs + delayMs, () => {
            const isDone = expectedRevision === this.#statusRevision;
            if (isDone) {
                this.#onStatus(status);
            }
            if (!isResponseLost) {
                participant.onStatusWritten(service, isDone ? this.#statusRevision : undefined, this.#nowMs);
            }
        });
        if (isResponseLost) {
            this.#schedule(this.#nowMs + 800, () => participant.onStatusWritten(service, undefined, this.#nowMs));
        }
    }

    #onStatus(status: RolloutStatus): void {
        this.#statuses.push({ status, atMs: this.#nowMs });
        this.#publish({ type: "rolloutStatus", key: "status", status, revision: this.#revision + 1 });
        this.#statusRevision = this.#revision;
        if (status.stage === "completed") {
            this.#oldVersionInFlightAtCompletion += this.#servers.countRunning(oldVersion);
        }
    }

    #sendRequests(): void {
        const expected = this.#scenario.requestsPerSecond * stepMs / 1_000;
        const count = Math.floor(expected) + (this.#random.next() < expected % 1 ? 1 : 0);
        for (let i = 0; i < count; i++) {
            const gateway = this.#gateways[this.#random.nextInt(this.#gateways.length)];
            if (gateway !== undefined && gateway.downUntilMs <= this.#nowMs) {
                this.#send(gateway);
            }
        }
    }

    #send(gateway: Gateway): void {
        const { rollouts, view } = gateway;
        const trial = rollouts.trialServerGroups(service, this.#nowMs).flat().find(server =>
            this.#servers.hasCapacity(server, this.#sinceOrderMs)
        );
        if (trial !== undefined) {
            rollouts.onTrial(service);
        }
        const usable = view.usableServers(service, this.#nowMs);
        const server = trial ?? usable[this.#random.nextInt(Math.max(1, usable.length))];
        if (server === undefined) {
            return;
        }
        const route = this.#random.next() < 0.3 ? "rare" : "usual";
        this.#countSend(server);
        rollouts.onSend(server);
        const isBad = this.#servers.begin(server, route, this.#sinceOrderMs);
        const slow = isBad && this.#scenario.badness === "slow";
        const tookMs = workMs * (slow ? 8 : 0.7 + this.#random.next() * 0.6);
        this.#schedule(this.#nowMs + tookMs, () => {
            this.#servers.end(server);
            const status = isBad && !slow ? 500 : 200;
            rollouts.onSendEnded(server, route, {
                end: { type: "answered", status },
                tookMs,
                typicalMs: workMs,
                factor: 1,
                beaten: false,
            });
        });
    }

    #countSend({ version }: RegisteredServer): void {
        const last = this.#statuses.at(-1);
        if (this.#nowMs >= this.#orderedAtMs) {
            this.#sends++;
        }
        if (version === newVersion) {
            this.#newVersionSends++;
            if (last?.status.stage === "rolledBack" && this.#nowMs > last.atMs + 5_000) {
                this.#sendsAfterRollback++;
            }
        }
    }

    get #sinceOrderMs(): number {
        return this.#nowMs - this.#orderedAtMs;
    }

    #schedule(atMs: number, run: () => void): void {
        this.#pending.push({ atMs, run });
    }

    #runPending(): void {
        const due = this.#pending.filter(({ atMs }) => atMs <= this.#nowMs).sort((a, b) => a.atMs - b.atMs);
        this.#pending = this.#pending.filter(({ atMs }) => atMs > this.#nowMs);
        for (const { run } of due) {
            run();
        }
    }
}

function isFinal({ stage }: RolloutStatus): boolean {
    return stage === "completed" || stage === "rolledBack";
}

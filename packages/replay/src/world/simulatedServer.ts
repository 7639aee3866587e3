import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type ServerStatus } from "@galenaglade/placement";
import { type RandomSource } from "@galenaglade/routing";
import { type EventQueue } from "./eventQueue.js";

/** Capacity and performance of the backend servers of one service. */
export interface ServerShape {
    /** Maximum number of requests that a server runs concurrently. */
    readonly slots: number;
    /** Maximum number of requests that wait for a slot. */
    readonly queue: number;
    /** Share of busy slots from which on all requests on the server run slower, by `kneeFactor`. */
    readonly kneeShare: number;
    readonly kneeFactor: number;
    /** Share of the servers that are slow at any time. */
    readonly slowShare: number;
    /** Factor on the execution time on a slow server. */
    readonly slowFactor: number;
    /** Mean time until it is drawn again whether the server is slow, in milliseconds. */
    readonly shiftMs: number;
    /** Factor on the execution time on a cold server. */
    readonly coldFactor: number;
    /** Whether a request that finds slots and queue full is rejected with a response or by a connection reset. */
    readonly onFull: "refuse" | "reset";
}

/** A request at a server. */
export interface ServerJob {
    /** Execution time on a server that is neither slow nor full, in milliseconds. */
    readonly workMs: number;
    readonly onDone: () => void;
}

/** How a server handled the arrival of a request. */
export type ArrivalResult = "taken" | "refused" | "reset";

interface RunningJob {
    readonly job: ServerJob;
    remainingMs: number;
}

const arrivalWindowMs = 1_000;
/** Time that a gateway has to apply a limit after it received a response that advertises it. */
const limitGraceMs = 500;

/**
 * A simulated backend server with slots and a queue. Requests run slower when most slots are busy, and in periods in
 * which other processes use the shared machine.
 */
export class SimulatedServer {
    readonly id: string;
    readonly registered: RegisteredServer;
    /** Share of the requests that the server rejects although it has free slots. */
    rejectShare = 0;
    /** Factor on the execution time because of an injected fault. */
    faultFactor = 1;
    /** Time until which the server is cold, in milliseconds. */
    coldUntilMs = -Infinity;
    /** Back-off that rejections ask of the gateway, in milliseconds; `undefined` for none. */
    backoffMs: number | undefined;
    /** Rate limit that responses advertise, in requests per second; `undefined` for none. */
    limitPerSecond: number | undefined;
    /** Arrival times of requests from gateways that must enforce the advertised limit. */
    readonly limitedArrivalsMs: number[] = [];
    /** Number of requests from other gateways since the limit must be enforced. */
    arrivalsFromUninformedGateways = 0;
    /** Time from which on the limit must be enforced, in milliseconds. */
    limitEnforcedFromMs = Infinity;
    /** Time at which each gateway first received a response that advertises the limit. */
    readonly #limitReceivedAtMs = new Map<string, number>();
    /** Whether the server is down: it accepts no connections and answers no probes. */
    isDown = false;
    /** Whether the server is registered, so that gateways may send it new requests. */
    isRegistered = true;
    /** Arrival times of requests while the server was cold. */
    readonly coldArrivalsMs: number[] = [];
    /** Times of load probes. */
    readonly probesAtMs: number[] = [];
    arrivals = 0;
    readonly #events: EventQueue;
    readonly #random: RandomSource;
    readonly #shape: ServerShape;
    readonly #running = new Set<RunningJob>();
    readonly #waiting: ServerJob[] = [];
    #isSlow: boolean;
    #advancedAtMs = 0;
    #schedulingGeneration = 0;

    /**
     * @param registered - the server's registration in the store
     * @param shape - capacity and performance
     * @param events - the replay's event queue
     * @param random - source for slow periods and rejections
     */
    constructor(registered: RegisteredServer, shape: ServerShape, events: EventQueue, random: RandomSource) {
        this.id = registered.id;
        this.registered = registered;
        this.#shape = shape;
        this.#events = events;
        this.#random = random;
        this.#isSlow = random.next() < shape.slowShare;
        this.#scheduleShift();
    }

    /** Number of requests that are running. */
    get running(): number {
        return this.#running.size;
    }

    /** Number of load probes so far. */
    get probes(): number {
        return this.probesAtMs.length;
    }

    /** @returns the response to a load probe */
    probe(): ServerStatus {
        this.probesAtMs.push(this.#events.nowMs);
        return this.createStatus(false);
    }

    /**
     * @param includeLimit - whether the status contains the advertised limit, if there is one
     * @returns the current status, as sent with responses
     */
    createStatus(includeLimit: boolean): ServerStatus {
        const { slots } = this.#shape;
        return {
            serverId: this.id,
            availabilityZone: this.registered.availabilityZone,
            load: {
                running: this.#running.size,
                waiting: this.#waiting.length,
                slots,
                slowdown: this.#slowdown(),
            },
            slots,
            healthy: true,
            coldRemainingMs: Math.max(0, this.coldUntilMs - this.#events.nowMs),
            limit: includeLimit && this.limitPerSecond !== undefined
                ? { type: "named", perSecond: this.limitPerSecond }
                : { type: "none" },
        };
    }

    /** Records that a gateway received a response that advertises the limit. */
    onLimitDelivered(gateway: string): void {
        this.#limitReceivedAtMs.set(gateway, this.#limitReceivedAtMs.get(gateway) ?? this.#events.nowMs);
    }

    /** Handles the arrival of a request. @param gateway - name of the sending gateway */
    receive(job: ServerJob, gateway = ""): ArrivalResult {
        this.arrivals++;
        if (this.#events.nowMs < this.coldUntilMs) {
            this.coldArrivalsMs.push(this.#events.nowMs);
        }
        this.#recordLimitedArrival(gateway);
        if (this.#random.next() < this.rejectShare) {
            return "refused";
        }
        if (this.#running.size >= this.#shape.slots) {
            if (this.#waiting.length >= this.#shape.queue) {
                return this.#shape.onFull === "reset" ? "reset" : "refused";
            }
            this.#waiting.push(job);
            return "taken";
        }
        this.#change(() => this.#running.add({ job, remainingMs: job.workMs }));
        return "taken";
    }

    /** Cancels a request, which frees its slot or its place in the queue. */
    abandon(job: ServerJob): void {
        const waitingAt = this.#waiting.indexOf(job);
        if (waitingAt >= 0) {
            this.#waiting.splice(waitingAt, 1);
            return;
        }
        for (const running of this.#running) {
            if (running.job === job) {
                this.#change(() => this.#running.delete(running));
                return;
            }
        }
    }

    /** @returns maximum number of arrivals within one second while the server was cold */
    findMaxColdArrivalsPerSecond(): number {
        let max = 0;
        let first = 0;
        for (const [last, atMs] of this.coldArrivalsMs.entries()) {
            while (atMs - (this.coldArrivalsMs[first] ?? 0) >= arrivalWindowMs) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    #recordLimitedArrival(gateway: string): void {
        const { nowMs } = this.#events;
        if (this.limitPerSecond === undefined || nowMs < this.limitEnforcedFromMs) {
            return;
        }
        if ((this.#limitReceivedAtMs.get(gateway) ?? Infinity) <= nowMs - limitGraceMs) {
            this.limitedArrivalsMs.push(nowMs);
            return;
        }
        this.arrivalsFromUninformedGateways++;
    }

    #slowdown(): number {
        const cold = this.#events.nowMs < this.coldUntilMs ? this.#shape.coldFactor : 1;
        return (this.#isSlow ? this.#shape.slowFactor : 1) * this.faultFactor * cold;
    }

    /** @returns factor on the usual execution time now */
    #executionTimeFactor(): number {
        const { slots, kneeShare, kneeFactor } = this.#shape;
        return this.#slowdown() * (this.#running.size >= slots * kneeShare ? kneeFactor : 1);
    }

    /** Applies a state change. Speed is constant between changes, so each one first accounts for the work done. */
    #change(apply: () => void): void {
        const doneMs = (this.#events.nowMs - this.#advancedAtMs) / this.#executionTimeFactor();
        for (const running of this.#running) {
            running.remainingMs -= doneMs;
        }
        this.#advancedAtMs = this.#events.nowMs;
        apply();
        while (this.#running.size < this.#shape.slots) {
            const job = this.#waiting.shift();
            if (job === undefined) {
                break;
            }
            this.#running.add({ job, remainingMs: job.workMs });
        }
        this.#scheduleNextEnd();
    }

    #scheduleNextEnd(): void {
        const generation = ++this.#schedulingGeneration;
        let next: RunningJob | undefined;
        for (const running of this.#running) {
            if (next === undefined || running.remainingMs < next.remainingMs) {
                next = running;
            }
        }
        if (next === undefined) {
            return;
        }
        const ended = next;
        this.#events.schedule(ended.remainingMs * this.#executionTimeFactor(), () => {
            if (generation === this.#schedulingGeneration) {
                this.#change(() => this.#running.delete(ended));
                ended.job.onDone();
            }
        });
    }

    #scheduleShift(): void {
        const { shiftMs, slowShare } = this.#shape;
        this.#events.schedule(-Math.log(1 - this.#random.next()) * shiftMs, () => {
            this.#change(() => {
                this.#isSlow = this.#random.next() < slowShare;
            });
            this.#scheduleShift();
        });
    }
}

import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type ServerStatus } from "@galenaglade/placement";
import { type RandomSource } from "@galenaglade/routing";
import { type EventQueue } from "./eventQueue.js";

/** What the backend servers of one service are like. */
export interface ServerShape {
    readonly slots: number;
    /** Requests that wait at a server, at most. */
    readonly queue: number;
    /** Share of the slots from which on work on all of them gets slower, and by how much. */
    readonly kneeShare: number;
    readonly kneeFactor: number;
    /** Share of the servers that is slow at any moment, by how much, and for how long in turn. */
    readonly slowShare: number;
    readonly slowFactor: number;
    readonly shiftMs: number;
    /** How much longer work takes on a cold server. */
    readonly coldFactor: number;
    /** Whether a request beyond slots and queue is answered with a refusal or its connection is reset. */
    readonly onFull: "refuse" | "reset";
}

/** One request at a server. */
export interface ServerJob {
    /** Time that the work takes on a server that is neither slow nor full. */
    readonly workMs: number;
    readonly onDone: () => void;
}

/** What a server does with a request that reaches it. */
export type ArrivalResult = "taken" | "refused" | "reset";

interface RunningJob {
    readonly job: ServerJob;
    remainingMs: number;
}

const arrivalWindowMs = 1_000;
/** Time after an answer with its limit from which on a gateway must keep it. */
const toldMs = 500;

/** A backend server of a replay: slots, a queue, a knee, and times at which the machine that it shares is busy. */
export class SimulatedServer {
    readonly id: string;
    readonly registered: RegisteredServer;
    /** Share of the requests that it turns away although it has room. */
    rejectShare = 0;
    /** How much longer work takes because of a fault. */
    faultFactor = 1;
    /** Cold until this time. */
    coldUntilMs = -Infinity;
    /** How long a gateway that it turns away is to leave it alone; `undefined` where it doesn't say. */
    backoffMs: number | undefined;
    /** Requests a second that it names as its limit in answers to requests; `undefined` for none. */
    limitPerSecond: number | undefined;
    /** When requests of gateways that it had told reached it, from the time on from which they must keep its limit. */
    readonly limitedArrivalsMs: number[] = [];
    /** Requests of other gateways in that time. */
    arrivalsFromUninformedGateways = 0;
    /** Until when its limit need not be kept yet. */
    limitEnforcedFromMs = Infinity;
    /** When each gateway first got an answer with the limit. */
    readonly #toldAtMs = new Map<string, number>();
    /** Whether it answers nothing at all. */
    isDown = false;
    /** Whether new work may be sent there. */
    isRegistered = true;
    /** When requests reached it while it was cold. */
    readonly coldArrivalsMs: number[] = [];
    /** When its load was probed. */
    readonly probesAtMs: number[] = [];
    arrivals = 0;
    readonly #events: EventQueue;
    readonly #random: RandomSource;
    readonly #shape: ServerShape;
    readonly #running = new Set<RunningJob>();
    readonly #waiting: ServerJob[] = [];
    #isSlow: boolean;
    #advancedAtMs = 0;
    #turn = 0;

    /**
     * @param registered - its entry in the store
     * @param shape - what it is like
     * @param events - the replay's clock
     * @param random - draws when it is slow
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

    /** Requests that run here now. */
    get running(): number {
        return this.#running.size;
    }

    /** Load probes so far. */
    get probes(): number {
        return this.probesAtMs.length;
    }

    /** @returns what it says when it is asked for its load */
    probe(): ServerStatus {
        this.probesAtMs.push(this.#events.nowMs);
        return this.createStatus(false);
    }

    /**
     * @param namesLimit - whether the answer names its limit, if it has one
     * @returns its load, as it also stands in its answers
     */
    createStatus(namesLimit: boolean): ServerStatus {
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
            limit: namesLimit && this.limitPerSecond !== undefined
                ? { type: "named", perSecond: this.limitPerSecond }
                : { type: "none" },
        };
    }

    /** A gateway gets an answer with its limit. */
    onLimitDelivered(gateway: string): void {
        this.#toldAtMs.set(gateway, this.#toldAtMs.get(gateway) ?? this.#events.nowMs);
    }

    /** A request reaches the server. @param gateway - from which */
    receive(job: ServerJob, gateway = ""): ArrivalResult {
        this.arrivals++;
        if (this.#events.nowMs < this.coldUntilMs) {
            this.coldArrivalsMs.push(this.#events.nowMs);
        }
        this.#countLimited(gateway);
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

    /** Nobody waits for a request any more: its slot is free. */
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

    /** @returns the most arrivals within one second while it was cold */
    findMaxColdArrivalsPerSecond(): number {
        let most = 0;
        let first = 0;
        for (const [last, atMs] of this.coldArrivalsMs.entries()) {
            while (atMs - (this.coldArrivalsMs[first] ?? 0) >= arrivalWindowMs) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    #countLimited(gateway: string): void {
        const { nowMs } = this.#events;
        if (this.limitPerSecond === undefined || nowMs < this.limitEnforcedFromMs) {
            return;
        }
        if ((this.#toldAtMs.get(gateway) ?? Infinity) <= nowMs - toldMs) {
            this.limitedArrivalsMs.push(nowMs);
            return;
        }
        this.arrivalsFromUninformedGateways++;
    }

    #slowdown(): number {
        const cold = this.#events.nowMs < this.coldUntilMs ? this.#shape.coldFactor : 1;
        return (this.#isSlow ? this.#shape.slowFactor : 1) * this.faultFactor * cold;
    }

    /** How many times longer than usual the work now takes. */
    #factor(): number {
        const { slots, kneeShare, kneeFactor } = this.#shape;
        return this.#slowdown() * (this.#running.size >= slots * kneeShare ? kneeFactor : 1);
    }

    /** Work goes on at one speed between changes; each change settles what was done before it. */
    #change(apply: () => void): void {
        const doneMs = (this.#events.nowMs - this.#advancedAtMs) / this.#factor();
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
        const turn = ++this.#turn;
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
        this.#events.schedule(ended.remainingMs * this.#factor(), () => {
            if (turn === this.#turn) {
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

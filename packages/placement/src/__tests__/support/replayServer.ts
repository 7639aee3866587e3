import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import { type ServerOffer } from "../../index.js";

/** What the backend servers of a replayed load are like. */
export interface ServerShape {
    readonly slots: number;
    /** Usual time of the work in milliseconds. */
    readonly workMs: number;
    /** Share of the servers that is slow at any moment, by how much, and for how long in turn. */
    readonly slowShare: number;
    readonly slowFactor: number;
    readonly shiftMs: number;
}

export const usualShape: ServerShape = { slots: 3, workMs: 160, slowShare: 0.25, slowFactor: 4, shiftMs: 300 };

/** Requests that wait at a server, at most, for each of its slots. */
const queuedPerSlot = 2;
/** Work on a server whose slots are all taken takes longer. */
const fullFactor = 1.7;

/** One request at work or in the queue of a server. */
export interface Job {
    remainingMs: number;
    readonly onDone: () => void;
    /** Whether nobody waits for it any more, so that it frees its slot. */
    readonly isAbandoned: () => boolean;
}

/** A backend server of a replayed load. */
export class ReplayServer {
    readonly id: string;
    readonly registered: RegisteredServer;
    /** Share of the requests that it turns away although it has room. */
    rejects = 0;
    /** Cold until this time. */
    coldUntilMs = -Infinity;
    /** When requests reached it while it was cold. */
    readonly coldArrivalsMs: number[] = [];
    arrivals = 0;
    /** Times it was asked for its load. */
    questions = 0;
    readonly #random: RandomSource;
    readonly #shape: ServerShape;
    #jobs: Job[] = [];
    #isSlow = false;

    constructor(id: string, availabilityZone: string, random: RandomSource, shape: ServerShape) {
        this.#shape = shape;
        this.id = id;
        this.registered = {
            id,
            service: "tables",
            address: { host: "127.0.0.1", port: 1 },
            availabilityZone,
            slots: shape.slots,
            state: "ready",
            coldRemainingMs: 0,
            startedAtEpochMs: undefined,
        };
        this.#random = random;
    }

    offer(nowMs: number): ServerOffer {
        const { id, availabilityZone } = this.registered;
        const { slots, slowFactor } = this.#shape;
        return {
            serverId: id,
            availabilityZone,
            load: {
                running: Math.min(slots, this.#jobs.length),
                waiting: Math.max(0, this.#jobs.length - slots),
                slots,
                slowdown: this.#isSlow ? slowFactor : 1,
            },
            slots,
            healthy: true,
            coldRemainingMs: Math.max(0, this.coldUntilMs - nowMs),
        };
    }

    /** @returns whether it takes the request; one that it doesn't take has not run */
    arrive(job: Omit<Job, "remainingMs">, nowMs: number): boolean {
        this.arrivals++;
        if (nowMs < this.coldUntilMs) {
            this.coldArrivalsMs.push(nowMs);
        }
        const { slots, workMs } = this.#shape;
        if (this.#jobs.length >= slots * (1 + queuedPerSlot) || this.#random.next() < this.rejects) {
            return false;
        }
        this.#jobs.push({ ...job, remainingMs: workMs * (0.7 + 0.6 * this.#random.next()) });
        return true;
    }

    /** Works for a while. */
    step(stepMs: number): void {
        const { slots, slowShare, slowFactor, shiftMs } = this.#shape;
        if (this.#random.next() < stepMs / shiftMs) {
            this.#isSlow = this.#random.next() < slowShare;
        }
        this.#jobs = this.#jobs.filter(job => !job.isAbandoned());
        const isFull = this.#jobs.length >= slots;
        const factor = (this.#isSlow ? slowFactor : 1) * (isFull ? fullFactor : 1);
        for (const job of this.#jobs.slice(0, slots)) {
            job.remainingMs -= stepMs / factor;
        }
        const done = this.#jobs.filter(({ remainingMs }) => remainingMs <= 0);
        this.#jobs = this.#jobs.filter(({ remainingMs }) => remainingMs > 0);
        for (const job of done) {
            job.onDone();
        }
    }
}

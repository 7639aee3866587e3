import { type ServerSignal } from "@galenaglade/routing";

/** Signals that one gateway passes on at the same time; the oldest fall out. */
const maximumSignals = 64;

interface Posted {
    readonly signal: ServerSignal;
    readonly postedAtMs: number;
}

/** Signals to pass on to peers, each for a while, so that one lost heartbeat loses none. */
export class SignalOutbox {
    readonly #keepMs: number;
    #posted: readonly Posted[] = [];

    constructor(keepMs: number) {
        this.#keepMs = keepMs;
    }

    add(signals: readonly ServerSignal[], nowMs: number): void {
        const added = signals.map(signal => ({ signal, postedAtMs: nowMs }));
        this.#posted = [...this.#posted, ...added].slice(-maximumSignals);
    }

    /** @returns the signals still to be passed on, with their present ages */
    read(nowMs: number): readonly ServerSignal[] {
        this.#posted = this.#posted.filter(posted => nowMs - posted.postedAtMs <= this.#keepMs);
        return this.#posted.map(({ signal, postedAtMs }) => ({
            ...signal,
            ageMs: Math.ceil(signal.ageMs + nowMs - postedAtMs),
        }));
    }
}

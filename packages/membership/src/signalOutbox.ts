import { type ServerSignal } from "@galenaglade/routing";

/** Maximum number of signals that a gateway forwards at the same time; the oldest are dropped. */
const maxSignals = 64;

interface OutboxEntry {
    readonly signal: ServerSignal;
    readonly addedAtMs: number;
}

/** Signals to forward to peers. Each is repeated for some time, so that a lost heartbeat doesn't lose it. */
export class SignalOutbox {
    readonly #keepMs: number;
    #entries: readonly OutboxEntry[] = [];

    /** @param keepMs - time for which each signal is repeated, in milliseconds */
    constructor(keepMs: number) {
        this.#keepMs = keepMs;
    }

    add(signals: readonly ServerSignal[], nowMs: number): void {
        const added = signals.map(signal => ({ signal, addedAtMs: nowMs }));
        this.#entries = [...this.#entries, ...added].slice(-maxSignals);
    }

    /** @returns the signals that are still to be forwarded, with their current ages in milliseconds */
    read(nowMs: number): readonly ServerSignal[] {
        this.#entries = this.#entries.filter(entry => nowMs - entry.addedAtMs <= this.#keepMs);
        return this.#entries.map(({ signal, addedAtMs }) => ({
            ...signal,
            ageMs: Math.ceil(signal.ageMs + nowMs - addedAtMs),
        }));
    }
}

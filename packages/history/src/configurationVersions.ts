import { type HistoryLine, type WrittenWorkspace } from "./events.js";

/** From when on a version of the configuration replaces the ones before it. */
export interface VersionBounds {
    /** Time after its acknowledgement in which a version must be in force at hosts that know what the store says. */
    readonly applyMs: number;
    /**
     * Whether all hosts knew, for the whole of a time, what the store said. Where they didn't, no earlier version counts
     * as replaced.
     */
    readonly isSettled: (fromMs: number, toMs: number) => boolean;
}

/** One version of the configuration. */
export interface ConfigurationVersion {
    readonly revision: number;
    readonly writtenAtMs: number;
    /** Infinite where the store has not acknowledged it. */
    readonly acceptedAtMs: number;
    readonly workspaces: readonly WrittenWorkspace[] | undefined;
}

/** The versions of the configuration that a run wrote, and which of them may have been in force when. */
export class ConfigurationVersions {
    readonly #versions: readonly ConfigurationVersion[];
    readonly #bounds: VersionBounds;

    /**
     * @param history - every line of a run, in the order of its times
     * @param bounds - from when on a version replaces the ones before it
     */
    constructor(history: readonly HistoryLine[], bounds: VersionBounds) {
        this.#bounds = bounds;
        const acceptedAtMs = new Map<number, number>();
        for (const line of history) {
            if (line.type === "configurationAccepted") {
                acceptedAtMs.set(line.revision, line.atMs);
            }
        }
        this.#versions = history.flatMap(line =>
            line.type === "configurationWritten"
                ? [{
                    revision: line.revision,
                    writtenAtMs: line.atMs,
                    acceptedAtMs: acceptedAtMs.get(line.revision) ?? Infinity,
                    workspaces: line.workspaces,
                }]
                : []
        );
    }

    /** @returns every version that was written until then, oldest first */
    writtenUntil(atMs: number): readonly ConfigurationVersion[] {
        return this.#versions.filter(({ writtenAtMs }) => writtenAtMs <= atMs);
    }

    /**
     * Finds the versions by which a host may act on what was sent to it at `fromMs`.
     *
     * @param settledUntilMs - until when all hosts must know what the store says, lest earlier versions count too
     * @returns those in force at any time from `fromMs` to `toMs`, at any host, oldest first
     */
    inForce(fromMs: number, toMs: number, settledUntilMs = toMs): readonly ConfigurationVersion[] {
        const written = this.writtenUntil(toMs);
        if (!this.#bounds.isSettled(fromMs, settledUntilMs)) {
            return written;
        }
        const latest = written.findLastIndex(({ acceptedAtMs }) => acceptedAtMs + this.#bounds.applyMs < fromMs);
        return written.slice(Math.max(0, latest));
    }
}

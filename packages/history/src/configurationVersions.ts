import { type HistoryLine, type WrittenWorkspace } from "./events.js";

/** When a new configuration version must have replaced the earlier ones on every host. */
export interface VersionBounds {
    /**
     * Maximum time from the store's acknowledgement of a version until synced hosts have applied it, in milliseconds.
     */
    readonly applyMs: number;
    /**
     * Whether all hosts were in sync with the store throughout a period. If they weren't, earlier versions may still be
     * in force, so none of them counts as replaced.
     */
    readonly isSettled: (fromMs: number, toMs: number) => boolean;
}

/** One version of the configuration as written by the run. */
export interface ConfigurationVersion {
    readonly revision: number;
    readonly writtenAtMs: number;
    /** `Infinity` if the store has not acknowledged the version. */
    readonly acceptedAtMs: number;
    readonly workspaces: readonly WrittenWorkspace[] | undefined;
}

/** All configuration versions that a run wrote. Finds those that may have been in force in a given period. */
export class ConfigurationVersions {
    readonly #versions: readonly ConfigurationVersion[];
    readonly #bounds: VersionBounds;

    /**
     * @param history - every line of a run, ordered by time
     * @param bounds - when a version must have replaced the earlier ones
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

    /** @returns all versions written up to a time, oldest first */
    writtenUntil(atMs: number): readonly ConfigurationVersion[] {
        return this.#versions.filter(({ writtenAtMs }) => writtenAtMs <= atMs);
    }

    /**
     * Finds the versions that a host may use to handle a request sent at `fromMs`.
     *
     * @param settledUntilMs - end of the period in which all hosts must be in sync with the store; if they aren't, all
     *   earlier versions count as possibly in force
     * @returns versions that may be in force on any host at any time from `fromMs` to `toMs`, oldest first
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

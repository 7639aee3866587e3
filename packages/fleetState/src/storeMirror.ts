import { maxRetainedDeletions } from "./constants.js";
import { termOf } from "./storePosition.js";

/** A raw entry of the store. */
export interface MirroredEntry {
    readonly key: string;
    readonly value: string;
    readonly modifiedRevision: number;
    readonly leaseId?: string | undefined;
}

/** Changes after a revision. */
export interface MirroredChanges {
    /** Revision up to which the changes are included. */
    readonly revision: number;
    readonly changed: readonly MirroredEntry[];
    readonly deleted: readonly string[];
}

/** A mirror of the store with its recent changes, from which this process serves followers. */
export class StoreMirror {
    readonly #entries = new Map<string, MirroredEntry>();
    #deletions: readonly { readonly key: string; readonly revision: number; }[] = [];
    #revision = 0;
    /** The revision from which the deletions are complete. */
    #historyStartRevision = Infinity;

    /** Revision up to which the store's changes are known. */
    get revision(): number {
        return this.#revision;
    }

    /** Applies a full read. Entries that it lacks were deleted at some time before. */
    onFullRead(revision: number, entries: readonly MirroredEntry[]): void {
        if (termOf(revision) > termOf(this.#revision)) {
            // A position before a restore of the store does not show what was lost in it, so a follower at one must do
            // a full read.
            this.#entries.clear();
            this.#deletions = [];
            this.#historyStartRevision = revision;
        }
        const readKeys = new Set(entries.map(({ key }) => key));
        const missing = [...this.#entries.keys()].filter(key => !readKeys.has(key));
        // The first read does not show what was deleted before it.
        this.#historyStartRevision = Math.min(this.#historyStartRevision, revision);
        this.onChanges({ revision, changed: entries, deleted: missing });
    }

    onChanges({ revision, changed, deleted }: MirroredChanges): void {
        for (const key of deleted) {
            this.#entries.delete(key);
        }
        for (const entry of changed) {
            this.#entries.set(entry.key, entry);
        }
        this.#revision = Math.max(this.#revision, revision);
        this.#deletions = [...this.#deletions, ...deleted.map(key => ({ key, revision }))];
        if (this.#deletions.length > maxRetainedDeletions) {
            const lastDropped = this.#deletions.at(-maxRetainedDeletions - 1);
            this.#historyStartRevision = Math.max(this.#historyStartRevision, lastDropped?.revision ?? 0);
            this.#deletions = this.#deletions.slice(-maxRetainedDeletions);
        }
    }

    /** @returns the changes after a revision, or `undefined` if they are no longer known */
    changesSince(afterRevision: number): MirroredChanges | undefined {
        if (afterRevision < this.#historyStartRevision) {
            return undefined;
        }
        const deleted = this.#deletions
            .filter(({ key, revision }) => revision > afterRevision && !this.#entries.has(key))
            .map(({ key }) => key);
        return {
            revision: this.#revision,
            changed: [...this.#entries.values()].filter(({ modifiedRevision }) => modifiedRevision > afterRevision),
            deleted: [...new Set(deleted)],
        };
    }
}

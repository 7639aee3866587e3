import { maxRetainedDeletions } from "./constants.js";
import { termOf } from "./storePosition.js";

/** One key of the store as it lies there. */
export interface MirroredEntry {
    readonly key: string;
    readonly value: string;
    readonly modifiedRevision: number;
    readonly leaseId?: string | undefined;
}

/** What changed after a revision. */
export interface MirroredChanges {
    /** Up to which the changes are told. */
    readonly revision: number;
    readonly changed: readonly MirroredEntry[];
    readonly deleted: readonly string[];
}

/** What the store holds, as this process last heard it, and what changed: for the gateways that ask this one. */
export class StoreMirror {
    readonly #entries = new Map<string, MirroredEntry>();
    #deletions: readonly { readonly key: string; readonly revision: number; }[] = [];
    #revision = 0;
    /** Deletions before this revision are forgotten. */
    #historyFrom = Infinity;

    /** Up to which the store's changes are known. */
    get revision(): number {
        return this.#revision;
    }

    /** A whole reading: what it lacks was deleted at some time before. */
    onFullRead(revision: number, entries: readonly MirroredEntry[]): void {
        if (termOf(revision) > termOf(this.#revision)) {
            // Positions of before the store's return say nothing of what was lost: whoever is at one has to read everything too.
            this.#entries.clear();
            this.#deletions = [];
            this.#historyFrom = revision;
        }
        const read = new Set(entries.map(({ key }) => key));
        const missing = [...this.#entries.keys()].filter(key => !read.has(key));
        // Read for the first time, it says nothing of what was deleted before.
        this.#historyFrom = Math.min(this.#historyFrom, revision);
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
            const forgotten = this.#deletions.at(-maxRetainedDeletions - 1);
            this.#historyFrom = Math.max(this.#historyFrom, forgotten?.revision ?? 0);
            this.#deletions = this.#deletions.slice(-maxRetainedDeletions);
        }
    }

    /** @returns what changed after a revision, or `undefined` where that is not known any more */
    changesSince(afterRevision: number): MirroredChanges | undefined {
        if (afterRevision < this.#historyFrom) {
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

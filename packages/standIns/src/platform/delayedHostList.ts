import { type HostEntry } from "@galenaglade/platform";

interface Version {
    readonly atMs: number;
    readonly hosts: readonly HostEntry[];
}

/** A host list that shows each change only after a lag. */
export class DelayedHostList {
    #versions: readonly Version[] = [];
    /** Milliseconds until a change shows. */
    lagMs: number;

    constructor(lagMs: number) {
        this.lagMs = lagMs;
    }

    set(hosts: readonly HostEntry[], nowMs: number): void {
        this.#versions = [...this.#versions, { atMs: nowMs, hosts }];
    }

    /** @returns the list as it was `lagMs` ago; the first one shows at once */
    read(nowMs: number): readonly HostEntry[] {
        const shown = this.#versions.findLast(version => version.atMs + this.lagMs <= nowMs);
        return (shown ?? this.#versions[0])?.hosts ?? [];
    }
}

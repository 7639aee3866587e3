import { type HostEntry } from "@galenaglade/platform";

interface HostListVersion {
    readonly atMs: number;
    readonly hosts: readonly HostEntry[];
}

/** A host list in which each change becomes visible only after a delay. */
export class DelayedHostList {
    #versions: readonly HostListVersion[] = [];
    /** Delay until a change becomes visible, in milliseconds. */
    lagMs: number;

    constructor(lagMs: number) {
        this.lagMs = lagMs;
    }

    set(hosts: readonly HostEntry[], nowMs: number): void {
        this.#versions = [...this.#versions, { atMs: nowMs, hosts }];
    }

    /** @returns the list as it was `lagMs` ago; the first list is visible immediately */
    read(nowMs: number): readonly HostEntry[] {
        const visible = this.#versions.findLast(version => version.atMs + this.lagMs <= nowMs);
        return (visible ?? this.#versions[0])?.hosts ?? [];
    }
}

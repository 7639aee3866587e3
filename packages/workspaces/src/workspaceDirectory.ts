import { type Workspace } from "./model.js";

/** Immutable index of the workspaces of one configuration version, by name and by key. */
export class WorkspaceDirectory {
    readonly #byKey = new Map<string, Workspace>();
    readonly #byName = new Map<string, Workspace>();

    /** @param workspaces - with unique names and keys; see {@link WorkspaceDirectory.findFault} */
    constructor(workspaces: readonly Workspace[]) {
        for (const workspace of workspaces) {
            this.#byName.set(workspace.name, workspace);
            for (const key of workspace.keys) {
                this.#byKey.set(key, workspace);
            }
        }
    }

    /**
     * Validates the workspaces of a configuration.
     *
     * @param workspaces - as read
     * @returns a description of the first fault, without any key; `undefined` if they are valid
     */
    static findFault(workspaces: readonly Workspace[]): string | undefined {
        const holders = new Map<string, string>();
        const names = new Set<string>();
        for (const { name, keys } of workspaces) {
            if (names.has(name)) {
                return `workspace ${name} is defined twice`;
            }
            names.add(name);
            for (const key of keys) {
                const holder = holders.get(key) ?? name;
                if (holder !== name) {
                    return `workspaces ${holder} and ${name} hold the same key`;
                }
                holders.set(key, name);
            }
        }
        return undefined;
    }

    get size(): number {
        return this.#byName.size;
    }

    /** @returns all workspaces */
    workspaces(): Iterable<Workspace> {
        return this.#byName.values();
    }

    /** @returns the workspace with that name */
    get(name: string): Workspace | undefined {
        return this.#byName.get(name);
    }

    /** @returns the workspace that holds a key */
    findByKey(key: string): Workspace | undefined {
        return this.#byKey.get(key);
    }
}

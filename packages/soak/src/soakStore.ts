import { type StartedProcess, startProcess } from "@galenaglade/stand-ins";
import { request } from "undici";
import { InOrder } from "./inOrder.js";
import { soundStore, type SoakSystem, type StoreOrder, type StoreTrouble } from "./soakSystem.js";

/** The stand-in store as a process. The operator and the servers reach it past all faults, as they do in production. */
export class SoakStore {
    readonly #process: StartedProcess;
    readonly #troubles: Partial<StoreTrouble>[] = [];
    /** Orders under way at once may overtake each other on their connections. */
    readonly #inOrder = new InOrder();

    private constructor(process: StartedProcess) {
        this.#process = process;
    }

    static async start(system: SoakSystem): Promise<SoakStore> {
        return new SoakStore(await startProcess({ name: "store", ...system.store }));
    }

    get port(): number {
        return Number(new URL(this.#process.url).port);
    }

    /** Writes past all faults; the store's answer is the acknowledgement. */
    order(order: StoreOrder): Promise<void> {
        return this.#inOrder.run(async () => {
            const res = await request(`${this.#process.url}/control`, { method: "POST", body: JSON.stringify(order) });
            await res.body.dump();
        });
    }

    /** Begins a trouble. @returns ends it */
    async trouble(trouble: Partial<StoreTrouble>): Promise<() => Promise<void>> {
        this.#troubles.push(trouble);
        await this.#tell();
        return async () => {
            this.#troubles.splice(this.#troubles.indexOf(trouble), 1);
            await this.#tell();
        };
    }

    pause(): void {
        this.#process.pause();
    }

    resume(): void {
        this.#process.resume();
    }

    /** Ends it without waiting for its end. */
    abort(): void {
        this.#process.kill();
    }

    async close(): Promise<void> {
        this.abort();
        await this.#process.exited;
    }

    #tell(): Promise<void> {
        const faults = this.#troubles.reduce<StoreTrouble>((sum, trouble) => ({ ...sum, ...trouble }), soundStore);
        return this.order({ faults });
    }
}

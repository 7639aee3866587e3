import { type StartedProcess, startProcess } from "@galenaglade/stand-ins";
import { request } from "undici";
import { SerialExecutor } from "./serialExecutor.js";
import { noStoreFaults, type SoakSystem, type StoreCommand, type StoreFaults } from "./soakSystem.js";

/** The stand-in store as a process. The operator and the servers reach it past all faults, as they do in production. */
export class SoakStore {
    readonly #process: StartedProcess;
    readonly #troubles: Partial<StoreFaults>[] = [];
    /** Orders under way at once may overtake each other on their connections. */
    readonly #inOrder = new SerialExecutor();

    private constructor(process: StartedProcess) {
        this.#process = process;
    }

    static async start(system: SoakSystem): Promise<SoakStore> {
        return new SoakStore(await startProcess({ name: "store", ...system.storeProgram }));
    }

    get port(): number {
        return Number(new URL(this.#process.url).port);
    }

    /** Writes past all faults; the store's answer is the acknowledgement. */
    execute(order: StoreCommand): Promise<void> {
        return this.#inOrder.run(async () => {
            const res = await request(`${this.#process.url}/control`, { method: "POST", body: JSON.stringify(order) });
            await res.body.dump();
        });
    }

    /** Begins a trouble. @returns ends it */
    async injectFaults(trouble: Partial<StoreFaults>): Promise<() => Promise<void>> {
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
        const faults = this.#troubles.reduce<StoreFaults>((sum, trouble) => ({ ...sum, ...trouble }), noStoreFaults);
        return this.execute({ faults });
    }
}

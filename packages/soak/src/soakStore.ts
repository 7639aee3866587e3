import { type StartedProcess, startProcess } from "@galenaglade/stand-ins";
import { request } from "undici";
import { SerialExecutor } from "./serialExecutor.js";
import { noStoreFaults, type SoakSystem, type StoreCommand, type StoreFaults } from "./soakSystem.js";

/** The fake store as a process. Injected faults don't affect commands: the operator and the servers always reach it. */
export class SoakStore {
    readonly #process: StartedProcess;
    readonly #troubles: Partial<StoreFaults>[] = [];
    /** Serializes commands: concurrent ones could overtake each other on separate connections. */
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

    /** Executes a command regardless of injected faults. Resolves when the store has acknowledged it. */
    execute(order: StoreCommand): Promise<void> {
        return this.#inOrder.run(async () => {
            const res = await request(`${this.#process.url}/control`, { method: "POST", body: JSON.stringify(order) });
            await res.body.dump();
        });
    }

    /**
     * Injects faults, in addition to those that are active.
     *
     * @returns ends these faults
     */
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

    /** Kills the process without waiting for its end. */
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

import { type StartedProcess, startProcess } from "@galenaglade/stand-ins";
import { request } from "undici";
import { SerialExecutor } from "./serialExecutor.js";
import { noStoreFaults, type SoakSystem, type StoreCommand, type StoreFaults } from "./soakSystem.js";

/** The fake store as a process. Injected faults don't affect commands: the operator and the servers always reach it. */
export class SoakStore {
    readonly #process: StartedProcess;
    readonly #activeFaults: Partial<StoreFaults>[] = [];
    /** Serializes commands: concurrent ones could overtake each other on separate connections. */
    readonly #executor = new SerialExecutor();

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
    execute(command: StoreCommand): Promise<void> {
        return this.#executor.run(async () => {
            const res = await request(`${this.#process.url}/control`, {
                method: "POST",
                body: JSON.stringify(command),
            });
            await res.body.dump();
        });
    }

    /**
     * Injects faults, in addition to those that are active.
     *
     * @returns ends these faults
     */
    async injectFaults(faults: Partial<StoreFaults>): Promise<() => Promise<void>> {
        this.#activeFaults.push(faults);
        await this.#sendFaults();
        return async () => {
            this.#activeFaults.splice(this.#activeFaults.indexOf(faults), 1);
            await this.#sendFaults();
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

    #sendFaults(): Promise<void> {
        const faults = this.#activeFaults.reduce<StoreFaults>(
            (sum, each) => ({ ...sum, ...each }),
            noStoreFaults,
        );
        return this.execute({ faults });
    }
}

import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type StartedProcess, startProcess } from "@galenaglade/stand-ins";
import { join } from "node:path";
import { request } from "undici";
import { serverSlots } from "./constants.js";
import { FaultProxy } from "./faultProxy.js";
import { type ServerFaults, type SoakSystem, noServerFaults } from "./soakSystem.js";

/** Identity and placement of a backend server. */
export interface BackendInfo {
    readonly id: string;
    readonly service: string;
    readonly availabilityZone: string;
    /** Version of the server software. */
    readonly version: string;
}

/** One incarnation of a backend server, behind the proxy through which all gateways reach it. */
export class SoakBackend {
    readonly info: BackendInfo;
    readonly proxy: FaultProxy;
    readonly historyPath: string;
    readonly #process: StartedProcess;
    readonly #startedAtEpochMs = Date.now();
    readonly #activeFaults: Partial<ServerFaults>[] = [];

    private constructor(info: BackendInfo, process: StartedProcess, proxy: FaultProxy, historyPath: string) {
        this.info = info;
        this.proxy = proxy;
        this.historyPath = historyPath;
        this.#process = process;
    }

    static async start(info: BackendInfo, system: SoakSystem, dir: string, seed: number): Promise<SoakBackend> {
        const historyPath = join(dir, `${info.id}.history`);
        const { id, service, availabilityZone } = info;
        const program = system.resolveServerProgram({ id, service, availabilityZone, historyPath, seed });
        const process = await startProcess({ name: info.id, ...program });
        const proxy = await FaultProxy.start(Number(new URL(process.url).port));
        // Connections to a server that has ended must be refused, as they would be without a proxy.
        void process.exited.then(() => proxy.close());
        return new SoakBackend(info, process, proxy, historyPath);
    }

    /**
     * @param coldRemainingMs - how long the server stays cold, in milliseconds
     * @returns the registration that the server writes to the store
     */
    createRegistration(state: RegisteredServer["state"], coldRemainingMs: number): RegisteredServer {
        return {
            ...this.info,
            address: { host: "127.0.0.1", port: this.proxy.port },
            slots: serverSlots,
            state,
            coldRemainingMs,
            startedAtEpochMs: this.#startedAtEpochMs,
        };
    }

    /**
     * Injects faults, in addition to those that are active.
     *
     * @returns ends these faults
     */
    async injectFaults(faults: Partial<ServerFaults>): Promise<() => Promise<void>> {
        this.#activeFaults.push(faults);
        await this.#sendFaults(0);
        return async () => {
            this.#activeFaults.splice(this.#activeFaults.indexOf(faults), 1);
            await this.#sendFaults(0);
        };
    }

    setCold(durationMs: number): Promise<void> {
        return this.#sendFaults(durationMs);
    }

    pause(): void {
        this.#process.pause();
    }

    resume(): void {
        this.#process.resume();
    }

    /** Settles once its process has ended for any reason. */
    get exited(): Promise<unknown> {
        return this.#process.exited;
    }

    /** Kills the process without waiting for its end. */
    abort(): void {
        this.#process.kill();
    }

    async kill(): Promise<void> {
        this.abort();
        await this.#process.exited;
    }

    async close(): Promise<void> {
        await this.kill();
    }

    async #sendFaults(coldMs: number): Promise<void> {
        const faults = this.#activeFaults.reduce<ServerFaults>((sum, each) => ({ ...sum, ...each }), noServerFaults);
        const command: ServerFaults = { ...faults, coldMs };
        if (this.#hasEnded()) {
            return;
        }
        try {
            const res = await request(`${this.#process.url}/control`, {
                method: "POST",
                body: JSON.stringify(command),
            });
            await res.body.dump();
        }
        catch (err) {
            // Another fault of the run may have killed the server before it responded.
            if (!this.#hasEnded()) {
                throw err;
            }
        }
    }

    #hasEnded(): boolean {
        return this.#process.exitStatus !== undefined;
    }
}

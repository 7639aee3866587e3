import { type RandomSource } from "@galenaglade/routing";
import { findFreePorts, MemoryHistoryRecorder, type StartedProcess, startProcess } from "@galenaglade/stand-ins";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { stopGraceMs } from "./constants.js";
import { FaultProxy } from "./faultProxy.js";
import { type RequestOutcome, SoakCaller } from "./soakCaller.js";
import { type EdgePorts, renderEdgeSettings } from "./soakConfiguration.js";
import { type SoakSystem } from "./soakSystem.js";
import { monotonicNow, FaultWindows } from "./faultWindows.js";

/** Time beyond the grace time until a process that doesn't stop is killed, and is reported. */
const killSlackMs = 1_500;
/** How often the balancer asks for readiness, and after how many misses it sends nobody. */
const readinessMs = 500;
const missesOut = 2;
const askTimeoutMs = 400;

interface Life {
    readonly process: StartedProcess;
    readonly caller: SoakCaller;
    readonly history: MemoryHistoryRecorder;
    /** What was done to it; anything else that ends it is its own fault. */
    ending: "no" | "asked" | "killed";
}

/** One gateway over all its lives, with its way to the store and the balancer's view of it. */
export class SoakEdge {
    readonly name: string;
    readonly storeProxy: FaultProxy;
    /** The address from which it calls backend servers, by which their proxies tell gateways apart. */
    readonly sourceAddress: string;
    /** When it was stopped, paused or killed: what callers got then proves nothing. */
    readonly faultWindows = new FaultWindows();
    readonly findings: string[] = [];
    readonly #system: SoakSystem;
    readonly #random: RandomSource;
    readonly #logPath: string;
    readonly #settingsPath: string;
    readonly #ports: EdgePorts;
    readonly #lives: Life[] = [];
    #misses = missesOut;
    #ended = false;

    private constructor(name: string, system: SoakSystem, random: RandomSource, dir: string, more: {
        readonly storeProxy: FaultProxy;
        readonly ports: EdgePorts;
        readonly settingsPath: string;
        readonly serversFrom: string;
    }) {
        this.name = name;
        this.storeProxy = more.storeProxy;
        this.sourceAddress = more.serversFrom;
        this.#system = system;
        this.#random = random;
        this.#logPath = join(dir, `${name}.log`);
        this.#settingsPath = more.settingsPath;
        this.#ports = more.ports;
    }

    /** Starts its first life. */
    static async start(
        name: string,
        availabilityZone: string,
        system: SoakSystem,
        random: RandomSource,
        dir: string,
        storePort: number,
        serversFrom: string,
    ): Promise<SoakEdge> {
        const storeProxy = await FaultProxy.start(storePort);
        const [callers = 0, readiness = 0, peers = 0, metrics = 0] = await findFreePorts(4);
        const ports = { callers, readiness, peers, metrics };
        const settingsPath = join(dir, `${name}.yaml`);
        writeFileSync(settingsPath, renderEdgeSettings(name, availabilityZone, ports, storeProxy.port, serversFrom));
        const edge = new SoakEdge(name, system, random, dir, { storeProxy, ports, settingsPath, serversFrom });
        await edge.#live();
        void edge.#askForReadiness();
        return edge;
    }

    /** Whether the balancer sends callers here. */
    get inRotation(): boolean {
        return this.#misses < missesOut;
    }

    /** Sends callers' requests to the present life. */
    get caller(): SoakCaller | undefined {
        return this.#lives.at(-1)?.caller;
    }

    /** What callers of all lives got. */
    get outcomes(): readonly { readonly outcome: RequestOutcome; readonly killed: boolean; }[] {
        return this.#lives.flatMap(({ caller, ending }) =>
            caller.outcomes.map(outcome => ({ outcome: outcome, killed: ending === "killed" }))
        );
    }

    get histories(): readonly MemoryHistoryRecorder[] {
        return this.#lives.map(({ history }) => history);
    }

    /** @returns the text of its metrics; empty where it is down */
    async readMetrics(): Promise<string> {
        try {
            const res = await request(`http://127.0.0.1:${this.#ports.metrics}/metrics`, {
                signal: AbortSignal.timeout(askTimeoutMs),
            });
            return await res.body.text();
        }
        catch {
            // Down or standing still.
            return "";
        }
    }

    /** Planned stop, and the next life after a while. */
    async restart(downMs: number): Promise<void> {
        const life = this.#lives.at(-1);
        if (life === undefined || life.process.exitStatus !== undefined || life.ending !== "no") {
            return;
        }
        life.ending = "asked";
        const endHarm = this.faultWindows.begin(monotonicNow());
        const beganAtMs = monotonicNow();
        const exit = await life.process.stop(stopGraceMs + killSlackMs);
        const tookMs = Math.round(monotonicNow() - beganAtMs);
        // Asked again: it may have been killed by another fault meanwhile.
        if (this.#wasAsked(life) && (exit.code !== 0 || tookMs > stopGraceMs)) {
            this.findings.push(`${this.name} ended its planned stop with ${JSON.stringify(exit)} after ${tookMs} ms`);
        }
        await this.#liveAgain(life, downMs);
        endHarm(monotonicNow());
    }

    /** Ends without warning, and the next life after a while. */
    async kill(downMs: number): Promise<void> {
        const life = this.#lives.at(-1);
        if (life === undefined || life.process.exitStatus !== undefined || life.ending === "killed") {
            return;
        }
        const isStopping = life.ending === "asked";
        life.ending = "killed";
        const endHarm = this.faultWindows.begin(monotonicNow());
        life.process.kill();
        await life.process.exited;
        if (!isStopping) {
            await this.#liveAgain(life, downMs);
        }
        endHarm(monotonicNow());
    }

    /** Stands still for a while. */
    async pause(forMs: number): Promise<void> {
        const process = this.#lives.at(-1)?.process;
        const endHarm = this.faultWindows.begin(monotonicNow());
        process?.pause();
        await sleep(forMs);
        process?.resume();
        endHarm(monotonicNow());
    }

    sendSighup(): void {
        this.#lives.at(-1)?.process.hangUp();
    }

    /** Ends for good, without waiting for the end. */
    abort(): void {
        this.#ended = true;
        const life = this.#lives.at(-1);
        if (life !== undefined) {
            life.ending = "killed";
            life.process.kill();
        }
    }

    /** Ends for good, with everything that belongs to it. */
    async close(): Promise<void> {
        this.abort();
        await this.#lives.at(-1)?.process.exited;
        for (const { caller } of this.#lives) {
            await caller.close();
        }
        this.storeProxy.close();
    }

    #wasAsked(life: Life): boolean {
        return life.ending === "asked";
    }

    async #liveAgain(life: Life, downMs: number): Promise<void> {
        await sleep(downMs);
        if (!this.#ended && this.#lives.at(-1) === life) {
            await this.#live();
        }
    }

    async #live(): Promise<void> {
        const { script, args, env, nodeFlags } = this.#system.resolveEdgeProgram(this.#settingsPath);
        const process = await startProcess({
            name: this.name,
            script,
            args,
            env,
            nodeFlags,
            logPath: this.#logPath,
            parseReadyUrl: line => line.includes("\"started\"") ? `http://127.0.0.1:${this.#ports.callers}` : undefined,
        });
        const history = new MemoryHistoryRecorder(`${this.name}/${this.#lives.length + 1}`);
        const life: Life = {
            process,
            history,
            caller: new SoakCaller(this.name, process.url, this.#system, history, this.#random),
            ending: "no",
        };
        this.#lives.push(life);
        void process.exited.then(exit => {
            if (life.ending === "no") {
                this.findings.push(`${this.name} ended by itself with ${JSON.stringify(exit)}`);
            }
        });
    }

    async #askForReadiness(): Promise<void> {
        while (!this.#ended) {
            this.#misses = await this.#isReady() ? 0 : this.#misses + 1;
            await sleep(readinessMs);
        }
    }

    async #isReady(): Promise<boolean> {
        try {
            const url = `http://127.0.0.1:${this.#ports.readiness}${this.#system.readinessPath}`;
            const res = await request(url, { signal: AbortSignal.timeout(askTimeoutMs) });
            await res.body.dump();
            return res.statusCode === 200;
        }
        catch {
            // Down or standing still: a miss like any other.
            return false;
        }
    }
}

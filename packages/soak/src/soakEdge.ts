import { type RandomSource } from "@galenaglade/routing";
import { findFreePorts, MemoryHistoryRecorder, type StartedProcess, startProcess } from "@galenaglade/stand-ins";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { FaultProxy } from "./faultProxy.js";
import { type CallerTarget } from "./pipeliningCaller.js";
import { type RequestOutcome, SoakCaller } from "./soakCaller.js";
import { type EdgePorts, renderEdgeSettings } from "./soakConfiguration.js";
import { type SoakSystem } from "./soakSystem.js";
import { monotonicNow, FaultWindows } from "./faultWindows.js";

/** Time beyond the stop's grace period after which a process that hasn't stopped is killed and reported. */
const killGraceMs = 1_500;
/** Period of the balancer's readiness probes, and how many consecutive failures take a gateway out of rotation. */
const readinessPeriodMs = 500;
const unreadyThreshold = 2;
const httpTimeoutMs = 400;

interface Incarnation {
    readonly process: StartedProcess;
    readonly caller: SoakCaller;
    readonly history: MemoryHistoryRecorder;
    /** How the run ends the process; any other exit is a violation. */
    ending: "no" | "asked" | "killed";
}

/** A gateway over all its incarnations, with its connection to the store and the balancer's view of it. */
export class SoakEdge {
    readonly name: string;
    readonly storeProxy: FaultProxy;
    /** IP address from which it connects to backend servers; their proxies identify gateways by it. */
    readonly sourceAddress: string;
    /** When it was stopped, paused or killed, which excuses requests that get no response. */
    readonly faultWindows = new FaultWindows();
    readonly findings: string[] = [];
    readonly #system: SoakSystem;
    readonly #random: RandomSource;
    readonly #logPath: string;
    readonly #settingsPath: string;
    readonly #ports: EdgePorts;
    readonly #graceMs: number;
    readonly #incarnations: Incarnation[] = [];
    #failedProbes = unreadyThreshold;
    #ended = false;

    private constructor(name: string, system: SoakSystem, random: RandomSource, dir: string, parts: {
        readonly storeProxy: FaultProxy;
        readonly ports: EdgePorts;
        readonly settingsPath: string;
        readonly sourceAddress: string;
        readonly graceMs: number;
    }) {
        this.name = name;
        this.storeProxy = parts.storeProxy;
        this.sourceAddress = parts.sourceAddress;
        this.#system = system;
        this.#random = random;
        this.#logPath = join(dir, `${name}.log`);
        this.#settingsPath = parts.settingsPath;
        this.#ports = parts.ports;
        this.#graceMs = parts.graceMs;
    }

    /** Starts its first incarnation. */
    static async start(
        name: string,
        availabilityZone: string,
        system: SoakSystem,
        random: RandomSource,
        dir: string,
        storePort: number,
        sourceAddress: string,
        graceMs: number,
    ): Promise<SoakEdge> {
        const storeProxy = await FaultProxy.start(storePort);
        const [callers = 0, readiness = 0, peers = 0, metrics = 0] = await findFreePorts(4);
        const ports = { callers, readiness, peers, metrics };
        const settingsPath = join(dir, `${name}.yaml`);
        writeFileSync(
            settingsPath,
            renderEdgeSettings(name, availabilityZone, ports, storeProxy.port, sourceAddress, graceMs),
        );
        const edge = new SoakEdge(name, system, random, dir, {
            storeProxy,
            ports,
            settingsPath,
            sourceAddress,
            graceMs,
        });
        await edge.#startIncarnation();
        void edge.#probeReadiness();
        return edge;
    }

    /** Whether the balancer sends requests to it. */
    get inRotation(): boolean {
        return this.#failedProbes < unreadyThreshold;
    }

    /** Sends requests to the current incarnation. */
    get caller(): SoakCaller | undefined {
        return this.#incarnations.at(-1)?.caller;
    }

    /** The current incarnation, for a caller with connections of its own. */
    get callerTarget(): CallerTarget | undefined {
        const incarnation = this.#incarnations.at(-1);
        return incarnation && { gateway: this.name, port: this.#ports.callers, history: incarnation.history };
    }

    /** Request outcomes of all incarnations, and whether the incarnation was killed. */
    get outcomes(): readonly { readonly outcome: RequestOutcome; readonly killed: boolean; }[] {
        return this.#incarnations.flatMap(({ caller, ending }) =>
            caller.outcomes.map(outcome => ({ outcome, killed: ending === "killed" }))
        );
    }

    get histories(): readonly MemoryHistoryRecorder[] {
        return this.#incarnations.map(({ history }) => history);
    }

    /** @returns its metrics as text; empty if it doesn't respond */
    async readMetrics(): Promise<string> {
        try {
            const res = await request(`http://127.0.0.1:${this.#ports.metrics}/metrics`, {
                signal: AbortSignal.timeout(httpTimeoutMs),
            });
            return await res.body.text();
        }
        catch {
            // The process is down or paused.
            return "";
        }
    }

    /** Stops it in a planned manner, and starts the next incarnation `downMs` later. */
    async restart(downMs: number): Promise<void> {
        const incarnation = this.#incarnations.at(-1);
        if (incarnation === undefined || incarnation.process.exitStatus !== undefined || incarnation.ending !== "no") {
            return;
        }
        incarnation.ending = "asked";
        const endFault = this.faultWindows.begin(monotonicNow());
        const beganAtMs = monotonicNow();
        incarnation.history.record({ type: "gatewayStopping", gateway: this.name });
        const exit = await incarnation.process.stop(this.#graceMs + killGraceMs);
        const tookMs = Math.round(monotonicNow() - beganAtMs);
        // Another fault may have killed the process in the meantime.
        if (this.#isPlannedStop(incarnation) && (exit.code !== 0 || tookMs > this.#graceMs)) {
            this.findings.push(`${this.name}: planned stop ended with ${JSON.stringify(exit)} after ${tookMs} ms`);
        }
        await this.#startNextIncarnation(incarnation, downMs);
        endFault(monotonicNow());
    }

    /** Kills it, and starts the next incarnation `downMs` later. */
    async kill(downMs: number): Promise<void> {
        const incarnation = this.#incarnations.at(-1);
        if (
            incarnation === undefined || incarnation.process.exitStatus !== undefined || incarnation.ending === "killed"
        ) {
            return;
        }
        const isStopping = incarnation.ending === "asked";
        incarnation.ending = "killed";
        const endFault = this.faultWindows.begin(monotonicNow());
        incarnation.process.kill();
        await incarnation.process.exited;
        if (!isStopping) {
            await this.#startNextIncarnation(incarnation, downMs);
        }
        endFault(monotonicNow());
    }

    /** Pauses the process for some milliseconds. */
    async pause(durationMs: number): Promise<void> {
        const process = this.#incarnations.at(-1)?.process;
        const endFault = this.faultWindows.begin(monotonicNow());
        process?.pause();
        await sleep(durationMs);
        process?.resume();
        endFault(monotonicNow());
    }

    /** Sends SIGTERM to the process again, without effect on the run's expectations. */
    sendSigterm(): void {
        this.#incarnations.at(-1)?.process.terminate();
    }

    /** Sends SIGHUP to the process. */
    sendSighup(): void {
        this.#incarnations.at(-1)?.process.hangUp();
    }

    /** Kills it for good, without waiting for its end. */
    abort(): void {
        this.#ended = true;
        const incarnation = this.#incarnations.at(-1);
        if (incarnation !== undefined) {
            incarnation.ending = "killed";
            incarnation.process.kill();
        }
    }

    /** Kills it for good, and closes its callers and its proxy. */
    async close(): Promise<void> {
        this.abort();
        await this.#incarnations.at(-1)?.process.exited;
        for (const { caller } of this.#incarnations) {
            await caller.close();
        }
        this.storeProxy.close();
    }

    #isPlannedStop(incarnation: Incarnation): boolean {
        return incarnation.ending === "asked";
    }

    async #startNextIncarnation(incarnation: Incarnation, downMs: number): Promise<void> {
        await sleep(downMs);
        if (!this.#ended && this.#incarnations.at(-1) === incarnation) {
            await this.#startIncarnation();
        }
    }

    async #startIncarnation(): Promise<void> {
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
        const history = new MemoryHistoryRecorder(`${this.name}/${this.#incarnations.length + 1}`);
        const incarnation: Incarnation = {
            process,
            history,
            caller: new SoakCaller(this.name, process.url, this.#system, history, this.#random),
            ending: "no",
        };
        this.#incarnations.push(incarnation);
        void process.exited.then(exit => {
            if (incarnation.ending === "no") {
                this.findings.push(`${this.name} exited unexpectedly with ${JSON.stringify(exit)}`);
            }
        });
    }

    async #probeReadiness(): Promise<void> {
        while (!this.#ended) {
            this.#failedProbes = await this.#isReady() ? 0 : this.#failedProbes + 1;
            await sleep(readinessPeriodMs);
        }
    }

    async #isReady(): Promise<boolean> {
        try {
            const url = `http://127.0.0.1:${this.#ports.readiness}${this.#system.readinessPath}`;
            const res = await request(url, { signal: AbortSignal.timeout(httpTimeoutMs) });
            await res.body.dump();
            return res.statusCode === 200;
        }
        catch {
            // A process that is down or paused counts as not ready.
            return false;
        }
    }
}

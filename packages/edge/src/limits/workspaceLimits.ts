import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock, type ListenAddress, parseJson } from "@galenaglade/http-parts";
import {
    type Command,
    type Decision,
    type LimitMessage,
    type LimitTolerance,
    RateLimiter,
    type Token,
    type TokenRequest,
} from "@galenaglade/rate-limit";
import { type RandomSource } from "@galenaglade/routing";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { HostPauseDetector } from "../state/hostPauseDetector.js";
import { type DatagramSocket } from "./datagramSocket.js";

/** Dependencies of {@link WorkspaceLimits}. */
export interface WorkspaceLimitsDeps {
    /** Name of this gateway in its registration. */
    readonly name: string;
    /** ID that is unique to this process incarnation. */
    readonly incarnation: string;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
    readonly socket: DatagramSocket;
    readonly tolerance: LimitTolerance;
}

/** Maximum number of addresses kept of gateways that sent a datagram before their registration was known. */
const maxUnregisteredAddresses = 1_024;

/** Minimum delay of the next tick, in milliseconds: avoids a tight loop after a missed deadline. */
const minTickDelayMs = 2;

/** Enforces the rate limits of workspaces together with other gateways: runs `RateLimiter` on a socket and timers. */
export class WorkspaceLimits {
    readonly #deps: WorkspaceLimitsDeps;
    readonly #limiter: RateLimiter;
    readonly #pauseDetector: HostPauseDetector;
    readonly #pendingDecisions = new Map<number, (decision: Decision) => void>();
    readonly #addresses = new Map<string, ListenAddress>();
    readonly #unregisteredAddresses = new Map<string, ListenAddress>();
    #gatewayNames: readonly string[] = [];
    #isOpen = false;
    #isActive = false;
    #isStopped = false;
    #timer: NodeJS.Timeout | undefined;
    #nextTickAtMs = Infinity;

    constructor(deps: WorkspaceLimitsDeps) {
        const { name, incarnation, random, clock, tolerance } = deps;
        this.#deps = deps;
        this.#pauseDetector = new HostPauseDetector(clock);
        this.#limiter = new RateLimiter({
            name,
            incarnation,
            random: () => random.next(),
            startedAtMs: clock.monotonicMs(),
            tolerance,
        });
    }

    /** Applies a change of the fleet view: of the registered gateways, or whether any workspace has a limit. */
    onViewChange(): void {
        const { view, clock } = this.#deps;
        const workspaces = view.configurationInForce?.configuration.workspaces ?? [];
        const active = workspaces.some(({ limit }) => limit !== undefined);
        if (active && !this.#isOpen) {
            this.#isOpen = true;
            this.#deps.metrics.observeLimits(() => this.#limiter.snapshot(this.#deps.clock.monotonicMs()));
            void this.#open();
        }
        if (!this.#isOpen) {
            return;
        }
        const nowMs = clock.monotonicMs();
        this.#updateRoster(nowMs);
        if (active !== this.#isActive) {
            this.#isActive = active;
            this.#execute(this.#limiter.setActive(active, nowMs));
        }
    }

    /**
     * Requests a token for one request of a workspace.
     *
     * @param req - the workspace and its limit
     * @param signal - aborted when the decision is no longer needed
     * @returns the decision; `undefined` after an abort
     */
    admit(req: TokenRequest, signal: AbortSignal): Promise<Decision | undefined> {
        const { clock } = this.#deps;
        this.#updateRoster(clock.monotonicMs());
        const { requestId, commands } = this.#limiter.request(req, clock.monotonicMs(), clock.epochMs());
        const decided = new Promise<Decision | undefined>(resolve => {
            const onAbort = (): void => {
                this.#pendingDecisions.delete(requestId);
                this.#limiter.cancel(requestId);
                resolve(undefined);
            };
            this.#pendingDecisions.set(requestId, decision => {
                signal.removeEventListener("abort", onAbort);
                resolve(decision);
            });
            signal.addEventListener("abort", onAbort, { once: true });
        });
        this.#execute(commands);
        return decided;
    }

    /** Returns a token whose request never ran. */
    giveBack(token: Token): void {
        this.#limiter.giveBack(token);
    }

    /** Releases this gateway's shares before the process exits, so that peers request their tokens elsewhere. */
    beginDrain(): void {
        if (this.#isOpen) {
            this.#execute(this.#limiter.stop(this.#deps.clock.monotonicMs()));
        }
    }

    stop(): void {
        this.#isStopped = true;
        clearTimeout(this.#timer);
        this.#deps.socket.close();
    }

    async #open(): Promise<void> {
        const { socket, log } = this.#deps;
        try {
            await socket.open((text, from) => this.#onDatagram(text, from));
        }
        catch (err) {
            log.log("error", "unexpected", { error: `cannot receive datagrams from other hosts: ${String(err)}` });
        }
    }

    #updateRoster(nowMs: number): void {
        const { view } = this.#deps;
        const { names } = view.gatewayMembers(nowMs);
        if (names === this.#gatewayNames) {
            return;
        }
        this.#gatewayNames = names;
        this.#addresses.clear();
        for (const { name, peerAddress } of view.registeredGateways()) {
            this.#addresses.set(name, { address: peerAddress.host, port: peerAddress.port });
            this.#unregisteredAddresses.delete(name);
        }
        this.#execute(this.#limiter.onRoster(names, nowMs));
    }

    #onDatagram(text: string, from: ListenAddress): void {
        const { clock } = this.#deps;
        const json = parseJson(text);
        const sender = senderOf(json);
        if (sender === undefined) {
            return;
        }
        if (!this.#addresses.has(sender) && this.#unregisteredAddresses.size < maxUnregisteredAddresses) {
            this.#unregisteredAddresses.set(sender, from);
        }
        this.#checkPause();
        this.#execute(this.#limiter.onMessage(sender, json, clock.monotonicMs(), clock.epochMs()));
    }

    #tick(): void {
        const { clock } = this.#deps;
        this.#nextTickAtMs = Infinity;
        this.#checkPause();
        this.#updateRoster(clock.monotonicMs());
        this.#execute(this.#limiter.tick(clock.monotonicMs(), clock.epochMs()));
    }

    /** Checks for a suspension of the host, by which the limiter's view of other gateways' shares is outdated. */
    #checkPause(): void {
        if (this.#pauseDetector.check() !== undefined) {
            this.#execute(this.#limiter.onSuspended(this.#deps.clock.monotonicMs()));
        }
    }

    #execute(commands: readonly Command[]): void {
        for (const command of commands) {
            if (command.type === "send") {
                this.#send(command.to, command.message);
                continue;
            }
            const resolveDecision = this.#pendingDecisions.get(command.requestId);
            this.#pendingDecisions.delete(command.requestId);
            resolveDecision?.(command.decision);
        }
        for (const { type, ...change } of this.#limiter.drainChanges()) {
            this.#deps.log.log("info", type, change);
        }
        this.#schedule();
    }

    #send(to: string, message: LimitMessage): void {
        const address = this.#addresses.get(to) ?? this.#unregisteredAddresses.get(to);
        if (address !== undefined) {
            this.#deps.socket.send(JSON.stringify(message), address);
        }
    }

    /** Schedules the next tick, unless the current timer fires early enough. */
    #schedule(): void {
        const nowMs = this.#deps.clock.monotonicMs();
        const delayMs = this.#limiter.nextTickMs(nowMs);
        if (this.#isStopped || delayMs === undefined || nowMs + delayMs >= this.#nextTickAtMs) {
            return;
        }
        clearTimeout(this.#timer);
        this.#nextTickAtMs = nowMs + delayMs;
        this.#timer = setTimeout(() => this.#tick(), Math.max(delayMs, minTickDelayMs));
    }
}

function senderOf(json: unknown): string | undefined {
    const sender = typeof json === "object" && json !== null && "sender" in json ? json.sender : undefined;
    return typeof sender === "string" ? sender : undefined;
}

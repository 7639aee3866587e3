import { clientHeader, type HostEntry, hostListSchema, type Operation, operations } from "@galenaglade/platform";
import { type IncomingMessage, type ServerResponse } from "node:http";
import {
    closeServer,
    listen,
    type ListenAddress,
    type ListeningServer,
    readJson,
    sendJson,
} from "../http/jsonServer.js";
import { type CallLimits, CallRateLimiter, defaultCallLimits } from "./callRateLimiter.js";
import { KeyValueEngine } from "./keyValueEngine.js";
import { DelayedHostList } from "./delayedHostList.js";
import { type PlatformFaults, platformFaultsSchema } from "./platformFaults.js";

/** Options of a stand-in platform. */
export interface PlatformServerOptions {
    readonly listen?: ListenAddress | undefined;
    readonly limits?: CallLimits | undefined;
    readonly hostListLagMs?: number | undefined;
    readonly hosts?: readonly HostEntry[] | undefined;
    /** Clock in milliseconds; tests may pass a clock that they control. */
    readonly now?: (() => number) | undefined;
}

/** How often waiting watches check for expired leases, in milliseconds. */
const watchSweepMs = 25;

/** `hung` sends no response, `lost` closes the connection after the call took effect. */
type Fate = "answered" | "refused" | "hung" | "lost";

type Perform = (engine: KeyValueEngine, nowMs: number) => unknown;

/** The stand-in platform: key-value service and host list over HTTP, with fault injection. */
export class PlatformServer {
    readonly #now: () => number;
    readonly #engine = new KeyValueEngine();
    readonly #meter: CallRateLimiter;
    readonly #hosts: DelayedHostList;
    readonly #waiting = new Set<() => void>();
    #frozen: KeyValueEngine | undefined;
    #faults: PlatformFaults = platformFaultsSchema.parse({});
    #listening: ListeningServer | undefined;
    #sweep: NodeJS.Timeout | undefined;

    private constructor(options: PlatformServerOptions) {
        this.#now = options.now ?? (() => performance.now());
        this.#meter = new CallRateLimiter(options.limits ?? defaultCallLimits, this.#now());
        this.#hosts = new DelayedHostList(options.hostListLagMs ?? 0);
        this.#hosts.set(options.hosts ?? [], this.#now());
    }

    static async start(options: PlatformServerOptions = {}): Promise<PlatformServer> {
        const platform = new PlatformServer(options);
        platform.#listening = await listen(
            options.listen ?? { host: "127.0.0.1", port: 0 },
            (req, res) => platform.#handle(req, res),
        );
        platform.#sweep = setInterval(() => platform.#wake(), watchSweepMs);
        return platform;
    }

    get url(): string {
        return this.#listening?.url ?? "";
    }

    /** The underlying store, so that a test can read it without the injected faults. */
    get engine(): KeyValueEngine {
        return this.#engine;
    }

    /** Replaces all injected faults. */
    setFaults(faults: Partial<PlatformFaults>): void {
        this.#faults = platformFaultsSchema.parse(faults);
        this.#frozen = this.#faults.staleReads ? this.#frozen ?? this.#engine.snapshot() : undefined;
        this.#wake();
    }

    /** Replaces the host list; the change becomes visible after the configured delay. */
    setHosts(hosts: readonly HostEntry[]): void {
        this.#hosts.set(hosts, this.#now());
    }

    /** @returns calls counted since the start */
    counters(): ReturnType<CallRateLimiter["snapshot"]> {
        return this.#meter.snapshot();
    }

    /** Closes every connection and stops listening. */
    async stop(): Promise<void> {
        clearInterval(this.#sweep);
        if (this.#listening !== undefined) {
            await closeServer(this.#listening.server);
        }
    }

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await readJson(req);
        const control = this.#control(req.url, body);
        if (control !== undefined) {
            sendJson(res, 200, control);
            return;
        }
        switch (req.url) {
            case operations.get.path:
                return this.#serve(req, res, operations.get, body, ({ key }) => engine => ({
                    entry: engine.get(key, this.#now()),
                }));
            case operations.list.path:
                return this.#serve(req, res, operations.list, body, ({ prefix }) => (engine, nowMs) => {
                    const entries = engine.list(prefix, nowMs);
                    return { revision: engine.revision, entries };
                });
            case operations.compareAndSwap.path:
                return this.#serve(req, res, operations.compareAndSwap, body, swap => (engine, nowMs) => {
                    return engine.compareAndSwap({ ...swap, value: swap.value }, nowMs);
                });
            case operations.grantLease.path:
                return this.#serve(req, res, operations.grantLease, body, ({ ttlMs }) => (engine, nowMs) => {
                    return engine.grantLease(ttlMs, nowMs);
                });
            case operations.renewLease.path:
                return this.#serve(req, res, operations.renewLease, body, ({ id }) => (engine, nowMs) => {
                    return engine.renewLease(id, nowMs);
                });
            case operations.revokeLease.path:
                return this.#serve(req, res, operations.revokeLease, body, ({ id }) => (engine, nowMs) => {
                    engine.revokeLease(id, nowMs);
                    return {};
                });
            case operations.listHosts.path:
                return this.#serve(req, res, operations.listHosts, body, () => () => ({
                    hosts: this.#hosts.read(this.#now()),
                }));
            case operations.watch.path:
                return this.#watch(req, res, body);
            default:
                sendJson(res, 404, { error: "no such operation" });
        }
    }

    /** Handles the control endpoints. Injected faults and rate limits don't apply to them. */
    #control(path: string | undefined, body: unknown): unknown {
        switch (path) {
            case "/faults":
                this.setFaults(platformFaultsSchema.parse(body));
                return this.#faults;
            case "/hosts":
                this.setHosts(hostListSchema.parse(body));
                return {};
            case "/counters":
                return this.counters();
            default:
                return undefined;
        }
    }

    async #serve<Req, Res>(
        req: IncomingMessage,
        res: ServerResponse,
        operation: Operation<Req, Res>,
        body: unknown,
        prepare: (asked: Req) => Perform,
    ): Promise<void> {
        const perform = prepare(operation.request.parse(body));
        const arrival = await this.#arrive(req, res, operation.writes ? "write" : "read");
        if (arrival !== "answered") {
            return;
        }
        const result = perform(operation.writes ? this.#engine : this.#readable, this.#now());
        if (operation.writes) {
            this.#wake();
        }
        const departure = this.#resolveDeparture(req, operation.writes);
        if (departure === "lost") {
            req.socket.destroy();
            return;
        }
        if (departure === "answered") {
            sendJson(res, result === undefined ? 404 : 200, result ?? { error: "not found" });
        }
    }

    /** A long poll: responds when a key under the prefix has changed, or with no changes after `waitMs`. */
    async #watch(req: IncomingMessage, res: ServerResponse, body: unknown): Promise<void> {
        const { prefix, afterRevision, waitMs } = operations.watch.request.parse(body);
        if (await this.#arrive(req, res, "watch") !== "answered") {
            return;
        }
        const untilMs = this.#now() + waitMs;
        const look = (): void => {
            const fate = this.#resolveArrival(req);
            if (fate !== "answered") {
                this.#waiting.delete(look);
                this.#refuse(res, fate);
                return;
            }
            const events = this.#readable.changesSince(prefix, afterRevision, this.#now());
            const found = events.changed.length + events.deleted.length > 0;
            if (!found && this.#now() < untilMs) {
                return;
            }
            this.#waiting.delete(look);
            if (this.#resolveDeparture(req, false) === "answered") {
                sendJson(res, 200, events);
            }
        };
        this.#waiting.add(look);
        res.once("close", () => this.#waiting.delete(look));
        look();
    }

    get #readable(): KeyValueEngine {
        return this.#frozen ?? this.#engine;
    }

    #wake(): void {
        for (const look of [...this.#waiting]) {
            look();
        }
    }

    /** Applies the rate limit and the faults that affect a call before it takes effect. */
    async #arrive(req: IncomingMessage, res: ServerResponse, kind: "read" | "write" | "watch"): Promise<Fate> {
        if (this.#faults.slowMs > 0) {
            await new Promise(resolve => setTimeout(resolve, this.#faults.slowMs));
        }
        const fate = this.#resolveArrival(req);
        if (fate !== "answered") {
            this.#refuse(res, fate);
            return fate;
        }
        if (!this.#meter.admit(clientOf(req), kind, this.#now())) {
            sendJson(res, 429, { error: "too many calls" });
            return "refused";
        }
        return fate;
    }

    #resolveArrival(req: IncomingMessage): Fate {
        if (this.#faults.down === "refusing") {
            return "refused";
        }
        if (this.#faults.down === "silent" || this.#isCut(req, "toStore")) {
            return "hung";
        }
        return "answered";
    }

    #resolveDeparture(req: IncomingMessage, writes: boolean): Fate {
        if (this.#isCut(req, "fromStore")) {
            return "hung";
        }
        if (writes && this.#faults.loseAnswers > 0) {
            this.#faults = { ...this.#faults, loseAnswers: this.#faults.loseAnswers - 1 };
            return "lost";
        }
        return "answered";
    }

    #isCut(req: IncomingMessage, direction: "toStore" | "fromStore"): boolean {
        const client = clientOf(req);
        return this.#faults.cuts.some(cut => cut.client === client && cut.direction === direction);
    }

    #refuse(res: ServerResponse, fate: Fate): void {
        if (fate === "refused") {
            sendJson(res, 503, { error: "down" });
        }
    }
}

function clientOf(req: IncomingMessage): string {
    const client = req.headers[clientHeader];
    return typeof client === "string" ? client : "unknown";
}

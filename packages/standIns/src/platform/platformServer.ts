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
const watchCheckIntervalMs = 25;

/** `hung` sends no response, `lost` closes the connection after the call took effect. */
type CallDisposition = "answered" | "refused" | "hung" | "lost";

type StoreOperation = (engine: KeyValueEngine, nowMs: number) => unknown;

/** The stand-in platform: key-value service and host list over HTTP, with fault injection. */
export class PlatformServer {
    readonly #now: () => number;
    readonly #engine = new KeyValueEngine();
    readonly #rateLimiter: CallRateLimiter;
    readonly #hosts: DelayedHostList;
    readonly #pendingWatches = new Set<() => void>();
    #staleSnapshot: KeyValueEngine | undefined;
    #faults: PlatformFaults = platformFaultsSchema.parse({});
    #listening: ListeningServer | undefined;
    #watchTimer: NodeJS.Timeout | undefined;

    private constructor(options: PlatformServerOptions) {
        this.#now = options.now ?? (() => performance.now());
        this.#rateLimiter = new CallRateLimiter(options.limits ?? defaultCallLimits, this.#now());
        this.#hosts = new DelayedHostList(options.hostListLagMs ?? 0);
        this.#hosts.set(options.hosts ?? [], this.#now());
    }

    static async start(options: PlatformServerOptions = {}): Promise<PlatformServer> {
        const platform = new PlatformServer(options);
        platform.#listening = await listen(
            options.listen ?? { host: "127.0.0.1", port: 0 },
            (req, res) => platform.#handle(req, res),
        );
        platform.#watchTimer = setInterval(() => platform.#checkWatches(), watchCheckIntervalMs);
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
        this.#staleSnapshot = this.#faults.staleReads ? this.#staleSnapshot ?? this.#engine.snapshot() : undefined;
        this.#checkWatches();
    }

    /** Replaces the host list; the change becomes visible after the configured delay. */
    setHosts(hosts: readonly HostEntry[]): void {
        this.#hosts.set(hosts, this.#now());
    }

    /** @returns calls counted since the start */
    counters(): ReturnType<CallRateLimiter["snapshot"]> {
        return this.#rateLimiter.snapshot();
    }

    /** Closes every connection and stops listening. */
    async stop(): Promise<void> {
        clearInterval(this.#watchTimer);
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
        prepare: (params: Req) => StoreOperation,
    ): Promise<void> {
        const storeOperation = prepare(operation.request.parse(body));
        const admission = await this.#admit(req, res, operation.writes ? "write" : "read");
        if (admission !== "answered") {
            return;
        }
        const result = storeOperation(operation.writes ? this.#engine : this.#readEngine, this.#now());
        if (operation.writes) {
            this.#checkWatches();
        }
        const disposition = this.#applyResponseFaults(req, operation.writes);
        if (disposition === "lost") {
            req.socket.destroy();
            return;
        }
        if (disposition === "answered") {
            sendJson(res, result === undefined ? 404 : 200, result ?? { error: "not found" });
        }
    }

    /** A long poll: responds when a key under the prefix has changed, or with no changes after `waitMs`. */
    async #watch(req: IncomingMessage, res: ServerResponse, body: unknown): Promise<void> {
        const { prefix, afterRevision, waitMs } = operations.watch.request.parse(body);
        if (await this.#admit(req, res, "watch") !== "answered") {
            return;
        }
        const untilMs = this.#now() + waitMs;
        const check = (): void => {
            const disposition = this.#applyRequestFaults(req);
            if (disposition !== "answered") {
                this.#pendingWatches.delete(check);
                this.#sendUnavailable(res, disposition);
                return;
            }
            const events = this.#readEngine.changesSince(prefix, afterRevision, this.#now());
            const hasChanges = events.changed.length + events.deleted.length > 0;
            if (!hasChanges && this.#now() < untilMs) {
                return;
            }
            this.#pendingWatches.delete(check);
            if (this.#applyResponseFaults(req, false) === "answered") {
                sendJson(res, 200, events);
            }
        };
        this.#pendingWatches.add(check);
        res.once("close", () => this.#pendingWatches.delete(check));
        check();
    }

    get #readEngine(): KeyValueEngine {
        return this.#staleSnapshot ?? this.#engine;
    }

    #checkWatches(): void {
        for (const check of [...this.#pendingWatches]) {
            check();
        }
    }

    /** Applies the rate limit and the faults that affect a call before it takes effect. */
    async #admit(
        req: IncomingMessage,
        res: ServerResponse,
        kind: "read" | "write" | "watch",
    ): Promise<CallDisposition> {
        if (this.#faults.slowMs > 0) {
            await new Promise(resolve => setTimeout(resolve, this.#faults.slowMs));
        }
        const disposition = this.#applyRequestFaults(req);
        if (disposition !== "answered") {
            this.#sendUnavailable(res, disposition);
            return disposition;
        }
        if (!this.#rateLimiter.admit(getClient(req), kind, this.#now())) {
            sendJson(res, 429, { error: "too many calls" });
            return "refused";
        }
        return disposition;
    }

    #applyRequestFaults(req: IncomingMessage): CallDisposition {
        if (this.#faults.down === "refusing") {
            return "refused";
        }
        if (this.#faults.down === "silent" || this.#isPartitioned(req, "toStore")) {
            return "hung";
        }
        return "answered";
    }

    #applyResponseFaults(req: IncomingMessage, writes: boolean): CallDisposition {
        if (this.#isPartitioned(req, "fromStore")) {
            return "hung";
        }
        if (writes && this.#faults.loseAnswers > 0) {
            this.#faults = { ...this.#faults, loseAnswers: this.#faults.loseAnswers - 1 };
            return "lost";
        }
        return "answered";
    }

    #isPartitioned(req: IncomingMessage, direction: "toStore" | "fromStore"): boolean {
        const client = getClient(req);
        return this.#faults.cuts.some(cut => cut.client === client && cut.direction === direction);
    }

    #sendUnavailable(res: ServerResponse, disposition: CallDisposition): void {
        if (disposition === "refused") {
            sendJson(res, 503, { error: "down" });
        }
    }
}

function getClient(req: IncomingMessage): string {
    const client = req.headers[clientHeader];
    return typeof client === "string" ? client : "unknown";
}

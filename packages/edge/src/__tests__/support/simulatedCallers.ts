import { FleetView, type StateItem } from "@galenaglade/fleet-state";
import { sleep, whenInputRead } from "@galenaglade/http-parts";
import { PlacementState } from "@galenaglade/placement";
import { type ReachabilityState } from "@galenaglade/reachability";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { createMetrics } from "@galenaglade/telemetry";
import { IncomingMessage, ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type Dispatcher } from "undici";
import { type ServerConnection } from "../../backends/serverConnection.js";
import { CallerConnections } from "../../callers/callerConnections.js";
import { EdgeHandler, type EdgeHandlerDeps } from "../../callers/edgeHandler.js";
import { Placer } from "../../requests/placer.js";
import { ResponseMetadataRecorder } from "../../requests/responseMetadataRecorder.js";
import { InitialSyncGate } from "../../state/initialSyncGate.js";
import { EdgeLog } from "../../telemetry/edgeLog.js";
import { EdgeMetrics } from "../../telemetry/edgeMetrics.js";
import { createConfiguration, returns, tables } from "./testEdge.js";
import { TestMetadataCodec } from "./testCodecs.js";
import { type VirtualClock } from "./virtualClock.js";

/** What requests meet in a run. */
export interface CallerScenario {
    readonly seed: number;
    readonly reachability: ReachabilityState;
    /** Whether the servers report that they are full. */
    readonly isFull: boolean;
    readonly waitsForPermit: boolean;
    /** Milliseconds after which the first configuration is read. */
    readonly configuredAfterMs: number;
    /** Longest work of a server, and longest time until a connection to it is open, in milliseconds. */
    readonly maxWorkMs: number;
    readonly maxConnectMs: number;
}

/** A request as a server or another gateway got it. */
export interface SimulatedSend {
    readonly requestId: string;
    readonly startedAtMs: number;
    endedAtMs: number | undefined;
}

const serverIds = ["a", "b", "c"] as const;
const routeTimeoutMs = 6_000;
const metrics = new EdgeMetrics(createMetrics("test"));
const ignore = (): void => undefined;

/** A gateway on virtual time: its real request handling, with simulated connections of callers and of servers. */
export class SimulatedCallerGateway {
    readonly sends: SimulatedSend[] = [];
    readonly logs: string[] = [];
    readonly #clock: VirtualClock;
    readonly #scenario: CallerScenario;
    readonly #random: RandomSource;
    readonly #view = new FleetView();
    readonly #initialSyncGate: InitialSyncGate;
    readonly #handler: EdgeHandler;

    constructor(clock: VirtualClock, scenario: CallerScenario) {
        this.#clock = clock;
        this.#scenario = scenario;
        this.#random = createRandomSource(scenario.seed);
        this.#initialSyncGate = new InitialSyncGate(clock);
        this.#handler = new EdgeHandler(this.#createDeps());
        if (scenario.configuredAfterMs === 0) {
            this.#configure();
        }
        else {
            setTimeout(() => this.#configure(), scenario.configuredAfterMs);
        }
    }

    /** Hands a caller's request to the gateway, as when its head has been read. */
    receive(socket: Socket, requestId: string, path: string): void {
        const req = new IncomingMessage(socket);
        const headers = { "host": tables.authority, "x-id": requestId, "x-patience-ms": String(routeTimeoutMs) };
        Object.assign(req, {
            method: path.startsWith(returns.pathPrefix) ? "POST" : "GET",
            url: path,
            headers,
            rawHeaders: Object.entries(headers).flat(),
            complete: true,
        });
        this.#handler.handle(req, new ServerResponse(req));
    }

    #configure(): void {
        const routes = [{ ...tables, timeoutMs: routeTimeoutMs }, { ...returns, timeoutMs: routeTimeoutMs }];
        const configuration: StateItem = {
            type: "configuration",
            key: "configuration",
            configuration: createConfiguration(1, routes),
        };
        const servers = serverIds.map((id): StateItem => ({
            type: "server",
            key: `servers/${id}`,
            server: {
                id,
                service: "tables",
                address: { host: "127.0.0.1", port: 1 },
                availabilityZone: "north",
                slots: 9,
                state: "ready",
                coldRemainingMs: 0,
                startedAtEpochMs: 1,
            },
        }));
        this.#view.onFullRead([configuration, ...servers], this.#clock.monotonicMs());
        this.#view.onStoreContact(this.#clock.monotonicMs());
        this.#initialSyncGate.onStateRead();
    }

    #createDeps(): EdgeHandlerDeps {
        const clock = this.#clock;
        const write = (event: string): void => {
            this.logs.push(event);
        };
        const log = new EdgeLog({ debug: ignore, info: ignore, warn: ignore, error: write }, () => clock.monotonicMs());
        const placementState = new PlacementState({
            name: "gateway-1",
            availabilityZone: "north",
            random: this.#random,
            probesPerServerAndSecond: 60,
            startedAtMs: 0,
        });
        const connections = {
            acquire: (serverId: string) => this.#connect(serverId),
            acquireQuiet: (serverId: string) => this.#connect(serverId),
            open: () => this.#connect("gateway-2"),
            isFirstRequest: () => true,
            release: ignore,
            closeIdle: ignore,
        };
        const common = {
            view: this.#view,
            clock,
            log,
            metrics,
            placementState,
            connections,
            reachability: this.#createReachability(),
            metadataCodec: new TestMetadataCodec(),
            timeline: { record: ignore },
            availabilityZone: "north",
        };
        const metadataRecorder = new ResponseMetadataRecorder(
            common as unknown as ConstructorParameters<typeof ResponseMetadataRecorder>[0],
        );
        const placer = new Placer(
            { ...common, metadataRecorder } as unknown as ConstructorParameters<typeof Placer>[0],
        );
        return {
            ...common,
            name: "gateway-1",
            random: this.#random,
            placer,
            metadataRecorder,
            peerConnections: connections,
            configVersionWatermark: { max: (version: number) => version, advance: ignore },
            livenessChecker: {
                check: async () => {
                    await sleep(this.#draw(300));
                    return "listening";
                },
            },
            crashReports: { mayHaveRecord: () => false, ledgerVersion: () => 0 },
            repeats: {
                onRequest: ignore,
                onFirstArrivalRetried: ignore,
                isAvailable: () => true,
                take: () => true,
                describe: () => ({}),
            },
            rollouts: {
                trialServerGroups: () => [],
                onTrial: ignore,
                onSend: ignore,
                onSendEnded: ignore,
                isOnTrial: () => false,
            },
            maySend: () => true,
            callerConnections: new CallerConnections(() => clock.monotonicMs(), ignore),
            initialSyncGate: this.#initialSyncGate,
            startupGate: { isActive: this.#scenario.waitsForPermit, acquire: () => this.#acquirePermit() },
            stopPlan: () => undefined,
        } as unknown as EdgeHandlerDeps;
    }

    async #acquirePermit(): Promise<unknown> {
        await sleep(this.#draw(800));
        return { onSent: ignore, onEnded: ignore };
    }

    #createReachability(): unknown {
        const gateway = {
            name: "gateway-2",
            availabilityZone: "north",
            peerAddress: { host: "127.0.0.1", port: 1 },
        };
        return {
            stateOf: () => this.#scenario.reachability,
            whenSettled: () => sleep(this.#draw(400)),
            onContact: ignore,
            tryAcquireLocalAttempt: () => true,
            chooseHandoverTarget: () => gateway,
            onHandoverTargetsExhausted: ignore,
            handoverTargets: {
                trackRequest: () => ignore,
                onReachability: ignore,
                onSuggested: ignore,
                onUnresponsive: ignore,
            },
        };
    }

    #connect(serverId: string): ServerConnection {
        let hasResponded = this.#random.next() < 0.5;
        const connection = {
            get hasResponded(): boolean {
                return hasResponded;
            },
            socketFailed: false,
            onResponse: () => {
                hasResponded = true;
            },
            destroy: ignore,
            reset: ignore,
            dispatch: (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) => {
                void this.#dispatch(serverId, options, handler, hasResponded);
            },
        };
        return connection as unknown as ServerConnection;
    }

    async #dispatch(
        serverId: string,
        { path, headers }: Dispatcher.DispatchOptions,
        handler: Dispatcher.DispatchHandler,
        isOpen: boolean,
    ): Promise<void> {
        let send: SimulatedSend | undefined;
        const over = new AbortController();
        const isOver = (): boolean => over.signal.aborted;
        const end = (): void => {
            over.abort();
            if (send !== undefined) {
                send.endedAtMs ??= this.#clock.monotonicMs();
            }
        };
        const requestId = readHeader(headers, "x-id");
        const controller = {
            rawHeaders: path === "/health"
                ? ["x-server", serverId, "x-load", this.#scenario.isFull ? "9,3,9,4" : "0,0,9,1"]
                : ["x-id", requestId ?? "", "x-signed", "1", "content-length", "0"],
            abort: (err: Error) => {
                if (!isOver()) {
                    end();
                    handler.onResponseError?.(controller as unknown as Dispatcher.DispatchController, err);
                }
            },
            pause: ignore,
            resume: ignore,
        };
        const ready = controller as unknown as Dispatcher.DispatchController;
        if (!isOpen) {
            await sleep(this.#draw(this.#scenario.maxConnectMs));
            // As a `ServerConnection` does.
            await whenInputRead();
        }
        handler.onRequestStart?.(ready, {});
        if (isOver()) {
            return;
        }
        if (path !== "/health") {
            send = { requestId: requestId ?? "", startedAtMs: this.#clock.monotonicMs(), endedAtMs: undefined };
            this.sends.push(send);
        }
        await sleep(path === "/health" ? this.#draw(60) : this.#draw(this.#scenario.maxWorkMs));
        if (path !== "/health" && !isOver() && this.#random.next() < 0.3) {
            controller.abort(Object.assign(new Error("reset"), { code: "ECONNRESET" }));
        }
        if (isOver()) {
            return;
        }
        end();
        handler.onResponseStart?.(ready, 200, {}, "OK");
        handler.onResponseEnd?.(ready, {});
    }

    #draw(maxMs: number): number {
        return Math.ceil(this.#random.next() * maxMs);
    }
}

function readHeader(headers: unknown, name: string): string | undefined {
    if (!Array.isArray(headers)) {
        return undefined;
    }
    const at = headers.indexOf(name);
    return at < 0 ? undefined : String(headers[at + 1]);
}

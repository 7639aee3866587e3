import { createFailure, type DidRun, type Failure, resolveFailure } from "@galenaglade/errors";
import { type HistoryEvent, type HistoryLine } from "@galenaglade/history";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import {
    type StoreCallOutcome,
    FakeStore,
    type StoreCallOutcomeResolver,
    KeyValueEngine,
    VirtualClock,
} from "@galenaglade/stand-ins";
import { type Either, Left, Right } from "purify-ts";
import {
    type ClaimStoreReply,
    ClaimBatcher,
    type ClaimCommand,
    type ClaimEnd,
    type ClaimLimits,
    type ClaimTime,
    isClaimValid,
    type StoredClaims,
} from "../index.js";

/** Limits small enough that a run spans several buckets. */
export const simulationLimits: ClaimLimits = {
    shardCount: 2,
    bucketMs: 1_000,
    retainedBuckets: 4,
    maxCacheAgeMs: 5,
    validityMs: 300,
    storeProbeDelayMs: 50,
    failureThreshold: 2,
    maxDocumentLength: 100_000,
};

/** Outcome of a store call, with two that {@link FakeStore} lacks: an effect after the timeout, and a stale read. */
export type SimulatedStoreOutcome =
    | StoreCallOutcome
    /** A read that returns the document as of the given time, or none if it did not exist then. */
    | { readonly type: "stale"; readonly asOfMs: number; }
    | { readonly type: "late"; readonly outMs: number; readonly timeoutMs: number; };

/** How the server handles a request. */
export type ServerBehavior = "answers" | "sheds" | "closesBeforeRunning" | "closesWhileRunning";

/** One attempt of a caller's request. */
export interface SimulatedAttempt {
    readonly requestId: string;
    readonly key: string;
    readonly fingerprint?: string;
    readonly gateway: number;
    readonly server?: ServerBehavior;
    /** Duration of a process pause between the claim and the check before the first byte. */
    readonly pauseMs?: number;
    readonly patienceMs?: number;
}

/** Result that a caller received. */
export interface CallerResult {
    readonly kind: string;
    readonly didRun: DidRun;
    readonly atMs: number;
}

interface DocumentVersion extends StoredClaims {
    readonly key: string;
    readonly atMs: number;
}

interface SimulatedGateway {
    readonly name: string;
    readonly batcher: ClaimBatcher;
    readonly skewMs: number;
    readonly tries: Map<string, SimulatedAttempt>;
    alive: boolean;
}

/** Simulates several gateways, a store and a server on one virtual clock, and records a history. */
export class ClaimSimulation {
    readonly clock = new VirtualClock();
    readonly history: HistoryLine[] = [];
    readonly results = new Map<string, CallerResult>();
    resolveStoreOutcome: (client: string, nowMs: number) => SimulatedStoreOutcome = () => ({
        type: "answered",
        outMs: 1,
        backMs: 1,
    });
    swapCount = 0;
    readCount = 0;
    readonly #engine = new KeyValueEngine();
    readonly #store: FakeStore;
    readonly #gateways: readonly SimulatedGateway[];
    readonly #random: RandomSource;
    readonly #versions: DocumentVersion[] = [];
    #nextOutcome: StoreCallOutcome = { type: "answered", outMs: 1, backMs: 1 };

    constructor(skewsMs: readonly number[], limits: ClaimLimits = simulationLimits, seed = 1) {
        this.#random = createRandomSource(seed);
        const resolveOutcome: StoreCallOutcomeResolver = () => this.#nextOutcome;
        this.#store = new FakeStore(this.#engine, this.clock, resolveOutcome);
        this.#gateways = skewsMs.map((skewMs, i) => ({
            name: `gateway-${i}`,
            batcher: new ClaimBatcher(`gateway-${i}/1`, limits),
            skewMs,
            tries: new Map(),
            alive: true,
        }));
        this.#tick();
    }

    /** Schedules an attempt. */
    sendAt(atMs: number, attempt: SimulatedAttempt): void {
        this.clock.schedule(atMs - this.clock.nowMs, () => this.#send(attempt));
    }

    /** Schedules the crash of a gateway process, which closes the connections of its callers. */
    killAt(atMs: number, gateway: number): void {
        this.clock.schedule(atMs - this.clock.nowMs, () => {
            const killed = this.#gateway(gateway);
            killed.alive = false;
            for (const attempt of killed.tries.values()) {
                if (!this.results.has(attempt.requestId)) {
                    this.#record(killed.name, { type: "callerCutOff", requestId: attempt.requestId });
                }
            }
        });
    }

    /** Ids of the requests that the server started, in order. */
    get startedRequestIds(): readonly string[] {
        return this.history.flatMap(line => line.type === "serverStarted" ? [line.requestId] : []);
    }

    #send(attempt: SimulatedAttempt): void {
        const gateway = this.#gateway(attempt.gateway);
        const patienceMs = attempt.patienceMs ?? 1_000;
        this.#record("caller", {
            type: "callerSent",
            requestId: attempt.requestId,
            service: "returns",
            idempotent: false,
            idempotencyKey: attempt.key,
            patienceMs,
        });
        gateway.tries.set(attempt.requestId, attempt);
        const req = {
            nonce: attempt.requestId,
            keyDigest: digest(attempt.key),
            fingerprint: attempt.fingerprint ?? "same",
            deadlineMs: this.clock.nowMs + patienceMs,
        };
        this.#execute(gateway, gateway.batcher.claim(req, this.#readClocks(gateway)));
    }

    #execute(gateway: SimulatedGateway, commands: readonly ClaimCommand[]): void {
        for (const command of commands) {
            switch (command.type) {
                case "read":
                case "swap":
                    this.#callStore(gateway, command);
                    break;
                case "refused":
                    this.#refuse(gateway, command.nonce, command.failure);
                    break;
                case "claimed":
                    this.#onClaimed(gateway, command.nonce, command.validUntilMs);
                    break;
            }
        }
    }

    #callStore(gateway: SimulatedGateway, command: Extract<ClaimCommand, { readonly callId: number; }>): void {
        const run = (engine: KeyValueEngine, nowMs: number): ClaimStoreReply => {
            const result = runOnEngine(engine, nowMs, command);
            if (result.type === "swapped" && command.type === "swap" && command.value !== undefined) {
                this.#versions.push({ key: command.key, atMs: nowMs, value: command.value, revision: result.revision });
            }
            return result;
        };
        const reply = (result: Either<Failure, ClaimStoreReply>): void => {
            if (gateway.alive) {
                this.#execute(gateway, gateway.batcher.onStoreReply(command.callId, result, this.#readClocks(gateway)));
            }
        };
        if (command.type === "swap") {
            this.swapCount++;
        }
        else {
            this.readCount += command.keys.length;
        }
        const outcome = this.resolveStoreOutcome(gateway.name, this.clock.nowMs);
        if (outcome.type === "stale") {
            const stored = command.type === "read"
                ? command.keys.map(key => this.#findVersion(key, outcome.asOfMs))
                : [];
            const stale: ClaimStoreReply = { type: "read", stored };
            const { nowMs } = this.clock;
            this.clock.schedule(2, () => reply(Right(command.type === "read" ? stale : run(this.#engine, nowMs))));
            return;
        }
        if (outcome.type === "late") {
            this.clock.schedule(outcome.outMs, () => run(this.#engine, this.clock.nowMs));
            this.clock.schedule(outcome.timeoutMs, () => reply(Left(createFailure("storeOutcomeUnknown", "timeout"))));
            return;
        }
        this.#nextOutcome = outcome;
        this.#store.call(gateway.name, run, reply);
    }

    #findVersion(key: string, asOfMs: number): StoredClaims | undefined {
        return this.#versions.findLast(version => version.key === key && version.atMs <= asOfMs);
    }

    #onClaimed(gateway: SimulatedGateway, nonce: string, validUntilMs: number): void {
        const attempt = this.#getAttempt(gateway, nonce);
        this.clock.schedule(attempt.pauseMs ?? 0, () => {
            if (!gateway.alive) {
                return;
            }
            if (!isClaimValid(validUntilMs, this.clock.nowMs)) {
                this.#recordResult(gateway, nonce, "patienceSpent", "no");
                this.#recordEnd(gateway, nonce, { didRun: "no" });
                return;
            }
            this.#handOver(gateway, attempt);
        });
    }

    #handOver(gateway: SimulatedGateway, attempt: SimulatedAttempt): void {
        const server = attempt.server ?? "answers";
        const runs = server === "answers" || server === "closesWhileRunning";
        this.clock.schedule(1 + this.#random.nextInt(5), () => {
            if (runs) {
                this.#record("server", {
                    type: "serverStarted",
                    requestId: attempt.requestId,
                    idempotencyKey: attempt.key,
                    server: "intake-1",
                    availabilityZone: "a",
                    incarnation: "1",
                    cold: false,
                    inFlight: 1,
                    bears: 3,
                });
            }
            this.clock.schedule(1 + this.#random.nextInt(50), () => this.#onServerResponse(gateway, attempt, server));
        });
    }

    #onServerResponse(gateway: SimulatedGateway, attempt: SimulatedAttempt, server: ServerBehavior): void {
        if (!gateway.alive) {
            return;
        }
        const nonce = attempt.requestId;
        if (server === "answers") {
            this.#recordResult(gateway, nonce, "answered", "yes");
            this.#recordEnd(gateway, nonce, { didRun: "yes", status: 200 });
        }
        else if (server === "sheds") {
            this.#recordResult(gateway, nonce, "backendShed", "no");
            this.#recordEnd(gateway, nonce, { didRun: "no" });
        }
        else {
            this.#recordResult(gateway, nonce, "connectionLost", "unknown");
            this.#recordEnd(gateway, nonce, { didRun: "unknown" });
        }
    }

    #recordEnd(gateway: SimulatedGateway, nonce: string, end: ClaimEnd): void {
        this.#execute(gateway, gateway.batcher.recordEnd(nonce, end, this.#readClocks(gateway)));
    }

    #refuse(gateway: SimulatedGateway, nonce: string, failure: Failure): void {
        const resolved = resolveFailure(failure);
        this.#recordResult(gateway, nonce, resolved.kind, resolved.didRun);
    }

    #recordResult(gateway: SimulatedGateway, requestId: string, kind: string, didRun: DidRun): void {
        this.results.set(requestId, { kind, didRun, atMs: this.clock.nowMs });
        const isFailure = kind !== "answered";
        this.#record(gateway.name, {
            type: "callerAnswered",
            requestId,
            status: isFailure ? 503 : 200,
            didRun,
            whole: true,
            bodyRequestId: isFailure ? undefined : requestId,
        });
    }

    #tick(): void {
        for (const gateway of this.#gateways) {
            if (gateway.alive) {
                this.#execute(gateway, gateway.batcher.tick(this.#readClocks(gateway)));
            }
        }
        this.clock.schedule(20, () => this.#tick());
    }

    #readClocks(gateway: SimulatedGateway): ClaimTime {
        return { nowMs: this.clock.nowMs, epochMs: 100_000 + this.clock.nowMs + gateway.skewMs };
    }

    #gateway(index: number): SimulatedGateway {
        const gateway = this.#gateways[index];
        if (gateway === undefined) {
            throw new Error(`no gateway with index ${index}`);
        }
        return gateway;
    }

    #getAttempt(gateway: SimulatedGateway, nonce: string): SimulatedAttempt {
        const attempt = gateway.tries.get(nonce);
        if (attempt === undefined) {
            throw new Error(`no attempt with nonce ${nonce}`);
        }
        return attempt;
    }

    #record(process: string, event: HistoryEvent): void {
        this.history.push({ sequence: this.history.length, atMs: this.clock.nowMs, process, ...event });
    }
}

function runOnEngine(
    engine: KeyValueEngine,
    nowMs: number,
    command: Extract<ClaimCommand, { readonly callId: number; }>,
): ClaimStoreReply {
    const toStored = (found: ReturnType<KeyValueEngine["get"]>) =>
        found === undefined ? undefined : { value: found.value, revision: found.modifiedRevision };
    if (command.type === "read") {
        return { type: "read", stored: command.keys.map(key => toStored(engine.get(key, nowMs))) };
    }
    const outcome = engine.compareAndSwap(command, nowMs);
    return outcome.swapped
        ? { type: "swapped", revision: outcome.revision }
        : { type: "notSwapped", stored: toStored(outcome.current) };
}

/** Replaces the digest: a hexadecimal hash for each key that a test uses. */
export function digest(key: string): string {
    let hash = 0;
    for (const character of key) {
        hash = (hash * 31 + character.charCodeAt(0)) >>> 0;
    }
    return hash.toString(16).padStart(8, "0");
}

/** @returns a successful reply of the store, for tests that call the batcher directly */
export function succeed(answer: ClaimStoreReply): Either<Failure, ClaimStoreReply> {
    return Right(answer);
}

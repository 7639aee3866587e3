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
    type ClaimCallAnswer,
    ClaimBatcher,
    type ClaimCommand,
    type ClaimEnd,
    type ClaimLimits,
    type ClaimTime,
    mayHandOver,
    type StoredClaims,
} from "../index.js";

/** Numbers small enough that a run crosses several buckets. */
export const worldLimits: ClaimLimits = {
    shards: 2,
    bucketMs: 1_000,
    bucketsKept: 4,
    freshMs: 5,
    validityMs: 300,
    backoffMs: 50,
    failuresBorne: 2,
    documentCharacters: 100_000,
};

/** What becomes of a store call, with fates that {@link FakeStore} lacks: it takes effect after its timeout, or lags. */
export type WorldFate =
    | StoreCallOutcome
    /** A read that returns the document as it was at the time given, or before it existed. */
    | { readonly type: "stale"; readonly asOfMs: number; }
    | { readonly type: "late"; readonly outMs: number; readonly timeoutMs: number; };

/** What becomes of a request that was handed over. */
export type ServerFate = "answers" | "sheds" | "closesBeforeRunning" | "closesWhileRunning";

/** One try of a caller's request. */
export interface Try {
    readonly requestId: string;
    readonly key: string;
    readonly fingerprint?: string;
    readonly gateway: number;
    readonly server?: ServerFate;
    /** Time between the claim and the check before the first byte: a pause of the process. */
    readonly pauseMs?: number;
    readonly patienceMs?: number;
}

/** What a caller was told. */
export interface Told {
    readonly kind: string;
    readonly didRun: DidRun;
    readonly atMs: number;
}

interface Version extends StoredClaims {
    readonly key: string;
    readonly atMs: number;
}

interface SimulatedGateway {
    readonly name: string;
    readonly batcher: ClaimBatcher;
    readonly skewMs: number;
    readonly tries: Map<string, Try>;
    alive: boolean;
}

/** Several gateways, one store and one server on one virtual clock, recording a history. */
export class ClaimWorld {
    readonly time = new VirtualClock();
    readonly history: HistoryLine[] = [];
    readonly told = new Map<string, Told>();
    fateOf: (client: string, nowMs: number) => WorldFate = () => ({ type: "answered", outMs: 1, backMs: 1 });
    swaps = 0;
    reads = 0;
    readonly #engine = new KeyValueEngine();
    readonly #store: FakeStore;
    readonly #gateways: readonly SimulatedGateway[];
    readonly #random: RandomSource;
    readonly #versions: Version[] = [];
    #nextFate: StoreCallOutcome = { type: "answered", outMs: 1, backMs: 1 };

    constructor(skewsMs: readonly number[], limits: ClaimLimits = worldLimits, seed = 1) {
        this.#random = createRandomSource(seed);
        const fateOf: StoreCallOutcomeResolver = () => this.#nextFate;
        this.#store = new FakeStore(this.#engine, this.time, fateOf);
        this.#gateways = skewsMs.map((skewMs, i) => ({
            name: `gateway-${i}`,
            batcher: new ClaimBatcher(`gateway-${i}/1`, limits),
            skewMs,
            tries: new Map(),
            alive: true,
        }));
        this.#tick();
    }

    /** Sends a try at a time. */
    sendAt(atMs: number, attempt: Try): void {
        this.time.schedule(atMs - this.time.nowMs, () => this.#send(attempt));
    }

    /** Ends a gateway's process at a time; callers of what it held are cut off. */
    killAt(atMs: number, gateway: number): void {
        this.time.schedule(atMs - this.time.nowMs, () => {
            const killed = this.#gateway(gateway);
            killed.alive = false;
            for (const attempt of killed.tries.values()) {
                if (!this.told.has(attempt.requestId)) {
                    this.#record(killed.name, { type: "callerCutOff", requestId: attempt.requestId });
                }
            }
        });
    }

    /** @returns ids of the requests that the server started, in order */
    get started(): readonly string[] {
        return this.history.flatMap(line => line.type === "serverStarted" ? [line.requestId] : []);
    }

    #send(attempt: Try): void {
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
            giveUpAtMs: this.time.nowMs + patienceMs,
        };
        this.#run(gateway, gateway.batcher.claim(req, this.#timeOf(gateway)));
    }

    #run(gateway: SimulatedGateway, commands: readonly ClaimCommand[]): void {
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
                    this.#claimed(gateway, command.nonce, command.validUntilMs);
                    break;
            }
        }
    }

    #callStore(gateway: SimulatedGateway, command: Extract<ClaimCommand, { readonly callId: number; }>): void {
        const run = (engine: KeyValueEngine, nowMs: number): ClaimCallAnswer => {
            const result = runOnEngine(engine, nowMs, command);
            if (result.type === "swapped" && command.type === "swap" && command.value !== undefined) {
                this.#versions.push({ key: command.key, atMs: nowMs, value: command.value, revision: result.revision });
            }
            return result;
        };
        const answer = (result: Either<Failure, ClaimCallAnswer>): void => {
            if (gateway.alive) {
                this.#run(gateway, gateway.batcher.answered(command.callId, result, this.#timeOf(gateway)));
            }
        };
        if (command.type === "swap") {
            this.swaps++;
        }
        else {
            this.reads += command.keys.length;
        }
        const fate = this.fateOf(gateway.name, this.time.nowMs);
        if (fate.type === "stale") {
            const stored = command.type === "read" ? command.keys.map(key => this.#findVersion(key, fate.asOfMs)) : [];
            const stale: ClaimCallAnswer = { type: "read", stored };
            const { nowMs } = this.time;
            this.time.schedule(2, () => answer(Right(command.type === "read" ? stale : run(this.#engine, nowMs))));
            return;
        }
        if (fate.type === "late") {
            this.time.schedule(fate.outMs, () => run(this.#engine, this.time.nowMs));
            this.time.schedule(fate.timeoutMs, () => answer(Left(createFailure("storeOutcomeUnknown", "timeout"))));
            return;
        }
        this.#nextFate = fate;
        this.#store.call(gateway.name, run, answer);
    }

    #findVersion(key: string, asOfMs: number): StoredClaims | undefined {
        return this.#versions.findLast(version => version.key === key && version.atMs <= asOfMs);
    }

    #claimed(gateway: SimulatedGateway, nonce: string, validUntilMs: number): void {
        const attempt = this.#try(gateway, nonce);
        this.time.schedule(attempt.pauseMs ?? 0, () => {
            if (!gateway.alive) {
                return;
            }
            if (!mayHandOver(validUntilMs, this.time.nowMs)) {
                this.#tell(gateway, nonce, "patienceSpent", "no");
                this.#end(gateway, nonce, { didRun: "no" });
                return;
            }
            this.#handOver(gateway, attempt);
        });
    }

    #handOver(gateway: SimulatedGateway, attempt: Try): void {
        const server = attempt.server ?? "answers";
        const runs = server === "answers" || server === "closesWhileRunning";
        this.time.schedule(1 + this.#random.nextInt(5), () => {
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
            this.time.schedule(1 + this.#random.nextInt(50), () => this.#ended(gateway, attempt, server));
        });
    }

    #ended(gateway: SimulatedGateway, attempt: Try, server: ServerFate): void {
        if (!gateway.alive) {
            return;
        }
        const nonce = attempt.requestId;
        if (server === "answers") {
            this.#tell(gateway, nonce, "answered", "yes");
            this.#end(gateway, nonce, { didRun: "yes", status: 200 });
        }
        else if (server === "sheds") {
            this.#tell(gateway, nonce, "backendShed", "no");
            this.#end(gateway, nonce, { didRun: "no" });
        }
        else {
            this.#tell(gateway, nonce, "connectionLost", "unknown");
            this.#end(gateway, nonce, { didRun: "unknown" });
        }
    }

    #end(gateway: SimulatedGateway, nonce: string, end: ClaimEnd): void {
        this.#run(gateway, gateway.batcher.end(nonce, end, this.#timeOf(gateway)));
    }

    #refuse(gateway: SimulatedGateway, nonce: string, failure: Failure): void {
        const resolved = resolveFailure(failure);
        this.#tell(gateway, nonce, resolved.kind, resolved.didRun);
    }

    #tell(gateway: SimulatedGateway, requestId: string, kind: string, didRun: DidRun): void {
        this.told.set(requestId, { kind, didRun, atMs: this.time.nowMs });
        const own = kind !== "answered";
        this.#record(gateway.name, {
            type: "callerAnswered",
            requestId,
            status: own ? 503 : 200,
            didRun,
            whole: true,
            bodyRequestId: own ? undefined : requestId,
        });
    }

    #tick(): void {
        for (const gateway of this.#gateways) {
            if (gateway.alive) {
                this.#run(gateway, gateway.batcher.tick(this.#timeOf(gateway)));
            }
        }
        this.time.schedule(20, () => this.#tick());
    }

    #timeOf(gateway: SimulatedGateway): ClaimTime {
        return { nowMs: this.time.nowMs, epochMs: 100_000 + this.time.nowMs + gateway.skewMs };
    }

    #gateway(index: number): SimulatedGateway {
        const gateway = this.#gateways[index];
        if (gateway === undefined) {
            throw new Error(`no gateway ${index}`);
        }
        return gateway;
    }

    #try(gateway: SimulatedGateway, nonce: string): Try {
        const attempt = gateway.tries.get(nonce);
        if (attempt === undefined) {
            throw new Error(`no try ${nonce}`);
        }
        return attempt;
    }

    #record(process: string, event: HistoryEvent): void {
        this.history.push({ sequence: this.history.length, atMs: this.time.nowMs, process, ...event });
    }
}

function runOnEngine(
    engine: KeyValueEngine,
    nowMs: number,
    command: Extract<ClaimCommand, { readonly callId: number; }>,
): ClaimCallAnswer {
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

/** Stands for a digest: one hexadecimal number for each key that a test uses. */
export function digest(key: string): string {
    let hash = 0;
    for (const character of key) {
        hash = (hash * 31 + character.charCodeAt(0)) >>> 0;
    }
    return hash.toString(16).padStart(8, "0");
}

/** @returns the store's answer as the batcher takes it in, for tests that drive it by hand */
export function succeed(answer: ClaimCallAnswer): Either<Failure, ClaimCallAnswer> {
    return Right(answer);
}

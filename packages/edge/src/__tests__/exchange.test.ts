import { type RequestBody } from "@galenaglade/http-parts";
import { TypicalLatency } from "@galenaglade/placement";
import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type EdgeRequest } from "../requests/edgeRequest.js";
import { Exchange } from "../requests/exchange.js";
import { callerGone, cutoffReached, type ExchangeDeps } from "../requests/exchangeDeps.js";
import { type ExchangeResult } from "../requests/localReplies.js";
import { SendRecord } from "../requests/sendRecord.js";
import { returns } from "./support/testEdge.js";

interface Run {
    readonly result: Promise<ExchangeResult>;
    readonly abort: (reason: string) => void;
    readonly logs: readonly string[];
}

/** Runs an exchange whose first step behaves as given. */
function runExchange(
    admit: () => Promise<never>,
    whenInputRead: (abort: (reason: string) => void) => Promise<void> = () => Promise.resolve(),
): Run {
    const logs: string[] = [];
    const deps = {
        random: createRandomSource(1),
        placementState: { typicalLatency: new TypicalLatency() },
        repeats: { onRequest: () => undefined },
        crashReports: { mayHaveRecord: () => false },
        limits: { admit },
        log: { log: (_level: string, event: string) => logs.push(event) },
    } as unknown as ExchangeDeps;
    const workspace = { name: "w", limit: { perSecond: 1, burst: 1 } };
    const request = {
        rules: { name: "tables" },
        route: returns,
        callerIdentity: { type: "known", workspace },
    } as unknown as EdgeRequest;
    const body = {} as unknown as RequestBody;
    const controller = new AbortController();
    const abort = (reason: string): void => controller.abort(reason);
    const openSink = (): never => {
        throw new Error("nothing is streamed");
    };
    const exchange = new Exchange(
        deps,
        request,
        body,
        new SendRecord(),
        controller.signal,
        openSink,
        () => undefined,
        () => whenInputRead(abort),
    );
    return { result: exchange.run(), abort, logs };
}

function kindOf(result: ExchangeResult): string {
    return result.type === "failed" ? result.failure.kind : result.type;
}

// Guards against a caller that gets no answer, because its request waits for something that never happens.
test("a request that waits for a promise that never settles is refused at its cutoff", async () => {
    const { result, abort } = runExchange(() => new Promise(() => undefined));
    setTimeout(() => abort(cutoffReached), 20);
    assert.equal(kindOf(await result), "overloaded");
});

// Guards against a caller that gets no answer, or no retry, because a step of the request's handling has thrown.
test("a request whose handling throws before it was sent is refused at once, and the error is logged", async () => {
    const { result, logs } = runExchange(() => Promise.reject(new TypeError("a fault")));
    assert.equal(kindOf(await result), "overloaded");
    assert.deepEqual(logs, ["unexpected"]);
});

// Guards against a workspace's limit that is used up by callers that have left.
test("a request whose caller has left before it was admitted claims nothing of its workspace's limit", async () => {
    let claims = 0;
    const { result } = runExchange(() => {
        claims++;
        return new Promise(() => undefined);
    }, abort => {
        abort(callerGone);
        return Promise.resolve();
    });
    assert.equal(kindOf(await result), "overloaded");
    assert.equal(claims, 0);
});

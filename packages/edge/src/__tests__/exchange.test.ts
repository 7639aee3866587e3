import { type RequestBody } from "@galenaglade/http-parts";
import { TypicalLatency } from "@galenaglade/placement";
import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type EdgeRequest } from "../requests/edgeRequest.js";
import { Exchange } from "../requests/exchange.js";
import { cutoffReached, type ExchangeDeps } from "../requests/exchangeDeps.js";
import { type ExchangeResult } from "../requests/localReplies.js";
import { SendRecord } from "../requests/sendRecord.js";
import { returns } from "./support/testEdge.js";

interface Run {
    readonly result: Promise<ExchangeResult>;
    readonly reachCutoff: () => void;
    readonly logs: readonly string[];
}

/** Runs an exchange whose first step behaves as given. */
function runExchange(admit: () => Promise<never>): Run {
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
    const cutoff = new AbortController();
    const exchange = new Exchange(deps, request, body, new SendRecord(), cutoff.signal, () => {
        throw new Error("nothing is streamed");
    });
    return { result: exchange.run(), reachCutoff: () => cutoff.abort(cutoffReached), logs };
}

function kindOf(result: ExchangeResult): string {
    return result.type === "failed" ? result.failure.kind : result.type;
}

// Guards against a caller that gets no answer, because its request waits for something that never happens.
test("a request that waits for a promise that never settles is refused at its cutoff", async () => {
    const { result, reachCutoff } = runExchange(() => new Promise(() => undefined));
    setTimeout(reachCutoff, 20);
    assert.equal(kindOf(await result), "overloaded");
});

// Guards against a caller that gets no answer, or no retry, because a step of the request's handling has thrown.
test("a request whose handling throws before it was sent is refused at once, and the error is logged", async () => {
    const { result, logs } = runExchange(() => Promise.reject(new TypeError("a fault")));
    assert.equal(kindOf(await result), "overloaded");
    assert.deepEqual(logs, ["unexpected"]);
});

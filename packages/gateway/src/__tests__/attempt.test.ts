import assert from "node:assert/strict";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import { Dispatcher } from "undici";
import { type CallerRequest } from "../requests/callerRequest.js";
import { type AttemptResult, runAttempt } from "../requests/attempt.js";
import { RequestBody } from "@galenaglade/http-parts";

/** A dispatcher that does with the handler what the test says, and counts what the handler aborts. */
class ScriptedDispatcher extends Dispatcher {
    readonly aborted: string[] = [];
    handler: Dispatcher.DispatchHandler | undefined;

    override dispatch(_options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        this.handler = handler;
        return true;
    }

    start(name: string): void {
        this.handler?.onRequestStart?.(this.#createController(name), undefined);
    }

    fail(name: string): void {
        this.handler?.onResponseError?.(this.#createController(name), new Error("closed"));
    }

    #createController(name: string): Dispatcher.DispatchController {
        return {
            aborted: false,
            paused: false,
            reason: null,
            abort: () => {
                this.aborted.push(name);
            },
            pause: () => undefined,
            resume: () => undefined,
        };
    }
}

class NoBody extends RequestBody {
    override readonly isReplayable = true;
    override readonly buffered = Buffer.alloc(0);
    override readonly prefix = Buffer.alloc(0);
    override readonly byteLength = 0;

    override open(): undefined {
        return undefined;
    }
}

function send(dispatcher: Dispatcher, signal: AbortSignal): Promise<AttemptResult> {
    const request = { method: "POST", url: "/returns", idempotent: false } as CallerRequest;
    return runAttempt({
        request,
        serverId: "returns/intake-1",
        dispatcher,
        body: new NoBody(),
        res: new ServerResponse(new IncomingMessage(new Socket())),
        headers: [],
        signal,
        previousDidRun: "no",
        checkBeforeSend: () => undefined,
        stallCheck: undefined,
        onHead: () => undefined,
        onLoadReport: () => undefined,
    });
}

// The HTTP client puts a request back into its queue when a connection closes for a reason of its own, and would
// write it again on the next connection. A return that was begun once must not leave a second time.
test("a request that the client would write again is not written", async () => {
    const dispatcher = new ScriptedDispatcher();
    const result = send(dispatcher, new AbortController().signal);
    dispatcher.start("first");
    dispatcher.start("second");
    assert.deepEqual(dispatcher.aborted, ["second"]);
    dispatcher.fail("second");
    assert.deepEqual((await result).outcome.didRun, "unknown");
});

// The caller's patience ends while the connection is being opened, and it is told that its return did not run. When
// the connection opens after all, writing the return would make that untrue.
test("a request given up before its connection opened is not written afterwards", async () => {
    const dispatcher = new ScriptedDispatcher();
    const patience = new AbortController();
    const result = send(dispatcher, patience.signal);
    patience.abort();
    const { outcome, failure } = await result;
    assert.deepEqual([outcome.didRun, failure?.kind], ["no", "patienceSpent"]);
    dispatcher.start("late");
    assert.deepEqual(dispatcher.aborted, ["late"]);
});

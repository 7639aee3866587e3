import assert from "node:assert/strict";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import { Dispatcher } from "undici";
import { type CallerRequest } from "../requests/callerRequest.js";
import { type AttemptResult, runAttempt } from "../requests/attempt.js";
import { RequestBody } from "@galenaglade/http-parts";

/** A dispatcher whose events are triggered by the test. Records which requests the handler aborts. */
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

    override close(): void {
        // There is nothing to discard.
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

// For some causes of a closed connection, undici puts the request back into its queue and writes it again on the next
// connection. A non-idempotent request that was started must not be written a second time.
test("a request that the HTTP client would write again is not written", async () => {
    const dispatcher = new ScriptedDispatcher();
    const result = send(dispatcher, new AbortController().signal);
    dispatcher.start("first");
    dispatcher.start("second");
    assert.deepEqual(dispatcher.aborted, ["second"]);
    dispatcher.fail("second");
    assert.deepEqual((await result).outcome.didRun, "unknown");
});

// The caller's deadline passes while the connection is being opened, and the result says that the request did not run.
// Writing the request once the connection opens would make that result wrong.
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

import assert from "node:assert/strict";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { writeWhenDue } from "../callers/responseWriter.js";

// Guards against a process that ends because a response can't be written when its turn on the connection comes.
test("an error while a response is written that waited for its turn is handed to its request", async () => {
    const res = new ServerResponse(new IncomingMessage(new Socket()));
    const errors: unknown[] = [];
    const fault = new TypeError("a fault");
    writeWhenDue(res, () => {
        throw fault;
    }, err => errors.push(err));
    await setImmediate();
    assert.deepEqual(errors, [], "it waits for its turn");
    res.emit("socket", new Socket());
    await setImmediate();
    assert.deepEqual(errors, [fault]);
});

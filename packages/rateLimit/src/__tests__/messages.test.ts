import assert from "node:assert/strict";
import { test } from "node:test";
import { parseLimitMessage } from "../messages.js";

const request = {
    v: 1,
    type: "ask",
    sender: "host-1",
    life: "a",
    seq: 1,
    group: 0,
    share: 0.5,
    echo: { life: "b", atMs: 5.5 },
    entries: [{ workspace: "w", perSecond: 200, burst: 200, configVersion: 12, wanted: 3, givenBack: 0 }],
};
const response = {
    v: 1,
    type: "answer",
    sender: "host-2",
    life: "b",
    askerLife: "a",
    seq: 1,
    group: 0,
    atMs: 5.5,
    entries: [{ granted: 2, retryAfterMs: 12.5, plentiful: false, over: false }],
};
const oddNumbers = [1e308, -1e308, -1, Number.POSITIVE_INFINITY, Number.NaN];

/** @returns copies of a message in which one number is odd */
function* createOddMessages(message: object): Iterable<readonly [string, unknown]> {
    const text = JSON.stringify(message);
    for (const [field, digits] of text.matchAll(/"\w+":(-?[\d.]+)/g)) {
        for (const odd of oddNumbers) {
            const name = field.replace(digits ?? "", String(odd));
            yield [
                name,
                JSON.parse(
                    text.replace(field, field.replace(digits ?? "", "\"odd\"")),
                    (_key, value: unknown) => value === "odd" ? odd : value,
                ),
            ];
        }
    }
}

// Guards against a number that keeps an allocator at a wrong limit, or makes the levels of other workspaces no numbers.
for (const message of [request, response]) {
    test(`a limiter's message of type ${message.type} with an odd number is ignored`, () => {
        assert.ok(parseLimitMessage(message));
        for (const [name, odd] of createOddMessages(message)) {
            assert.equal(parseLimitMessage(odd), undefined, name);
        }
    });
}

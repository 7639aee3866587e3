import { sendRawRequest } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseHandoverMetadata, parseHandoverOutcome } from "../handover/handoverMessages.js";
import { evidenceReport } from "../rollout/rolloutMessages.js";
import { parseContactResponse, parseRelayResponse } from "../state/relayClient.js";
import { call, startBackend, startEdgeWith } from "./support/testEdge.js";

const depth = 300_000;
const oddNumbers = ["1e400", "1e308", "-1e308", "-1", "null", "\"7\"", "9".repeat(100_000)];
const nested = "[".repeat(depth) + "]".repeat(depth);

/** Messages of other gateways, with the place of the odd number. */
const messages: Readonly<Record<string, { readonly text: string; readonly isRead: (text: string) => boolean; }>> = {
    "the revision of relayed changes": {
        text: "{\"revision\":@,\"changed\":[],\"deleted\":[],\"ageMs\":1}",
        isRead: text => parseRelayResponse(200, text).isRight(),
    },
    "the revision of a relayed entry": {
        text:
            "{\"revision\":7,\"changed\":[{\"key\":\"k\",\"value\":\"v\",\"modifiedRevision\":@}],\"deleted\":[],\"ageMs\":1}",
        isRead: text => parseRelayResponse(200, text).isRight(),
    },
    "the age of relayed changes": {
        text: "{\"revision\":7,\"changed\":[],\"deleted\":[],\"ageMs\":@}",
        isRead: text => parseRelayResponse(200, text).isRight(),
    },
    "the age of the relay's state": {
        text: "{\"revision\":7,\"changed\":[],\"deleted\":[],\"ageMs\":1,\"currentAgeMs\":@}",
        isRead: text => parseRelayResponse(200, text).isRight(),
    },
    "the relay's time with the store": {
        text: "{\"revision\":7,\"changed\":[],\"deleted\":[],\"ageMs\":1,\"heardForMs\":@}",
        isRead: text => parseRelayResponse(200, text).isRight(),
    },
    "a gateway's time with the store": {
        text: "{\"heardForMs\":@}",
        isRead: text => parseContactResponse(200, text).isRight(),
    },
    "the version of a handed-over request": {
        text:
            "{\"from\":\"a\",\"target\":\"/\",\"service\":\"s\",\"version\":@,\"ageMs\":1,\"remainingMs\":1,\"runs\":1,\"caller\":\"\"}",
        isRead: text => parseHandoverMetadata(text) !== undefined,
    },
    "the remaining time of a handed-over request": {
        text:
            "{\"from\":\"a\",\"target\":\"/\",\"service\":\"s\",\"version\":1,\"ageMs\":1,\"remainingMs\":@,\"runs\":1,\"caller\":\"\"}",
        isRead: text => text.includes(":-1,") || parseHandoverMetadata(text) !== undefined,
    },
    "the version of a handover's response": {
        text: "{\"type\":\"answered\",\"version\":@}",
        isRead: text => parseHandoverOutcome(text) !== undefined,
    },
    "the Retry-After of a handover's failure": {
        text:
            "{\"type\":\"failed\",\"kind\":\"overloaded\",\"detail\":\"\",\"notRun\":true,\"unreached\":false,\"retryAfterSeconds\":@}",
        isRead: text => parseHandoverOutcome(text) !== undefined,
    },
    "the age of a rollout's order": {
        text:
            "{\"gateway\":\"a\",\"life\":\"l\",\"service\":\"s\",\"version\":\"v\",\"settled\":true,\"routes\":[],\"orderAge\":{\"atLeastMs\":@}}",
        isRead: text => evidenceReport.safeParse(parse(text)).success,
    },
    "the counts of a rollout's report": {
        text:
            "{\"gateway\":\"a\",\"life\":\"l\",\"service\":\"s\",\"version\":\"v\",\"settled\":true,\"routes\":[{\"route\":\"r\",\"stable\":{\"sends\":@,\"bad\":0},\"trial\":[]}]}",
        isRead: text => evidenceReport.safeParse(parse(text)).success,
    },
};

function parse(text: string): unknown {
    return JSON.parse(text) as unknown;
}

for (const [name, { text, isRead }] of Object.entries(messages)) {
    // Guards against a gateway that believes another one's number and waits, refuses or forgets for ever.
    test(`${name} is bounded`, () => {
        assert.ok(isRead(text.replace("@", "1")), "a sound message is read");
        const read = oddNumbers.filter(odd => !text.includes("remainingMs\":@") || odd !== "-1").filter(odd =>
            isRead(text.replace("@", odd))
        );
        assert.deepEqual(read.map(odd => odd.slice(0, 10)), []);
        assert.ok(!isRead(text.replace("@", nested)), "a nested list");
    });
}

// Guards against a process that ends because a request on its port for gateways has a target that is no URL.
test("a process survives requests for odd targets on its port for gateways", async t => {
    const edge = await startEdgeWith(t, await startBackend(t, "a"));
    for (
        const target of [
            "//",
            "http://[",
            "//a:99999",
            "*",
            "/store-changes?after=1e400&wait=1e400",
            "/store-changes?after=1e308&wait=-1",
            "/store-changes?after=-1&wait=0",
            "/store-changes?after=1.5&wait=0",
            "/reach?service=%",
        ]
    ) {
        const res = await sendRawRequest(
            edge.peersUrl,
            `GET ${target} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`,
        );
        assert.match(res.text, /^HTTP\/1.1 \d{3}/, target);
    }
    assert.equal((await call(edge, "/tables/x")).status, 200);
});

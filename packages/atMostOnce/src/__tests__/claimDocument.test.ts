import assert from "node:assert/strict";
import { test } from "node:test";
import { maxClaimDocumentLength } from "../index.js";
import { type Claim, decodeClaimDocument, encodeClaimDocument } from "../claimDocument.js";

// During an upgrade, newer gateways write fields that older ones do not know. An older gateway that rejected such a
// document would refuse every keyed request of the shard; one that dropped unknown fields would lose them for the
// newer.
test("unknown fields of a newer gateway's document are accepted, and kept in the next write", () => {
    const value = JSON.stringify({
        sealed: false,
        claims: { "0a": { fingerprint: "f", nonce: "n", holder: "h", end: { didRun: "yes", later: 1 }, later: 2 } },
        later: 3,
    });
    const document = decodeClaimDocument(value).unsafeCoerce();
    assert.equal(document.claims["0a"]?.nonce, "n");
    assert.deepEqual(JSON.parse(encodeClaimDocument(document)), JSON.parse(value));
});

test("a malformed claim document is rejected as an internal failure", () => {
    for (const value of ["", "[]", "{\"sealed\":false}", "{\"sealed\":false,\"claims\":{\"0a\":{}}}"]) {
        assert.equal(decodeClaimDocument(value).swap().unsafeCoerce().kind, "internal", value);
    }
});

// A document is full of claims whose requests are running, and then all of them end. If the ends made it larger than
// the store accepts, no end could be recorded, and every write of the shard would fail.
test("a full document has room for the ends of all its claims", () => {
    const claim: Claim = { fingerprint: "f".repeat(32), nonce: "n".repeat(36), holder: `gateway-10/${"i".repeat(36)}` };
    const fill = (each: Claim): string => {
        const count = Math.floor(
            maxClaimDocumentLength / (encodeClaimDocument({ sealed: true, claims: { k: claim } }).length),
        );
        const claims = Object.fromEntries(Array.from({ length: count }, (_, i) => [String(i).padStart(32, "k"), each]));
        return encodeClaimDocument({ sealed: true, claims });
    };
    const ended = fill({ ...claim, end: { didRun: "unknown", status: 503 } });
    assert.ok(ended.length < 1_000_000, `${ended.length} characters`);
});

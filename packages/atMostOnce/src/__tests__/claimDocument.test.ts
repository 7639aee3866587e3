import assert from "node:assert/strict";
import { test } from "node:test";
import { maxClaimDocumentLength } from "../index.js";
import { type Claim, decodeClaimDocument, encodeClaimDocument } from "../claimDocument.js";

// During an upgrade newer gateways write what older ones don't know. An older one that refused such a document would
// refuse every keyed request of the shard; one that dropped what it doesn't know would lose it for the newer ones.
test("what a newer gateway wrote is read, and kept when written again", () => {
    const value = JSON.stringify({
        sealed: false,
        claims: { "0a": { fingerprint: "f", nonce: "n", holder: "h", end: { didRun: "yes", later: 1 }, later: 2 } },
        later: 3,
    });
    const document = decodeClaimDocument(value).unsafeCoerce();
    assert.equal(document.claims["0a"]?.nonce, "n");
    assert.deepEqual(JSON.parse(encodeClaimDocument(document)), JSON.parse(value));
});

test("what is no claim document is said so", () => {
    for (const value of ["", "[]", "{\"sealed\":false}", "{\"sealed\":false,\"claims\":{\"0a\":{}}}"]) {
        assert.equal(decodeClaimDocument(value).swap().unsafeCoerce().kind, "internal", value);
    }
});

// A document is filled with claims whose requests all run; then all of them end. Were the ends to outgrow what the
// store takes, none could be recorded any more, and every write of the shard would fail.
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

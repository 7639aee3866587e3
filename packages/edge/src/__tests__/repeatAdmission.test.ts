import { FleetView } from "@galenaglade/fleet-state";
import { RepeatBudget } from "@galenaglade/placement";
import { createMetrics, type LogFields } from "@galenaglade/telemetry";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RepeatAdmission } from "../requests/repeatAdmission.js";
import { EdgeLog } from "../telemetry/edgeLog.js";
import { EdgeMetrics } from "../telemetry/edgeMetrics.js";

interface Fixture {
    readonly admission: RepeatAdmission;
    readonly lines: readonly ({ readonly event: string; } & LogFields)[];
    readonly renderMetrics: () => Promise<string>;
    readonly advance: (ms: number) => void;
}

function createFixture(): Fixture {
    let nowMs = 0;
    const clock = { monotonicMs: () => nowMs, epochMs: () => nowMs };
    const lines: ({ readonly event: string; } & LogFields)[] = [];
    const write = (event: string, fields: LogFields = {}): void => void lines.push({ event, ...fields });
    const log = new EdgeLog({ debug: write, info: write, warn: write, error: write }, clock.monotonicMs);
    const metrics = createMetrics("galenaglade-edge");
    const budget = new RepeatBudget({ ratio: 0.6, slack: 0, windowMs: 10_000 }, "north-1", 0);
    const view = new FleetView();
    const admission = new RepeatAdmission({ budget, view, clock, log, metrics: new EdgeMetrics(metrics) });
    return { admission, lines, renderMetrics: () => metrics.render(), advance: ms => nowMs += ms };
}

// Guards against refused retries that leave no trace: on-call can't tell a spent budget from a request that can't be
// retried.
test("a spent retry budget is logged once a second, with the refusals since", () => {
    const { admission, lines, advance } = createFixture();
    for (let i = 0; i < 50; i++) {
        admission.take("tables", "retry");
        advance(50);
    }
    const spent = lines.filter(({ event }) => event === "retryBudgetSpent");
    assert.deepEqual(spent.map(({ refused, spentForMs }) => ({ refused, spentForMs })), [
        { refused: 1, spentForMs: 0 },
        { refused: 20, spentForMs: 1_000 },
        { refused: 20, spentForMs: 2_000 },
    ]);
    assert.equal(spent[0]?.["sinceStartMs"], 0);
});

test("sent, refused and uncounted repeats are counted by service", async () => {
    const { admission, renderMetrics } = createFixture();
    for (let i = 0; i < 2; i++) {
        admission.onRequest("tables");
    }
    assert.ok(admission.take("tables", "retry"));
    assert.equal(admission.take("tables", "hedge"), false);
    admission.onFirstArrivalRetried("tables");
    const metrics = await renderMetrics();
    for (const [purpose, decision] of [["retry", "sent"], ["hedge", "refused"], ["retry", "notCounted"]]) {
        assert.match(
            metrics,
            new RegExp(
                `galenaglade_repeats_total\\{service="tables",purpose="${purpose}",decision="${decision}"[^}]*\\} 1`,
            ),
        );
    }
    assert.match(metrics, /galenaglade_retry_budget_left\{service="tables"[^}]*\} 0/);
});

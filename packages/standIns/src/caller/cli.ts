import { readFileSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { printReady } from "../processes/ready.js";
import { FileHistoryRecorder } from "../recording/historyRecorder.js";
import { Caller } from "./caller.js";
import { callerPlanSchema } from "./callerPlan.js";

const { values } = parseArgs({
    options: {
        plan: { type: "string" },
        result: { type: "string" },
        history: { type: "string" },
    },
});
if (values.plan === undefined) {
    throw new Error("--plan FILE is missing");
}
const plan = callerPlanSchema.parse(JSON.parse(readFileSync(values.plan, "utf8")));
const history = values.history === undefined ? undefined : new FileHistoryRecorder(values.history, plan.name);
printReady(plan.name, "");
const tally = await new Caller(plan, history).run();
history?.close();
const result = JSON.stringify(tally.toDocument());
if (values.result === undefined) {
    for (const kind of tally.kinds) {
        process.stdout.write(`${JSON.stringify({ kind, ...tally.getCounts(kind), ...tally.getLatency(kind) })}\n`);
    }
}
else {
    writeFileSync(values.result, result);
}

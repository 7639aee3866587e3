/* eslint-disable -- plain JavaScript without types; kept out of CI */
// CONFIG: after a target has answered a long request before it was in, the next requests on the caller's connection are
// never answered.
import { randomBytes } from "node:crypto";
import { Store } from "../lib/store.mjs";
import { announce, configuration, freePorts, Gateway, KeptConnection, Record, sleep, Target, trouble } from "../lib/parts.mjs";

const record = new Record(new URL("record.txt", import.meta.url).pathname);
const service = "orders";
const host = "orders.example";
const path = "/orders/";
const timeoutS = 1.2;
const deadlineMs = 2_500;
const longBytes = 2_000_000;
const callers = 12;
const rounds = 3;
const shortPerRound = 3;

const store = new Store();
const gateways = [];
const targets = [];
let status = 2;
try {
    const [storePort] = await freePorts(1);
    await store.start(storePort);
    store.put("op/config", configuration({ routes: [{ host, kind: "unsafe", service, path, timeoutS, objectiveS: 0.5 }] }));
    const stops = [];
    for (let i = 0; i < 3; i++) {
        const [port] = await freePorts(1);
        const early = req => trouble && Number(req.headers["content-length"]) > 1_000_000;
        const target = new Target({ id: `i-${i}`, slots: 6, queue: 6, workMs: 60, record, early });
        await target.start(port);
        stops.push(announce(store, { id: target.id, service, port, slots: 6 }));
        targets.push(target);
    }
    for (let i = 0; i < 3; i++) {
        const gateway = new Gateway({ name: `front-${i}`, ports: await freePorts(4), storePort, record });
        gateways.push(gateway);
        gateway.start();
    }
    await Promise.all(gateways.map(gateway => gateway.whenReady()));
    await sleep(3_000);

    const long = randomBytes(longBytes);
    const after = [];
    const longResults = [];
    // Each caller keeps one connection: a long request, then short ones, each after the answer to the one before. One
    // that gets no answer, or whose long request can't leave, opens a new connection, as callers do.
    await Promise.all(Array.from({ length: callers }, async (_, i) => {
        await sleep(i * 50);
        for (let round = 0; round < rounds; round++) {
            const connection = new KeptConnection();
            await connection.open(gateways[i % gateways.length].port);
            const sent = await connection.send({ host, path: `${path}long`, body: long, deadlineMs }, record);
            longResults.push(sent);
            for (let n = 0; n < shortPerRound && sent.leftMs !== undefined && !connection.closed; n++) {
                const result = await connection.send({ host, path: `${path}short`, body: Buffer.from("order"), deadlineMs }, record);
                after.push(result);
                if (result.end !== "answer" || result.close) {
                    break;
                }
            }
            connection.close();
        }
    }));
    stops.forEach(stop => stop());

    const ran = new Set(targets.flatMap(each => each.runs).map(({ requestId }) => requestId));
    // A request counts only if all of it has left its caller, and if the gateway hadn't said that it would close.
    const sentWhole = after.filter(({ leftMs }) => leftMs !== undefined);
    const late = sentWhole.filter(({ end, tookMs }) => end === "none" || tookMs >= timeoutS * 1_000);
    const unanswered = late.filter(({ end, tookMs }) => end !== "answer" || tookMs > timeoutS * 1_000 + 500);
    const summary = {
        long: longResults.length,
        longOk: longResults.filter(({ status: code }) => code === 200).length,
        longLeftCaller: longResults.filter(({ leftMs }) => leftMs !== undefined).length,
        shortAfterIt: sentWhole.length,
        ok: sentWhole.filter(({ status: code, id, requestId }) => code === 200 && id === requestId).length,
        unansweredAtTimeout: late.length,
        unansweredHalfASecondLater: unanswered.length,
        ofTheseRun: unanswered.filter(({ requestId }) => ran.has(requestId)).length,
    };
    record.add("verdict", summary);
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    if (summary.longOk === 0) {
        throw new Error("no long request was served");
    }
    const broken = unanswered.length >= 8 && unanswered.length > late.length / 2;
    process.stdout.write(broken ? `CONFIG broken: ${unanswered.length} of ${late.length} requests without an answer at timeoutS have none half a second later\n` : "CONFIG held\n");
    status = broken ? 1 : 0;
}
catch (err) {
    record.add("error", { error: String(err?.stack ?? err) });
    process.stderr.write(`${err?.stack ?? err}\n`);
}
await Promise.all(gateways.map(gateway => gateway.stop().catch(() => undefined)));
targets.forEach(target => target.stop());
store.stop();
Gateway.cleanUp();
await record.close();
process.exit(status);

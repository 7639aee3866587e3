/* eslint-disable -- plain JavaScript without types; kept out of CI */
// CONFIG: one unusable entry of another writer in the store, and requests are never answered.
import { Store } from "../lib/store.mjs";
import { announce, configuration, freePorts, Gateway, Record, send, sleep, Target, trouble } from "../lib/parts.mjs";

const record = new Record(new URL("record.txt", import.meta.url).pathname);
const service = "orders";
const host = "orders.example";
const path = "/orders/";
const timeoutS = 1.2;
const deadlineMs = 2_500;
const forMs = 15_000;

const store = new Store();
const gateways = [];
const targets = [];
let status = 2;
try {
    const [storePort] = await freePorts(1);
    await store.start(storePort);
    store.put("op/config", configuration({ routes: [{ host, kind: "unsafe", service, path, timeoutS, objectiveS: 0.5 }] }));
    const stops = [];
    for (let i = 0; i < 6; i++) {
        const [port] = await freePorts(1);
        const target = new Target({ id: `i-${i}`, slots: 3, queue: 6, workMs: 120, record });
        await target.start(port);
        stops.push(announce(store, { id: target.id, service, port, slots: 3 }));
        targets.push(target);
    }
    for (let i = 0; i < 3; i++) {
        const gateway = new Gateway({ name: `front-${i}`, ports: await freePorts(4), storePort, record });
        gateways.push(gateway);
        gateway.start();
    }
    await Promise.all(gateways.map(gateway => gateway.whenReady()));
    await sleep(3_000);
    if (trouble) {
        record.add("foreignEntry");
        store.put("servers/i-foreign", {
            address: "127.0.0.1:70000",
            born: Date.now(),
            information: { service, version: "v1", zone: "zone-a", slots: 3 },
            status: { state: "ready", sequence: 1, coldRemainingS: 0 },
        });
    }
    await sleep(1_000);
    const results = [];
    const untilMs = performance.now() + forMs;
    const pending = [];
    for (let i = 0; performance.now() < untilMs; i++) {
        pending.push(send({ port: gateways[i % 3].port, host, path: `${path}new`, body: Buffer.from("order"), deadlineMs }, record).then(result => results.push(result)));
        await sleep(1_000 / 60);
    }
    await Promise.all(pending);
    stops.forEach(stop => stop());
    const ran = new Set(targets.flatMap(each => each.runs).map(({ requestId }) => requestId));
    const late = results.filter(({ end, tookMs }) => end === "deadline" || tookMs >= timeoutS * 1_000);
    const unanswered = late.filter(({ end, tookMs }) => end !== "answer" || tookMs > timeoutS * 1_000 + 500);
    const summary = {
        sent: results.length,
        ok: results.filter(({ status: code }) => code === 200).length,
        other: results.filter(({ end, status: code }) => end === "answer" && code !== 200).length,
        unansweredAtTimeout: late.length,
        unansweredHalfASecondLater: unanswered.length,
        ofTheseRun: unanswered.filter(({ requestId }) => ran.has(requestId)).length,
    };
    record.add("verdict", summary);
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    if (summary.sent === 0) {
        throw new Error("nothing was sent");
    }
    const broken = unanswered.length >= 8 && unanswered.length > late.length / 2;
    process.stdout.write(broken ? "CONFIG broken\n" : "CONFIG held\n");
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

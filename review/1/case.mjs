/* eslint-disable -- plain JavaScript without types; kept out of CI */
// REFUSED: an unsafe request is answered 503 although a target has run it.
import { Store } from "../lib/store.mjs";
import { announce, configuration, freePorts, Gateway, Link, Record, send, sleep, Target, trouble } from "../lib/parts.mjs";

const record = new Record(new URL("record.txt", import.meta.url).pathname);
const service = "orders";
const host = "orders.example";
const path = "/orders/";
const timeoutS = 2;
const rounds = 3;
const cutForMs = 5_000;
const pauseMs = 4_000;
const killEveryMs = 1_200;

const store = new Store();
const gateways = [];
const targets = [];
const links = [];
let status = 2;
try {
    const [storePort] = await freePorts(1);
    await store.start(storePort);
    store.put("op/config", configuration({ routes: [{ host, kind: "unsafe", service, path, timeoutS, objectiveS: 1 }] }));
    const stops = [];
    for (let i = 0; i < 5; i++) {
        const [port, linkPort] = await freePorts(2);
        const target = new Target({ id: `i-${i}`, slots: 4, workMs: 450, record });
        await target.start(port);
        const link = new Link();
        await link.start(linkPort, port);
        stops.push(announce(store, { id: target.id, service, port: linkPort, slots: 4 }));
        targets.push(target);
        links.push(link);
    }
    for (let i = 0; i < 9; i++) {
        const gateway = new Gateway({ name: `front-${i}`, ports: await freePorts(4), storePort, source: `127.0.1.${i + 1}`, record });
        gateways.push(gateway);
        gateway.start();
    }
    await Promise.all(gateways.map(gateway => gateway.whenReady()));
    await sleep(3_000);

    const results = [];
    const pending = [];
    let loading = true;
    const load = async (gateway, perSecond) => {
        while (loading) {
            const sent = send({ port: gateway.port, host, path: `${path}new`, body: Buffer.from("order"), deadlineMs: 2_500 }, record);
            pending.push(sent.then(result => results.push(result)));
            await sleep(1_000 / perSecond);
        }
    };
    // Many users at once: about 1.3 times what the targets can do.
    const loads = gateways.map((gateway, i) => load(gateway, i === 0 ? 40 : 2));
    await sleep(3_000);
    const [cut, ...others] = gateways;
    let kills = 0;
    for (let round = 0; round < rounds; round++) {
        if (trouble) {
            record.add("cut", { gateway: cut.name });
            links.forEach(link => link.cut(cut.source));
        }
        const untilMs = performance.now() + cutForMs;
        while (performance.now() + killEveryMs < untilMs) {
            await sleep(killEveryMs);
            if (trouble) {
                void others[kills++ % others.length].killAndRestart(300);
            }
        }
        await sleep(untilMs - performance.now());
        if (trouble) {
            record.add("heal", { gateway: cut.name });
            links.forEach(link => link.heal(cut.source));
        }
        await sleep(pauseMs);
    }
    loading = false;
    await Promise.all(loads);
    await Promise.all(pending);
    await sleep(1_000);
    stops.forEach(stop => stop());

    const runs = new Map();
    for (const { requestId, target } of targets.flatMap(each => each.runs)) {
        runs.set(requestId, [...runs.get(requestId) ?? [], target]);
    }
    const promised = new Set([408, 421, 429, 503]);
    const broken = results.filter(({ requestId, status: code }) => promised.has(code) && runs.has(requestId));
    const twice = [...runs].filter(([, ran]) => ran.length > 1);
    const count = code => results.filter(({ status: each }) => each === code).length;
    const summary = {
        sent: results.length,
        ok: count(200),
        refused: count(503),
        failed: count(502) + count(504),
        noAnswer: results.filter(({ end }) => end !== "answer").length,
        refusedAndRun: broken.length,
        ranTwice: twice.length,
    };
    record.add("verdict", summary);
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    for (const each of broken) {
        record.add("broken", { rule: "REFUSED", ...each, ranOn: runs.get(each.requestId) });
        process.stdout.write(`REFUSED broken: ${each.requestId} was answered ${each.status} and has run on ${runs.get(each.requestId)}\n`);
    }
    if (summary.ok === 0) {
        throw new Error("no request was served");
    }
    status = broken.length > 0 ? 1 : 0;
}
catch (err) {
    record.add("error", { error: String(err?.stack ?? err) });
    process.stderr.write(`${err?.stack ?? err}\n`);
}
await Promise.all(gateways.map(gateway => gateway.stop().catch(() => undefined)));
targets.forEach(target => target.stop());
links.forEach(link => link.stop());
store.stop();
Gateway.cleanUp();
await record.close();
process.exit(status);

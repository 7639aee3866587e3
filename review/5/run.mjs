// A host's process is killed while it passes on answers, a few of them without a length.
// Plain JavaScript without declared types, so the rules that need them say nothing here.
/* eslint-disable @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call */
/* eslint-disable @typescript-eslint/no-unsafe-member-access */
/* eslint-disable @typescript-eslint/no-unnecessary-condition, @typescript-eslint/no-unsafe-argument */
import { Client, renderConfiguration, runCase, Server, sleep, startHosts } from "../lib-2/parts.mjs";
import { Store } from "../lib-2/store.mjs";

const hostCount = 10;
const serverCount = 27;
/** A share of .5 of the targets gives 2 of 100 answers without a length. */
const faultyCount = 13;
const answersPerFault = 50;
const faultMs = 4_900;
const rounds = 11;
const callers = 100;
const bodyBytes = 540_000;
/** 18,000 bytes each 20 ms are 7 Mbit/s. */
const partBytes = 18_000;
const partMs = 20;
const part = Buffer.alloc(partBytes, "a");
const route = { host: "files.example", prefix: "/files/", name: "r1", kind: "download", objectiveS: 4, timeoutS: 12 };

await runCase(import.meta.url, async ({ dir, record, hasTrouble, atEnd }) => {
    const store = new Store();
    await store.start();
    atEnd(() => store.stop());
    store.put("op/config", renderConfiguration(7, [{ ...route, service: "files" }], ["files"]));
    let isFaulty = false;
    const unframed = new Set();
    const answer = async (requestId, socket, server) => {
        const hasNoLength = isFaulty && server.isFaulty && ++server.answers % answersPerFault === 0;
        if (hasNoLength) {
            unframed.add(requestId);
        }
        const framing = hasNoLength ? "Connection: close" : `Content-Length: ${bodyBytes}`;
        socket.write(`${server.head(requestId, bodyBytes)}${framing}\r\n\r\n`);
        for (let sent = 0; sent < bodyBytes && !socket.destroyed; sent += partBytes) {
            socket.write(part);
            await sleep(partMs);
        }
        if (hasNoLength) {
            socket.end();
        }
    };
    for (let i = 0; i < serverCount; i++) {
        const server = new Server(`i-${i}`, "files", `z${i % 3 + 1}`, answer);
        server.isFaulty = i < faultyCount;
        server.answers = i * 4 % answersPerFault;
        await server.start();
        atEnd(() => server.stop());
        store.put(`servers/${server.id}`, server.entry());
    }
    const hosts = await startHosts(hostCount, dir, store.port, atEnd);
    if (hosts === undefined) {
        return 2;
    }
    await sleep(3_500);
    const [host] = hosts;
    const counts = { sent: 0, whole: 0, other: 0, shortened: 0 };
    const onAnswer = (requestId, { cut, status, headers, body }) => {
        if (cut !== undefined || status !== 200) {
            counts.other++;
        }
        else if (body.length === bodyBytes) {
            counts.whole++;
        }
        else {
            counts.shortened++;
            record.add(
                `${requestId}: 200, signature ${headers["response-signature"]}, length ${
                    headers["content-length"] ?? "none"
                }, coding ${headers["transfer-encoding"] ?? "none"}, whole for its caller with ${body.length} of ${bodyBytes} bytes`,
            );
        }
    };
    let isOver = false;
    let isUp = true;
    // The callers of one zone, whom the platform sends to one host.
    const call = async () => {
        while (!isOver) {
            const client = new Client(host.callersPort);
            while (!isOver && isUp && client.over === undefined) {
                const id = `q${counts.sent++}`;
                const got = await client.get(id, route.host, "/files/a", 12_000);
                onAnswer(id, got);
                if (got.cut === undefined && got.headers.connection === "close") {
                    break;
                }
            }
            client.close();
            await sleep(20);
        }
    };
    const calls = Array.from({ length: callers }, call);
    for (let round = 1; round <= rounds; round++) {
        isFaulty = true;
        record.add(`${faultyCount} of ${serverCount} targets give each ${answersPerFault}th answer without a length`);
        await sleep(faultMs / 2);
        if (hasTrouble) {
            record.add(`the process of ${host.name}, one of ${hostCount}, is killed, and started again 0.3 s later`);
            isUp = false;
            await host.kill();
            await sleep(300);
            host.start();
            if (!await host.whenReady()) {
                return 2;
            }
            isUp = true;
        }
        await sleep(faultMs / 2);
        isFaulty = false;
        await sleep(500);
    }
    isOver = true;
    await Promise.all(calls);
    const { sent, whole, other, shortened } = counts;
    record.add(`${sent} requests to ${host.name}: ${whole} whole answers, ${other} broken off or failed, ${unframed.size} answers had no length`);
    record.add(`${shortened} shortened answers look whole`);
    return whole < 100 ? 2 : shortened > 0 ? 1 : 0;
});

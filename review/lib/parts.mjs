/* eslint-disable -- plain JavaScript without types; kept out of CI */
// Parts of a small deployment on loopback: targets, links between gateways and targets, gateways, a client, a record.
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const trouble = process.env.TROUBLE !== "0";
const startedAtMs = performance.now();
export const nowMs = () => Math.round(performance.now() - startedAtMs);

const takenPorts = new Set();

/** Free ports of 127.0.0.1, all different and below those that the system gives to outgoing connections. */
export async function freePorts(count) {
    const ports = [];
    while (ports.length < count) {
        const port = 12_000 + Math.floor(Math.random() * 20_000);
        const isFree = !takenPorts.has(port) && await new Promise(resolve => {
            const server = createTcpServer();
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
        });
        if (isFree) {
            takenPorts.add(port);
            ports.push(port);
        }
    }
    return ports;
}

/** What was sent, answered and run, one JSON line each. */
export class Record {
    #out;
    constructor(file) {
        this.#out = createWriteStream(file);
    }

    add(event, fields = {}) {
        this.#out.write(`${JSON.stringify({ ms: nowMs(), event, ...fields })}\n`);
    }

    close() {
        return new Promise(resolve => this.#out.end(resolve));
    }
}

/**
 * A sound target (PROTOCOL.md, "Targets"): runs `slots` requests at a time, queues a few, says Not-Executed beyond
 * that, answers 421 to a request for another instance, tells its load and echoes Request-Id.
 */
export class Target {
    runs = [];
    #running = 0;
    #queue = [];
    #server;

    constructor({ id, slots = 3, queue = 2, workMs = 250, record, early = () => false }) {
        Object.assign(this, { id, slots, queueSize: queue, workMs, record, early });
    }

    async start(port) {
        this.#server = createServer({ keepAliveTimeout: 10_000 }, (req, res) => this.#handle(req, res));
        await new Promise(resolve => this.#server.listen(port, "127.0.0.1", resolve));
    }

    stop() {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    #headers(extra) {
        const load = `${this.#running},${this.#queue.length},${this.slots},100`;
        return { "instance-id": this.id, "server-load": load, "keep-alive": "timeout=10", ...extra };
    }

    #handle(req, res) {
        req.on("error", () => undefined);
        if (req.method === "GET" && req.url === "/health") {
            res.writeHead(200, this.#headers({ "content-length": 0 }));
            res.end();
            return;
        }
        const requestId = req.headers["request-id"];
        const echo = requestId === undefined ? {} : { "request-id": requestId };
        const reject = (status, extra) => {
            res.writeHead(status, this.#headers({ ...echo, ...extra, "content-length": 0 }));
            res.end();
        };
        const expected = req.headers["expected-instance"];
        if (expected !== undefined && expected !== this.id) {
            reject(421, {});
            return;
        }
        if (requestId === undefined) {
            reject(400, { "not-executed": "1" });
            return;
        }
        if (this.early(req)) {
            // It answers before it has read the long body, keeps the connection and reads on.
            this.#begin(req, res, requestId, echo, 0);
            return;
        }
        if (this.#running >= this.slots && this.#queue.length >= this.queueSize) {
            reject(503, { "not-executed": "1" });
            return;
        }
        let gone = false;
        res.once("close", () => {
            gone = !res.writableFinished;
        });
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.once("end", () => {
            const begin = () => !gone && this.#begin(req, res, requestId, echo, this.workMs);
            if (this.#running < this.slots) {
                begin();
            }
            else {
                this.#queue.push(begin);
            }
        });
    }

    #begin(req, res, requestId, echo, workMs) {
        this.#running++;
        const run = { requestId, target: this.id, atMs: nowMs(), at: performance.now(), method: req.method, path: req.url };
        this.runs.push(run);
        this.record.add("run", run);
        let ended = false;
        const end = () => {
            if (!ended) {
                ended = true;
                this.#running--;
                while (this.#running < this.slots && this.#queue.length > 0) {
                    this.#queue.shift()();
                }
            }
        };
        // A target drops a request when its connection closes.
        res.once("close", end);
        setTimeout(() => {
            if (!ended) {
                const body = `done ${requestId}`;
                const extra = { ...echo, "response-signature": `s.${requestId}`, "content-length": Buffer.byteLength(body) };
                res.writeHead(200, this.#headers(extra));
                res.end(body);
                this.record.add("ran", { requestId, target: this.id });
                end();
            }
        }, workMs);
    }
}

/** The link to one target. Each machine has a source address of its own; cut machines' packets are dropped silently. */
export class Link {
    #cut = new Set();
    #pairs = new Set();
    #server;

    async start(port, targetPort) {
        this.#server = createTcpServer(near => {
            const from = near.remoteAddress;
            const far = connect(targetPort, "127.0.0.1");
            const pair = { from, near, far };
            this.#pairs.add(pair);
            const close = () => {
                this.#pairs.delete(pair);
                // What a partitioned machine closes doesn't arrive on the other side of the cut.
                near.destroy();
                if (!this.#cut.has(from)) {
                    far.destroy();
                }
                else {
                    this.#dead.push(far);
                }
            };
            near.setNoDelay(true);
            far.setNoDelay(true);
            near.on("data", chunk => this.#cut.has(from) || far.write(chunk));
            far.on("data", chunk => this.#cut.has(from) || near.write(chunk));
            for (const socket of [near, far]) {
                socket.on("error", () => undefined);
                socket.on("close", close);
            }
        });
        await new Promise(resolve => this.#server.listen(port, "127.0.0.1", resolve));
    }

    #dead = [];

    cut(source) {
        this.#cut.add(source);
    }

    heal(source) {
        this.#cut.delete(source);
        this.#dead.splice(0).forEach(socket => socket.destroy());
    }

    stop() {
        for (const { near, far } of this.#pairs) {
            near.destroy();
            far.destroy();
        }
        this.#dead.forEach(socket => socket.destroy());
        this.#server.close();
    }
}

/** The run command of the deploy file. */
export function deployCommand() {
    const text = readFileSync("deploy/system.toml", "utf8");
    const [command, ...args] = /^run = "([^"]*)"/m.exec(text)[1].split(" ");
    return { command: command === "node" ? process.execPath : command, args };
}

/** A gateway: the program that runs on the hosts, started as the deploy file says. */
export class Gateway {
    static dir = mkdtempSync(join(tmpdir(), "galenaglade-review-"));
    exits = [];
    #child;
    #wanted = true;

    constructor({ name, zone = "zone-a", ports, storePort, source, record, graceSeconds = 6 }) {
        Object.assign(this, { name, source, record, port: ports[0], readyPort: ports[1] });
        this.file = join(Gateway.dir, `${name}.yaml`);
        // The fields of deploy/edge.yaml.tmpl. The source address tells the links from which machine a connection comes.
        writeFileSync(this.file, [
            `name: ${name}`,
            `availabilityZone: ${zone}`,
            `listen: { callers: "127.0.0.1:${ports[0]}", readiness: "127.0.0.1:${ports[1]}", peers: "127.0.0.1:${ports[2]}", metrics: "127.0.0.1:${ports[3]}" }`,
            `store: { address: "127.0.0.1:${storePort}", shortestLeaseSeconds: 1 }`,
            ...(source === undefined ? [] : [`servers: { connectFrom: ${source} }`]),
            `stopping: { graceSeconds: ${graceSeconds} }`,
            "repeats: { ratio: 0.2, slack: 58, windowSeconds: 10 }",
            "asking: { perServerAndSecond: 60 }",
            "",
        ].join("\n"));
    }

    start() {
        const { command, args } = deployCommand();
        const child = spawn(command, args, {
            env: { PATH: process.env.PATH, HOME: process.env.HOME, GALENAGLADE_SETTINGS: this.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.#child = child;
        const log = createWriteStream(join(Gateway.dir, `${this.name}.log`), { flags: "a" });
        child.stdout.pipe(log);
        child.stderr.pipe(log, { end: false });
        child.once("exit", (code, signal) => {
            this.record.add("gatewayExit", { gateway: this.name, code, signal });
            this.exits.push({ code, signal });
        });
    }

    async whenReady(timeoutMs = 15_000) {
        const untilMs = performance.now() + timeoutMs;
        while (performance.now() < untilMs) {
            if (await this.isReady()) {
                return;
            }
            await sleep(50);
        }
        throw new Error(`${this.name} did not become ready`);
    }

    isReady() {
        return new Promise(resolve => {
            const req = request({ port: this.readyPort, host: "127.0.0.1", path: "/api/readiness", timeout: 500 }, res => {
                res.resume();
                resolve(res.statusCode === 200);
            });
            req.on("error", () => resolve(false));
            req.on("timeout", () => req.destroy());
            req.end();
        });
    }

    signal(signal) {
        if (this.#child.exitCode === null && this.#child.signalCode === null) {
            this.#child.kill(signal);
        }
    }

    /** SIGKILL, and a start after a short delay. */
    async killAndRestart(downMs) {
        this.record.add("kill", { gateway: this.name });
        this.signal("SIGKILL");
        await sleep(downMs);
        if (this.#wanted) {
            this.start();
        }
    }

    async stop() {
        this.#wanted = false;
        this.signal("SIGKILL");
        while (this.#child.exitCode === null && this.#child.signalCode === null) {
            await sleep(20);
        }
    }

    static cleanUp() {
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(Gateway.dir, { recursive: true, force: true });
        }
        else {
            process.stdout.write(`logs: ${Gateway.dir}\n`);
        }
    }
}

/** Writes a target's entry and keeps it in the store as a target does. @returns a function that ends it */
export function announce(store, { id, service, zone = "zone-a", port, slots }) {
    let sequence = 0;
    const born = Date.now();
    const beat = () => {
        const status = { state: "ready", sequence: ++sequence, coldRemainingS: 0 };
        const information = { service, version: "v1", zone, slots };
        store.put(`servers/${id}`, { address: `127.0.0.1:${port}`, born, information, status });
    };
    beat();
    const timer = setInterval(beat, 1500);
    return () => clearInterval(timer);
}

export const newId = () => randomBytes(8).toString("hex");

/**
 * Sends one request and waits for its end.
 *
 * @returns status and body of the answer, or how it ended without one
 */
export function send({ port, agent = false, method = "POST", host, path, body = Buffer.alloc(0), deadlineMs, requestId = newId(), headers = {} }, record) {
    return new Promise(resolve => {
        const sentAtMs = nowMs();
        record.add("sent", { requestId, port, path, bytes: body.length });
        let done = false;
        const settle = result => {
            if (!done) {
                done = true;
                clearTimeout(timer);
                const full = { requestId, sentAtMs, tookMs: nowMs() - sentAtMs, ...result };
                record.add("answered", full);
                resolve(full);
            }
        };
        const req = request({
            host: "127.0.0.1",
            port,
            agent,
            method,
            path,
            headers: { host, "request-id": requestId, "deadline-ms": String(deadlineMs), "content-length": body.length, ...headers },
        }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("error", () => settle({ end: "cut" }));
            res.on("end", () =>
                settle(res.complete
                    ? {
                        end: "answer",
                        status: res.statusCode,
                        signed: res.headers["response-signature"] !== undefined,
                        body: Buffer.concat(chunks).toString().slice(0, 300),
                    }
                    : { end: "cut" }));
        });
        req.on("error", err => settle({ end: "error", code: err.code ?? String(err) }));
        const timer = setTimeout(() => {
            settle({ end: "deadline" });
            req.destroy();
        }, deadlineMs);
        req.end(body);
    });
}

/** A caller's kept connection. It shows when all bytes of a request have left the caller, as `http` doesn't. */
export class KeptConnection {
    #socket;
    #received = Buffer.alloc(0);
    #wake = () => undefined;
    closed = false;

    async open(port) {
        this.#socket = connect(port, "127.0.0.1");
        this.#socket.setNoDelay(true);
        this.#socket.on("data", chunk => {
            this.#received = Buffer.concat([this.#received, chunk]);
            this.#wake();
        });
        for (const event of ["error", "close", "end"]) {
            this.#socket.on(event, () => {
                this.closed = true;
                this.#wake();
            });
        }
        await new Promise((resolve, reject) => {
            this.#socket.once("connect", resolve);
            this.#socket.once("error", reject);
        });
    }

    close() {
        this.#socket.destroy();
    }

    /** @returns how the request ended; `leftMs`: when its last byte had left the caller, `undefined` if it never did */
    async send({ host, path, body, deadlineMs, requestId = newId() }, record) {
        const sentAtMs = nowMs();
        record.add("sent", { requestId, path, bytes: body.length });
        const head = `POST ${path} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: ${deadlineMs}\r\nContent-Length: ${body.length}\r\n\r\n`;
        const result = { requestId, sentAtMs };
        const left = new Promise(resolve => {
            this.#socket.write(Buffer.concat([Buffer.from(head), body]), err => {
                if (err === undefined || err === null) {
                    result.leftMs = nowMs() - sentAtMs;
                }
                resolve();
            });
        });
        const answer = await this.#read(deadlineMs);
        Object.assign(result, { tookMs: nowMs() - sentAtMs, ...answer });
        await Promise.race([left, sleep(Math.max(0, deadlineMs - (nowMs() - sentAtMs)))]);
        record.add("answered", result);
        return result;
    }

    async #read(forMs) {
        const untilMs = performance.now() + forMs;
        for (;;) {
            const text = this.#received.toString("latin1");
            const headEnd = text.indexOf("\r\n\r\n");
            if (headEnd >= 0) {
                const head = text.slice(0, headEnd);
                const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
                if (this.#received.length >= headEnd + 4 + length) {
                    this.#received = this.#received.subarray(headEnd + 4 + length);
                    const close = /\r\nconnection: *close/i.test(head);
                    return { end: "answer", status: Number(head.slice(9, 12)), id: /\r\nrequest-id: *(\S+)/i.exec(head)?.[1], close };
                }
            }
            if (this.closed) {
                return { end: "closed" };
            }
            const leftMs = untilMs - performance.now();
            if (leftMs <= 0) {
                return { end: "none" };
            }
            await new Promise(resolve => {
                const timer = setTimeout(resolve, leftMs);
                this.#wake = () => {
                    clearTimeout(timer);
                    resolve();
                };
            });
        }
    }
}

/** A configuration with one route for each given service. */
export function configuration({ version = "00000007", routes }) {
    return {
        version,
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 67108864, headerTimeoutS: 3, idleTimeoutS: 15 },
        listeners: routes.map(({ host, kind, service, path, timeoutS, objectiveS }) => ({
            hostname: host,
            ruleSet: [{
                name: `r-${service}`,
                kind,
                objectiveLatencyS: objectiveS,
                priority: 1,
                matchCriteria: { pathPrefix: path },
                routeAction: { service, timeoutS, maxAttempts: 2 },
            }],
        })),
        clusters: routes.map(({ service }) => ({
            name: service,
            healthCheckPath: "/health",
            maxConnections: 220,
            protocol: "h1",
            tls: false,
            coldStartS: 3,
            coldPerS: 4.2,
        })),
    };
}

/* eslint-disable @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call */
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-argument */
/* eslint-disable @typescript-eslint/no-unsafe-return, @typescript-eslint/restrict-plus-operands */
// Shared parts of the scripts of this review: the program of the deploy file as separate processes on loopback, a small
// stand-in of the platform's store, and a record of what happened. Nothing here is imported from the project.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const root = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const isTroubled = process.env.TROUBLE !== "0";

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Seeded random numbers from 0 (inclusive) to 1 (exclusive). */
export function createRandom(seed) {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let t = Math.imul(state ^ (state >>> 15), 1 | state);
        t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
        return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
    };
}

/** Writes record.txt in the folder of the case. */
export class Record {
    #path;
    #startedAtMs = performance.now();

    constructor(caseUrl) {
        this.#path = join(dirname(fileURLToPath(caseUrl)), "record.txt");
        writeFileSync(this.#path, `TROUBLE=${isTroubled ? 1 : 0}\n`);
    }

    /** Seconds since the start of the case. */
    seconds() {
        return ((performance.now() - this.#startedAtMs) / 1000).toFixed(3);
    }

    line(text) {
        appendFileSync(this.#path, `${this.seconds()} ${text}\n`);
    }

    /** Writes lines that have their times in them. */
    lines(texts) {
        appendFileSync(this.#path, texts.map(text => `${text}\n`).join(""));
    }
}

const takenPorts = new Set();

/** @returns that many free ports of a loopback address, below those that outgoing connections get */
export async function findFreePorts(count, host) {
    const ports = [];
    while (ports.length < count) {
        const port = 15_000 + Math.floor(Math.random() * 15_000);
        if (!takenPorts.has(port) && await isFree(port, host)) {
            takenPorts.add(port);
            ports.push(port);
        }
    }
    return ports;
}

function isFree(port, host) {
    return new Promise(done => {
        const server = net.createServer();
        server.once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });
}

/** A sound stand-in of the platform's store, as PROTOCOL.md describes it. */
export class Store {
    #items = new Map();
    #events = [];
    #leases = new Map();
    #revision = 1;
    #leaseCount = 0;
    #waiting = new Set();
    #server;
    address = "";

    async start() {
        this.#server = http.createServer((req, res) => void this.#handle(req, res));
        await new Promise(done => this.#server.listen(0, "127.0.0.1", done));
        this.address = `127.0.0.1:${this.#server.address().port}`;
        this.timer = setInterval(() => this.#expire(), 50);
    }

    /** @returns another way to the store, for one host, on which it can turn that host away */
    async openDoor() {
        const door = { refuses: false, address: "" };
        const server = http.createServer((req, res) => {
            if (door.refuses) {
                req.resume();
                send(res, 503);
                return;
            }
            void this.#handle(req, res);
        });
        await new Promise(done => server.listen(0, "127.0.0.1", done));
        door.address = `127.0.0.1:${server.address().port}`;
        door.turnAway = () => {
            door.refuses = true;
            // A watch that waits is cut.
            server.closeAllConnections();
        };
        return door;
    }

    /** A write of the operator or of a target. */
    put(key, document) {
        this.#put(key, Buffer.from(JSON.stringify(document)).toString("base64"), 0);
        this.#wake();
    }

    delete(key) {
        this.#delete(key);
        this.#wake();
    }

    keys(prefix) {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix));
    }

    close() {
        clearInterval(this.timer);
        this.#server.closeAllConnections();
        this.#server.close();
    }

    #put(key, value, lease) {
        this.#revision++;
        const createRev = this.#items.get(key)?.createRev ?? this.#revision;
        const item = { key, value, revision: this.#revision, createRev, lease };
        this.#items.set(key, item);
        this.#events.push(item);
    }

    #delete(key) {
        if (this.#items.delete(key)) {
            this.#revision++;
            this.#events.push({ key, revision: this.#revision, deleted: true });
        }
    }

    #expire() {
        for (const [id, { endMs }] of this.#leases) {
            if (performance.now() >= endMs) {
                this.#endLease(id);
            }
        }
        this.#wake();
    }

    #endLease(id) {
        this.#leases.delete(id);
        for (const item of [...this.#items.values()]) {
            if (item.lease === id) {
                this.#delete(item.key);
            }
        }
    }

    #wake() {
        for (const waiting of [...this.#waiting]) {
            waiting();
        }
    }

    async #handle(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        const url = new URL(req.url, "http://store");
        const text = Buffer.concat(chunks).toString();
        const body = text === "" ? {} : JSON.parse(text);
        if (url.pathname === "/api/kv-watch") {
            this.#watch(url.searchParams, res);
            return;
        }
        const [status, answer] = this.#answer(req.method, url, body);
        send(res, status, answer);
        this.#wake();
    }

    #answer(method, url, body) {
        const query = url.searchParams;
        const [, , call, id] = url.pathname.split("/");
        switch (call) {
            case "kv-key": {
                const item = this.#items.get(query.get("key"));
                return item === undefined ? [404] : [200, { ...item, asOf: this.#revision }];
            }
            case "kv-range": {
                const after = query.get("after") ?? "";
                const all = this.keys(query.get("pathPrefix") ?? "").filter(key => key > after).sort();
                const items = all.slice(0, 500).map(key => this.#items.get(key));
                return [200, { items, hasMore: all.length > 500, asOf: this.#revision }];
            }
            case "kv-txn":
                return this.#transact(body);
            case "kv-lease": {
                const lease = ++this.#leaseCount;
                this.#leases.set(lease, { ttlS: body.ttlS_time, endMs: performance.now() + body.ttlS_time * 1000 });
                return [200, { lease, ttlS_time: body.ttlS_time }];
            }
            case "kv-keep": {
                const lease = this.#leases.get(Number(id));
                if (lease === undefined) {
                    return [404];
                }
                lease.endMs = performance.now() + lease.ttlS * 1000;
                return [200, { lease: Number(id), ttlS_time: lease.ttlS }];
            }
            case "kv-lease-end":
                this.#endLease(Number(id));
                return [200, {}];
            default:
                return [404];
        }
    }

    #transact({ precondition = [], puts = [], deletes = [] }) {
        const failed = precondition.some(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) !== revision);
        if (failed) {
            return [412, { items: precondition.flatMap(({ key }) => this.#items.get(key) ?? []) }];
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
            return [404];
        }
        puts.forEach(({ key, value, lease = 0 }) => this.#put(key, value, lease));
        deletes.forEach(key => this.#delete(key));
        return [200, { revision: this.#revision }];
    }

    #watch(query, res) {
        const prefix = query.get("pathPrefix") ?? "";
        const after = Number(query.get("after"));
        const find = () => this.#events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
        const finish = () => {
            this.#waiting.delete(check);
            clearTimeout(timer);
            send(res, 200, { events: find(), asOf: this.#revision });
        };
        const check = () => {
            if (find().length > 0) {
                finish();
            }
        };
        const timer = setTimeout(finish, Number(query.get("waitMs") ?? 0));
        res.once("close", () => {
            this.#waiting.delete(check);
            clearTimeout(timer);
        });
        this.#waiting.add(check);
        check();
    }
}

function send(res, status, answer) {
    const text = answer === undefined ? "" : JSON.stringify(answer);
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    res.end(text);
}

/** The bounds of the sheet "Pecan Bend Ringworks Configurator Gateway" in SYSTEM.md. */
export const bounds = {
    gracePeriodS: 6,
    retryBudgetRatio: 0.2,
    retryBudgetSlack: 56,
    budgetWindowS: 10,
    probesPerS: 60,
};

/** Fills in the deploy file's template as DEPLOY.md describes it; only what the template uses. */
function renderSettings(fields) {
    const find = (path, scope) => path.split(".").reduce((value, part) => value?.[part], scope);
    const render = (text, scope) =>
        text
            .replace(/\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g, (_all, path, inner) => {
                const value = find(path, fields);
                return value === undefined ? "" : render(inner, { ...scope, "": value });
            })
            .replace(/\{\{([\w.]+?)(\|json)?\}\}/g, (_all, path, json) => {
                const value = path === "." ? scope[""] : find(path, fields);
                return value === undefined ? "" : json === undefined ? String(value) : JSON.stringify(value);
            });
    return render(readFileSync(join(root, "deploy/edge.yaml.tmpl"), "utf8"), {});
}

/** One host's process, started with the command of the deploy file. */
export class Edge {
    static #all = new Set();
    #fields;
    #settingsPath;
    #process;
    log = [];
    onLog = () => undefined;

    static async create({ name, zone, store, dir, host = "127.0.0.1", connectFrom, more = {} }) {
        const edge = new Edge();
        const ports = await findFreePorts(4, host);
        edge.name = name;
        edge.host = host;
        [edge.port, edge.readyPort, edge.metricsPort, edge.peerPort] = ports;
        edge.#fields = {
            node: name,
            zone,
            ipAddress: host,
            listenAddresses: { frontend: `${host}:${edge.port}`, ready: `${host}:${edge.readyPort}` },
            internalPortRange: [edge.metricsPort, edge.peerPort],
            platform: { address: store, ttlMinS: 1 },
            bounds: { ...bounds, ...more },
        };
        edge.#settingsPath = join(dir, `${name}.yaml`);
        // Hosts share one machine here; the address that servers see tells them apart.
        const servers = connectFrom === undefined ? "" : `servers:\n    connectFrom: "${connectFrom}"\n`;
        writeFileSync(edge.#settingsPath, renderSettings(edge.#fields) + servers);
        return edge;
    }

    get process() {
        return this.#process;
    }

    /** Starts a process without waiting for its ports. */
    spawn() {
        const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
        const [command, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
        const child = spawn(command === "node" ? process.execPath : command, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, GALENAGLADE_SETTINGS: this.#settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.#process = child;
        Edge.#all.add(child);
        child.once("exit", () => Edge.#all.delete(child));
        let rest = "";
        const onData = chunk => {
            const lines = (rest + chunk).split("\n");
            rest = lines.pop();
            for (const line of lines) {
                this.log.push(line);
                this.onLog(line);
            }
        };
        child.stdout.on("data", onData);
        child.stderr.on("data", onData);
        child.exited = new Promise(done => child.once("exit", (code, signal) => done({ code, signal })));
        return child;
    }

    /** Starts a process and waits until it says that it is ready. */
    async start() {
        this.spawn();
        for (let i = 0; i < 100; i++) {
            if (await this.isReady()) {
                return;
            }
            await sleep(100);
        }
        throw new Error(`${this.name} doesn't become ready:\n${this.log.slice(-20).join("\n")}`);
    }

    async isReady() {
        return new Promise(done => {
            const req = http.get({ host: this.host, port: this.readyPort, path: "/api/readiness", timeout: 500 }, res => {
                res.resume();
                done(res.statusCode === 200);
            });
            req.on("timeout", () => req.destroy());
            req.on("error", () => done(false));
        });
    }

    static killAll() {
        for (const child of Edge.#all) {
            child.kill("SIGKILL");
        }
    }
}

/** Runs a case: exits with what it returns, 2 if it couldn't run, and ends all processes. */
export async function runCase(run, limitMs = 110_000) {
    const dir = mkdtempSync(join(tmpdir(), "review-"));
    const end = code => {
        Edge.killAll();
        rmSync(dir, { recursive: true, force: true });
        process.exit(code);
    };
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.on(signal, () => end(2));
    }
    setTimeout(() => {
        process.stderr.write("the case takes too long\n");
        end(2);
    }, limitMs).unref();
    try {
        end(await run(dir));
    }
    catch (err) {
        process.stderr.write(`the case couldn't run: ${err.stack}\n`);
        end(2);
    }
}

// What the scripts of this review share: the start of the hosts' programs, clients, backend servers, and the end of a case.
// Plain JavaScript without declared types, so the rules that need them say nothing here.
/* eslint-disable @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-assignment */
/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-member-access */
/* eslint-disable @typescript-eslint/no-unsafe-return, @typescript-eslint/restrict-plus-operands */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get as httpGet } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const localhost = "127.0.0.1";
export const top = fileURLToPath(new URL("../..", import.meta.url));
const maxCaseMs = 110_000;

export function sleep(ms) {
    return new Promise(resolve => {
        setTimeout(resolve, ms);
    });
}

export function now() {
    return performance.now();
}

/** What was sent, answered and run, with the seconds since the start of the case. */
class Record {
    #lines = [];
    #startedAt = now();

    add(text) {
        this.#lines.push(`${((now() - this.#startedAt) / 1_000).toFixed(3)} s  ${text}`);
    }

    write(file) {
        writeFileSync(file, `${this.#lines.join("\n")}\n`);
        console.log(this.#lines.slice(-2).join("\n"));
    }
}

/**
 * Runs a case, ends all that it has started, writes its record and exits with what the case returns: 1 if the rule was
 * broken, 0 if it held, 2 if the case couldn't run.
 */
export async function runCase(caseUrl, play) {
    const dir = mkdtempSync(join(tmpdir(), "review-"));
    const record = new Record();
    const cleanUps = [];
    const finish = async code => {
        for (const cleanUp of cleanUps.reverse()) {
            await cleanUp();
        }
        record.add(`exit ${code}: the rule ${["held", "was broken", "couldn't be tried"][code]}`);
        record.write(fileURLToPath(new URL("record.txt", caseUrl)));
        rmSync(dir, { recursive: true, force: true });
        process.exit(code);
    };
    setTimeout(() => {
        record.add("the case took too long");
        void finish(2);
    }, maxCaseMs).unref();
    try {
        const hasTrouble = process.env.TROUBLE !== "0";
        await finish(await play({ dir, record, hasTrouble, atEnd: cleanUp => cleanUps.push(cleanUp) }));
    }
    catch (err) {
        record.add(`the case failed: ${err instanceof Error ? err.message : String(err)}`);
        await finish(2);
    }
}

/** A configuration as the operator writes it, with the limits of the users' example. */
export function renderConfiguration(version, routes, services) {
    return {
        version: version.toString(16).padStart(8, "0"),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15 },
        listeners: routes.map(({ host, prefix, name, kind, service, objectiveS, timeoutS }) => ({
            hostname: host,
            ruleSet: [{
                name,
                kind,
                objectiveLatencyS: objectiveS,
                priority: 1,
                matchCriteria: { pathPrefix: prefix },
                routeAction: { service, timeoutS, maxAttempts: 2 },
            }],
        })),
        clusters: services.map(name => ({
            name,
            healthCheckPath: "/health",
            maxConnections: 240,
            protocol: "h1",
            tls: false,
            coldStartS: 3,
            coldPerS: 22,
        })),
    };
}

function freePort() {
    return new Promise(resolve => {
        const server = createServer();
        server.listen(0, localhost, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}

/** Fills in the template of the settings as DEPLOY.md says it, as far as this template needs it. */
function renderTemplate(text, fields) {
    const look = path => path.split(".").reduce((value, key) => value?.[key], fields);
    return text
        .replace(
            /\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g,
            (_, path, inner) => look(path) === undefined ? "" : inner.replaceAll("{{.|json}}", JSON.stringify(look(path))),
        )
        .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
            const value = look(path);
            return json === undefined ? String(value ?? "") : JSON.stringify(value);
        });
}

/** The bounds of greensward-gw that reach the settings. */
const bounds = { gracePeriodS: 6, retryBudgetRatio: 0.2, retryBudgetSlack: 60, budgetWindowS: 10, probesPerS: 60 };

/** The program of one host, started with the command and the settings template of the deploy file. */
export class Host {
    constructor(name, zone) {
        this.name = name;
        this.zone = zone;
    }

    /** Chooses its ports and writes its settings. */
    async prepare(dir, storePort) {
        this.dir = dir;
        this.callersPort = await freePort();
        this.readyPort = await freePort();
        const template = readFileSync(join(top, "deploy/edge.yaml.tmpl"), "utf8");
        this.settingsPath = join(dir, `${this.name}.yaml`);
        writeFileSync(
            this.settingsPath,
            renderTemplate(template, {
                node: this.name,
                zone: this.zone,
                ipAddress: localhost,
                listenAddresses: {
                    frontend: `${localhost}:${this.callersPort}`,
                    ready: `${localhost}:${this.readyPort}`,
                },
                internalPortRange: [await freePort(), await freePort()],
                platform: { address: `${localhost}:${storePort}`, ttlMinS: 1 },
                bounds,
            }),
        );
    }

    start() {
        const deployFile = readFileSync(join(top, "deploy/system.toml"), "utf8");
        const [command, ...args] = /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
        const child = spawn(command, args, {
            cwd: top,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, GALENAGLADE_SETTINGS: this.settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.dir, `${this.name}.log`), { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        this.child = child;
        /** How the process ended; `undefined` while it runs. */
        this.ended = undefined;
        this.exited = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                this.ended = { code, signal };
                resolve();
            });
        });
    }

    #isReady() {
        return new Promise(resolve => {
            const request = httpGet(
                { host: localhost, port: this.readyPort, path: "/api/readiness", timeout: 500, agent: false },
                res => {
                    res.resume();
                    resolve(res.statusCode === 200);
                },
            );
            request.on("error", () => resolve(false));
            request.on("timeout", () => request.destroy());
        });
    }

    /** @returns whether the host was ready within 10 s */
    async whenReady() {
        const untilMs = now() + 10_000;
        while (now() < untilMs && this.ended === undefined) {
            if (await this.#isReady()) {
                return true;
            }
            await sleep(25);
        }
        return false;
    }

    signal(name) {
        this.child.kill(name);
    }

    async kill() {
        if (this.child !== undefined && this.ended === undefined) {
            this.child.kill("SIGCONT");
            this.child.kill("SIGKILL");
            await this.exited;
        }
    }
}

/** Starts hosts in three zones. @returns the hosts; `undefined` if one of them isn't ready in time */
export async function startHosts(count, dir, storePort, atEnd) {
    const hosts = Array.from({ length: count }, (_, i) => new Host(`frontend-${i + 1}`, `z${i % 3 + 1}`));
    const started = await Promise.all(hosts.map(host => startHost(host, dir, storePort, atEnd)));
    return started.includes(false) ? undefined : hosts;
}

/** Starts a host; again if another process has taken one of its ports meanwhile. @returns whether it is ready */
async function startHost(host, dir, storePort, atEnd) {
    atEnd(() => host.kill());
    for (let tries = 0; tries < 3; tries++) {
        await host.prepare(dir, storePort);
        host.start();
        if (await host.whenReady()) {
            return true;
        }
        await host.kill();
    }
    return false;
}

/** Reads HTTP/1.1 messages that come with a length, in chunks, or up to the end of their connection. */
class MessageReader {
    #bytes = Buffer.alloc(0);
    #message;
    #isAnswer;
    #onMessage;
    #onHead;

    constructor(isAnswer, onMessage, onHead = () => undefined) {
        this.#isAnswer = isAnswer;
        this.#onMessage = onMessage;
        this.#onHead = onHead;
    }

    push(chunk) {
        this.#bytes = this.#bytes.length === 0 ? chunk : Buffer.concat([this.#bytes, chunk]);
        while (this.#message === undefined ? this.#readHead() : this.#readBody()) {
            // Reads on.
        }
    }

    /** The connection has ended without a reset. */
    end() {
        if (this.#message?.framing === "open") {
            this.#finish();
        }
    }

    #readHead() {
        const end = this.#bytes.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        const [first, ...lines] = this.#bytes.toString("latin1", 0, end).split("\r\n");
        this.#bytes = this.#bytes.subarray(end + 4);
        const headers = Object.fromEntries(lines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        const length = headers["content-length"];
        const isChunked = headers["transfer-encoding"] === "chunked";
        const framing = isChunked ? "chunked" : length === undefined && this.#isAnswer ? "open" : "length";
        this.#message = { first, headers, framing, left: Number(length ?? 0), parts: [] };
        this.#onHead(this.#message);
        return true;
    }

    #readBody() {
        const message = this.#message;
        if (message.framing === "chunked") {
            return this.#readChunk(message);
        }
        const size = message.framing === "open" ? this.#bytes.length : Math.min(message.left, this.#bytes.length);
        message.parts.push(this.#bytes.subarray(0, size));
        this.#bytes = this.#bytes.subarray(size);
        message.left -= size;
        if (message.framing === "open" || message.left > 0) {
            return false;
        }
        this.#finish();
        return true;
    }

    #readChunk(message) {
        const lineEnd = this.#bytes.indexOf("\r\n");
        const size = lineEnd < 0 ? 0 : Number.parseInt(this.#bytes.toString("latin1", 0, lineEnd), 16);
        const begin = lineEnd + 2;
        if (lineEnd < 0 || this.#bytes.length < begin + size + 2) {
            return false;
        }
        message.parts.push(this.#bytes.subarray(begin, begin + size));
        this.#bytes = this.#bytes.subarray(begin + size + 2);
        if (size === 0) {
            this.#finish();
        }
        return true;
    }

    #finish() {
        const { first, headers, parts } = this.#message;
        this.#message = undefined;
        this.#onMessage({ first, headers, body: Buffer.concat(parts) });
    }
}

/** A client's connection, on which requests may be sent before earlier ones are answered. */
export class Client {
    #waiting = [];
    #socket;

    constructor(port) {
        /** Why the connection is over; `undefined` while it is open. */
        this.over = undefined;
        const reader = new MessageReader(true, ({ first, headers, body }) => {
            this.#waiting.shift()?.({ status: Number(first.split(" ")[1]), headers, body });
        });
        this.#socket = connect({ port, host: localhost, allowHalfOpen: true, noDelay: true });
        this.#socket.on("data", chunk => reader.push(chunk));
        this.#socket.on("end", () => {
            // A reset that is found together with bytes looks like their end; only a write then fails.
            this.#socket.write(Buffer.alloc(0), err => {
                if (!(err instanceof Error)) {
                    reader.end();
                    this.#end("closed");
                    this.#socket.end();
                }
            });
        });
        this.#socket.on("error", err => this.#end(err.code));
        this.#socket.on("close", () => this.#end("closed"));
    }

    /** @returns the answer, or in `cut` why the connection ended without a whole one */
    get(requestId, host, path, deadlineMs) {
        if (this.over !== undefined) {
            return Promise.resolve({ cut: this.over });
        }
        this.#socket.write(
            `GET ${path} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: ${deadlineMs}\r\n\r\n`,
        );
        return new Promise(resolve => {
            this.#waiting.push(resolve);
        });
    }

    /**
     * Sends a request with a body, part by part, and reads answers once all is sent.
     *
     * @param parts - parts of the body, each with the pause ahead of it
     * @returns the answer, or in `cut` why the connection ended without a whole one
     */
    async post(requestId, host, path, deadlineMs, parts) {
        const bytes = parts.reduce((sum, { body }) => sum + body.length, 0);
        const answered = new Promise(resolve => {
            this.#waiting.push(resolve);
        });
        this.#socket.pause();
        this.#socket.write(
            `POST ${path} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: ${deadlineMs}\r\n`
                + `Content-Length: ${bytes}\r\n\r\n`,
        );
        for (const { pauseMs, body } of parts) {
            await sleep(pauseMs);
            if (this.over === undefined) {
                await new Promise(resolve => {
                    this.#socket.write(body, resolve);
                });
            }
        }
        this.#socket.resume();
        return answered;
    }

    close() {
        this.#socket.destroy();
    }

    #end(why) {
        this.over ??= why;
        for (const resolve of this.#waiting.splice(0)) {
            resolve({ cut: why });
        }
    }
}

/** A backend server; `answer(id, socket, server)` writes the answer to a request that it runs. */
export class Server {
    #sockets = new Set();
    #server;
    #running = 0;

    constructor(id, service, zone, answer) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.answer = answer;
        /** Whether a request is answered before its body is in; called with its head's fields. */
        this.isAnsweredEarly = () => false;
    }

    async start() {
        this.#server = createServer({ noDelay: true }, socket => this.#onConnection(socket));
        await new Promise(resolve => {
            this.#server.listen(0, localhost, resolve);
        });
    }

    stop() {
        this.#server.close();
        for (const socket of this.#sockets) {
            socket.destroy();
        }
    }

    /** @returns its entry in the store */
    entry() {
        return {
            address: `${localhost}:${this.#server.address().port}`,
            born: Date.now(),
            information: { service: this.service, version: "v1", zone: this.zone, slots: 6 },
            status: { state: "ready", sequence: 1, coldRemainingS: 0 },
        };
    }

    /** @returns the head of a whole answer, up to its framing */
    head(requestId, bodyBytes) {
        return `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: ${this.id}.${bodyBytes}\r\n`
            + `Server-Load: ${this.#load()}\r\n`;
    }

    #load() {
        return `${this.#running},0,6,100`;
    }

    #onConnection(socket) {
        this.#sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => this.#sockets.delete(socket));
        const onRequest = ({ first, headers }) => {
            if (first.startsWith("GET /health ")) {
                socket.write(
                    `HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nServer-Load: ${this.#load()}\r\nContent-Length: 0\r\n\r\n`,
                );
                return;
            }
            const requestId = headers["request-id"];
            if (headers["expected-instance"] !== this.id) {
                socket.write(
                    `HTTP/1.1 421 Misdirected Request\r\nRequest-Id: ${requestId}\r\nInstance-Id: ${this.id}\r\n`
                        + "Content-Length: 0\r\n\r\n",
                );
                return;
            }
            this.#running++;
            void this.answer(requestId, socket, this).finally(() => this.#running--);
        };
        // A server that answers early does so when it has the head of a long request, and reads the body later.
        const answered = new Set();
        const reader = new MessageReader(
            false,
            message => answered.has(message.headers) ? undefined : onRequest(message),
            message => {
                if (this.isAnsweredEarly(message.headers)) {
                    answered.add(message.headers);
                    onRequest(message);
                }
            },
        );
        socket.on("data", chunk => reader.push(chunk));
    }
}

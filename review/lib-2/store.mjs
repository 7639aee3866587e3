// A stand-in of the platform's store, as PROTOCOL.md says it.
// Plain JavaScript without declared types, so the rules that need them say nothing here.
/* eslint-disable @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-assignment */
/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-member-access */
/* eslint-disable @typescript-eslint/no-unsafe-return */
import { createServer } from "node:http";
import { text } from "node:stream/consumers";
import { localhost, now, sleep } from "./parts.mjs";

const answerMs = 4;
const watchPollMs = 10;
const pageItems = 500;

export class Store {
    #items = new Map();
    #events = [];
    #leases = new Map();
    #revision = 10;
    #server;
    #timer;

    get port() {
        return this.#server.address().port;
    }

    async start() {
        this.#server = createServer((req, res) => void this.#handle(req, res));
        await new Promise(resolve => {
            this.#server.listen(0, localhost, resolve);
        });
        this.#timer = setInterval(() => this.#expire(), 50);
    }

    stop() {
        clearInterval(this.#timer);
        this.#server.close();
        this.#server.closeAllConnections();
    }

    put(key, document) {
        this.#write(key, Buffer.from(JSON.stringify(document)).toString("base64"), 0);
    }

    #write(key, value, lease) {
        const revision = ++this.#revision;
        const item = { key, value, revision, createRev: this.#items.get(key)?.createRev ?? revision, lease };
        this.#items.set(key, item);
        this.#events.push(item);
    }

    #delete(key) {
        if (this.#items.delete(key)) {
            this.#events.push({ key, revision: ++this.#revision, deleted: true });
        }
    }

    #expire() {
        for (const [id, { endsAtMs }] of this.#leases) {
            if (now() >= endsAtMs) {
                this.#endLease(id);
            }
        }
    }

    #endLease(id) {
        this.#leases.delete(id);
        for (const { key, lease } of [...this.#items.values()]) {
            if (lease === id) {
                this.#delete(key);
            }
        }
    }

    async #handle(req, res) {
        const body = await text(req);
        const url = new URL(req.url, "http://store");
        await sleep(answerMs);
        const { status, answer } = url.pathname === "/api/kv-watch"
            ? await this.#watch(url.searchParams, res)
            : this.#perform(url, body === "" ? {} : JSON.parse(body));
        const sent = answer === undefined ? "" : JSON.stringify(answer);
        res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(sent) });
        res.end(sent);
    }

    async #watch(query, res) {
        const prefix = query.get("pathPrefix") ?? "";
        const after = Number(query.get("after"));
        const untilMs = now() + Number(query.get("waitMs"));
        for (;;) {
            const events = this.#events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
            if (events.length > 0 || now() >= untilMs || res.destroyed) {
                return { status: 200, answer: { events, asOf: this.#revision } };
            }
            await sleep(watchPollMs);
        }
    }

    #perform({ pathname, searchParams }, body) {
        const [, call, id] = /^\/api\/(kv-[a-z-]+)(?:\/(\d+))?$/.exec(pathname) ?? [];
        switch (call) {
            case "kv-key": {
                const item = this.#items.get(searchParams.get("key"));
                return item === undefined
                    ? { status: 404 }
                    : { status: 200, answer: { ...item, asOf: this.#revision } };
            }
            case "kv-range":
                return this.#range(searchParams.get("pathPrefix") ?? "", searchParams.get("after") ?? "");
            case "kv-txn":
                return this.#transact(body);
            case "kv-lease": {
                const lease = ++this.#revision;
                this.#leases.set(lease, { ttlS: body.ttlS_time, endsAtMs: now() + body.ttlS_time * 1_000 });
                return { status: 200, answer: { lease, ttlS_time: body.ttlS_time } };
            }
            case "kv-keep": {
                const lease = this.#leases.get(Number(id));
                if (lease === undefined) {
                    return { status: 404 };
                }
                lease.endsAtMs = now() + lease.ttlS * 1_000;
                return { status: 200, answer: { ttlS_time: lease.ttlS } };
            }
            case "kv-lease-end":
                this.#endLease(Number(id));
                return { status: 200, answer: {} };
            default:
                return { status: 404 };
        }
    }

    #range(prefix, after) {
        const found = [...this.#items.values()]
            .filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((a, b) => a.key < b.key ? -1 : 1);
        const answer = { items: found.slice(0, pageItems), hasMore: found.length > pageItems, asOf: this.#revision };
        return { status: 200, answer };
    }

    #transact({ precondition = [], puts = [], deletes = [] }) {
        if (precondition.some(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
            return { status: 412, answer: { items: precondition.flatMap(({ key }) => this.#items.get(key) ?? []) } };
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
            return { status: 404 };
        }
        for (const { key, value, lease = 0 } of puts) {
            this.#write(key, value, lease);
        }
        for (const key of deletes) {
            this.#delete(key);
        }
        return { status: 200, answer: { revision: this.#revision } };
    }
}

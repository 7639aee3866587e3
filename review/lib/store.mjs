/* eslint-disable -- plain JavaScript without types; kept out of CI */
// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): items, leases, range, watch,
// transactions. It does nothing wrong by itself.
import { createServer } from "node:http";

export class Store {
    #items = new Map();
    #leases = new Map();
    #events = [];
    #revision = 10;
    #nextLease = 100;
    #waiting = new Set();
    #server;
    #timer;

    async start(port) {
        this.#server = createServer((req, res) => void this.#handle(req, res));
        this.#timer = setInterval(() => this.#expire(), 50);
        await new Promise(resolve => this.#server.listen(port, "127.0.0.1", resolve));
    }

    stop() {
        clearInterval(this.#timer);
        this.#server.closeAllConnections();
        this.#server.close();
    }

    /** Writes as operator or target do. `value` is an object, or a string of bytes that are written as they are. */
    put(key, value, lease = 0) {
        const bytes = Buffer.from(typeof value === "string" ? value : JSON.stringify(value));
        const before = this.#items.get(key);
        const revision = ++this.#revision;
        const item = { key, value: bytes.toString("base64"), revision, createRev: before?.createRev ?? revision, lease };
        this.#items.set(key, item);
        this.#add(item);
    }

    delete(key) {
        if (this.#items.delete(key)) {
            this.#add({ key, revision: ++this.#revision, deleted: true });
        }
    }

    keys(prefix) {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix));
    }

    #add(event) {
        this.#events.push(event);
        for (const wake of [...this.#waiting]) {
            wake();
        }
    }

    #expire() {
        for (const [id, lease] of this.#leases) {
            if (performance.now() > lease.endMs) {
                this.#end(id);
            }
        }
    }

    #end(id) {
        this.#leases.delete(id);
        for (const { key } of [...this.#items.values()].filter(({ lease }) => lease === id)) {
            this.delete(key);
        }
    }

    async #handle(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        const text = Buffer.concat(chunks).toString();
        const body = text === "" ? {} : JSON.parse(text);
        const url = new URL(req.url, "http://store");
        const query = url.searchParams;
        const reply = (status, value) => {
            const out = value === undefined ? "" : JSON.stringify(value);
            res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(out) });
            res.end(out);
        };
        const [, call, id] = /^\/api\/kv-([a-z-]+?)(?:\/(\d+))?$/.exec(url.pathname) ?? [];
        switch (call) {
            case "key": {
                const item = this.#items.get(query.get("key"));
                return item === undefined ? reply(404) : reply(200, { ...item, asOf: this.#revision });
            }
            case "range": {
                const after = query.get("after") ?? "";
                const found = [...this.#items.values()]
                    .filter(({ key }) => key.startsWith(query.get("pathPrefix") ?? "") && key > after)
                    .sort((a, b) => (a.key < b.key ? -1 : 1));
                return reply(200, { items: found.slice(0, 500), hasMore: found.length > 500, asOf: this.#revision });
            }
            case "watch": {
                const prefix = query.get("pathPrefix") ?? "";
                const after = Number(query.get("after"));
                const find = () => this.#events.filter(e => e.revision > after && e.key.startsWith(prefix));
                if (find().length === 0) {
                    await new Promise(resolve => {
                        const done = () => {
                            clearTimeout(timer);
                            this.#waiting.delete(wake);
                            resolve();
                        };
                        const wake = () => find().length > 0 && done();
                        const timer = setTimeout(done, Number(query.get("waitMs")));
                        this.#waiting.add(wake);
                        res.once("close", done);
                    });
                }
                return reply(200, { events: find(), asOf: this.#revision });
            }
            case "lease": {
                const lease = this.#nextLease++;
                this.#leases.set(lease, { ttlS: body.ttlS_time, endMs: performance.now() + body.ttlS_time * 1000 });
                return reply(200, { lease, ttlS_time: body.ttlS_time });
            }
            case "keep": {
                const lease = this.#leases.get(Number(id));
                if (lease === undefined) {
                    return reply(404);
                }
                lease.endMs = performance.now() + lease.ttlS * 1000;
                return reply(200, { ttlS_time: lease.ttlS });
            }
            case "lease-end":
                this.#end(Number(id));
                return reply(200, {});
            case "txn": {
                const { precondition = [], puts = [], deletes = [] } = body;
                const current = ({ key }) => this.#items.get(key)?.revision ?? 0;
                if (precondition.some(row => current(row) !== row.revision)) {
                    const items = precondition.flatMap(({ key }) => this.#items.get(key) ?? []);
                    return reply(412, { items });
                }
                if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
                    return reply(404);
                }
                for (const { key, value, lease = 0 } of puts) {
                    this.put(key, Buffer.from(value, "base64").toString("utf8"), lease);
                }
                deletes.forEach(key => this.delete(key));
                return reply(200, { revision: this.#revision });
            }
            default:
                return reply(404);
        }
    }
}

import { type HistoryEvent, type HistoryLine } from "@galenaglade/history";
import { type RawRequest } from "@galenaglade/stand-ins";
import { type TestContext } from "node:test";
import { type MemoryStore } from "./memoryStore.js";

/** Backend servers of a test, with a history of the requests sent by callers and executed by servers. */
export abstract class RecordedServers {
    readonly history: HistoryLine[] = [];
    protected readonly t: TestContext;
    readonly store: MemoryStore;
    #requestCount = 0;

    constructor(t: TestContext, store: MemoryStore) {
        this.t = t;
        this.store = store;
    }

    protected createRequestId(): string {
        return `q${++this.#requestCount}`;
    }

    protected record(event: HistoryEvent): void {
        this.history.push({ ...event, sequence: this.history.length, atMs: performance.now(), process: "" });
    }

    /** Records that a server has started to execute a request. */
    protected recordStarted(server: string, req: RawRequest): void {
        this.record({
            type: "serverStarted",
            requestId: req.headers.get("x-id") ?? "",
            server,
            availabilityZone: "north",
            incarnation: server,
            cold: false,
            inFlight: 1,
            bears: 3,
        });
    }
}

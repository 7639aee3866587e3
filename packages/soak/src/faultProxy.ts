import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { type LinkFault } from "./faults.js";

/** How late bytes come while a link is delayed, in milliseconds: above the time to answer a question for load. */
const delayMs = 120;

interface Link {
    readonly near: Socket;
    readonly far: Socket;
    silent: boolean;
    /** Writes that were put off: what comes after them must not overtake them. */
    late: number;
}

/** A proxy on loopback that harms what passes, so that faults of the network need no privileges. */
export class FaultProxy {
    readonly #server: Server;
    readonly #links = new Set<Link>();
    readonly #faults: LinkFault[] = [];
    readonly #targetPort: number;
    #port = 0;

    private constructor(targetPort: number) {
        this.#targetPort = targetPort;
        this.#server = createServer(near => this.#accept(near));
    }

    /** Starts one on a free port. @param targetPort - on 127.0.0.1 */
    static async start(targetPort: number): Promise<FaultProxy> {
        const proxy = new FaultProxy(targetPort);
        await new Promise<void>(resolve => proxy.#server.listen(0, "127.0.0.1", resolve));
        proxy.#port = (proxy.#server.address() as AddressInfo).port;
        return proxy;
    }

    get port(): number {
        return this.#port;
    }

    /** Begins a fault. The same one may be begun several times, and ends as often. */
    begin(fault: LinkFault): void {
        this.#faults.push(fault);
        for (const link of this.#links) {
            if (fault === "reset") {
                reset(link);
            }
            link.silent ||= fault === "silence";
        }
    }

    end(fault: LinkFault): void {
        const at = this.#faults.indexOf(fault);
        if (at >= 0) {
            this.#faults.splice(at, 1);
        }
    }

    close(): void {
        this.#server.close();
        for (const link of this.#links) {
            reset(link);
        }
    }

    #accept(near: Socket): void {
        if (this.#faults.includes("reset")) {
            // Its peer may reset it at the same moment.
            near.on("error", () => near.destroy());
            near.resetAndDestroy();
            return;
        }
        const far = connect(this.#targetPort, "127.0.0.1");
        const link: Link = { near, far, silent: false, late: 0 };
        this.#links.add(link);
        for (const [from, to, cut] of [[near, far, "cutThere"], [far, near, "cutBack"]] as const) {
            from.on("data", chunk => this.#pass(link, cut, () => to.write(chunk)));
            from.on("end", () => this.#pass(link, cut, () => to.end()));
            from.on("error", () => reset(link));
            from.on("close", () => this.#forget(link));
        }
    }

    #forget(link: Link): void {
        if (link.near.destroyed && link.far.destroyed) {
            this.#links.delete(link);
        }
    }

    /** What comes while nothing passes is lost, and with it the rest of the connection: a stream can't go on after a gap. */
    #pass(link: Link, cut: LinkFault, write: () => void): void {
        if (this.#faults.includes(cut)) {
            link.silent = true;
        }
        if (link.silent) {
            return;
        }
        if (link.late === 0 && !this.#faults.includes("delay")) {
            write();
            return;
        }
        link.late++;
        setTimeout(() => {
            link.late--;
            write();
        }, delayMs);
    }
}

function reset({ near, far }: Link): void {
    for (const socket of [near, far]) {
        // A socket that is shutting down can't be reset any more; asked to, it would stay open for good.
        if (socket.writableEnded) {
            socket.destroy();
            continue;
        }
        socket.resetAndDestroy();
    }
}

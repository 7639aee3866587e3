import { resetConnection } from "@galenaglade/http-parts";
import { connectConfirmed } from "@galenaglade/stand-ins";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { type LinkFault } from "./faults.js";

/** Delay of bytes on a delayed link, in milliseconds: longer than the first timeout of a load probe. */
const delayMs = 120;

interface ActiveFault {
    readonly fault: LinkFault;
    /** Source address of the affected connections; `undefined` affects all. */
    readonly sourceAddress: string | undefined;
}

interface Link {
    /** Source address. */
    readonly sourceAddress: string;
    readonly downstream: Socket;
    readonly upstream: Socket;
    silent: boolean;
    /** Number of delayed writes: later data must not overtake them. */
    pendingWrites: number;
}

/** A TCP proxy on loopback that injects network faults, which otherwise need privileges. */
export class FaultProxy {
    readonly #server: Server;
    readonly #links = new Set<Link>();
    readonly #faults: ActiveFault[] = [];
    readonly #targetPort: number;
    #port = 0;

    private constructor(targetPort: number) {
        this.#targetPort = targetPort;
        this.#server = createServer(near => this.#accept(near));
    }

    /**
     * Starts a proxy on a free port.
     *
     * @param targetPort - port on 127.0.0.1 to which connections are forwarded
     */
    static async start(targetPort: number): Promise<FaultProxy> {
        const proxy = new FaultProxy(targetPort);
        await new Promise<void>(resolve => proxy.#server.listen(0, "127.0.0.1", resolve));
        proxy.#port = (proxy.#server.address() as AddressInfo).port;
        return proxy;
    }

    get port(): number {
        return this.#port;
    }

    /**
     * Begins a fault. If the same fault is begun several times, it lasts until it has been ended as often.
     *
     * @param fault - the fault
     * @param sourceAddress - source address of the affected connections; all if missing
     */
    begin(fault: LinkFault, sourceAddress?: string): void {
        this.#faults.push({ fault, sourceAddress });
        for (
            const link of [...this.#links].filter(each =>
                sourceAddress === undefined || each.sourceAddress === sourceAddress
            )
        ) {
            if (fault === "reset") {
                reset(link);
            }
            link.silent ||= fault === "silence";
        }
    }

    end(fault: LinkFault, sourceAddress?: string): void {
        const at = this.#faults.findIndex(each => each.fault === fault && each.sourceAddress === sourceAddress);
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

    #accept(downstream: Socket): void {
        const sourceAddress = downstream.remoteAddress ?? "";
        if (this.#isAffected(sourceAddress, "reset")) {
            // The peer may reset it at the same time.
            downstream.on("error", () => downstream.destroy());
            resetConnection(downstream, "fault");
            return;
        }
        const upstream = connectConfirmed(this.#targetPort);
        const link: Link = {
            sourceAddress,
            downstream,
            upstream,
            silent: false,
            pendingWrites: 0,
        };
        this.#links.add(link);
        for (
            const [src, dst, cut] of [[downstream, upstream, "cutThere"], [
                upstream,
                downstream,
                "cutBack",
            ]] as const
        ) {
            src.on("data", chunk => this.#forward(link, cut, () => dst.write(chunk)));
            src.on("end", () => this.#forward(link, cut, () => dst.end()));
            src.on("error", () => reset(link));
            src.on("close", () => this.#forget(link));
        }
    }

    #isAffected(sourceAddress: string, fault: LinkFault): boolean {
        return this.#faults.some(each =>
            each.fault === fault && (each.sourceAddress === undefined || each.sourceAddress === sourceAddress)
        );
    }

    #forget(link: Link): void {
        if (link.downstream.destroyed && link.upstream.destroyed) {
            this.#links.delete(link);
        }
    }

    /**
     * Forwards data. Data that arrives while its direction is cut is dropped, and the connection stays silent
     * afterwards: a byte stream can't continue after a gap.
     */
    #forward(link: Link, linkFault: LinkFault, write: () => void): void {
        if (this.#isAffected(link.sourceAddress, linkFault)) {
            link.silent = true;
        }
        if (link.silent) {
            return;
        }
        if (link.pendingWrites === 0 && !this.#isAffected(link.sourceAddress, "delay")) {
            write();
            return;
        }
        link.pendingWrites++;
        setTimeout(() => {
            link.pendingWrites--;
            write();
        }, delayMs);
    }
}

function reset({ downstream, upstream }: Link): void {
    for (const socket of [downstream, upstream]) {
        resetConnection(socket, "fault");
    }
}

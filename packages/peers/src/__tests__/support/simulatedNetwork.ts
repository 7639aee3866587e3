import { type ColdStartHeartbeat } from "@galenaglade/cold-start";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type ConfigurationOffer, type Heartbeat, type OfferAnswer } from "@galenaglade/membership";
import { type RandomSource } from "@galenaglade/routing";
import { type VirtualClock } from "@galenaglade/stand-ins";
import { type Either, Left, Right } from "purify-ts";
import { PeerCaller, type PeerHandler, PeerListener } from "../../peerCaller.js";
import { type ServerObservations } from "../../serverObservation.js";
import { type SimulatedProcess } from "./simulatedProcess.js";

interface Endpoint {
    readonly process: SimulatedProcess;
    readonly handler: PeerHandler;
}

/** Network between simulated processes. Each request and each response has its own random delay, or is lost. */
export class SimulatedNetwork {
    readonly #time: VirtualClock;
    readonly #random: RandomSource;
    readonly #endpoints = new Map<string, Endpoint>();
    readonly #cut = new Set<string>();
    #lossShare = 0;
    #maximumDelayMs = 5;

    constructor(time: VirtualClock, random: RandomSource) {
        this.#time = time;
        this.#random = random;
    }

    set lossProbability(share: number) {
        this.#lossShare = share;
    }

    set maxDelayMs(delayMs: number) {
        this.#maximumDelayMs = delayMs;
    }

    /** Drops all messages from `from` to `to`; the opposite direction stays open. */
    cut(from: string, to: string): void {
        this.#cut.add(`${from}>${to}`);
    }

    heal(): void {
        this.#cut.clear();
        this.#lossShare = 0;
        this.#maximumDelayMs = 5;
    }

    createListener(process: SimulatedProcess, address: string): PeerListener {
        return new SimulatedListener(address, handler => {
            this.#endpoints.set(address, { process, handler });
        });
    }

    createCaller(process: SimulatedProcess, timeoutMs: number): PeerCaller {
        return new SimulatedCaller((address, run) => this.#call(process, address, timeoutMs, run));
    }

    #call<T>(
        from: SimulatedProcess,
        address: string,
        timeoutMs: number,
        run: (handler: PeerHandler) => T,
    ): Promise<Either<Failure, T>> {
        return new Promise(resolve => {
            this.#time.schedule(timeoutMs, () => {
                from.run(() => resolve(Left(createFailure("peerUnreachable", "timeout"))));
            });
            const to = this.#endpoints.get(address);
            if (to === undefined) {
                return;
            }
            this.#deliver(from, to.process, () => {
                const response = run(to.handler);
                this.#deliver(to.process, from, () => resolve(Right(response)));
            });
        });
    }

    #deliver(from: SimulatedProcess, to: SimulatedProcess, turn: () => void): void {
        const lost = this.#cut.has(`${from.name}>${to.name}`) || this.#random.next() < this.#lossShare;
        if (!lost) {
            this.#time.schedule(1 + this.#random.nextInt(this.#maximumDelayMs), () => to.run(turn));
        }
    }
}

class SimulatedListener extends PeerListener {
    readonly #address: string;
    readonly #open: (handler: PeerHandler) => void;

    constructor(address: string, open: (handler: PeerHandler) => void) {
        super();
        this.#address = address;
        this.#open = open;
    }

    override listen(handler: PeerHandler): Promise<Either<Failure, string>> {
        this.#open(handler);
        return Promise.resolve(Right(this.#address));
    }

    override close(): Promise<void> {
        return Promise.resolve();
    }
}

type Run = <T>(address: string, run: (handler: PeerHandler) => T) => Promise<Either<Failure, T>>;

class SimulatedCaller extends PeerCaller {
    readonly #run: Run;

    constructor(run: Run) {
        super();
        this.#run = run;
    }

    override heartbeat(address: string, heartbeat: Heartbeat): Promise<Either<Failure, Heartbeat>> {
        return this.#run(address, handler => handler.heartbeat(heartbeat));
    }

    override fetch(address: string): Promise<Either<Failure, ConfigurationOffer>> {
        return this.#run(address, handler => handler.fetch());
    }

    override offer(address: string, offer: ConfigurationOffer): Promise<Either<Failure, OfferAnswer>> {
        return this.#run(address, handler => handler.offer(offer));
    }

    override exchangeColdStart(
        address: string,
        heartbeat: ColdStartHeartbeat,
    ): Promise<Either<Failure, ColdStartHeartbeat>> {
        return this.#run(address, handler => handler.exchangeColdStart(heartbeat));
    }

    override observe(address: string, service: string | undefined): Promise<Either<Failure, ServerObservations>> {
        return this.#run(address, handler => handler.observe(service));
    }
}

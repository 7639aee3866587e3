import { type Failure } from "@galenaglade/errors";
import { type FleetView, type GatewayRegistration, renderGatewayRegistration } from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import { type KeyValueStore } from "@galenaglade/platform";
import { type RandomSource } from "@galenaglade/routing";
import {
    expiryCheckPeriodMs,
    maxRegistrationBackoffMs,
    maxStoreBackoffMs,
    registrationTtlMs,
    renewalsPerTtl,
    rewriteSpreadMs,
} from "../constants.js";
import { type StateCodec } from "../stateCodec.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { InterruptibleSleep } from "./interruptibleSleep.js";

/** What a registration works with. */
export interface RegistrationDeps {
    readonly name: string;
    /** What the registration says of this gateway; `undefined` where it relays no changes. */
    readonly registration: GatewayRegistration | undefined;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

const renewalMs = registrationTtlMs / renewalsPerTtl;

/**
 * Keeps this gateway's registration in the store, under a lease. The others deal out shares by the number of
 * registrations, so a gateway that works without one would make the parts add up to more than the whole.
 *
 * A process that was restarted goes on with the lease of its life before. Each write of a registration is a change for every
 * gateway of the fleet, and each of them makes a call to hear it: a restart that writes nothing costs a fleet of 15 about
 * 30 calls less.
 */
export class Registration {
    readonly #parts: RegistrationDeps;
    #stopped = false;
    #leaseId: string | undefined;
    #lostLeaseId: string | undefined;
    readonly #pause = new InterruptibleSleep();
    /** The store's term in which the registration was made. */
    #term = 0;

    constructor(parts: RegistrationDeps) {
        this.#parts = parts;
    }

    start(): void {
        void this.#run();
    }

    /** Renews no more. The registration stays for the next life of this host, or falls with its lease. */
    stop(): void {
        this.#stopped = true;
    }

    /** What is believed of the fleet has changed. */
    onViewChange(): void {
        if (this.#leaseId !== undefined && this.#parts.view.term !== this.#term) {
            // The store came back from an older copy: what was written since is gone, and the lease may be another one's.
            this.#leaseId = undefined;
            this.#pause.interrupt();
        }
    }

    async #run(): Promise<void> {
        while (!this.#stopped && !this.#parts.view.hasSynced) {
            await sleep(expiryCheckPeriodMs);
        }
        let failures = 0;
        while (!this.#stopped) {
            const { term } = this.#parts.view;
            const registered = await this.#adopt() || await this.#register();
            if (!registered) {
                const limitMs = Math.min(maxRegistrationBackoffMs, maxStoreBackoffMs * 2 ** failures);
                failures++;
                await sleep(limitMs * (1 + this.#parts.random.next()) / 2);
                continue;
            }
            failures = 0;
            this.#term = term;
            await this.#keep();
            if (this.#parts.view.term !== this.#term) {
                // A whole fleet writes its registrations again at once otherwise.
                await sleep(rewriteSpreadMs * this.#parts.random.next());
            }
        }
    }

    /** Goes on with the registration that this host's life before left, where its lease still holds. */
    async #adopt(): Promise<boolean> {
        const { store, view, name, log } = this.#parts;
        const leaseId = view.registrationLease(name);
        if (leaseId === undefined || leaseId === this.#lostLeaseId || !this.#isUpToDate()) {
            return false;
        }
        const renewed = await store.renewLease(leaseId);
        if (renewed.isLeft()) {
            this.#onFailure("renewLease", renewed.extract());
            return false;
        }
        this.#leaseId = leaseId;
        log.log("info", "registered", { name, leaseId, adopted: true });
        return true;
    }

    /** Whether the registration in the store says what this life would write: its ports may be others than before. */
    #isUpToDate(): boolean {
        const { view, name, registration } = this.#parts;
        const found = view.registeredGateways().find(gateway => gateway.name === name);
        const [before, now] = [found, registration].map(each => each && renderGatewayRegistration(each));
        return before === now;
    }

    async #register(): Promise<boolean> {
        const { store, codec, name, registration, log, metrics } = this.#parts;
        const lease = await store.grantLease(registrationTtlMs);
        if (lease.isLeft()) {
            this.#onFailure("grantLease", lease.extract());
            return false;
        }
        const { id } = lease.unsafeCoerce();
        const key = codec.registrationKey(name);
        const value = registration === undefined ? name : renderGatewayRegistration(registration);
        let expectedRevision = 0;
        // A second round takes the place of the registration that this host's life before left behind.
        for (let round = 0; round < 2; round++) {
            const swap = await store.compareAndSwap({ key, expectedRevision, value, leaseId: id });
            if (swap.isLeft()) {
                this.#onFailure("compareAndSwap", swap.extract());
                return false;
            }
            const outcome = swap.unsafeCoerce();
            metrics.onStoreCall("compareAndSwap", outcome.swapped ? "answered" : "conflict");
            if (outcome.swapped) {
                this.#leaseId = id;
                log.log("info", "registered", { name, leaseId: id, revision: outcome.revision });
                return true;
            }
            expectedRevision = outcome.current?.modifiedRevision ?? 0;
        }
        return false;
    }

    /** Renews until the registration is gone. */
    async #keep(): Promise<void> {
        const { store, view, name, clock } = this.#parts;
        const registeredAtMs = clock.monotonicMs();
        while (!this.#stopped) {
            const leaseId = this.#leaseId;
            if (leaseId === undefined) {
                return;
            }
            await this.#pause.sleep(renewalMs);
            if (this.#leaseId !== leaseId) {
                return;
            }
            const renewed = await store.renewLease(leaseId);
            const failure = renewed.isLeft() ? renewed.extract() : undefined;
            if (failure !== undefined) {
                this.#onFailure("renewLease", failure);
            }
            // The store may take a registration away without a word to its holder; the watch shows that it is gone.
            const lost = view.lastStoreContactMs - registeredAtMs > renewalMs && !view.isRegistered(name);
            if (failure?.kind === "notFound" || lost) {
                this.#lostLeaseId = leaseId;
                this.#leaseId = undefined;
            }
        }
    }

    #onFailure(call: string, failure: Failure): void {
        const { log, metrics } = this.#parts;
        metrics.onStoreCall(call, failure.kind);
        log.log("warn", "registrationFailed", { call, kind: failure.kind, detail: failure.detail });
    }
}

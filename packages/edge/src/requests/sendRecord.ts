import { createFailure, type Failure, isPromisedNotRun } from "@galenaglade/errors";
import { type SendEnd } from "@galenaglade/placement";
import { describeSendEnd } from "./describeSendEnd.js";

/** A send or handover in flight, as far as its record needs it. */
export interface RecordedSend {
    /** Whether a byte of the request may have been written. */
    readonly isWritten: () => boolean;
}

/** Whether a send may have reached a backend server, directly or through another gateway. */
export type ServerContact = "reachedServer" | "reachedNoServer";

/**
 * All sends of one request: to servers and to other gateways, ended or in flight. A response which promises that the
 * request has not run and won't run is checked against it, whatever has caused that response.
 */
export class SendRecord {
    readonly #inFlight = new Set<RecordedSend>();
    readonly #ends: SendEnd[] = [];
    #hasReachedServer = false;
    #isSealed = false;
    #onIdle: (() => void)[] = [];

    /** How the completed sends ended, in that order. */
    get ends(): readonly SendEnd[] {
        return this.#ends;
    }

    /** Number of sends that have not ended. */
    get inFlight(): number {
        return this.#inFlight.size;
    }

    /** Whether a server may have got the request, through this gateway or another one. */
    get hasReachedServer(): boolean {
        return this.#hasReachedServer || this.#inFlight.size > 0;
    }

    /** Whether it is certain that no server has run the request or will run a send that was already written. */
    get hasNotRun(): boolean {
        return this.#ends.every(({ type }) => type === "notRun")
            && [...this.#inFlight].every(send => !send.isWritten());
    }

    /** Whether the caller was promised that the request won't run, so that nothing more may be written. */
    get isSealed(): boolean {
        return this.#isSealed;
    }

    onStarted(send: RecordedSend): void {
        this.#inFlight.add(send);
    }

    onEnded(send: RecordedSend, end: SendEnd, contact: ServerContact): void {
        this.#inFlight.delete(send);
        this.#ends.push(end);
        this.#hasReachedServer ||= contact === "reachedServer";
        if (this.#inFlight.size === 0) {
            const waiting = this.#onIdle;
            this.#onIdle = [];
            for (const resolve of waiting) {
                resolve();
            }
        }
    }

    /** @returns once no send is in flight */
    whenIdle(): Promise<void> {
        if (this.#inFlight.size === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.#onIdle.push(resolve);
        });
    }

    /**
     * Checks a failure against the sends. One that promises that the request doesn't run seals the record if that is
     * certain; otherwise it is replaced.
     *
     * @param failure - the failure that is about to be returned
     * @returns the failure to return
     */
    confirm(failure: Failure): Failure {
        if (!isPromisedNotRun(failure)) {
            return failure;
        }
        if (this.hasNotRun) {
            this.#isSealed = true;
            return failure;
        }
        return createFailure("connectionLost", this.describe());
    }

    /** @returns how all sends ended, for logs and failures */
    describe(): string {
        const labels = [...this.#ends.map(describeSendEnd), ...Array<string>(this.#inFlight.size).fill("in flight")];
        return labels.length === 0 ? "no answer" : labels.join(", ");
    }
}

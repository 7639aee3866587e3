import { type ServerResponse } from "node:http";
import { type ServerModel } from "./serverModel.js";

/** FIFO queue of requests that wait for a slot of a {@link ServerModel}. */
export class SlotQueue {
    readonly #model: ServerModel;
    /** The function that starts each waiting request, with the function that cancels it. */
    readonly #waiting = new Map<() => void, () => void>();

    constructor(model: ServerModel) {
        this.#model = model;
    }

    /**
     * Waits until a request that the model has queued gets a slot.
     *
     * @param res - the response; closing it cancels the wait
     * @param deadlineMs - maximum wait in milliseconds; `undefined` for no limit
     * @returns whether a slot became free
     */
    wait(res: ServerResponse, deadlineMs: number | undefined): Promise<boolean> {
        return new Promise(resolve => {
            const settle = (started: boolean): void => {
                clearTimeout(timer);
                res.off("close", cancel);
                resolve(started);
            };
            const start = (): void => settle(true);
            const cancel = (): void => {
                this.#waiting.delete(start);
                this.#model.removeQueued();
                settle(false);
            };
            this.#waiting.set(start, cancel);
            res.once("close", cancel);
            const timer = deadlineMs === undefined ? undefined : setTimeout(cancel, deadlineMs);
        });
    }

    /** Starts queued requests while slots are free. */
    startNext(): void {
        for (const start of [...this.#waiting.keys()]) {
            if (!this.#model.startQueued()) {
                return;
            }
            this.#waiting.delete(start);
            start();
        }
    }

    /** Cancels all queued requests. */
    cancelAll(): void {
        for (const cancel of [...this.#waiting.values()]) {
            cancel();
        }
    }
}

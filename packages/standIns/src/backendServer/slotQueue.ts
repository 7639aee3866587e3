import { type ServerResponse } from "node:http";
import { type ServerModel } from "./serverModel.js";

/** Requests that wait for a slot of a {@link ServerModel}, in the order of their arrival. */
export class SlotQueue {
    readonly #model: ServerModel;
    /** How to start each, and how to give it up. */
    readonly #waiting = new Map<() => void, () => void>();

    constructor(model: ServerModel) {
        this.#model = model;
    }

    /**
     * Waits with a request that the model has queued.
     *
     * @param res - where the answer will go; its closing ends the wait
     * @param deadlineMs - longest wait
     * @returns whether a slot came free
     */
    wait(res: ServerResponse, deadlineMs: number | undefined): Promise<boolean> {
        return new Promise(resolve => {
            const settle = (started: boolean): void => {
                clearTimeout(timer);
                res.off("close", giveUp);
                resolve(started);
            };
            const start = (): void => settle(true);
            const giveUp = (): void => {
                this.#waiting.delete(start);
                this.#model.removeQueued();
                settle(false);
            };
            this.#waiting.set(start, giveUp);
            res.once("close", giveUp);
            const timer = deadlineMs === undefined ? undefined : setTimeout(giveUp, deadlineMs);
        });
    }

    /** Starts as many as slots are free. */
    startNext(): void {
        for (const start of [...this.#waiting.keys()]) {
            if (!this.#model.startQueued()) {
                return;
            }
            this.#waiting.delete(start);
            start();
        }
    }

    /** Gives up all that wait. */
    cancelAll(): void {
        for (const giveUp of [...this.#waiting.values()]) {
            giveUp();
        }
    }
}

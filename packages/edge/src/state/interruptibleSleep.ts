/** A pause that can be cut short. */
export class InterruptibleSleep {
    #wake: () => void = () => undefined;

    /** @returns once the time is over, or the pause is cut short */
    sleep(ms: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, ms);
            this.#wake = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    /** Ends the pause that is taken now, if any. */
    interrupt(): void {
        this.#wake();
    }
}

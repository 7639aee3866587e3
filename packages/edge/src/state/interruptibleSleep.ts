/** A sleep that can be interrupted. */
export class InterruptibleSleep {
    #resume: () => void = () => undefined;

    /** @returns once the time is over, or the sleep is interrupted */
    sleep(ms: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, ms);
            this.#resume = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    /** Ends the current sleep, if any. */
    interrupt(): void {
        this.#resume();
    }
}

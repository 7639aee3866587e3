/** A pause that can be cut short. */
export class TurnPause {
    #wake: () => void = () => undefined;

    /** @returns once the time is over, or the pause is cut short */
    take(ms: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, ms);
            this.#wake = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    /** Ends the pause that is taken now, if any. */
    end(): void {
        this.#wake();
    }
}

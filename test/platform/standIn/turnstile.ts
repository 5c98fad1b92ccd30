/** Lets callers pass one after the other, in the order in which they arrived; can be held. */
export class Turnstile {
    private heldUntil = 0;
    private last: Promise<void> = Promise.resolve();

    /** Holds everything that passes for a time, in milliseconds. */
    hold(duration: number): void {
        this.heldUntil = Math.max(this.heldUntil, performance.now() + duration);
    }

    isHeld(): boolean {
        return performance.now() < this.heldUntil;
    }

    /**
     * Waits for earlier callers, for the end of a hold, and for a time of its own.
     *
     * @param notBefore - earliest time at which the caller may pass. Default: at once
     */
    pass(notBefore = 0): Promise<void> {
        this.last = this.last.then(async () => {
            for (;;) {
                const wait = Math.max(this.heldUntil, notBefore) - performance.now();
                if (wait <= 0) {
                    return;
                }
                await new Promise(resolve => setTimeout(resolve, Math.ceil(wait)));
            }
        });
        return this.last;
    }
}

import { setImmediate } from "node:timers/promises";

/** Waits until the event loop has polled its sockets, so that everything that arrived before the call has been read. */
export async function awaitPoll(): Promise<void> {
    // The first callback can run after a poll that began before the call.
    await setImmediate();
    await setImmediate();
}

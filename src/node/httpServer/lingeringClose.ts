import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../../types/index.js";

/** Limits on what is discarded after the end of a connection. */
export interface LingerLimits {
    readonly time: Milliseconds;
    readonly bytes: number;
}

const checkInterval: Milliseconds = 50;

/**
 * Ends a connection without a reset, which would make the peer lose what it has not read yet: sends what is left, and
 * discards what the peer sends until the peer closes its side or a limit is reached.
 *
 * @param socket - the connection
 * @param limits - limits after which the connection is destroyed
 * @param clock - time source
 */
export function closeLingering(socket: Socket, limits: LingerLimits, clock: Pick<Clock, "monotonic">): void {
    if (socket.destroyed) {
        return;
    }
    const endsAt = clock.monotonic() + limits.time;
    const maximumReceived = socket.bytesRead + limits.bytes;
    const timer = setInterval(() => {
        if (clock.monotonic() >= endsAt || socket.bytesRead > maximumReceived) {
            socket.destroy();
        }
    }, checkInterval);
    timer.unref();
    socket.once("close", () => clearInterval(timer));
    socket.end();
}

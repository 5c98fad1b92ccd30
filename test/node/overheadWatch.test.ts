import { expect } from "earl";
import { describe, it, mock } from "node:test";
import { hasExcessiveOverhead, watchOverhead } from "../../src/node/httpClient/overheadWatch.js";
import { createCallState } from "../../src/node/httpClient/trackedClient.js";

describe("overhead of a response", () => {
    it("is not excessive for a head of the maximum size", () => {
        expect(hasExcessiveOverhead(16_384, 0)).toEqual(false);
    });

    it("is not excessive for a body in chunks of one byte", () => {
        const chunk = "1\r\nx\r\n";
        expect(hasExcessiveOverhead(1_000_000 * chunk.length, 1_000_000)).toEqual(false);
    });

    it("is excessive for bytes that belong neither to the head nor to the body", () => {
        expect(hasExcessiveOverhead(100_000, 0)).toEqual(true);
        expect(hasExcessiveOverhead(100_000, 5)).toEqual(true);
    });

    // Guards against a timer for each long poll, and against a response that is no longer checked after its first bytes.
    it("is checked at intervals from the first bytes of the response on", t => {
        mock.timers.enable({ apis: ["setInterval"] });
        t.after(() => mock.timers.reset());
        const countReceivedBytes = mock.fn(() => 100_000);
        const onExcess = mock.fn();
        const call = createCallState();
        call.connection = {
            ended: false,
            failed: false,
            lastCall: call,
            awaitsHead: false,
            quoteLastRead: () => "",
            countReceivedBytes,
            reset: () => {},
        };
        const end = watchOverhead(call, onExcess);
        mock.timers.tick(1_000);
        expect(countReceivedBytes.mock.callCount()).toEqual(0);
        call.onReceived!();
        mock.timers.tick(100);
        expect([countReceivedBytes.mock.callCount(), onExcess.mock.callCount()]).toEqual([1, 1]);
        end();
        mock.timers.tick(1_000);
        expect(onExcess.mock.callCount()).toEqual(1);
    });
});

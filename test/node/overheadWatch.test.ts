import { expect } from "earl";
import { describe, it, mock } from "node:test";
import { hasExcessiveOverhead, watchOverhead } from "../../src/node/httpClient/overheadWatch.js";
import { createCallState } from "../../src/node/httpClient/trackedClient.js";

function nextTick(): Promise<void> {
    return new Promise(resolve => process.nextTick(resolve));
}

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

    // Guards against responses that are checked only once the event loop runs timers, which many reads can delay.
    it("is checked at each read, from the first bytes of the response on", async () => {
        const onExcess = mock.fn();
        const call = createCallState();
        call.receivedBeforeCall = 50_000;
        const end = watchOverhead(call, onExcess);
        call.onReceived!(100_000);
        await nextTick();
        expect(onExcess.mock.callCount()).toEqual(0);
        call.onReceived!(50_000 + 100_000);
        expect(call.onReceived).toEqual(undefined);
        await nextTick();
        expect(onExcess.mock.callCount()).toEqual(1);
        end();
    });

    it("is not checked once the response has ended", () => {
        const call = createCallState();
        watchOverhead(call, () => {})();
        expect(call.onReceived).toEqual(undefined);
    });
});

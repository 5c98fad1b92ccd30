import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createStallMonitor } from "../../../src/node/replica/index.js";
import { createManualClock } from "../../../src/utils/index.js";

function createMonitor() {
    const clock = createManualClock();
    const stalls = createStallMonitor({ clock, logger: pino({ level: "silent" }) });
    const run = (duration: number): void => {
        for (let passed = 0; passed < duration; passed += 100) {
            clock.advance(100);
            stalls.check();
        }
    };
    return { clock, stalls, run };
}

describe("data that a process reads", () => {
    it("has just been sent while the process runs", () => {
        const { run, stalls } = createMonitor();
        run(5_000);
        expect(stalls.computeSentAfter()).toEqual(5_000);
    });

    it("may have been sent since the begin of a stall, before the stall is checked and for its length after it", () => {
        const { clock, run, stalls } = createMonitor();
        run(5_000);
        clock.advance(4_000);
        expect(stalls.computeSentAfter()).toEqual(5_000);
        run(4_000);
        expect(stalls.computeSentAfter()).toEqual(5_000);
        run(100);
        expect(stalls.computeSentAfter()).toEqual(13_100);
    });

    it("has been sent after its request", () => {
        const { clock, run, stalls } = createMonitor();
        run(5_000);
        clock.advance(4_000);
        expect(stalls.computeSentAfter(1_000)).toEqual(5_000);
        run(200);
        expect(stalls.computeSentAfter(9_000)).toEqual(9_200);
    });

    it("may have been sent since the first of several stalls in a row", () => {
        const { clock, run, stalls } = createMonitor();
        run(5_000);
        clock.advance(2_000);
        run(500);
        clock.advance(2_000);
        expect(stalls.computeSentAfter()).toEqual(5_000);
    });

    // Guards against a busy process that dates new versions far back and refuses requests that older ones may answer.
    it("may have been sent some seconds ago at most while the process stalls again and again", () => {
        const { clock, run, stalls } = createMonitor();
        for (let count = 0; count < 300; count++) {
            run(600);
            clock.advance(400);
            stalls.check();
        }
        expect(stalls.measureSince(stalls.computeSentAfter())).toEqual(5_000);
    });
});

describe("time since an earlier one", () => {
    function createSuspendedClock() {
        const manual = createManualClock();
        let offset = 0;
        const clock = { ...manual, now: () => new Date(manual.now().getTime() + offset) };
        const stalls = createStallMonitor({ clock, logger: pino({ level: "silent" }) });
        const setForward = (duration: number): void => {
            offset += duration;
            stalls.check();
        };
        return { clock, stalls, setForward };
    }

    it("includes suspensions after it, and none before it", () => {
        const { clock, setForward, stalls } = createSuspendedClock();
        clock.advance(100);
        setForward(4_000);
        clock.advance(100);
        expect([stalls.measureSince(50), stalls.measureSince(150)]).toEqual([4_150, 50]);
    });

    it("does not shrink when the wall clock is set back", () => {
        const { clock, setForward, stalls } = createSuspendedClock();
        clock.advance(100);
        setForward(-4_000);
        expect(stalls.measureSince(0)).toEqual(100);
    });

    // Guards against a wall clock that is corrected and counts as a suspension until the process ends.
    for (const step of [2_400, -2_400]) {
        it(`is not changed by a wall clock that is ${step} ms ahead for a time`, () => {
            const { clock, setForward, stalls } = createSuspendedClock();
            for (const offset of [step, -step, 0]) {
                setForward(offset);
                for (let passed = 0; passed < 6_000; passed += 100) {
                    clock.advance(100);
                    stalls.check();
                }
            }
            expect([stalls.measureSince(0), stalls.computeSentAfter()]).toEqual([18_000, 18_000]);
        });
    }

    it("lets data count as new seconds after the wall clock was set far forward", () => {
        const { clock, setForward, stalls } = createSuspendedClock();
        setForward(3_600_000);
        clock.advance(5_200);
        stalls.check();
        clock.advance(5_200);
        stalls.check();
        clock.advance(100);
        expect(stalls.computeSentAfter() > 0).toEqual(true);
    });

    it("does not shrink when there have been many suspensions", () => {
        const { clock, setForward, stalls } = createSuspendedClock();
        for (let count = 0; count < 50; count++) {
            clock.advance(100);
            setForward(1_000);
        }
        expect([stalls.measureSince(0), stalls.measureSince(4_950)]).toEqual([55_000, 1_050]);
    });

    it("makes data older that was sent while the machine was suspended", () => {
        const { clock, setForward, stalls } = createSuspendedClock();
        clock.advance(100);
        setForward(4_000);
        clock.advance(200);
        expect(stalls.measureSince(stalls.computeSentAfter())).toEqual(4_300);
    });
});

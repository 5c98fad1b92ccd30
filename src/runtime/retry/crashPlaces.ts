import type { Fingerprint } from "../../types/index.js";
import type { CrashRow } from "./types.js";

/**
 * Additional crashes that are needed for a verdict if the answers had gone differently far in them, as they have if the
 * backend servers crash for other reasons.
 */
export const additionalScatteredCrashes = 2;
/** Share of the events of the longer answer by which two answers may differ at the same place. */
const placeTolerance = 0.25;

function readEvents({ events }: CrashRow, part: Fingerprint): number {
    return events.get(part) ?? 0;
}

function isSamePlace(shorter: number, longer: number): boolean {
    return longer - shorter <= Math.max(1, longer * placeTolerance);
}

/**
 * Groups crashes by the place in the answer: what crashes backend servers does so after about the same number of events.
 *
 * @param crashes - crashes in which requests with the part were in progress
 * @param part - fingerprint of the part
 * @returns for each crash, those in which the longest answer had gone as far or a little further
 */
export function groupByPlace(crashes: readonly CrashRow[], part: Fingerprint): readonly (readonly CrashRow[])[] {
    return crashes.map(first => {
        const shortest = readEvents(first, part);
        return crashes.filter(row => {
            const events = readEvents(row, part);
            return events >= shortest && isSamePlace(shortest, events);
        });
    });
}

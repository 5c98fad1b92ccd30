import { createSeededRandom } from "../../src/utils/index.js";
import { createSimulatedFleet, type SimulatedFleet } from "../../test/runtime/placement/simulatedFleet.js";
import { budgets, designSize } from "./designSize.js";
import type { CapacityFigure } from "./measurement.js";

const deployment = "scribe";
const copiesPerZone = designSize.burstInstances / designSize.zones;
const zones = Object.fromEntries(
    [...Array(designSize.zones).keys()].map(index => [`zone-${index}`, copiesPerZone]),
);
/** Spare instances in each availability zone, which hold no copy; without them, no copy could be replaced. */
const sparesPerZone = 8;
/** Instances of a rack; all are in one availability zone. */
const instancesPerRack = 16;
const worstWindowSeconds = 60;
const stepMilliseconds = 1_000;

interface AppendStatistics {
    readonly records: number;
    readonly bytes: number;
    readonly worstMinuteAppends: number;
    readonly lastAppendSeconds: number;
}

/** Runs the proposers for `maximumSeconds`, or until nothing was appended for `quietSeconds`; counts the records. */
function countAppends(
    fleet: SimulatedFleet,
    maximumSeconds: number,
    quietSeconds = Number.POSITIVE_INFINITY,
): AppendStatistics {
    const first = fleet.log.length;
    const appendsBySecond: number[] = [];
    let lastAppend = 0;
    let elapsed = 0;
    while (elapsed < maximumSeconds && elapsed - lastAppend < quietSeconds) {
        const before = fleet.log.length;
        fleet.run(1, stepMilliseconds);
        appendsBySecond.push(fleet.log.length - before);
        elapsed += 1;
        lastAppend = fleet.log.length > before ? elapsed : lastAppend;
    }
    const bytes = fleet.log.slice(first).reduce((sum, { record }) => sum + JSON.stringify(record).length, 0);
    const minutes = appendsBySecond.map((...[, start]) =>
        appendsBySecond.slice(start, start + worstWindowSeconds).reduce((sum, count) => sum + count, 0)
    );
    return {
        records: fleet.log.length - first,
        bytes,
        worstMinuteAppends: Math.max(0, ...minutes),
        lastAppendSeconds: lastAppend,
    };
}

function listFigures(
    name: string,
    { bytes, records, lastAppendSeconds, worstMinuteAppends }: AppendStatistics,
): CapacityFigure[] {
    return [
        { name: `${name}, records`, value: records, unit: "records" },
        { name: `${name}, bytes for each record`, value: records === 0 ? 0 : bytes / records, unit: "bytes" },
        { name: `${name}, until the last record`, value: lastAppendSeconds, unit: "s" },
        {
            name: `${name}, worst minute`,
            value: worstMinuteAppends / worstWindowSeconds,
            unit: "appends/s",
            budget: budgets.logAppendsPerSecond,
        },
    ];
}

/** Ends the instances and adds a new one in the availability zone of each. */
function replaceFailedInstances(fleet: SimulatedFleet, instances: readonly string[]): void {
    for (const agent of fleet.agents.filter(({ listed }) => instances.includes(listed.instance))) {
        agent.alive = false;
        fleet.listing.delete(agent.listed.instance);
        fleet.addAgent(`${agent.listed.instance}-next`, agent.listed.zone);
    }
}

function listZone(fleet: SimulatedFleet, zone: string): string[] {
    return fleet.agents.filter(({ alive, listed }) => alive && listed.zone === zone)
        .map(({ listed }) => listed.instance);
}

/**
 * Counts the records that the real proposers append for 430 instances.
 *
 * @param seed - seed of the choice of instances that fail
 * @returns figures for a first placement, a new version with the loss of a rack, network partitions and single failures
 */
export function measureAppends(seed: number): CapacityFigure[] {
    const fleet = createSimulatedFleet(
        Object.fromEntries(Object.entries(zones).map(([zone, count]) => [zone, count + sparesPerZone])),
    );
    fleet.elapse(stepMilliseconds);
    fleet.run(30);
    fleet.apply(deployment, zones);
    const placed = countAppends(fleet, 240, 40);
    fleet.apply(deployment, zones, "2");
    const started = countAppends(fleet, 5);
    replaceFailedInstances(fleet, listZone(fleet, "zone-3").slice(0, instancesPerRack));
    const burst = countAppends(fleet, 900, 60);
    for (const zone of ["zone-0", "zone-1"]) {
        listZone(fleet, zone).forEach(instance => fleet.isolated.add(instance));
    }
    const partitioned = countAppends(fleet, 240);
    fleet.isolated.clear();
    const healed = countAppends(fleet, 300, 60);
    listZone(fleet, "zone-5").slice(0, instancesPerRack).forEach(instance => fleet.isolated.add(instance));
    const rackIsolated = countAppends(fleet, 240);
    fleet.isolated.clear();
    const rackHealed = countAppends(fleet, 300, 60);
    return [
        ...listFigures("first placement of 430 copies", placed),
        ...listFigures("new version for 430 copies, first 5 s", started),
        ...listFigures("burst with the loss of a rack of 16", burst),
        ...listFigures("partition of a region with 86 copies", partitioned),
        ...listFigures("partition of a region, after it has healed", healed),
        ...listFigures("switch of 16 instances cut off", rackIsolated),
        ...listFigures("switch of 16 instances, after it is back", rackHealed),
        ...measureOrdinaryDay(fleet, seed),
    ];
}

function measureOrdinaryDay(fleet: SimulatedFleet, seed: number): CapacityFigure[] {
    const random = createSeededRandom(seed);
    const chooseRunning = (): string => {
        const running = fleet.agents.filter(({ alive }) => alive);
        return running[Math.floor(random.next() * running.length)]!.listed.instance;
    };
    const samples = 5;
    let failures = 0;
    let replacements = 0;
    for (let sample = 0; sample < samples; sample++) {
        replaceFailedInstances(fleet, [chooseRunning()]);
        failures += countAppends(fleet, 180, 45).records;
        const leaving = chooseRunning();
        fleet.listing.set(leaving, { ...fleet.listing.get(leaving)!, state: "leaving" });
        const agent = fleet.agents.find(({ listed }) => listed.instance === leaving)!;
        fleet.addAgent(`${leaving}-next`, agent.listed.zone);
        replacements += countAppends(fleet, 180, 45).records;
        agent.alive = false;
        fleet.listing.delete(leaving);
    }
    const recordsPerDay = failures / samples * designSize.failuresPerDay +
        replacements / samples * designSize.replacementsPerDay;
    return [
        { name: "failure of one instance, records", value: failures / samples, unit: "records" },
        { name: "replacement of one instance, records", value: replacements / samples, unit: "records" },
        { name: "calculated: placement records of an ordinary day", value: recordsPerDay, unit: "records/day" },
    ];
}

import { createSeededRandom } from "../../src/utils/index.js";
import { createWorld, type World } from "../../test/runtime/placement/world.js";
import { budgets, designSize } from "./designSize.js";
import type { CapacityFigure } from "./measurement.js";

const deployment = "scribe";
const copiesOfZone = designSize.burstInstances / designSize.zones;
const zones = Object.fromEntries(
    [...Array(designSize.zones).keys()].map(index => [`zone-${index}`, copiesOfZone]),
);
/** Instances in each availability zone without a copy; without them nothing can be replaced. */
const sparesOfZone = 8;
/** Instances of a rack; all are in one availability zone. */
const rackInstances = 16;
const worstSeconds = 60;
const milliseconds = 1_000;

interface Observed {
    readonly records: number;
    readonly bytes: number;
    readonly worstMinute: number;
    readonly seconds: number;
}

/** Runs the proposers for a time, or until nothing was appended for a while, and counts what they append. */
function observe(world: World, seconds: number, quiet = Number.POSITIVE_INFINITY): Observed {
    const first = world.log.length;
    const appendedIn: number[] = [];
    let lastAppend = 0;
    let elapsed = 0;
    while (elapsed < seconds && elapsed - lastAppend < quiet) {
        const before = world.log.length;
        world.run(1, milliseconds);
        appendedIn.push(world.log.length - before);
        elapsed += 1;
        lastAppend = world.log.length > before ? elapsed : lastAppend;
    }
    const bytes = world.log.slice(first).reduce((sum, { record }) => sum + JSON.stringify(record).length, 0);
    const minutes = appendedIn.map((...[, start]) =>
        appendedIn.slice(start, start + worstSeconds).reduce((sum, count) => sum + count, 0)
    );
    return { records: world.log.length - first, bytes, worstMinute: Math.max(0, ...minutes), seconds: lastAppend };
}

function list(name: string, { bytes, records, seconds, worstMinute }: Observed): CapacityFigure[] {
    return [
        { name: `${name}, records`, value: records, unit: "records" },
        { name: `${name}, bytes for each record`, value: records === 0 ? 0 : bytes / records, unit: "bytes" },
        { name: `${name}, until the last record`, value: seconds, unit: "s" },
        {
            name: `${name}, worst minute`,
            value: worstMinute / worstSeconds,
            unit: "appends/s",
            budget: budgets.logAppendsPerSecond,
        },
    ];
}

function loseInstances(world: World, instances: readonly string[]): void {
    for (const agent of world.agents.filter(({ listed }) => instances.includes(listed.instance))) {
        agent.alive = false;
        world.listing.delete(agent.listed.instance);
        world.addAgent(`${agent.listed.instance}-next`, agent.listed.zone);
    }
}

function listZone(world: World, zone: string): string[] {
    return world.agents.filter(({ alive, listed }) => alive && listed.zone === zone)
        .map(({ listed }) => listed.instance);
}

/**
 * Counts the records that the real proposers append for 430 instances.
 *
 * @param seed - seed of the choice of instances that fail
 * @returns figures for a first placement, a burst with the loss of a rack, a partition and single failures
 */
export function measureAppends(seed: number): CapacityFigure[] {
    const world = createWorld(
        Object.fromEntries(Object.entries(zones).map(([zone, count]) => [zone, count + sparesOfZone])),
    );
    world.pass(milliseconds);
    world.run(30);
    world.apply(deployment, zones);
    const placed = observe(world, 240, 40);
    world.apply(deployment, zones, "2");
    const started = observe(world, 5);
    loseInstances(world, listZone(world, "zone-3").slice(0, rackInstances));
    const burst = observe(world, 900, 60);
    for (const zone of ["zone-0", "zone-1"]) {
        listZone(world, zone).forEach(instance => world.cuts.add(instance));
    }
    const parted = observe(world, 240);
    world.cuts.clear();
    const healed = observe(world, 300, 60);
    listZone(world, "zone-5").slice(0, rackInstances).forEach(instance => world.cuts.add(instance));
    const rackCut = observe(world, 240);
    world.cuts.clear();
    const rackHealed = observe(world, 300, 60);
    return [
        ...list("first placement of 430 copies", placed),
        ...list("new version for 430 copies, first 5 s", started),
        ...list("burst with the loss of a rack of 16", burst),
        ...list("partition of a region with 86 copies", parted),
        ...list("partition of a region, after it has healed", healed),
        ...list("switch of 16 instances cut off", rackCut),
        ...list("switch of 16 instances, after it is back", rackHealed),
        ...measureDay(world, seed),
    ];
}

function measureDay(world: World, seed: number): CapacityFigure[] {
    const random = createSeededRandom(seed);
    const choose = (): string => {
        const running = world.agents.filter(({ alive }) => alive);
        return running[Math.floor(random.next() * running.length)]!.listed.instance;
    };
    const samples = 5;
    let failures = 0;
    let replacements = 0;
    for (let sample = 0; sample < samples; sample++) {
        loseInstances(world, [choose()]);
        failures += observe(world, 180, 45).records;
        const leaving = choose();
        world.listing.set(leaving, { ...world.listing.get(leaving)!, state: "leaving" });
        const agent = world.agents.find(({ listed }) => listed.instance === leaving)!;
        world.addAgent(`${leaving}-next`, agent.listed.zone);
        replacements += observe(world, 180, 45).records;
        agent.alive = false;
        world.listing.delete(leaving);
    }
    const day = failures / samples * designSize.failuresPerDay + replacements / samples * designSize.replacementsPerDay;
    return [
        { name: "failure of one instance, records", value: failures / samples, unit: "records" },
        { name: "replacement of one instance, records", value: replacements / samples, unit: "records" },
        { name: "calculated: placement records of an ordinary day", value: day, unit: "records/day" },
    ];
}

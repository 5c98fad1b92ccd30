import { selectSubset, type SubsetCandidate } from "../../src/runtime/routing/index.js";
import { rankByRendezvous } from "../../src/utils/index.js";
import { designSize, rates } from "./designSize.js";
import type { CapacityFigure } from "./measurement.js";

interface InstanceLocation {
    readonly instance: string;
    readonly zone: string;
    readonly region: string;
}

function createFleet(name: string, size: number): InstanceLocation[] {
    return [...Array(size).keys()].map(index => ({
        instance: `${name}-${index}`,
        zone: `zone-${index % designSize.zones}`,
        region: `region-${index % designSize.regions}`,
    }));
}

/** Counts the entry instances that follow each runner of one deployment. */
function countWatchers(entries: readonly InstanceLocation[], candidates: readonly SubsetCandidate[]): number[] {
    const watchers = new Map(candidates.map(({ instance }) => [instance, 0]));
    for (const { instance: entry, region, zone } of entries) {
        const input = { entry, deployment: "goldcrest-llm", zone, region, candidates, size: rates.subsetSize };
        for (const { instance } of selectSubset(input)) {
            watchers.set(instance, watchers.get(instance)! + 1);
        }
    }
    return [...watchers.values()];
}

/** Counts the agents from which each entry instance receives heartbeats. */
function countFollowers(entries: readonly InstanceLocation[], agents: readonly InstanceLocation[]): number[] {
    const names = entries.map(({ instance }) => instance);
    const followers = new Map(names.map(name => [name, 0]));
    for (const { instance } of agents) {
        for (const relay of rankByRendezvous(instance, names).slice(0, rates.followedRelays)) {
            followers.set(relay, followers.get(relay)! + 1);
        }
    }
    return [...followers.values()];
}

/**
 * Selects subsets and relays at the design size as the daemons do, and counts the connections that result.
 *
 * @returns entry instances that follow each runner, and agents whose heartbeats an entry instance receives
 */
export function measureSubsets(): CapacityFigure[] {
    const entries = createFleet("entry", designSize.entries);
    const figures: CapacityFigure[] = [];
    for (const size of [designSize.burstInstances, designSize.runners]) {
        const watchers = countWatchers(entries, createFleet("runner", size));
        const name = `one deployment of ${size} runners`;
        figures.push(
            {
                name: `${name}, runners that no entry instance follows`,
                value: watchers.filter(count => count === 0).length,
                unit: "runners",
                budget: 0,
            },
            {
                name: `${name}, most entry instances that follow a runner`,
                value: Math.max(...watchers),
                unit: "streams",
            },
        );
    }
    const followers = countFollowers(entries, createFleet("runner", designSize.runners));
    const most = Math.max(...followers);
    return [
        ...figures,
        { name: "agents whose heartbeats an entry instance gets, most", value: most, unit: "agents" },
        {
            name: "agents of 3,200 that the first proposer does not hear, at least",
            value: designSize.runners - most,
            unit: "agents",
            budget: 0,
        },
    ];
}

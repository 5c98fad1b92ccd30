import type { AvailabilityZone, Objective } from "../src/types/index.js";
import type { ClusterPool, ClusterZone, ProcessSettings } from "./cluster/index.js";

/** Name of a user on the command line. */
export type UserName = "lone-star" | "roots-and-branches";

/** A user's topology at a small size. */
export interface Topology {
    readonly name: UserName;
    readonly title: string;
    readonly zones: readonly ClusterZone[];
    readonly entries: number;
    /** Pools of backend servers. The model's pool has one more than copies are wanted; that one must get no copy. */
    readonly pools: readonly ClusterPool[];
    /** Model deployment; its pool has the same name. */
    readonly model: string;
    /** Wanted copies of the model in each availability zone, in the order of the zones. */
    readonly replicas: readonly number[];
    /** Plain services; each runs on all backend servers of its pool. */
    readonly services: readonly string[];
    readonly objective: Objective;
    readonly settings: ProcessSettings;
}

/** Size of a weight set in bytes: small enough to reach all copies within seconds at the limited rates below. */
export const modelBytes = 8 * 1024 * 1024;
const originBytesPerSecond = 3 * 1024 * 1024;
const linkBytesPerSecond = 6 * 1024 * 1024;
const chunkBytes = 128 * 1024;

/**
 * By default, a cluster treats a process that has been silent for 2.5 s as failed. With about fifty processes on one
 * busy machine a healthy process may be silent for that long, and its copy would be replaced.
 */
const longTimeoutSettings: ProcessSettings = {
    GOLDCRESTPOINT_HOLD_HOLD_SECONDS: "10",
    GOLDCRESTPOINT_HOLD_MARGIN_SECONDS: "2",
    GOLDCRESTPOINT_PLACEMENT_UNREACHABLE_AFTER_MILLISECONDS: "10000",
};

/** Sizes of the weights and rate limits of their transfer. */
const transferSettings: ProcessSettings = {
    GOLDCRESTPOINT_STAND_IN_PLATFORM_MODEL_BYTES: String(modelBytes),
    GOLDCRESTPOINT_STAND_IN_PLATFORM_CHUNK_BYTES: String(chunkBytes),
    GOLDCRESTPOINT_STAND_IN_PLATFORM_ORIGIN_BYTES_PER_SECOND: String(originBytesPerSecond),
    GOLDCRESTPOINT_DISTRIBUTION_LINK_BYTES_PER_SECOND: String(linkBytesPerSecond),
};

const loneStar: Topology = {
    name: "lone-star",
    title: "Lone Star Billboard Software, Goldcrestpoint Routing",
    zones: [
        { zone: "dfw-hall-a", region: "dfw" },
        { zone: "hou-hall-b", region: "hou" },
        { zone: "sat-hall-c", region: "sat" },
    ],
    entries: 3,
    pools: [
        { pool: "goldcrest-llm", kind: "model", runners: [3, 2, 2] },
        { pool: "field-app", kind: "service", runners: [1, 1, 1] },
        { pool: "accounts", kind: "service", runners: [1, 0, 0] },
    ],
    model: "goldcrest-llm",
    replicas: [2, 2, 2],
    services: ["field-app", "accounts"],
    objective: "time",
    settings: {
        ...longTimeoutSettings,
        ...transferSettings,
        GOLDCRESTPOINT_ROUTING_REGION_PENALTY_REQUESTS: "2",
    },
};

const rootsAndBranches: Topology = {
    name: "roots-and-branches",
    title: "Roots and Branches Genealogy Co-operative, Family Tree Router Fleet",
    zones: [
        { zone: "sando-hall", region: "south-tt" },
        { zone: "pos-hall", region: "north-tt" },
        { zone: "scarb-hall", region: "tobago" },
    ],
    entries: 3,
    pools: [
        { pool: "scribe", kind: "model", runners: [2, 2, 2] },
        { pool: "archive", kind: "service", runners: [1, 1, 1] },
        { pool: "members", kind: "service", runners: [1, 0, 0] },
    ],
    model: "scribe",
    replicas: [2, 2, 1],
    services: ["archive", "members"],
    objective: "origin-bytes",
    settings: {
        ...longTimeoutSettings,
        ...transferSettings,
        GOLDCRESTPOINT_ROUTING_REGION_PENALTY_REQUESTS: "1",
    },
};

/** Topologies of both users, by name. */
export const topologies: Readonly<Record<UserName, Topology>> = {
    "lone-star": loneStar,
    "roots-and-branches": rootsAndBranches,
};

/**
 * Counts the wanted copies of the model.
 *
 * @param topology - the user's topology
 * @returns total number of copies over all availability zones
 */
export function countWantedCopies(topology: Topology): number {
    return topology.replicas.reduce((sum, count) => sum + count, 0);
}

/**
 * Lists the wanted copies of the model for each availability zone.
 *
 * @param topology - the user's topology
 * @returns number of copies by availability zone
 */
export function listWantedCopies(topology: Topology): ReadonlyMap<AvailabilityZone, number> {
    return new Map(topology.zones.map(({ zone }, index) => [zone, topology.replicas[index] ?? 0]));
}

/**
 * Creates the declaration of the model.
 *
 * @param topology - the user's topology
 * @param version - version to serve
 * @returns INI text
 */
export function declareModel(topology: Topology, version: string): string {
    const { model, objective } = topology;
    return declare(topology, { name: model, kind: "model", model, version, objective }, topology.replicas);
}

/**
 * Creates the declaration of a plain service.
 *
 * @param topology - the user's topology
 * @param service - name of the service
 * @returns INI text
 */
export function declareService(topology: Topology, service: string): string {
    const pool = topology.pools.find(candidate => candidate.pool === service);
    return declare(topology, { name: service, kind: "service", objective: topology.objective }, pool?.runners ?? []);
}

function declare(
    topology: Topology,
    keys: Readonly<Record<string, string>>,
    replicas: readonly number[],
): string {
    const counts = topology.zones.map(({ zone }, index) => `${zone} = ${replicas[index] ?? 0}`);
    const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}`);
    return ["[deployment]", "schema = 2", ...lines, "", "[replicas]", ...counts, ""].join("\n");
}

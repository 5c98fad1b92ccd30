import type { Clock } from "../../../types/index.js";
import { splitAddress } from "../../httpServer/index.js";
import { type KnownInstance, listInstances, type RecordStore } from "../../replica/index.js";
import type { GatewaySettings } from "../../settings/index.js";

/** Gateways of the system that one gateway knows. */
export interface GatewayList {
    /** This gateway. */
    readonly self: KnownInstance;
    /** Lists `host:port` of the other gateways; some may no longer run. */
    readonly listAddresses: () => readonly string[];
    /** Lists the identifiers of the registered gateways. */
    readonly listIdentifiers: () => readonly string[];
    /** Counts the registered gateways; at least this one. */
    readonly count: () => number;
}

/**
 * Creates the list of the registered gateways and of the seeds.
 *
 * @param store - records of this process
 * @param settings - identifier and location of this gateway
 * @param clock - source of the start time of this gateway
 * @param readSeeds - reads the current seeds
 * @returns the list
 */
export function createGatewayList(
    store: RecordStore,
    { gateway, instance }: GatewaySettings,
    clock: Clock,
    readSeeds: () => readonly string[],
): GatewayList {
    const { relayPort } = gateway;
    const self: KnownInstance = {
        instance: instance.id,
        address: `${splitAddress(instance.grpcAddress).host}:${relayPort}`,
        zone: instance.zone,
        region: instance.region,
        startedAt: clock.now().getTime(),
    };
    /** Undefined after a change; the records are read for each request otherwise. */
    let known: readonly KnownInstance[] | undefined;
    /** Addresses, with what they were derived from; they are read several times a second. */
    let derived: {
        readonly instances: readonly KnownInstance[];
        readonly seeds: readonly string[];
        readonly addresses: readonly string[];
    } | undefined;
    store.onChange(topic => {
        if (topic === "instances") {
            known = undefined;
        }
    });

    function listRegistered(): readonly KnownInstance[] {
        known ??= listInstances(store);
        return known;
    }

    function listAddresses(): readonly string[] {
        const instances = listRegistered();
        const seeds = readSeeds();
        if (derived?.instances !== instances || derived.seeds !== seeds) {
            const registered = instances.map(({ address }) => address);
            const seeded = seeds.map(address => `${splitAddress(address).host}:${relayPort}`);
            const addresses = [...new Set([...registered, ...seeded])].filter(address => address !== self.address);
            derived = { instances, seeds, addresses };
        }
        return derived.addresses;
    }

    return {
        self,
        listAddresses,
        listIdentifiers: () => listRegistered().map(row => row.instance),
        count: () => Math.max(1, listRegistered().length),
    };
}

import type { Logger } from "pino";
import {
    type AllowedVersions,
    applyListed,
    applyNotice,
    applyRemoved,
    type AssumedAgeOptions,
    type BackendServerRow,
    type BackendServerTable,
    computeAllowedVersions,
    computeAssumedAge,
    computeHeadDeadline,
    createBackendServerTable,
    createLifetimeId,
    dateDeclaredVersion,
    expireRemoved,
    expireReports,
    formatWeightName,
    type MembershipOptions,
    parseWeightName,
    recordDeclaredVersion,
    type RouteTable,
    type VersionOptions,
    type VersionTable,
} from "../../../runtime/gateway/index.js";
import type {
    AvailabilityZone,
    Clock,
    KeyedRecord,
    KeyedTopic,
    Milliseconds,
    RecordDecoder,
    Region,
} from "../../../types/index.js";
import type { ReceivedPage, RecordStore, StallMonitor } from "../../replica/index.js";
import { createConfigurationRecords } from "./configurationRecords.js";
import type { Evacuations } from "./evacuations.js";
import type { RateLimits } from "./rateLimits.js";
import type { ServerNotices } from "./serverNotices.js";
import type { SlowStarts } from "./slowStarts.js";

/** Dependencies of {@link createGatewayState}. */
export interface GatewayStateInput {
    readonly store: RecordStore;
    readonly decoder: RecordDecoder;
    readonly clock: Clock;
    readonly stalls: StallMonitor;
    readonly logger: Logger;
    readonly regions: ReadonlyMap<AvailabilityZone, Region>;
    readonly membership: MembershipOptions;
    readonly versions: VersionOptions & AssumedAgeOptions;
    /** Monotonic time at which the process started. */
    readonly startedAt: Milliseconds;
    readonly notices: ServerNotices;
    readonly evacuations: Pick<Evacuations, "apply">;
    readonly slowStarts: Pick<SlowStarts, "recordListed">;
    readonly rateLimits: Pick<RateLimits, "find" | "onChange">;
}

/** State of a gateway: configuration, backend servers and declared versions. */
export interface GatewayState {
    /** Undefined until a configuration is known. */
    readonly routes: () => RouteTable | undefined;
    readonly servers: BackendServerTable;
    /** Lists the backend servers of a service. */
    readonly listServers: (service: string) => readonly BackendServerRow[];
    /** Lists the backend servers of all services with an engine. */
    readonly listEngines: () => readonly BackendServerRow[];
    readonly readVersions: (model: string) => AllowedVersions;
    /** Reads the monotonic time by which the head of an answer must have arrived; undefined for the newest version. */
    readonly computeHeadDeadline: (model: string, version: number) => Milliseconds | undefined;
    /** Checks whether the list is current, and removes expired state; called at short intervals. */
    readonly expire: () => void;
    /** Registers a listener for changes of configuration, evacuations and declared versions, once there is a configuration. */
    readonly onOperator: (listener: (routes: RouteTable) => void) => void;
    /** Registers a listener for changes of backend servers. */
    readonly onServers: (listener: () => void) => void;
}

/** Longest time between two checks that counts as time without a list; in a longer one, the process did not run. */
const longestCountedStep: Milliseconds = 200;

/** Handles the changed records of a topic. */
type TopicHandler = (records: readonly KeyedRecord[], page: ReceivedPage) => void;

/**
 * Creates the state of a gateway, which is updated from the records of a store.
 *
 * @param input - store, decoder and options
 * @returns the state
 */
export function createGatewayState(input: GatewayStateInput): GatewayState {
    const { clock, decoder, logger, notices, rateLimits, stalls, store } = input;
    const createdAt = clock.monotonic();
    const servers = createBackendServerTable();
    const versions: VersionTable = new Map();
    const operatorListeners: ((routes: RouteTable) => void)[] = [];
    const serverListeners: (() => void)[] = [];
    const configurations = createConfigurationRecords({ decoder, logger, regions: input.regions });
    /** Monotonic time since which the list has been current; undefined while neither the log nor a relay updates it. */
    let currentSince: Milliseconds | undefined;
    let outagesSeen = false;
    let waitedForList: Milliseconds = 0;
    let checkedAt = createdAt;
    /** Time at which a version counts as declared that was declared before this process started. */
    const assumedDeclaration = input.startedAt - computeAssumedAge(input.versions);

    /** Reads the time in which versions are dated: the monotonic time and the time for which the machine was suspended. */
    function readVersionTime(): Milliseconds {
        return createdAt + stalls.measureSince(createdAt);
    }

    function toVersionTime(time: Milliseconds | undefined): Milliseconds {
        return time === undefined ? -Infinity : readVersionTime() - stalls.measureSince(time);
    }

    function toMonotonic(versionTime: Milliseconds | undefined): Milliseconds | undefined {
        return versionTime === undefined ? undefined : versionTime - (readVersionTime() - clock.monotonic());
    }

    function readVersions(model: string): AllowedVersions {
        const allowed = computeAllowedVersions(versions, model, readVersionTime(), input.versions);
        return { ...allowed, declaredAt: toMonotonic(allowed.declaredAt) };
    }

    function applyDeclaredVersion(record: KeyedRecord, page: ReceivedPage): void {
        const declared = record.value && decoder.decodeDeclaredVersion(record.key, record.value);
        if (declared === undefined) {
            logger.warn({ key: record.key, offset: record.offset }, "declared version cannot be read");
            return;
        }
        const writtenAfter = toVersionTime(record.writtenAfter);
        const declaredAt = Math.max(writtenAfter, assumedDeclaration);
        const skippedAfter = Math.max(toVersionTime(page.writtenAfter), assumedDeclaration);
        if (recordDeclaredVersion(versions, declared, { declaredAt, skippedAfter }, input.versions)) {
            logger.info(
                {
                    ...declared,
                    offset: record.offset,
                    source: page.source,
                    peer: page.peer,
                    ageMilliseconds: Math.round(readVersionTime() - declaredAt),
                    estimate: writtenAfter < assumedDeclaration ? "assumed" : "written-after",
                },
                "version declared",
            );
        }
    }

    function dateVersion(record: KeyedRecord): void {
        const declared = record.value && decoder.decodeDeclaredVersion(record.key, record.value);
        const declaredAfter = toVersionTime(record.writtenAfter);
        if (declared !== undefined && dateDeclaredVersion(versions, declared, declaredAfter)) {
            const ageMilliseconds = Math.round(readVersionTime() - declaredAfter);
            logger.info({ ...declared, offset: record.offset, ageMilliseconds }, "version dated");
        }
    }

    function isListReliable(now: Milliseconds): boolean {
        return currentSince !== undefined && (!outagesSeen || now - currentSince >= input.membership.returnTime);
    }

    /**
     * Updates since when the list has been current. A log that only this process cannot read is no outage, since a relay
     * that reads it keeps the list current.
     */
    function updateFreshness(now: Milliseconds): void {
        const { currentAt } = store.topic("backend-servers");
        const isCurrent = currentAt !== undefined && now - currentAt <= input.membership.outageAfter;
        if (isCurrent && currentSince === undefined) {
            currentSince = now;
            logger.info({ age: Math.round(now - currentAt), outagesSeen }, "list of backend servers current");
        }
    }

    /** Also notes an outage that began before this process has had a list; times at which it did not run are left out. */
    function detectOutage(now: Milliseconds): void {
        const { currentAt } = store.topic("backend-servers");
        waitedForList += Math.min(now - checkedAt, longestCountedStep);
        checkedAt = now;
        const age = currentAt === undefined ? waitedForList : now - currentAt;
        if (age > input.membership.outageAfter && (currentSince !== undefined || !outagesSeen)) {
            outagesSeen = true;
            currentSince = undefined;
            logger.warn({ age: Math.round(age) }, "list of backend servers outdated");
        }
    }

    function applyBackendServer(record: KeyedRecord, page: ReceivedPage): void {
        const now = clock.monotonic();
        const instance = record.key;
        const fields = { peer: instance, offset: record.offset, source: page.source };
        if (record.value === undefined) {
            const change = applyRemoved(servers, instance, isListReliable(now), now);
            if (change !== undefined) {
                logger.info({ ...fields, change }, "backend server changed");
            }
            return;
        }
        const listed = decoder.decodeBackendServer(instance, record.value);
        if (listed === undefined) {
            servers.delete(instance);
            logger.warn(fields, "entry of a backend server cannot be read");
            return;
        }
        const region = input.regions.get(listed.zone) ?? listed.zone;
        const change = applyListed(servers, listed, region, now, input.membership);
        const row = servers.get(instance)!;
        const lifetime = createLifetimeId(listed);
        applyNotice(row, notices.find(lifetime));
        row.runner.pace = rateLimits.find(lifetime);
        input.slowStarts.recordListed(row);
        const { address, service, state, weights, zone } = listed;
        logger.info({ ...fields, change, service, address, zone, state, weights }, "backend server changed");
    }

    function findByLifetime(lifetime: string): BackendServerRow | undefined {
        return [...servers.rows()].find(({ listed }) => createLifetimeId(listed) === lifetime);
    }

    notices.onChange(lifetime => {
        const row = findByLifetime(lifetime);
        if (row !== undefined) {
            applyNotice(row, notices.find(lifetime));
            serverListeners.forEach(listener => listener());
        }
    });

    rateLimits.onChange(lifetime => {
        const row = findByLifetime(lifetime);
        if (row !== undefined) {
            row.runner.pace = rateLimits.find(lifetime);
            serverListeners.forEach(listener => listener());
        }
    });

    const handlers: Readonly<Record<KeyedTopic, TopicHandler>> = {
        operator: (records, page) => {
            for (const record of records) {
                const kind = decoder.classifyOperatorKey(record.key);
                if (kind === "configuration") {
                    configurations.apply(record, page);
                }
                else if (kind === "evacuation") {
                    input.evacuations.apply(record, page);
                }
                else if (kind === "declared-version") {
                    applyDeclaredVersion(record, page);
                }
            }
            const current = configurations.routes();
            if (current !== undefined) {
                operatorListeners.forEach(listener => listener(current));
            }
        },
        "backend-servers": (records, page) => {
            // It is not known how long the log was away before the first read that succeeded.
            outagesSeen ||= currentSince === undefined && page.afterFailure === true;
            updateFreshness(clock.monotonic());
            records.forEach(record => applyBackendServer(record, page));
            serverListeners.forEach(listener => listener());
        },
        instances: () => {},
        "condemned-requests": () => {},
        "weight-sources": () => {},
    };

    // Entries that were written after the backup are written again, as after an outage.
    store.onRestored(topic => {
        if (topic === "backend-servers") {
            outagesSeen = true;
            currentSince = clock.monotonic();
        }
    });
    store.onDated((topic, records) => {
        if (topic === "operator") {
            records.filter(({ key }) => decoder.classifyOperatorKey(key) === "declared-version").forEach(dateVersion);
        }
    });
    store.onChange((topic, records, page) => handlers[topic](records, page));

    return {
        routes: configurations.routes,
        servers,
        listServers: service => servers.list("service", service),
        listEngines: () =>
            [...servers.rows()].filter(({ listed }) =>
                configurations.routes()?.services.get(listed.service)?.engine !== undefined
            ),
        computeHeadDeadline: (model, version) =>
            toMonotonic(computeHeadDeadline(versions, model, version, input.versions)),
        readVersions,
        expire: () => {
            const now = clock.monotonic();
            detectOutage(now);
            updateFreshness(now);
            notices.expire(lifetime => findByLifetime(lifetime) !== undefined);
            // Without an outage, only what an outdated list shows as removed is held back, until a current one confirms it.
            const returningSince = outagesSeen || currentSince === undefined ? currentSince : -Infinity;
            for (const instance of expireRemoved(servers, returningSince, now, input.membership)) {
                logger.info({ peer: instance, change: "removed" }, "backend server changed");
            }
            for (const instance of expireReports(servers, now, input.membership)) {
                logger.warn({ peer: instance, since: Math.round(now - input.startedAt) }, "agent report expired");
            }
        },
        onOperator: listener => void operatorListeners.push(listener),
        onServers: listener => void serverListeners.push(listener),
    };
}

/**
 * Lists the weight sets whose backend servers may answer for a model.
 *
 * @param model - name of the model
 * @param allowed - versions that may answer
 * @param rows - backend servers of the service
 * @returns identifier of the newest weight set, and all held weight sets from the oldest allowed version on
 */
export function listAcceptedWeights(
    model: string,
    allowed: AllowedVersions,
    rows: readonly BackendServerRow[],
): { readonly newest: string | undefined; readonly accepted: ReadonlySet<string>; } {
    const accepted = new Set<string>();
    let checked: string | undefined;
    for (const { runner: { manifestDigest } } of rows) {
        // Most backend servers hold the same weights.
        if (manifestDigest === undefined || manifestDigest === checked) {
            continue;
        }
        checked = manifestDigest;
        const held = parseWeightName(manifestDigest);
        if (held.model === model && held.version >= allowed.oldest) {
            accepted.add(manifestDigest);
        }
    }
    return { newest: allowed.newest === undefined ? undefined : formatWeightName(model, allowed.newest), accepted };
}

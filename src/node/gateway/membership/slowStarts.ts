import type { Logger } from "pino";
import {
    type BackendServerRow,
    type ColdShare,
    type ColdState,
    computeColdSend,
    computeColdShare,
    computeColdUntil,
    createLifetimeId,
} from "../../../runtime/gateway/index.js";
import type { RunnerPace } from "../../../runtime/routing/index.js";
import type {
    AvailabilityZone,
    BackendServerHead,
    Clock,
    Milliseconds,
    RandomSource,
    SlowStartRow,
} from "../../../types/index.js";

/** Limits the requests to cold backend servers, in addition to the limits that these state. */
export interface SlowStarts {
    /** Records an entry of the list that has been applied to a backend server. */
    recordListed(server: BackendServerRow): void;
    /**
     * Records when a backend server was started by the report of its agent, which may be newer than the list.
     *
     * @param server - the backend server
     * @param startedAt - milliseconds since 1970; undefined if the agent does not know it
     */
    readonly recordReport: (server: BackendServerRow, startedAt: number | undefined) => void;
    /** Records what the head of an answer states. */
    recordHead(server: BackendServerRow, head: Pick<BackendServerHead, "coldRemaining">): void;
    /** Records that a request is sent to a backend server now. */
    recordSend(server: BackendServerRow): void;
    /** Records that a connection to a backend server was lost, after which it may have been restarted. */
    recordLoss(server: BackendServerRow): void;
    /** Evaluates all backend servers again, and forgets those that are gone; called at short intervals. */
    update(servers: Iterable<BackendServerRow>): void;
    /** Counts the cold backend servers. */
    readonly countCold: () => number;
}

/** Dependencies of {@link createSlowStarts}. */
export interface SlowStartsInput {
    /** Identifier of this gateway. */
    readonly self: string;
    /** Lists the identifiers of the registered gateways. */
    readonly listGateways: () => readonly string[];
    /** Lists the addresses of the other gateways, those of the seeds included. */
    readonly listAddresses: () => readonly string[];
    /** Tells whether the registrations of the gateways have been read. */
    readonly areGatewaysKnown: () => boolean;
    /** Reads the slow start of a service; undefined if it has none. */
    readonly readSlowStart: (service: string) => SlowStartRow | undefined;
    /** Reads the monotonic time at which the evacuation of a zone was lifted; undefined if there was none. */
    readonly readLiftedAt: (zone: AvailabilityZone) => Milliseconds | undefined;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Time within which a backend server that was restarted writes its entry, and the entry is read. */
    readonly confirmWithin: Milliseconds;
    /** Time after the start of this process for which it waits for the registrations of the gateways. */
    readonly gatewaysWithin: Milliseconds;
}

interface Entry extends ColdState {
    readonly lifetime: string;
    lastSentAt: Milliseconds | undefined;
    /** Monotonic time since which the backend server is cold; undefined while it is not. */
    coldSince: Milliseconds | undefined;
    /** Share, with what it was computed from. */
    share: { readonly share: ColdShare; readonly gateways: readonly string[]; readonly rate: number; } | undefined;
    readonly draw: number;
    readonly pace: RunnerPace;
}

/**
 * Creates the slow starts of a gateway.
 *
 * @param input - gateways, services, clock and times
 * @returns the slow starts, without backend servers
 */
export function createSlowStarts(input: SlowStartsInput): SlowStarts {
    const { clock, confirmWithin, logger, random, self } = input;
    const createdAt = clock.monotonic();
    const entries = new Map<string, Entry>();
    let gateways: readonly string[] = [self];

    /**
     * Lists all gateways that may exist. Seeds that are not registered, or have not been read, count as gateways of their
     * own, so that gateways that start at the same time do not each take the whole limit.
     */
    function listGateways(): readonly string[] {
        const registered = [...new Set([...input.listGateways(), self])];
        const unregistered = Math.max(0, input.listAddresses().length + 1 - registered.length);
        return [...registered, ...Array.from({ length: unregistered }, (...[, index]) => `unregistered ${index}`)];
    }

    function updateGateways(): void {
        const listed = listGateways();
        if (listed.length !== gateways.length || listed.some((name, index) => gateways[index] !== name)) {
            gateways = listed;
        }
    }

    function mayCount(now: Milliseconds): boolean {
        return input.areGatewaysKnown() || now - createdAt > input.gatewaysWithin;
    }

    function findOrCreateEntry({ listed }: BackendServerRow, startedAt = listed.startedAt): Entry {
        const lifetime = createLifetimeId({ instance: listed.instance, startedAt });
        const known = entries.get(listed.instance);
        if (known?.lifetime === lifetime) {
            return known;
        }
        const now = clock.monotonic();
        const entry: Entry = {
            lifetime,
            startedAt,
            statedUntil: undefined,
            seenAt: now,
            unknownUntil: now + confirmWithin,
            lastSentAt: known?.lastSentAt,
            coldSince: undefined,
            share: undefined,
            draw: random.next(),
            pace: { nextAt: Infinity, interval: 0 },
        };
        entries.set(listed.instance, entry);
        return entry;
    }

    function updatePace(entry: Entry, { requestsPerSecond: rate }: SlowStartRow, now: Milliseconds): void {
        const { draw, lastSentAt, lifetime, pace } = entry;
        if (entry.share?.gateways !== gateways || entry.share.rate !== rate) {
            const share = computeColdShare({ lifetime, requestsPerSecond: rate, self, gateways });
            entry.share = { share, gateways, rate };
        }
        const { share } = entry.share;
        pace.interval = share.interval;
        pace.nextAt = mayCount(now) ? computeColdSend(share, lastSentAt, entry.coldSince!, draw) : Infinity;
    }

    function evaluate({ listed, runner }: BackendServerRow, entry: Entry): void {
        const now = clock.monotonic();
        const slowStart = input.readSlowStart(listed.service);
        const times = { now, wall: clock.now().getTime(), liftedAt: input.readLiftedAt(listed.zone) };
        const coldUntil = slowStart === undefined ? -Infinity : computeColdUntil(entry, slowStart, times);
        if (slowStart === undefined || coldUntil <= now) {
            if (entry.coldSince !== undefined) {
                const durationMilliseconds = Math.round(now - entry.coldSince);
                logger.info({ lifetime: entry.lifetime, durationMilliseconds }, "slow start ended");
            }
            entry.coldSince = undefined;
            runner.slowStart = undefined;
            return;
        }
        const hasBegun = entry.coldSince === undefined;
        entry.coldSince ??= now;
        updatePace(entry, slowStart, now);
        runner.slowStart = entry.pace;
        if (hasBegun) {
            logger.info({
                lifetime: entry.lifetime,
                requestsPerSecond: slowStart.requestsPerSecond,
                gateways: gateways.length,
                holder: entry.share!.share.isHolder,
                intervalMilliseconds: Math.round(entry.pace.interval),
                durationMilliseconds: Math.round(coldUntil - now),
            }, "slow start begun");
        }
    }

    return {
        recordListed: server => {
            const known = entries.get(server.listed.instance);
            // A report of the agent may have shown a later start than the entry does yet.
            const startedAt = Math.max(server.listed.startedAt ?? -Infinity, known?.startedAt ?? -Infinity);
            const entry = findOrCreateEntry(server, startedAt === -Infinity ? undefined : startedAt);
            const { coldRemaining, startedAt: listedStart } = server.listed;
            if (listedStart === entry.startedAt) {
                entry.statedUntil = coldRemaining === undefined ? undefined : clock.monotonic() + coldRemaining;
            }
            evaluate(server, entry);
        },
        recordReport: (server, startedAt) => {
            const known = entries.get(server.listed.instance);
            if (startedAt !== undefined && known !== undefined && startedAt > (known.startedAt ?? -Infinity)) {
                evaluate(server, findOrCreateEntry(server, startedAt));
            }
        },
        recordHead: (server, { coldRemaining }) => {
            const entry = entries.get(server.listed.instance);
            if (coldRemaining !== undefined && entry !== undefined) {
                entry.statedUntil = clock.monotonic() + coldRemaining;
                evaluate(server, entry);
            }
        },
        recordSend: server => {
            const entry = entries.get(server.listed.instance);
            if (entry !== undefined) {
                entry.lastSentAt = clock.monotonic();
                evaluate(server, entry);
            }
        },
        recordLoss: server => {
            const entry = entries.get(server.listed.instance);
            if (entry !== undefined) {
                entry.unknownUntil = clock.monotonic() + confirmWithin;
                evaluate(server, entry);
            }
        },
        update: servers => {
            updateGateways();
            const listed = new Set<string>();
            for (const server of servers) {
                const { instance } = server.listed;
                listed.add(instance);
                const entry = entries.get(instance);
                if (entry !== undefined) {
                    evaluate(server, entry);
                }
            }
            for (const instance of entries.keys()) {
                if (!listed.has(instance)) {
                    entries.delete(instance);
                }
            }
        },
        countCold: () => [...entries.values()].filter(({ coldSince }) => coldSince !== undefined).length,
    };
}

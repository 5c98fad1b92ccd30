import type { Logger } from "pino";
import {
    type BackendServerRow,
    computeNextSend,
    computeRateShare,
    createLifetimeId,
    isSignificantChange,
    type RateLimitRow,
    type RateShare,
    type SharedRateLimit,
} from "../../../runtime/gateway/index.js";
import type { RunnerPace } from "../../../runtime/routing/index.js";
import type { BackendServerHead, Clock, Milliseconds, RandomSource } from "../../../types/index.js";
import type { NoticeSource } from "./serverNotices.js";

/** Rate limits that backend servers state in their answers, and the pace of this gateway's requests. */
export interface RateLimits {
    /**
     * Records what the head of an answer states.
     *
     * @param lifetime - lifetime of the backend server that has answered
     * @param head - head of its answer
     * @param sentAt - monotonic time at which its request was sent
     */
    recordHead(lifetime: string, head: Pick<BackendServerHead, "proven" | "rateLimit">, sentAt: Milliseconds): void;
    /** Records that a request is sent to a backend server now. */
    recordSend(server: BackendServerRow): void;
    /** Merges what other gateways know. */
    merge(shared: readonly SharedRateLimit[]): void;
    /** Lists the newest statements for other gateways, a bounded number of them. */
    share(): readonly SharedRateLimit[];
    /** Lists the lifetimes with a rate limit. */
    listLimited(): readonly string[];
    /**
     * Finds the pace of a backend server.
     *
     * @param lifetime - its lifetime
     * @returns the pace, which is updated in place; undefined if it has stated no limit
     */
    find(lifetime: string): RunnerPace | undefined;
    /** Recomputes the shares for the current gateways, and removes old statements; called at short intervals. */
    update(): void;
    /** Registers a listener that is called with the lifetime when a limit begins or ends. */
    onChange(listener: (lifetime: string) => void): void;
    /** Registers a listener that is called when other gateways need to know about a change soon. */
    onSignificantChange(listener: () => void): void;
}

/** Dependencies of {@link createRateLimits}. */
export interface RateLimitsInput {
    /** Identifier of this gateway. */
    readonly self: string;
    /** Lists the identifiers of all registered gateways. */
    readonly listGateways: () => readonly string[];
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Time within which a statement reaches all gateways. */
    readonly settleTime: Milliseconds;
    /** Time for which a limit without further statements is kept. */
    readonly memory: Milliseconds;
}

interface Entry extends RateLimitRow {
    share: RateShare | undefined;
    readonly pace: RunnerPace;
}

/** Maximum number of statements in a message to another gateway; the newest ones are sent. */
const maximumShared = 32;
/** Maximum number of backend servers whose statements are kept; the oldest statements are evicted first. */
const maximumEntries = 10_000;
/** Number of settle times without a statement after which a gateway without a share sends a trial request. */
const settleTimesBeforeTrial = 4;

function isValid({ requestsPerSecond }: SharedRateLimit): boolean {
    return requestsPerSecond === undefined || (Number.isFinite(requestsPerSecond) && requestsPerSecond >= 0);
}

/**
 * Creates the rate limits of a gateway.
 *
 * @param input - gateways, clock and times
 * @returns the rate limits, empty
 */
export function createRateLimits(input: RateLimitsInput): RateLimits {
    const { clock, logger, memory, random, self, settleTime } = input;
    const entries = new Map<string, Entry>();
    const listeners: ((lifetime: string) => void)[] = [];
    const significantListeners: (() => void)[] = [];
    /** Identifiers of all gateways; refreshed while any statement is kept. */
    let gateways: readonly string[] = [];

    function listGateways(): readonly string[] {
        return [...new Set([...input.listGateways(), self])];
    }

    function updateShare(entry: Entry): void {
        const { lifetime, requestsPerSecond } = entry;
        const trialAfter = settleTimesBeforeTrial * settleTime;
        entry.share = requestsPerSecond === undefined ?
            undefined :
            computeRateShare({ lifetime, requestsPerSecond, self, gateways, trialAfter });
        updatePace(entry);
    }

    function updatePace(entry: Entry): void {
        const { pace, share } = entry;
        if (share !== undefined) {
            pace.interval = share.interval;
            pace.nextAt = computeNextSend(entry, share);
        }
    }

    function createEntry(lifetime: string, lastSentAt: Milliseconds): Entry {
        if (entries.size === 0) {
            gateways = listGateways();
        }
        return {
            lifetime,
            requestsPerSecond: undefined,
            statedAt: -Infinity,
            lastSentAt,
            draw: random.next(),
            share: undefined,
            pace: { nextAt: -Infinity, interval: 0 },
        };
    }

    /** Stops sharing the end of a limit once the other gateways have discovered it by trial requests. */
    function isShareable({ requestsPerSecond, statedAt }: Entry, now: Milliseconds): boolean {
        return requestsPerSecond !== undefined || now - statedAt <= 2 * settleTimesBeforeTrial * settleTime;
    }

    function evictOldest(): void {
        while (entries.size > maximumEntries) {
            entries.delete(entries.keys().next().value!);
        }
    }

    function record(entry: Entry, stated: number | undefined, statedAt: Milliseconds, source: NoticeSource): void {
        const known = entry.requestsPerSecond;
        entry.requestsPerSecond = stated;
        entry.statedAt = statedAt;
        entries.delete(entry.lifetime);
        entries.set(entry.lifetime, entry);
        evictOldest();
        if (known === stated) {
            updatePace(entry);
        }
        else {
            updateShare(entry);
        }
        if ((known === undefined) !== (stated === undefined)) {
            listeners.forEach(listener => listener(entry.lifetime));
        }
        if (isSignificantChange(known, stated)) {
            const { interval, nextAt } = entry.pace;
            logger.info({
                lifetime: entry.lifetime,
                notice: stated === undefined ? "rate limit ended" : "rate limit",
                source,
                requestsPerSecond: stated,
                intervalMilliseconds: Math.round(interval),
                nextInMilliseconds: Math.round(Math.max(0, nextAt - clock.monotonic())),
            }, "server notice");
            significantListeners.forEach(listener => listener());
        }
    }

    return {
        recordHead: (lifetime, { proven, rateLimit }, sentAt) => {
            const now = clock.monotonic();
            const entry = entries.get(lifetime);
            if (typeof rateLimit === "number") {
                record(entry ?? createEntry(lifetime, now), rateLimit, now, "answer");
            }
            else if (entry?.requestsPerSecond !== undefined) {
                // An answer to an earlier request may have been overtaken by the statement.
                const hasEnded = rateLimit === undefined && proven && sentAt > entry.statedAt;
                if (hasEnded || rateLimit === "unreadable") {
                    record(entry, hasEnded ? undefined : entry.requestsPerSecond, now, "answer");
                }
            }
        },
        recordSend: ({ listed }) => {
            const entry = entries.get(createLifetimeId(listed));
            if (entry !== undefined) {
                entry.lastSentAt = clock.monotonic();
                updatePace(entry);
            }
        },
        merge: shared => {
            const now = clock.monotonic();
            for (const { age, lifetime, requestsPerSecond } of shared.filter(isValid)) {
                const entry = entries.get(lifetime) ?? createEntry(lifetime, -Infinity);
                if (age <= memory && now - age > entry.statedAt) {
                    record(entry, requestsPerSecond, now - age, "gateway");
                }
            }
        },
        share: () => {
            const now = clock.monotonic();
            return [...entries.values()].filter(entry => isShareable(entry, now)).slice(-maximumShared).map((
                { lifetime, requestsPerSecond, statedAt },
            ) => ({
                lifetime,
                requestsPerSecond,
                age: now - statedAt,
            }));
        },
        listLimited: () =>
            [...entries.values()].filter(({ requestsPerSecond }) => requestsPerSecond !== undefined)
                .map(({ lifetime }) => lifetime),
        find: lifetime => {
            const entry = entries.get(lifetime);
            return entry?.requestsPerSecond === undefined ? undefined : entry.pace;
        },
        update: () => {
            if (entries.size === 0) {
                return;
            }
            const now = clock.monotonic();
            const known = gateways;
            gateways = listGateways();
            const haveChanged = known.length !== gateways.length ||
                known.some((name, index) => gateways[index] !== name);
            for (const entry of [...entries.values()]) {
                if (now - entry.statedAt > memory) {
                    entries.delete(entry.lifetime);
                    listeners.forEach(listener => listener(entry.lifetime));
                }
                else if (haveChanged) {
                    updateShare(entry);
                }
            }
        },
        onChange: listener => void listeners.push(listener),
        onSignificantChange: listener => void significantListeners.push(listener),
    };
}

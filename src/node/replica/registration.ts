import type { Logger } from "pino";
import type { Clock, KeyedLogPort, Milliseconds, RandomSource } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import { type KnownInstance, listInstances } from "./instanceRecords.js";
import type { RecordStore } from "./recordStore.js";

/** Dependencies of {@link startRegistration}. */
export interface RegistrationInput {
    readonly log: KeyedLogPort;
    /** Records of this process. */
    readonly store: RecordStore;
    readonly self: KnownInstance;
    readonly clock: Clock;
    /** For the delay between attempts. */
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Ends the attempts. */
    readonly signal: AbortSignal;
    /** Time after which the registration counts as settled, whatever has come of it. */
    readonly settleWithin: Milliseconds;
}

/** Registration of a gateway, by which the other processes find it. */
export interface Registration {
    /**
     * @returns true once the gateway has read its own record, and so those of all gateways that registered before it; also
     * once an attempt has failed, or has taken too long, since requests are served without the log, too
     */
    isSettled(): boolean;
}

/** Longest delay between two attempts to register. */
const longestRetry: Milliseconds = 2_000;
const firstRetry: Milliseconds = 150;
/** Time to wait for the registered instances, since a record of an earlier start may say the same. */
const longestWait: Milliseconds = 600;
const waitStep: Milliseconds = 25;
/** Time over which gateways spread their records after the log was restored. */
const restoreSpread: Milliseconds = 1_000;

/**
 * Registers a gateway. A record that says the same stays as it is.
 *
 * @param input - the gateway, log and limits
 * @returns the registration, which goes on until it succeeds
 */
export function startRegistration(input: RegistrationInput): Registration {
    const { clock, log, logger, random, self, signal, store } = input;
    const settlesAt = clock.monotonic() + input.settleWithin;
    let hasFailed = false;

    function isListed(): boolean {
        const { era, records } = store.topic("instances");
        return records.get(self.instance)?.era === era &&
            listInstances(store).find(row => row.instance === self.instance)?.address === self.address;
    }

    async function register(): Promise<void> {
        const waitsUntil = clock.monotonic() + longestWait;
        while (store.topic("instances").currentAt === undefined && clock.monotonic() < waitsUntil) {
            await sleep(waitStep, signal);
        }
        const { address, instance, region, startedAt, zone } = self;
        const value = Buffer.from(JSON.stringify({ address, zone, region, startedAt }));
        for (let attempt = 0; !signal.aborted && !isListed(); attempt++) {
            const written = await log.put("instances", instance, value);
            if (written.isOk) {
                logger.info({ offset: written.value, attempt }, "instance registered");
                return;
            }
            hasFailed = true;
            const { code, message, peer, step } = written.error;
            logger.warn({ code, step, peer, detail: message, attempt }, "instance not registered");
            await sleep(Math.min(longestRetry, firstRetry * 2 ** attempt) * (0.5 + random.next()), signal);
        }
    }

    let registering = register();
    store.onRestored(topic => {
        if (topic === "instances") {
            registering = registering.then(() => sleep(random.next() * restoreSpread, signal)).then(register);
        }
    });
    return { isSettled: () => hasFailed || clock.monotonic() >= settlesAt || isListed() };
}

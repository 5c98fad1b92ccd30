import type { Logger } from "pino";
import type { Clock, KeyedLogPort, Milliseconds, RandomSource } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import { type KnownInstance, listInstances } from "./instanceRecords.js";
import type { RecordStore } from "./recordStore.js";

/** Dependencies of {@link startRegistration}. */
export interface RegistrationInput {
    readonly log: KeyedLogPort;
    /** Replicated records of this process. */
    readonly store: RecordStore;
    readonly self: KnownInstance;
    readonly clock: Clock;
    /** Randomizes the delay between attempts. */
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Ends the attempts. */
    readonly signal: AbortSignal;
    /** Time after which the registration counts as settled, even if no attempt has ended. */
    readonly settleWithin: Milliseconds;
}

/** Registration of a gateway, by which the other processes find it. */
export interface Registration {
    /**
     * Tells whether the registration no longer delays the readiness of the gateway.
     *
     * @returns true once the gateway has read its own record, and with it those of all gateways that registered
     * earlier; also true once an attempt has failed or taken too long, since requests are served without the log, too
     */
    isSettled(): boolean;
}

/** Longest delay between two attempts to register, before jitter. */
const maximumRetryDelay: Milliseconds = 2_000;
const initialRetryDelay: Milliseconds = 150;
/**
 * Longest wait for the first records of the topic: if one of an earlier start has the same address, none is written.
 */
const maximumRecordsWait: Milliseconds = 600;
const recordsCheckInterval: Milliseconds = 25;
/** Gateways register again at random times within this period after their records were lost, to spread the load. */
const registrationSpread: Milliseconds = 1_000;

/**
 * Registers a gateway. Nothing is written if the log already holds a record with the same address.
 *
 * @param input - gateway, log and time limits
 * @returns the registration, which is retried until it succeeds
 */
export function startRegistration(input: RegistrationInput): Registration {
    const { clock, log, logger, random, self, signal, store } = input;
    const settlesAt = clock.monotonic() + input.settleWithin;
    let hasAttemptFailed = false;

    function isListed(): boolean {
        const { era, records } = store.topic("instances");
        return records.get(self.instance)?.era === era &&
            listInstances(store).find(row => row.instance === self.instance)?.address === self.address;
    }

    async function register(): Promise<void> {
        const waitsUntil = clock.monotonic() + maximumRecordsWait;
        while (store.topic("instances").currentAt === undefined && clock.monotonic() < waitsUntil) {
            await sleep(recordsCheckInterval, signal);
        }
        const { address, instance, region, startedAt, zone } = self;
        const value = Buffer.from(JSON.stringify({ address, zone, region, startedAt }));
        for (let attempt = 0; !signal.aborted && !isListed(); attempt++) {
            const written = await log.put("instances", instance, value);
            if (written.isOk) {
                logger.info({ offset: written.value, attempt }, "instance registered");
                return;
            }
            hasAttemptFailed = true;
            const { code, message, peer, step } = written.error;
            logger.warn({ code, step, peer, detail: message, attempt }, "instance not registered");
            await sleep(Math.min(maximumRetryDelay, initialRetryDelay * 2 ** attempt) * (0.5 + random.next()), signal);
        }
    }

    let registering = register();
    function registerAgain(): void {
        registering = registering.then(() => sleep(random.next() * registrationSpread, signal)).then(register);
    }
    store.onRestored(topic => {
        if (topic === "instances") {
            registerAgain();
        }
    });
    // Gateways that cannot reach this one drop its registration.
    store.onChange((topic, records) => {
        if (topic === "instances" && records.some(({ key, value }) => key === self.instance && value === undefined)) {
            registerAgain();
        }
    });
    return { isSettled: () => hasAttemptFailed || clock.monotonic() >= settlesAt || isListed() };
}

import type { Logger } from "pino";
import { createUnreachableGateways } from "../../../runtime/gateway/index.js";
import type { Clock, KeyedLogPort, Milliseconds, RandomSource } from "../../../types/index.js";
import { listInstances, type RecordStore } from "../../replica/index.js";

/** Dependencies of {@link createRegistrationCleanup}. */
export interface RegistrationCleanupInput {
    readonly log: KeyedLogPort;
    readonly store: RecordStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Time without a response after which the registration of a gateway is dropped. */
    readonly goneAfter: Milliseconds;
}

/** Drops the registrations of gateways that were removed for good, by the calls that are made to them anyway. */
export interface RegistrationCleanup extends Disposable {
    /**
     * Records the outcome of a call to another gateway.
     *
     * @param address - `host:port` of the gateway
     * @param hasResponded - whether it has responded
     */
    recordCall(address: string, hasResponded: boolean): void;
    /** @returns the gateway to call next, since it did not respond the last time; undefined if there is none */
    findNextToCall(): string | undefined;
}

const checkInterval: Milliseconds = 500;
/** Time between two checks from which on this process has stood still. */
const stallThreshold: Milliseconds = 2_000;
/**
 * Share of the time without a response within which gateways drop a registration at random times, and after which one
 * that could not be dropped is tried again.
 */
const dropSpreadShare = 0.2;

/**
 * Creates the cleanup of registrations. A gateway that still runs registers itself again, and the time until its next
 * drop doubles.
 *
 * @param input - log, registered gateways and times
 * @returns the cleanup; disposing of it ends the checks
 */
export function createRegistrationCleanup(input: RegistrationCleanupInput): RegistrationCleanup {
    const { clock, goneAfter, log, logger, random, store } = input;
    const unreachable = createUnreachableGateways({ goneAfter });
    /** Monotonic time at which this gateway drops the registration of each address that is gone. */
    const dropAt = new Map<string, Milliseconds>();
    const dropSpread = goneAfter * dropSpreadShare;
    let checkedAt = clock.monotonic();

    async function drop(address: string): Promise<void> {
        for (const { instance } of listInstances(store).filter(row => row.address === address)) {
            const dropped = await log.put("instances", instance, Buffer.alloc(0));
            if (dropped.isErr) {
                const { code, message, peer, step } = dropped.error;
                logger.warn({ code, step, peer, registered: instance, detail: message }, "registration not dropped");
                return;
            }
            logger.warn({ peer: address, registered: instance, offset: dropped.value }, "registration dropped");
        }
        unreachable.recordDropped(address);
    }

    function check(): void {
        const now = clock.monotonic();
        if (now - checkedAt > stallThreshold) {
            unreachable.restart(now);
        }
        checkedAt = now;
        unreachable.keepOnly(new Set(listInstances(store).map(({ address }) => address)));
        const gone = new Set(unreachable.listGone(now));
        for (const address of [...dropAt.keys()].filter(known => !gone.has(known))) {
            dropAt.delete(address);
        }
        for (const address of gone) {
            const due = dropAt.get(address) ?? now + random.next() * dropSpread;
            dropAt.set(address, now >= due ? now + dropSpread : due);
            if (now >= due) {
                void drop(address);
            }
        }
    }

    const timer = setInterval(check, checkInterval);
    return {
        recordCall: (address, hasResponded) => {
            if (hasResponded) {
                unreachable.recordReached(address);
            }
            else {
                unreachable.recordFailed(address, clock.monotonic());
            }
        },
        findNextToCall: () => unreachable.findNextToCall(),
        [Symbol.dispose]: () => clearInterval(timer),
    };
}

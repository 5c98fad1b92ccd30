import type { Logger } from "pino";
import type { Clock, EngineReport, GoldcrestpointError, Milliseconds } from "../../types/index.js";

/** Orders that an engine can be given; `unload` makes it give up its weights. */
export type OrderKind = "load" | "unload";

/** Order whose response was lost, so that the engine may still accept it. */
export interface UnresolvedOrder {
    /** Kind of the first one; a repeated one may be of the other kind. */
    readonly kind: OrderKind;
    readonly model: string;
    readonly version: number;
    readonly expectedSequence: number;
    /** Start of the engine that got the order. */
    readonly engineStart: number | undefined;
    /** Monotonic time at which it was first sent. */
    readonly sentAt: Milliseconds;
    /** Monotonic time at which it was last sent. */
    readonly repeatedAt: Milliseconds;
}

/**
 * Keeps the order whose outcome is unknown until a report of the engine shows that it can no longer be accepted. What is
 * staged must not change until then, since the engine loads what is staged when it accepts the order.
 */
export interface UnresolvedOrderTracker {
    /**
     * Records an order whose response was lost, also when it was a repeated one.
     *
     * @param order - the order
     * @param error - why the response was lost
     */
    record(order: Omit<UnresolvedOrder, "repeatedAt">, error: GoldcrestpointError): void;
    /** Ends the order, since the engine has stated that it has nothing left to carry out. */
    resolve(): void;
    /** Ends the order if the engine has restarted or has accepted it or another one. */
    observe(report: EngineReport): void;
    readonly read: () => UnresolvedOrder | undefined;
}

/**
 * Creates the tracker of an engine's unresolved order.
 *
 * @param clock - clock of the process
 * @param logger - logger of the process
 * @returns the tracker, without an order
 */
export function createUnresolvedOrderTracker(clock: Clock, logger: Logger): UnresolvedOrderTracker {
    let unresolved: UnresolvedOrder | undefined;
    return {
        read: () => unresolved,
        record: (order, error) => {
            unresolved = { ...order, ...unresolved, repeatedAt: order.sentAt };
            const { expectedSequence, kind, model, version } = order;
            const { code, message, peer, step } = error;
            logger.warn(
                { code, step, peer, detail: message, kind, model, version, expectedSequence },
                "order outcome unknown",
            );
        },
        resolve: () => {
            unresolved = undefined;
        },
        observe: report => {
            if (unresolved === undefined) {
                return;
            }
            const { engineStart, expectedSequence, kind, model, sentAt, version } = unresolved;
            if (report.startedAt !== engineStart) {
                unresolved = undefined;
                logger.info({ kind, model, version, expectedSequence }, "order dropped by a restart of the engine");
                return;
            }
            if (report.orderSequence !== expectedSequence) {
                unresolved = undefined;
                const delayMilliseconds = Math.round(clock.monotonic() - sentAt);
                logger.warn(
                    { kind, model, version, expectedSequence, orderSequence: report.orderSequence, delayMilliseconds },
                    "order accepted after its outcome was unknown",
                );
            }
        },
    };
}

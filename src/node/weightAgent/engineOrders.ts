import type { Logger } from "pino";
import type { Result } from "true-myth/result";
import type {
    Clock,
    EngineReport,
    GoldcrestpointError,
    LoadOrder,
    Manifest,
    Milliseconds,
    OrderOutcome,
} from "../../types/index.js";
import { countDifferences, readBackStaged } from "./readBackStaged.js";
import type { FindChunkVersion, StagedWrites } from "./stagedWrites.js";
import { createUnresolvedOrderTracker, type OrderKind, type UnresolvedOrder } from "./unresolvedOrder.js";

/** Order that this process gave. */
export interface OrderedVersion {
    readonly model: string;
    readonly version: number;
    readonly engineStart: number | undefined;
    readonly expectedSequence: number;
}

/** Dependencies of {@link createEngineOrders}. */
export interface EngineOrdersInput {
    readonly writes: StagedWrites;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly readManifest: (model: string, version: number) => Manifest | undefined;
    readonly findVersion: FindChunkVersion;
    /** Time after which an order that had no effect is given again. */
    readonly repeatAfter: Milliseconds;
}

/** Orders to the engine, one at a time. */
export interface EngineOrders {
    /**
     * Sends an order to load.
     *
     * @param report - newest report; the order applies only to the state that it shows
     * @param order - what to load
     * @returns the engine's response
     */
    load(
        report: EngineReport,
        order: Omit<LoadOrder, "expectedSequence">,
    ): Promise<Result<OrderOutcome, GoldcrestpointError>>;
    /**
     * Orders the engine to give up its weights, since the order to load a version again has no effect before.
     *
     * @param report - newest report, with weights
     * @param reason - why they are given up
     * @returns the engine's response; undefined if no weights are loaded
     */
    unload(report: EngineReport, reason: string): Promise<Result<OrderOutcome, GoldcrestpointError> | undefined>;
    /**
     * Repeats an order whose outcome is unknown, until the order sequence shows that neither can be accepted any longer.
     * Both expect the same sequence, so the engine accepts at most one of them. If what is staged has changed since, the
     * engine is ordered to give up its weights instead, which ends the first order as well.
     *
     * @param report - newest report
     * @returns the engine's response; undefined if no order is due
     */
    repeatUnresolved(report: EngineReport): Promise<OrderOutcome | undefined>;
    /** Applies a report to the orders given so far. */
    observe(report: EngineReport): void;
    readonly readUnresolved: () => UnresolvedOrder | undefined;
    /** @returns the last order to load; undefined if there is none */
    readonly readLast: () => OrderedVersion | undefined;
    /** @returns time of the last order while no report has shown its effect */
    readonly readOrderedAt: () => Milliseconds | undefined;
    /** True while an order is sent and not answered. */
    readonly isOrdering: () => boolean;
}

/**
 * Creates the orders to the engine.
 *
 * @param input - engine and log
 * @returns the orders, none of which has been given
 */
export function createEngineOrders(input: EngineOrdersInput): EngineOrders {
    const { clock, findVersion, logger, readManifest, repeatAfter, writes } = input;
    const { engine } = writes;
    const unresolvedOrder = createUnresolvedOrderTracker(clock, logger);
    let last: OrderedVersion | undefined;
    let orderedAt: Milliseconds | undefined;
    let isOrdering = false;

    async function send(
        kind: OrderKind,
        order: LoadOrder,
        engineStart: number | undefined,
    ): Promise<Result<OrderOutcome, GoldcrestpointError>> {
        const { expectedSequence, model, version } = order;
        const sentAt = clock.monotonic();
        isOrdering = true;
        try {
            const ordered = await engine[kind](order);
            if (ordered.isErr && ordered.error.mayHaveTakenEffect) {
                unresolvedOrder.record({ kind, model, version, engineStart, expectedSequence, sentAt }, ordered.error);
            }
            return ordered;
        }
        finally {
            isOrdering = false;
        }
    }

    /** A load that was verified before it was sent must not be repeated with chunks that have changed since. */
    async function chooseRepeated({ kind, model, version }: UnresolvedOrder): Promise<OrderKind | undefined> {
        const manifest = readManifest(model, version);
        if (kind === "unload" || manifest === undefined) {
            return kind;
        }
        const differences = await readBackStaged(engine, manifest, findVersion);
        if (differences.isErr) {
            return undefined;
        }
        return countDifferences(differences.value) === 0 ? "load" : "unload";
    }

    return {
        load: async (report, order) => {
            const { startedAt: engineStart, orderSequence: expectedSequence } = report;
            last = { model: order.model, version: order.version, engineStart, expectedSequence };
            const ordered = await send("load", { ...order, expectedSequence }, engineStart);
            orderedAt = ordered.isErr || ordered.value === "refused" ? undefined : clock.monotonic();
            return ordered;
        },
        unload: async ({ orderSequence, startedAt, weights }, reason) => {
            if (weights === undefined) {
                return undefined;
            }
            const { model, version } = weights;
            const order: LoadOrder = {
                model,
                version,
                expectedSequence: orderSequence,
                running: "cut-off",
                mayWrite: () => true,
            };
            const ordered = await send("unload", order, startedAt);
            const outcome = ordered.isOk ? ordered.value : ordered.error.code;
            logger.warn({ model, version, orderSequence, outcome, reason }, "unload ordered");
            return ordered;
        },
        repeatUnresolved: async report => {
            const order = unresolvedOrder.read();
            if (order === undefined || report.busy || clock.monotonic() - order.repeatedAt < repeatAfter) {
                return undefined;
            }
            const kind = await chooseRepeated(order);
            if (kind === undefined || unresolvedOrder.read() !== order) {
                return undefined;
            }
            const { engineStart, expectedSequence, model, version } = order;
            const mayWrite = (): boolean => unresolvedOrder.read() === order;
            const repeated = { model, version, expectedSequence, running: "cut-off", mayWrite } as const;
            const ordered = await send(kind, repeated, engineStart);
            if (ordered.isErr) {
                return undefined;
            }
            const outcome = ordered.value;
            logger.info({ kind, model, version, expectedSequence, outcome }, "order repeated");
            if (outcome === "in-effect") {
                unresolvedOrder.resolve();
            }
            return outcome;
        },
        observe: report => {
            const { weights } = report;
            const isInEffect = weights?.complete === true && weights.version >= (last?.version ?? 0);
            if (report.startedAt !== last?.engineStart || isInEffect) {
                orderedAt = undefined;
            }
            unresolvedOrder.observe(report);
        },
        readUnresolved: unresolvedOrder.read,
        readLast: () => last,
        readOrderedAt: () => orderedAt,
        isOrdering: () => isOrdering,
    };
}

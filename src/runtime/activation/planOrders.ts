import type { CopyPhase, EngineOrder, EngineState, FencingToken, StagedSet, WeightSet } from "../../types/index.js";
import { decodeBitfield, isComplete } from "../distribution/bitfield.js";
import { compareFencingTokens } from "./fencing.js";
import type { ActivationDecision, ActivationInput } from "./types.js";

/**
 * Decides the next order to the engine from the assignment, the progress of staging and the engine's reported state.
 *
 * @param input - assignment, hold, transfer and engine state as the agent knows them
 * @returns the phase of the copy and at most one order; the agent gives the order and reads the state again
 */
export function planOrders(input: ActivationInput): ActivationDecision {
    const { assignment } = input;
    if (assignment !== undefined && assignment.weights === undefined) {
        return planPlainService(input);
    }
    const waitEndsAt = input.startedAt + input.orderTimeLimit;
    if (input.now < waitEndsAt) {
        return createDecision(
            input.held ? "waiting" : "lapsed",
            "orders of an earlier agent process may be in transit",
        );
    }
    if (input.engine === undefined || input.engineReadAt === undefined || input.engineReadAt < waitEndsAt) {
        const phase = input.held ? "waiting" : "lapsed";
        return { phase, order: undefined, readState: true, reason: "the engine's state is not known" };
    }
    const token = createNextToken(input);
    const { highestToken } = input.engine;
    if (highestToken !== undefined && compareFencingTokens(token, highestToken) <= 0) {
        const phase = input.held ? "waiting" : "lapsed";
        return { phase, order: undefined, readState: true, reason: "the engine has seen a newer fencing token" };
    }
    const wanted = input.held && assignment?.state === "assigned" ? assignment.weights : undefined;
    return wanted === undefined ?
        planUnloading(input, input.engine, token) :
        planLoading(input, input.engine, wanted, token);
}

/**
 * Tells whether the engine has exactly these weights active.
 *
 * @param active - active weight set as the engine reports it
 * @param weights - wanted weight set
 * @returns true if model, adapter, version and manifest digest are all the same
 */
export function matchesActiveSet(active: EngineState["active"], weights: WeightSet): boolean {
    return active !== undefined &&
        active.manifestDigest === weights.manifestDigest &&
        active.model === weights.model &&
        active.adapter === weights.adapter &&
        active.version === weights.version;
}

function createDecision(phase: CopyPhase, reason: string, order?: EngineOrder): ActivationDecision {
    return { phase, order, readState: false, reason };
}

function planPlainService(input: ActivationInput): ActivationDecision {
    if (!input.held) {
        return createDecision("lapsed", "the hold has lapsed");
    }
    if (input.assignment?.state === "assigned") {
        return createDecision("serving", "a plain service needs no weights");
    }
    return input.requestsInProgress > 0 ?
        createDecision("unloading", "requests are in progress") :
        createDecision("released", "the copy is revoked");
}

/**
 * Creates the token of the next order. Its epoch is the newest placement record of any deployment, so that it never
 * decreases from one order to the next.
 */
function createNextToken(input: ActivationInput): FencingToken {
    return {
        epoch: Math.max(input.newestEpoch, input.assignment?.epoch ?? 0, input.lastToken.epoch),
        agentStart: input.lastToken.agentStart,
        sequence: input.lastToken.sequence + 1,
    };
}

function planUnloading(input: ActivationInput, engine: EngineState, token: FencingToken): ActivationDecision {
    const phase: CopyPhase = input.held ? "unloading" : "lapsed";
    const reason = input.held ? "no copy is assigned" : "the hold has lapsed";
    if (engine.active !== undefined) {
        // After the hold has lapsed, another instance may already hold the copy, so requests in progress are not
        // awaited.
        return input.held && input.requestsInProgress > 0 ?
            createDecision(phase, "requests are in progress") :
            createDecision(phase, reason, { kind: "deactivate", token });
    }
    const [staged] = engine.staged;
    if (staged !== undefined) {
        return createDecision(phase, reason, { kind: "drop", token, manifestDigest: staged.manifestDigest });
    }
    return createDecision(input.held ? "released" : "lapsed", reason);
}

function planLoading(
    input: ActivationInput,
    engine: EngineState,
    wanted: WeightSet,
    token: FencingToken,
): ActivationDecision {
    const active = matchesActiveSet(engine.active, wanted);
    const phase = active ? "serving" : selectLoadingPhase(input);
    if (!input.activeBelongsToDeployment) {
        return input.requestsInProgress > 0 ?
            createDecision(phase, "requests are in progress") :
            createDecision(phase, "the active set is another deployment's", { kind: "deactivate", token });
    }
    const obsolete = findObsoleteSet(engine, wanted);
    if (obsolete !== undefined) {
        const { manifestDigest } = obsolete;
        return createDecision(phase, "a staged set is not wanted", { kind: "drop", token, manifestDigest });
    }
    if (active) {
        return createDecision(phase, "the assigned set is active");
    }
    const staged = engine.staged.find(({ manifestDigest }) => manifestDigest === wanted.manifestDigest);
    return staged === undefined ?
        planPreparation(input, wanted, token) :
        planActivation(input, engine, staged, wanted, token);
}

/** Returns the phase of a copy whose weight set is not active. */
function selectLoadingPhase(input: ActivationInput): CopyPhase {
    if (input.setComplete) {
        return "complete";
    }
    return input.chunksTotal === 0 ? "waiting" : "staging";
}

/** Finds a staged set that is neither wanted nor active; it occupies memory that the wanted set may need. */
function findObsoleteSet(engine: EngineState, wanted: WeightSet): StagedSet | undefined {
    return engine.staged.find(({ manifestDigest }) =>
        manifestDigest !== wanted.manifestDigest && manifestDigest !== engine.active?.manifestDigest
    );
}

function planPreparation(input: ActivationInput, wanted: WeightSet, token: FencingToken): ActivationDecision {
    if (input.chunksTotal === 0) {
        return createDecision("waiting", "the manifest has not been read");
    }
    return createDecision("staging", "the set is not prepared", {
        kind: "prepare",
        token,
        manifestDigest: wanted.manifestDigest,
        chunksTotal: input.chunksTotal,
    });
}

function planActivation(
    input: ActivationInput,
    engine: EngineState,
    staged: StagedSet,
    wanted: WeightSet,
    token: FencingToken,
): ActivationDecision {
    const { manifestDigest } = wanted;
    if (input.chunksTotal > 0 && staged.chunksTotal !== input.chunksTotal) {
        if (engine.active?.manifestDigest === manifestDigest) {
            return createDecision("staging", "the active set has another number of chunks", {
                kind: "deactivate",
                token,
            });
        }
        return createDecision("staging", "the staged set has another number of chunks", {
            kind: "drop",
            token,
            manifestDigest,
        });
    }
    if (!input.setComplete) {
        return createDecision(selectLoadingPhase(input), "not every chunk is verified");
    }
    if (!isComplete(decodeBitfield(staged.bitfield, staged.chunksTotal), staged.chunksTotal)) {
        return createDecision("staging", "the engine lacks chunks that were staged");
    }
    const { adapter, model, version } = wanted;
    return createDecision("activating", "the set is complete", {
        kind: "activate",
        token,
        manifestDigest,
        model,
        adapter,
        version,
    });
}

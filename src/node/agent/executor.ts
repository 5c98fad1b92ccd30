import type { Logger } from "pino";
import {
    type AdmissionProgress,
    type AdmissionTable,
    cancelRequest,
    expireRequests,
    finishRequest,
    offerRequest,
} from "../../runtime/admission/index.js";
import {
    finishKey,
    type Ledger,
    offerKey,
    type OwnershipHistory,
    type StoredAnswer,
} from "../../runtime/idempotency/index.js";
import {
    type BackendResponse,
    type BackendServerPort,
    type Clock,
    type GoldcrestpointError,
    type InstanceId,
    type ManifestDigest,
    type Milliseconds,
    type Refusal,
    type RefusalReason,
    type RequestRow,
} from "../../types/index.js";
import { createCrashTracker } from "./crashTracker.js";
import { createFrameWriter, type ExecuteCall, type FrameWriter } from "./frames.js";
import { createRecentPrefixes } from "./recentPrefixes.js";
import { createRequestRow } from "./requestRow.js";

/** Whether and with which weights this agent serves a deployment now. */
export interface ServingState {
    readonly deployment: string | undefined;
    readonly serving: boolean;
    /** Undefined for plain services. */
    readonly manifestDigest: ManifestDigest | undefined;
    /** Monotonic time at which the hold lapses. */
    readonly holdValidUntil: Milliseconds;
    readonly draining: boolean;
    /** Incarnation of the backend server; undefined before its state was read. */
    readonly incarnation: string | undefined;
}

/** Options of {@link createExecutor}. */
export interface ExecutorOptions {
    readonly self: InstanceId;
    readonly backend: BackendServerPort;
    readonly admission: AdmissionTable;
    readonly ledger: Ledger;
    readonly ownership: (deployment: string) => OwnershipHistory | undefined;
    readonly readServing: () => ServingState;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Largest answer that is kept for repeats of a key, in bytes. Default: 256 KiB. */
    readonly maximumStoredAnswerBytes?: number;
}

/** Runs requests on the backend server beside this agent. */
export interface Executor {
    execute(call: ExecuteCall): void;
    /** Requests in progress on the backend server. */
    readonly running: number;
    /** Requests that wait for a place. */
    readonly queued: number;
    /** Prefixes of the newest answered requests on the current weights, newest first. */
    readonly recentPrefixes: readonly string[];
    /** Refuses waiting requests whose deadline has passed. */
    expire(): void;
}

interface Execution {
    readonly call: ExecuteCall;
    readonly row: RequestRow;
    readonly writer: FrameWriter;
    readonly abort: AbortController;
    /** Start of the backend server on which the request runs; undefined before it runs. */
    incarnation: string | undefined;
}

const defaultMaximumStoredAnswerBytes = 256 * 1024;
/** Time after which a caller should come back when another instance or a moment later may serve it. */
const shortRetrySeconds = 1;

/**
 * Creates the executor.
 *
 * @param options - backend server, tables and serving state
 * @returns the executor
 */
export function createExecutor(options: ExecutorOptions): Executor {
    const { backend, admission, ledger, clock, logger } = options;
    const waiting = new Map<string, Execution>();
    const prefixes = createRecentPrefixes();
    const crashes = createCrashTracker({
        self: options.self,
        backend,
        clock,
        listInProgress: () => [...admission.inProgress.values()].map(({ request }) => request.fingerprint),
    });
    const maximumStoredAnswerBytes = options.maximumStoredAnswerBytes ?? defaultMaximumStoredAnswerBytes;

    function checkServing(call: ExecuteCall): Refusal | undefined {
        const { deployment, manifestDigest } = call.request;
        const state = options.readServing();
        if (state.draining) {
            return createRefusal("no", "draining");
        }
        const wrongSet = manifestDigest !== "" && state.manifestDigest !== manifestDigest;
        if (!state.serving || state.deployment !== deployment || wrongSet) {
            return createRefusal("no", "not-serving");
        }
        if (clock.monotonic() >= state.holdValidUntil) {
            return createRefusal("no", "hold-lapsed");
        }
        return undefined;
    }

    function execute(call: ExecuteCall): void {
        const execution: Execution = {
            call,
            row: createRequestRow(call, clock.monotonic()),
            writer: createFrameWriter(call),
            abort: new AbortController(),
            incarnation: undefined,
        };
        call.on("cancelled", () => cancel(execution));
        const refusal = checkServing(call);
        if (refusal !== undefined) {
            execution.writer.refuse(refusal);
            return;
        }
        const decision = offerRequest(admission, execution.row, clock.monotonic(), call.request.alone);
        if (decision.kind === "refuse") {
            execution.writer.refuse(decision.refusal);
            return;
        }
        waiting.set(execution.row.requestId, execution);
        if (decision.kind === "start") {
            begin(execution);
        }
        else {
            // A request that lost its place to this one is refused now, not with the next tick.
            advance(expireRequests(admission, clock.monotonic()));
        }
    }

    function cancel(execution: Execution): void {
        const { requestId, idempotent } = execution.row;
        if (waiting.delete(requestId)) {
            advance(cancelRequest(admission, requestId, clock.monotonic()));
        }
        // A non-idempotent request runs to its end, so that a repeat of its key gets the answer.
        else if (idempotent) {
            execution.abort.abort();
        }
    }

    function begin(execution: Execution): void {
        waiting.delete(execution.row.requestId);
        run(execution)
            .catch((error: unknown) => {
                logger.error(
                    { requestId: execution.row.requestId, error: String(error) },
                    "request failed unexpectedly",
                );
                execution.writer.refuse(createRefusal("unknown", "connection-lost"));
            })
            .finally(() => advance(finishRequest(admission, execution.row.requestId, clock.monotonic())));
    }

    function advance(progress: AdmissionProgress): void {
        for (const { request, refusal } of progress.refuse) {
            const execution = waiting.get(request.requestId);
            waiting.delete(request.requestId);
            execution?.writer.refuse(refusal);
        }
        for (const request of progress.start) {
            const execution = waiting.get(request.requestId);
            if (execution !== undefined) {
                begin(execution);
            }
        }
    }

    async function run(execution: Execution): Promise<void> {
        const { call, writer } = execution;
        // The wait may have outlasted the hold or the active weights.
        const refusal = checkServing(call) ?? acceptKey(execution);
        if (refusal === "answered") {
            return;
        }
        if (refusal !== undefined) {
            writer.refuse(refusal);
            return;
        }
        await runOnBackend(execution);
    }

    /** Claims the idempotency key; answers the call itself if the answer is stored. */
    function acceptKey(execution: Execution): Refusal | "answered" | undefined {
        const { row, writer } = execution;
        if (row.idempotent || row.idempotencyKey === undefined) {
            return undefined;
        }
        const history = options.ownership(row.deployment);
        if (history === undefined) {
            return createRefusal("no", "not-key-owner");
        }
        const now = clock.now().getTime();
        const lapsedFor = clock.monotonic() - options.readServing().holdValidUntil;
        const decision = offerKey(ledger, history, {
            key: row.idempotencyKey,
            clientAccount: row.clientAccount,
            bodyDigest: row.fingerprint,
            held: lapsedFor < 0,
            lapsedAt: now - lapsedFor,
            now,
        });
        if (decision.kind === "refuse") {
            return decision.refusal;
        }
        if (decision.kind === "replay") {
            void replay(writer, decision.answer);
            return "answered";
        }
        return undefined;
    }

    async function runOnBackend(execution: Execution): Promise<void> {
        const { call, row, writer, abort } = execution;
        const { request } = call;
        const { incarnation, manifestDigest } = options.readServing();
        execution.incarnation = incarnation;
        const answer = await backend.execute({
            requestId: request.requestId,
            method: request.method,
            path: request.path,
            contentType: request.contentType,
            body: request.body,
            priority: request.priority,
            manifestDigest,
            idempotencyKey: row.idempotencyKey,
        }, abort.signal);
        if (answer.isErr) {
            await fail(execution, answer.error);
            return;
        }
        if (answer.value.requestId !== request.requestId || answer.value.manifestDigest !== (manifestDigest ?? "")) {
            settleKey(row, "unknown");
            writer.refuse(createRefusal("unknown", "answer-mismatched"));
            return;
        }
        await passOn(execution, answer.value);
    }

    async function passOn(execution: Execution, answer: BackendResponse): Promise<void> {
        const { row, writer } = execution;
        const { status, contentType, model, adapter, version, manifestDigest } = answer;
        const weights = { model, adapter, version, manifestDigest };
        const kept: Uint8Array[] = [];
        let keptBytes = 0;
        await writer.start({ status, contentType, ...weights });
        try {
            for await (const piece of answer.body) {
                keptBytes += piece.length;
                if (!row.idempotent && keptBytes <= maximumStoredAnswerBytes) {
                    kept.push(piece);
                }
                await writer.data(piece);
            }
        }
        catch (error) {
            await fail(execution, error);
            return;
        }
        const storable = keptBytes <= maximumStoredAnswerBytes;
        prefixes.note(row.prefix, manifestDigest);
        settleKey(
            row,
            "finished",
            storable ? { status, contentType, weights, body: Buffer.concat(kept) } : undefined,
        );
        writer.end();
    }

    async function fail(execution: Execution, thrown: unknown): Promise<void> {
        const { row, writer, abort, incarnation } = execution;
        const error = thrown instanceof Error ? thrown.cause : thrown;
        const mayHaveRun = !isPortError(error) || error.mayHaveTakenEffect;
        const fingerprints = mayHaveRun ? crashes.noteBroken(row.fingerprint, incarnation) : [];
        settleKey(row, mayHaveRun ? "unknown" : "not-run");
        if (abort.signal.aborted) {
            writer.refuse(createRefusal(mayHaveRun ? "unknown" : "no", "canceled"));
            return;
        }
        const crashId = mayHaveRun ? await crashes.identify(incarnation) : undefined;
        logger.warn(
            { requestId: row.requestId, crashId, error: isPortError(error) ? error : String(thrown) },
            "backend server failed",
        );
        const reason = crashId === undefined ? "connection-lost" : "backend-server-crashed";
        const crash = crashId === undefined ? undefined : { crashId, fingerprints };
        writer.refuse(createRefusal(mayHaveRun ? "unknown" : "no", reason), crash);
    }

    function settleKey(row: RequestRow, state: "finished" | "unknown" | "not-run", answer?: StoredAnswer): void {
        if (!row.idempotent && row.idempotencyKey !== undefined) {
            finishKey(ledger, row.idempotencyKey, state, answer);
        }
    }

    return {
        execute,
        get running() {
            return admission.inProgress.size;
        },
        get recentPrefixes() {
            return prefixes.list();
        },
        get queued() {
            return admission.queued.size;
        },
        expire: () => advance(expireRequests(admission, clock.monotonic())),
    };
}

function createRefusal(ran: Refusal["ran"], reason: RefusalReason): Refusal {
    return { ran, reason, retryAfterSeconds: shortRetrySeconds };
}

function isPortError(error: unknown): error is GoldcrestpointError {
    return error instanceof Object && "mayHaveTakenEffect" in error;
}

async function replay(writer: FrameWriter, answer: StoredAnswer): Promise<void> {
    const { body, contentType, status, weights } = answer;
    await writer.start({ status, contentType, ...weights });
    await writer.data(body);
    writer.end();
}

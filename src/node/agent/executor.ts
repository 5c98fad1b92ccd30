import type { Logger } from "pino";
import {
    type AdmissionTable,
    cancelRequest,
    type DequeuedRequests,
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
    type InstanceId,
    isPortError,
    type ManifestDigest,
    type Milliseconds,
    type Refusal,
    type RefusalReason,
    type RequestRow,
} from "../../types/index.js";
import { createCrashTracker } from "./crashTracker.js";
import { createFrameWriter, type ExecuteCall, type FrameWriter, replayAnswer } from "./frames.js";
import { createRecentPrefixes } from "./recentPrefixes.js";
import { createRequestRow } from "./requestRow.js";

/** Whether this agent serves a deployment at present, and with which weights. */
export interface ServingState {
    readonly deployment: string | undefined;
    readonly serving: boolean;
    /** Undefined for plain services. */
    readonly manifestDigest: ManifestDigest | undefined;
    /** Monotonic time at which the hold lapses. */
    readonly holdValidUntil: Milliseconds;
    readonly draining: boolean;
    /** Incarnation of the backend server; undefined while its state is not known. */
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
    /** Largest answer that is stored for repeated requests with the same key, in bytes. Default: 256 KiB. */
    readonly maximumStoredAnswerBytes?: number;
}

/** Runs requests on the backend server of this agent's instance. */
export interface Executor {
    execute(call: ExecuteCall): void;
    /** Requests in progress on the backend server. */
    readonly running: number;
    /** Requests that wait until fewer are in progress. */
    readonly queued: number;
    /** Prefixes of recently answered requests on the current weights, newest first. */
    readonly recentPrefixes: readonly string[];
    /** Refuses waiting requests whose deadline has passed. */
    expire(): void;
    /** Refuses all requests that are waiting or in progress, since the time for the drain is over. */
    endDrain(): void;
}

interface Execution {
    readonly call: ExecuteCall;
    readonly row: RequestRow;
    readonly writer: FrameWriter;
    readonly abort: AbortController;
    /** Incarnation of the backend server on which the request runs; undefined before it runs. */
    incarnation: string | undefined;
}

const defaultMaximumStoredAnswerBytes = 256 * 1024;
/** Retry delay for callers whose request may soon be served by this instance or by another. */
const shortRetrySeconds = 1;

/**
 * Creates the executor that runs the requests of entry instances on the backend server.
 *
 * @param options - backend server, tables and serving state
 * @returns the executor
 */
export function createExecutor(options: ExecutorOptions): Executor {
    const { backend, admission, ledger, clock, logger } = options;
    const waiting = new Map<string, Execution>();
    const open = new Set<Execution>();
    const prefixes = createRecentPrefixes();
    const crashTracker = createCrashTracker({
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
        const isOtherSet = manifestDigest !== "" && state.manifestDigest !== manifestDigest;
        if (!state.serving || state.deployment !== deployment || isOtherSet) {
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
        open.add(execution);
        call.once("finish", () => open.delete(execution));
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
            startExecution(execution);
        }
        else {
            // A request that this one displaced from the queue is refused now rather than at the next tick.
            handleDequeued(expireRequests(admission, clock.monotonic()));
        }
    }

    function cancel(execution: Execution): void {
        const { requestId, idempotent } = execution.row;
        open.delete(execution);
        if (waiting.delete(requestId)) {
            handleDequeued(cancelRequest(admission, requestId, clock.monotonic()));
        }
        // A non-idempotent request runs to its end, so that a repeated request with its key gets the answer.
        else if (idempotent) {
            execution.abort.abort();
        }
    }

    function endDrain(): void {
        // A queued request must not start when one in progress ends.
        const queued = [...open].filter(({ row }) => waiting.has(row.requestId));
        for (const execution of new Set([...queued, ...open])) {
            execution.writer.refuse(createRefusal(queued.includes(execution) ? "no" : "unknown", "draining"));
            cancel(execution);
        }
    }

    function startExecution(execution: Execution): void {
        waiting.delete(execution.row.requestId);
        run(execution)
            .catch((error: unknown) => {
                logger.error(
                    { requestId: execution.row.requestId, error: String(error) },
                    "request failed unexpectedly",
                );
                execution.writer.refuse(createRefusal("unknown", "connection-lost"));
            })
            .finally(() => handleDequeued(finishRequest(admission, execution.row.requestId, clock.monotonic())));
    }

    function handleDequeued(dequeued: DequeuedRequests): void {
        for (const { request, refusal } of dequeued.refuse) {
            const execution = waiting.get(request.requestId);
            waiting.delete(request.requestId);
            execution?.writer.refuse(refusal);
        }
        for (const request of dequeued.start) {
            const execution = waiting.get(request.requestId);
            if (execution !== undefined) {
                startExecution(execution);
            }
        }
    }

    async function run(execution: Execution): Promise<void> {
        const { call, writer } = execution;
        // The hold may have lapsed, or the active weights may have changed, while the request was queued.
        const refusal = checkServing(call) ?? claimKey(execution);
        if (refusal === "answered") {
            return;
        }
        if (refusal !== undefined) {
            writer.refuse(refusal);
            return;
        }
        await runOnBackend(execution);
    }

    /** Claims the idempotency key; replays the answer and returns `answered` if one is stored. */
    function claimKey(execution: Execution): Refusal | "answered" | undefined {
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
            void replayAnswer(writer, decision.answer);
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
            await handleFailure(execution, answer.error);
            return;
        }
        if (answer.value.requestId !== request.requestId || answer.value.manifestDigest !== (manifestDigest ?? "")) {
            recordKeyOutcome(row, "unknown");
            writer.refuse(createRefusal("unknown", "answer-mismatched"));
            return;
        }
        await forwardAnswer(execution, answer.value);
    }

    async function forwardAnswer(execution: Execution, answer: BackendResponse): Promise<void> {
        const { row, writer } = execution;
        const { status, contentType, model, adapter, version, manifestDigest } = answer;
        const weights = { model, adapter, version, manifestDigest };
        const storedParts: Uint8Array[] = [];
        let answerBytes = 0;
        await writer.start({ status, contentType, ...weights });
        try {
            for await (const part of answer.body) {
                answerBytes += part.length;
                if (!row.idempotent && answerBytes <= maximumStoredAnswerBytes) {
                    storedParts.push(part);
                }
                await writer.data(part);
            }
        }
        catch (error) {
            await handleFailure(execution, error);
            return;
        }
        const isStorable = answerBytes <= maximumStoredAnswerBytes;
        prefixes.record(row.prefix, manifestDigest);
        recordKeyOutcome(
            row,
            "finished",
            isStorable ? { status, contentType, weights, body: Buffer.concat(storedParts) } : undefined,
        );
        writer.end();
    }

    async function handleFailure(execution: Execution, thrown: unknown): Promise<void> {
        const { row, writer, abort, incarnation } = execution;
        const error = thrown instanceof Error ? thrown.cause : thrown;
        const mayHaveRun = !isPortError(error) || error.mayHaveTakenEffect;
        const fingerprints = mayHaveRun ? crashTracker.recordBrokenRequest(row.fingerprint, incarnation) : [];
        recordKeyOutcome(row, mayHaveRun ? "unknown" : "not-run");
        if (abort.signal.aborted) {
            writer.refuse(createRefusal(mayHaveRun ? "unknown" : "no", "canceled"));
            return;
        }
        const crashId = mayHaveRun ? await crashTracker.identifyCrash(incarnation) : undefined;
        logger.warn(
            { requestId: row.requestId, crashId, error: isPortError(error) ? error : String(thrown) },
            "backend server failed",
        );
        const reason = crashId === undefined ? "connection-lost" : "backend-server-crashed";
        const crash = crashId === undefined ? undefined : { crashId, fingerprints };
        writer.refuse(createRefusal(mayHaveRun ? "unknown" : "no", reason), crash);
    }

    function recordKeyOutcome(row: RequestRow, state: "finished" | "unknown" | "not-run", answer?: StoredAnswer): void {
        if (!row.idempotent && row.idempotencyKey !== undefined) {
            finishKey(ledger, row.idempotencyKey, state, answer);
        }
    }

    return {
        execute,
        endDrain,
        get running() {
            return admission.inProgress.size;
        },
        get recentPrefixes() {
            return prefixes.list();
        },
        get queued() {
            return admission.queued.size;
        },
        expire: () => handleDequeued(expireRequests(admission, clock.monotonic())),
    };
}

function createRefusal(ran: Refusal["ran"], reason: RefusalReason): Refusal {
    return { ran, reason, retryAfterSeconds: shortRetrySeconds };
}

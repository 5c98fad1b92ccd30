import { create } from "@bufbuild/protobuf";
import type { ServerWritableStream } from "@grpc/grpc-js";
import {
    CopyStatusSchema,
    type LoadReport,
    LoadReportSchema,
    type WatchLoadRequest,
} from "../../../src/generated/goldcrestpoint_pb.js";
import { agentServiceDefinition, startRpcServer } from "../../../src/node/grpc/index.js";
import { createDisposalStack } from "../../../src/utils/index.js";
import { expectOk } from "../support.js";

/** What an agent reports about its engine. */
export interface ReportedEngine {
    readonly model: string;
    /** Undefined if nothing is loaded. */
    readonly version: number | undefined;
    /** Default: `serving`. */
    readonly phase?: string;
    /** Default: 0. */
    readonly orderSequence?: number;
    /** Undefined for an agent that does not verify loaded weights. */
    readonly verified?: boolean;
    /** Start of the engine; default: none is stated. */
    readonly incarnation?: string;
}

/** Stand-in for an agent. */
export interface AgentStandIn extends AsyncDisposable {
    readonly port: number;
    /** Reports a changed state of the engine at once. */
    report(engine: ReportedEngine): void;
    /** Sends nothing from now on, as when the process is frozen. */
    freeze(): void;
    /** Continues after a freeze. */
    resume(): void;
}

/** Options of {@link startAgentStandIn}. */
export interface AgentStandInOptions {
    /** Default: 127.0.0.1. */
    readonly host?: string;
    /** Default: a free port. */
    readonly port?: number;
}

/** Time between two reports of an unchanged state. */
const reportIntervalMilliseconds = 250;

function toReport(
    { incarnation = "", model, orderSequence = 0, phase = "serving", verified, version }: ReportedEngine,
) {
    return create(LoadReportSchema, {
        instance: "agent",
        incarnation,
        copies: version === undefined ?
            [] :
            [create(CopyStatusSchema, { deployment: model, version: String(version), phase })],
        capacity: 4,
        orderSequence: BigInt(orderSequence),
        ...(verified === undefined ? {} : { weightsVerified: verified }),
    });
}

/**
 * Starts an agent that reports about an engine.
 *
 * @param engine - first state of the engine
 * @param options - address
 * @returns the agent
 */
export async function startAgentStandIn(
    engine: ReportedEngine,
    { host = "127.0.0.1", port = 0 }: AgentStandInOptions = {},
): Promise<AgentStandIn> {
    const stack = createDisposalStack();
    const calls = new Set<ServerWritableStream<WatchLoadRequest, LoadReport>>();
    let current = engine;
    let isFrozen = false;

    function sendTo(call: ServerWritableStream<WatchLoadRequest, LoadReport>): void {
        if (!isFrozen) {
            call.write(toReport(current));
        }
    }

    const server = stack.use(expectOk(
        await startRpcServer(`${host}:${port}`, [{
            definition: agentServiceDefinition,
            implementation: {
                watchLoad: (call: ServerWritableStream<WatchLoadRequest, LoadReport>) => {
                    calls.add(call);
                    call.on("cancelled", () => calls.delete(call));
                    sendTo(call);
                },
            },
        }], 0),
    ));
    const timer = setInterval(() => calls.forEach(sendTo), reportIntervalMilliseconds);
    stack.defer(() => clearInterval(timer));
    return {
        port: server.port,
        report: changed => {
            current = changed;
            calls.forEach(sendTo);
        },
        freeze: () => {
            isFrozen = true;
        },
        resume: () => {
            isFrozen = false;
            calls.forEach(sendTo);
        },
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
}

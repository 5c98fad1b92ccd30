import type { sendUnaryData, ServerUnaryCall } from "@grpc/grpc-js";
import { EventEmitter } from "node:events";
import { err, ok } from "true-myth/result";
import type {
    AvailabilityRequest,
    AvailabilityResponse,
    ChunkPart,
} from "../../../../src/generated/goldcrestpoint_pb.js";
import type { PeerCalls } from "../../../../src/node/agent/transfer/peerCalls.js";
import type { TransferService } from "../../../../src/node/agent/transfer/types.js";
import { createError } from "../../../../src/types/index.js";

type Handlers = Pick<TransferService, "exchangeAvailability" | "fetchChunk">;

/** Server side of a stream of chunk parts without a network. */
class MemoryStream extends EventEmitter {
    readonly parts: ChunkPart[] = [];
    readonly cancelled = false;

    constructor(readonly request: unknown, private readonly finish: () => void) {
        super();
    }

    write(part: ChunkPart): boolean {
        this.parts.push(part);
        return true;
    }

    end(): void {
        this.finish();
    }
}

/** Agents that reach each other without a network. */
export interface MemoryNetwork {
    /** Handlers by address; an address without handlers never answers. */
    readonly handlers: Map<string, Handlers>;
    readonly create: () => PeerCalls;
}

/**
 * Creates a network in memory.
 *
 * @returns the network, without agents
 */
export function createMemoryNetwork(): MemoryNetwork {
    const handlers = new Map<string, Handlers>();
    const unreachable = (address: string) =>
        Promise.resolve(err(createError("PEER_UNREACHABLE", "call", address, "no agent there")));
    const calls: PeerCalls = {
        exchange: (address, fields) => {
            const agent = handlers.get(address);
            return agent === undefined ? unreachable(address) : new Promise(resolve => {
                const callback: sendUnaryData<AvailabilityResponse> = (...[, answer]) => resolve(ok(answer!));
                const call = { request: fields } as ServerUnaryCall<AvailabilityRequest, AvailabilityResponse>;
                agent.exchangeAvailability(call, callback);
            });
        },
        fetch: async (address, fields, ...[, receive]) => {
            const agent = handlers.get(address);
            if (agent === undefined) {
                return unreachable(address);
            }
            const parts = await new Promise<readonly ChunkPart[]>(resolve => {
                const stream = new MemoryStream(fields, () => resolve(stream.parts));
                agent.fetchChunk(stream as unknown as Parameters<Handlers["fetchChunk"]>[0]);
            });
            for (const part of parts) {
                await receive(part);
                if (part.refusal !== "") {
                    return err(createError("CHUNK_REFUSED", "fetch chunk", address, part.refusal));
                }
            }
            return ok(undefined);
        },
        keepOnly: () => undefined,
        [Symbol.dispose]: () => undefined,
    };
    return { handlers, create: () => calls };
}

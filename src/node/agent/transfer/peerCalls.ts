import { create } from "@bufbuild/protobuf";
import { Metadata } from "@grpc/grpc-js";
import { err, ok, type Result } from "true-myth/result";
import {
    type AvailabilityRequest,
    AvailabilityRequestSchema,
    type AvailabilityResponse,
    type ChunkPart,
    type FetchChunkRequest,
    FetchChunkRequestSchema,
} from "../../../generated/goldcrestpoint_pb.js";
import { createError, type GoldcrestpointError, type Milliseconds, type PortResult } from "../../../types/index.js";
import { type AgentClient, createAgentClient } from "../../grpc/index.js";
import { createExchangeStream, type ExchangeStream } from "./exchangeStream.js";

/** Fields of a request, without those that the code generator adds to each message. */
type Fields<Message> = Omit<Message, "$typeName" | "$unknown">;

/** Calls to the agents of other instances. */
export interface PeerCalls extends Disposable {
    /**
     * Exchanges bitfields.
     *
     * @param address - `host:port` of the agent
     * @param fields - content of the request
     * @param timeLimit - time after which the call fails
     * @returns the peer's answer; `PEER_UNREACHABLE` if there is none in time
     */
    exchange(
        address: string,
        fields: Fields<AvailabilityRequest>,
        timeLimit: Milliseconds,
    ): PortResult<AvailabilityResponse>;
    /**
     * Requests a chunk.
     *
     * @param address - `host:port` of the agent
     * @param fields - content of the request
     * @param signal - cancels the call
     * @param receive - called with each part; the next one is read once its promise resolves
     * @returns nothing once the stream has ended; `CHUNK_REFUSED` with the refusal as its message, or
     * `PEER_UNREACHABLE`
     */
    fetch(
        address: string,
        fields: Fields<FetchChunkRequest>,
        signal: AbortSignal,
        receive: (part: ChunkPart) => Promise<void>,
    ): Promise<Result<void, GoldcrestpointError>>;
    /**
     * Closes the connections to all other agents.
     *
     * @param addresses - agents that are still needed
     */
    keepOnly(addresses: ReadonlySet<string>): void;
}

interface Peer {
    readonly client: AgentClient;
    readonly exchanges: ExchangeStream;
    /** False once the agent has refused a stream of exchanges, since it is older. */
    servesStreams: boolean;
}

/**
 * Creates the calls to other agents, with one connection to each agent.
 *
 * @returns the calls
 */
export function createPeerCalls(): PeerCalls {
    const peers = new Map<string, Peer>();

    function findPeer(address: string): Peer {
        const known = peers.get(address);
        if (known !== undefined) {
            return known;
        }
        const client = createAgentClient(address);
        const peer = { client, exchanges: createExchangeStream(address, client), servesStreams: true };
        peers.set(address, peer);
        return peer;
    }

    function keepOnly(addresses: ReadonlySet<string>): void {
        for (const [address, { client, exchanges }] of peers) {
            if (!addresses.has(address)) {
                exchanges[Symbol.dispose]();
                client.close();
                peers.delete(address);
            }
        }
    }

    async function exchange(
        address: string,
        fields: Fields<AvailabilityRequest>,
        timeLimit: Milliseconds,
    ): PortResult<AvailabilityResponse> {
        const peer = findPeer(address);
        const request = create(AvailabilityRequestSchema, fields);
        const answer = peer.servesStreams ? await peer.exchanges.exchange(request, timeLimit) : "unsupported";
        if (answer !== "unsupported") {
            return answer;
        }
        peer.servesStreams = false;
        return callOnce(address, peer.client, request, timeLimit);
    }

    function callOnce(
        address: string,
        client: AgentClient,
        request: AvailabilityRequest,
        timeLimit: Milliseconds,
    ): PortResult<AvailabilityResponse> {
        return new Promise(resolve => {
            // gRPC expects the deadline as a wall-clock time.
            const options = { deadline: Date.now() + timeLimit };
            client.exchangeAvailability(request, new Metadata(), options, (error, response) => {
                if (response === undefined) {
                    const message = error?.message ?? "no answer";
                    resolve(err(createError("PEER_UNREACHABLE", "exchange availability", address, message)));
                    return;
                }
                resolve(ok(response));
            });
        });
    }

    async function fetch(
        address: string,
        fields: Fields<FetchChunkRequest>,
        signal: AbortSignal,
        receive: (part: ChunkPart) => Promise<void>,
    ): Promise<Result<void, GoldcrestpointError>> {
        const step = `fetch chunk ${fields.index}`;
        const call = findPeer(address).client.fetchChunk(create(FetchChunkRequestSchema, fields));
        const cancel = () => {
            call.cancel();
        };
        signal.addEventListener("abort", cancel, { once: true });
        try {
            for await (const message of call) {
                const part = message as ChunkPart;
                await receive(part);
                if (part.refusal !== "") {
                    return err(createError("CHUNK_REFUSED", step, address, part.refusal));
                }
            }
            return ok(undefined);
        }
        catch (error) {
            const message = error instanceof Error ? error.message : String(error);
            return err(createError("PEER_UNREACHABLE", step, address, message, { cause: error }));
        }
        finally {
            signal.removeEventListener("abort", cancel);
        }
    }

    return {
        exchange,
        fetch,
        keepOnly,
        [Symbol.dispose]: () => {
            keepOnly(new Set());
        },
    };
}

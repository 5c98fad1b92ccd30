import {
    type CallOptions,
    type ClientDuplexStream,
    type ClientReadableStream,
    type ClientUnaryCall,
    credentials,
    makeClientConstructor,
    type Metadata,
    type requestCallback,
} from "@grpc/grpc-js";
import {
    Agent,
    type AvailabilityRequest,
    type AvailabilityResponse,
    type ChunkPart,
    type CrashEvidence,
    type CrashEvidenceRequest,
    type ExecuteFrame,
    type ExecuteRequest,
    type FetchChunkRequest,
    type FollowRecordsRequest,
    type FollowRequest,
    type FollowResponse,
    type LoadReport,
    type RecordBatch,
    Relay,
    Replica,
    type ShareSuspicionRequest,
    type ShareSuspicionResponse,
    type WatchLoadRequest,
} from "../../generated/goldcrestpoint_pb.js";
import { channelOptions } from "./channelOptions.js";
import { createServiceDefinition } from "./serviceDefinition.js";

/** Client of an agent. */
export interface AgentClient {
    watchLoad(request: WatchLoadRequest, options?: CallOptions): ClientReadableStream<LoadReport>;
    execute(request: ExecuteRequest, options?: CallOptions): ClientReadableStream<ExecuteFrame>;
    exchangeAvailability(
        request: AvailabilityRequest,
        metadata: Metadata,
        options: CallOptions,
        callback: requestCallback<AvailabilityResponse>,
    ): ClientUnaryCall;
    streamAvailability(options?: CallOptions): ClientDuplexStream<AvailabilityRequest, AvailabilityResponse>;
    fetchChunk(request: FetchChunkRequest, options?: CallOptions): ClientReadableStream<ChunkPart>;
    close(): void;
}

/** Client of an entry instance's relay. */
export interface RelayClient {
    follow(options?: CallOptions): ClientDuplexStream<FollowRequest, FollowResponse>;
    shareSuspicion(
        request: ShareSuspicionRequest,
        metadata: Metadata,
        options: CallOptions,
        callback: requestCallback<ShareSuspicionResponse>,
    ): ClientUnaryCall;
    close(): void;
}

/** Client of a process that relays keyed records. */
export interface ReplicaClient {
    followRecords(options?: CallOptions): ClientDuplexStream<FollowRecordsRequest, RecordBatch>;
    exchangeCrashEvidence(
        request: CrashEvidenceRequest,
        metadata: Metadata,
        options: CallOptions,
        callback: requestCallback<CrashEvidence>,
    ): ClientUnaryCall;
    close(): void;
}

/** Definition of the service that agents serve. */
export const agentServiceDefinition = createServiceDefinition(Agent);
/** Definition of the service that entry instances serve. */
export const relayServiceDefinition = createServiceDefinition(Relay);
/** Definition of the service that processes serve to relay keyed records. */
export const replicaServiceDefinition = createServiceDefinition(Replica);

const AgentClientConstructor = makeClientConstructor(agentServiceDefinition, Agent.typeName);
const RelayClientConstructor = makeClientConstructor(relayServiceDefinition, Relay.typeName);
const ReplicaClientConstructor = makeClientConstructor(replicaServiceDefinition, Replica.typeName);

/**
 * Creates a client of an agent; it connects with the first call.
 *
 * @param address - `host:port` of the agent
 * @returns the client
 */
export function createAgentClient(address: string): AgentClient {
    return new AgentClientConstructor(address, credentials.createInsecure(), channelOptions) as unknown as AgentClient;
}

/**
 * Creates a client of an entry instance's relay; it connects with the first call.
 *
 * @param address - `host:port` of the entry instance
 * @returns the client
 */
export function createRelayClient(address: string): RelayClient {
    return new RelayClientConstructor(address, credentials.createInsecure(), channelOptions) as unknown as RelayClient;
}

/**
 * Creates a client of a process that relays keyed records; it connects with the first call.
 *
 * @param address - `host:port` of the process
 * @returns the client
 */
export function createReplicaClient(address: string): ReplicaClient {
    return new ReplicaClientConstructor(
        address,
        credentials.createInsecure(),
        channelOptions,
    ) as unknown as ReplicaClient;
}

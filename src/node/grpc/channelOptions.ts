import type { ChannelOptions } from "@grpc/grpc-js";

/** Maximum size of a gRPC message, in bytes. */
export const maximumMessageBytes = 16 * 1024 * 1024;

/** Options of all gRPC clients and servers. */
export const channelOptions: ChannelOptions = {
    "grpc.max_receive_message_length": maximumMessageBytes,
    "grpc.max_send_message_length": maximumMessageBytes,
    // Clients with the same target would otherwise share a connection, and a link that is cut for one would go
    // unnoticed.
    "grpc.use_local_subchannel_pool": 1,
    // A process that stands still for several seconds does not acknowledge a ping in that time, but continues. A dead peer
    // is noticed after the sum of both.
    "grpc.keepalive_time_ms": 5_000,
    "grpc.keepalive_timeout_ms": 10_000,
    "grpc.initial_reconnect_backoff_ms": 200,
    "grpc.max_reconnect_backoff_ms": 2_000,
    "grpc.enable_retries": 0,
    // Statistics of each channel, connection and call, which nothing reads.
    "grpc.enable_channelz": 0,
    "grpc.service_config_disable_resolution": 1,
};

import type { ChannelOptions } from "@grpc/grpc-js";

/** Largest message of our own protocols, in bytes. */
export const maximumMessageBytes = 16 * 1024 * 1024;

/** Options of every client and server of our own protocols. */
export const channelOptions: ChannelOptions = {
    "grpc.max_receive_message_length": maximumMessageBytes,
    "grpc.max_send_message_length": maximumMessageBytes,
    // Two processes of one machine would otherwise share connections and hide a cut link from each other.
    "grpc.use_local_subchannel_pool": 1,
    "grpc.keepalive_time_ms": 10_000,
    "grpc.keepalive_timeout_ms": 5_000,
    "grpc.initial_reconnect_backoff_ms": 200,
    "grpc.max_reconnect_backoff_ms": 2_000,
    "grpc.enable_retries": 0,
    "grpc.service_config_disable_resolution": 1,
};

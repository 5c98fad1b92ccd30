import { create } from "@bufbuild/protobuf";
import type { ClientDuplexStream } from "@grpc/grpc-js";
import {
    type CopyStatus,
    type FollowRequest,
    FollowRequestSchema,
    type FollowResponse,
    type TransferTotals,
} from "../../generated/goldcrestpoint_pb.js";
import type { StateSnapshot } from "../../runtime/state/index.js";
import type { Clock, InstanceId, InstanceRow, LogEntry, Milliseconds, Offset } from "../../types/index.js";
import { createRelayClient } from "../grpc/index.js";
import { readRelayedRecord } from "./messages.js";
import type { StateStore } from "./stateStore.js";

/** Entry instance that can be followed. */
export interface RelayTarget {
    readonly instance: InstanceId;
    readonly address: string;
}

/** What a follower reports about itself with each heartbeat. */
export interface HeartbeatContent {
    readonly copies: readonly CopyStatus[];
    readonly draining: boolean;
    readonly transfers?: TransferTotals;
}

/** Response of a relay to a heartbeat. */
export interface HeartbeatResponse {
    readonly instance: InstanceId;
    /** Monotonic time at which the heartbeat was sent. */
    readonly sentAt: Milliseconds;
    readonly appliedOffset: Offset;
    readonly logReachable: boolean;
    readonly uptime: Milliseconds;
}

/** Options of {@link createFollower}. */
export interface FollowerOptions {
    readonly self: InstanceId;
    readonly incarnation: string;
    readonly target: RelayTarget;
    readonly store: StateStore;
    readonly clock: Clock;
    readonly startedAt: Milliseconds;
    readonly readContent: () => HeartbeatContent;
    readonly onHeartbeatResponse: (response: HeartbeatResponse) => void;
    readonly onInstances: (rows: readonly InstanceRow[]) => void;
    readonly onEnd: (reason: string) => void;
}

/** Stream to one relay. */
export interface Follower extends Disposable {
    readonly target: RelayTarget;
    /** Sends a heartbeat now. */
    sendHeartbeat(): void;
    /** Monotonic time at which the newest message arrived; the start before the first message. */
    readonly heardAt: Milliseconds;
}

interface FollowContent {
    readonly snapshot: StateSnapshot | undefined;
    readonly entries: readonly LogEntry[];
    readonly instances: readonly InstanceRow[] | undefined;
}

/** Age that a relay states until its state has been complete once. */
const unknownAge = BigInt(Number.MAX_SAFE_INTEGER);
/** Heartbeats without a response whose send time is kept. */
const maximumPendingHeartbeats = 32;

/**
 * Follows one relay: receives log records with their age, and sends heartbeats.
 *
 * @param options - relay, store, content of the heartbeats and callbacks
 * @returns the stream; `onEnd` is called when it ends, and it is not reopened
 */
export function createFollower(options: FollowerOptions): Follower {
    const { store, clock, target } = options;
    const client = createRelayClient(target.address);
    const stream: ClientDuplexStream<FollowRequest, FollowResponse> = client.follow();
    // Monotonic send times of the heartbeats without a response, by number of the heartbeat.
    const sentAt = new Map<number, Milliseconds>();
    let heartbeat = 0;
    let heardAt = clock.monotonic();
    let ended = false;

    function end(reason: string): void {
        if (ended) {
            return;
        }
        ended = true;
        stream.cancel();
        client.close();
        options.onEnd(reason);
    }

    /** Returns why the stream has to be closed; undefined if the message was applied. */
    function applyContent({ snapshot, entries, instances }: FollowContent, appliedOffset: Offset): string | undefined {
        if (snapshot !== undefined) {
            store.adoptSnapshot(snapshot);
        }
        if (entries.length > 0 && store.applyEntries(entries) === "gap") {
            return "records are missing";
        }
        if (instances !== undefined) {
            options.onInstances(instances);
        }
        // A relay sends each part of its state once on a stream, so state that was rejected arrives only on a new
        // stream.
        return appliedOffset > store.state.appliedOffset ? "the relay's state was refused" : undefined;
    }

    function applyMessage(message: FollowResponse): string | undefined {
        try {
            return applyContent(parseContent(message), Number(message.appliedOffset));
        }
        catch {
            // Its JSON is invalid, nested too deeply or of another structure.
            return "the message is malformed";
        }
    }

    function receive(message: FollowResponse): void {
        heardAt = clock.monotonic();
        const fault = applyMessage(message);
        if (fault !== undefined) {
            end(fault);
            return;
        }
        const answered = Number(message.heartbeat);
        const answeredSentAt = sentAt.get(answered);
        if (answeredSentAt === undefined) {
            return;
        }
        sentAt.delete(answered);
        if (message.logAgeMilliseconds < unknownAge) {
            store.recordLogKnown(answeredSentAt - Number(message.logAgeMilliseconds));
        }
        options.onHeartbeatResponse({
            instance: message.instance,
            sentAt: answeredSentAt,
            appliedOffset: Number(message.appliedOffset),
            logReachable: message.logReachable,
            uptime: Number(message.uptimeMilliseconds),
        });
    }

    function sendHeartbeat(): void {
        if (ended) {
            return;
        }
        heartbeat += 1;
        sentAt.set(heartbeat, clock.monotonic());
        if (sentAt.size > maximumPendingHeartbeats) {
            sentAt.delete(sentAt.keys().next().value!);
        }
        const { copies, draining, transfers } = options.readContent();
        stream.write(create(FollowRequestSchema, {
            instance: options.self,
            incarnation: options.incarnation,
            appliedOffset: BigInt(store.state.appliedOffset),
            copies: [...copies],
            draining,
            ...(transfers === undefined ? {} : { transfers }),
            heartbeat: BigInt(heartbeat),
            uptimeMilliseconds: BigInt(Math.floor(clock.monotonic() - options.startedAt)),
        }));
    }

    stream.on("data", receive);
    stream.on("error", (error: Error) => end(error.message));
    stream.on("end", () => end("the relay ended the stream"));
    sendHeartbeat();

    return {
        target,
        sendHeartbeat,
        get heardAt() {
            return heardAt;
        },
        [Symbol.dispose]: () => end("closed"),
    };
}

/** Parses the JSON parts of a message; throws if one of them is not valid JSON. */
function parseContent({ instances, records, snapshot }: FollowResponse): FollowContent {
    return {
        snapshot: snapshot === "" ? undefined : JSON.parse(snapshot) as StateSnapshot,
        entries: records.map(readRelayedRecord),
        instances: instances === "" ? undefined : JSON.parse(instances) as InstanceRow[],
    };
}

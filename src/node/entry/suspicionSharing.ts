import { create } from "@bufbuild/protobuf";
import { Metadata, type sendUnaryData, type ServerUnaryCall } from "@grpc/grpc-js";
import {
    type ShareSuspicionRequest,
    ShareSuspicionRequestSchema,
    type ShareSuspicionResponse,
    ShareSuspicionResponseSchema,
} from "../../generated/goldcrestpoint_pb.js";
import { mergeSuspects, reportCrash, reportSuccessAlone, type SuspectRow } from "../../runtime/retry/index.js";
import type { Fingerprint } from "../../types/index.js";
import type { CrashReport } from "../crashes/index.js";
import { createRelayClient, type RelayClient } from "../grpc/index.js";
import type { EntryContext } from "./context.js";

/** Call of the `ShareSuspicion` method. */
export type ShareCall = ServerUnaryCall<ShareSuspicionRequest, ShareSuspicionResponse>;
/** Callback of the `ShareSuspicion` method. */
export type ShareCallback = sendUnaryData<ShareSuspicionResponse>;

/** Shares with other entry instances which requests are suspected to crash backend servers. */
export interface SuspicionSharing extends Disposable {
    /**
     * Records a crash; each crash counts once, however many requests it interrupted.
     *
     * @param crash - the crash
     */
    recordCrash(crash: CrashReport): void;
    /**
     * Records that a suspect request has finished while it ran alone on its backend server.
     *
     * @param fingerprint - the request
     */
    recordSuccessAlone(fingerprint: Fingerprint): void;
    /** Handler of the `ShareSuspicion` method. */
    shareSuspicion(call: ShareCall, callback: ShareCallback): void;
}

/** Maximum number of entry instances to which a change is sent; each forwards a change that is new to it. */
const maximumPeersPerChange = 8;
/** Time limit of one call of `ShareSuspicion`. */
const shareTimeLimitMilliseconds = 2_000;
/** Maximum number of crashes kept, so that further requests which they interrupted do not count again. */
const maximumKnownCrashes = 1_000;

/**
 * Creates the sharing of suspect requests.
 *
 * @param context - the entry instance
 * @returns the sharing; it has to be registered as the handler of `ShareSuspicion`
 */
export function createSuspicionSharing(context: EntryContext): SuspicionSharing {
    const { clock, instances, suspects } = context;
    const clients = new Map<string, RelayClient>();
    const knownCrashIds = new Set<string>();

    function findClient(address: string): RelayClient {
        const client = clients.get(address) ?? createRelayClient(address);
        clients.set(address, client);
        return client;
    }

    function pickPeers(): string[] {
        const addresses: string[] = [];
        for (const instance of instances.lookup("role", "entry")) {
            const row = instances.get(instance)!;
            if (instance !== context.self && row.state === "live") {
                addresses.push(row.address);
            }
        }
        while (addresses.length > maximumPeersPerChange) {
            addresses.splice(Math.floor(context.random.next() * addresses.length), 1);
        }
        return addresses;
    }

    function send(rows: readonly SuspectRow[]): void {
        if (rows.length === 0) {
            return;
        }
        const now = clock.monotonic();
        const request = create(ShareSuspicionRequestSchema, {
            instance: context.self,
            suspicions: rows.map(row => ({
                fingerprint: row.fingerprint,
                crashes: row.crashes,
                crashesAlone: row.crashesAlone,
                condemned: row.condemned,
                cleared: row.cleared,
                ageMilliseconds: BigInt(Math.max(0, Math.floor(now - row.changedAt))),
            })),
        });
        for (const address of pickPeers()) {
            findClient(address).shareSuspicion(
                request,
                new Metadata(),
                { deadline: Date.now() + shareTimeLimitMilliseconds },
                error => {
                    if (error instanceof Error) {
                        context.logger.debug({ peer: address, error: error.message }, "suspicion could not be shared");
                    }
                },
            );
        }
    }

    return {
        recordCrash: ({ crashId, fingerprints, alone }) => {
            if (knownCrashIds.has(crashId)) {
                return;
            }
            knownCrashIds.add(crashId);
            if (knownCrashIds.size > maximumKnownCrashes) {
                knownCrashIds.delete(knownCrashIds.values().next().value!);
            }
            context.logger.warn({ crashId, requests: fingerprints.length }, "backend server crashed");
            send(reportCrash(suspects, fingerprints, clock.monotonic(), alone));
        },
        recordSuccessAlone: fingerprint => send(reportSuccessAlone(suspects, fingerprint, clock.monotonic())),
        shareSuspicion: (call, callback) => {
            const now = clock.monotonic();
            const rows = call.request.suspicions.map(suspicion => ({
                fingerprint: suspicion.fingerprint,
                crashes: suspicion.crashes,
                crashesAlone: suspicion.crashesAlone,
                condemned: suspicion.condemned,
                cleared: suspicion.cleared,
                changedAt: now - Number(suspicion.ageMilliseconds),
            }));
            send(mergeSuspects(suspects, rows, now));
            callback(undefined as never, create(ShareSuspicionResponseSchema));
        },
        [Symbol.dispose]: () => {
            for (const client of clients.values()) {
                client.close();
            }
        },
    };
}

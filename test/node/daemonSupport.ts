import { setTimeout as delay } from "node:timers/promises";
import { pino } from "pino";
import type { AttemptInput } from "../../src/node/entry/attempt.js";
import { type RpcServer, type ServiceBinding, startRpcServer } from "../../src/node/grpc/index.js";
import { findFreePorts } from "../../src/standIn/index.js";
import type { CopyAssignment, LogEntry, PlacementRecord } from "../../src/types/index.js";
import { expectOk } from "./support.js";

/** Logger that writes nothing. */
export const silentLogger = pino({ level: "silent" });

/** Waits until a condition holds. The limit is only reached if the test fails. */
export async function waitFor(condition: () => boolean): Promise<void> {
    for (let round = 0; round < 10_000; round++) {
        if (condition()) {
            return;
        }
        await delay(1);
    }
    throw new Error("the condition was not met in time");
}

/** Server of one gRPC service on a free loopback port. */
export interface LoopbackServer extends AsyncDisposable {
    readonly address: string;
}

/** Starts a server that serves one service on a free loopback port. */
export async function startLoopbackServer(binding: ServiceBinding): Promise<LoopbackServer> {
    const [port] = await findFreePorts(1);
    const server: RpcServer = expectOk(await startRpcServer(`127.0.0.1:${port}`, [binding]));
    return {
        address: `127.0.0.1:${server.port}`,
        [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
    };
}

/** Creates a placement record of the deployment `scribe`. */
export function createPlacement(offset: number, changes: Partial<PlacementRecord> = {}): PlacementRecord {
    return {
        id: `record-${offset}`,
        kind: "placement",
        deployment: "scribe",
        base: 0,
        writtenAt: "2026-01-01T00:00:00.000Z",
        writer: "entry-1",
        configurationOffset: 0,
        copies: [],
        owners: [],
        ...changes,
    };
}

/** Creates a copy without weights, as for a plain service. */
export function createCopy(instance: string, changes: Partial<CopyAssignment> = {}): CopyAssignment {
    return {
        instance,
        zone: "sando-hall",
        epoch: 0,
        weights: undefined,
        state: "assigned",
        witnesses: [],
        ...changes,
    };
}

/** Creates log entries with consecutive offsets, each based on the one before. */
export function createEntries(first: number, last: number, changes: Partial<PlacementRecord> = {}): LogEntry[] {
    return Array.from({ length: last - first + 1 }, (...[, index]) => {
        const offset = first + index;
        return {
            offset,
            previousOffset: offset - 1,
            record: createPlacement(offset, { base: offset - 1, ...changes }),
        };
    });
}

/** Creates the request of an attempt. */
export function createAttemptRequest(
    requestId: string,
    changes: Partial<AttemptInput["request"]> = {},
): AttemptInput["request"] {
    return {
        requestId,
        deployment: "scribe",
        placementOffset: 1n,
        version: "",
        manifestDigest: "",
        clientAccount: "account",
        priority: 5,
        deadlineMilliseconds: 60_000n,
        idempotent: true,
        idempotencyKey: "",
        fingerprint: `fingerprint-${requestId}`,
        alone: false,
        stream: false,
        method: "POST",
        path: "/links",
        contentType: "text/plain",
        body: Buffer.from(requestId),
        prefix: "",
        ...changes,
    };
}

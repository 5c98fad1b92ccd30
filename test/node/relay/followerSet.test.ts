import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { FollowResponseSchema } from "../../../src/generated/goldcrestpoint_pb.js";
import { relayServiceDefinition } from "../../../src/node/grpc/index.js";
import { createStateStore, type FollowCall, startFollowerSet } from "../../../src/node/relay/index.js";
import { createSystemClock, rankByRendezvous } from "../../../src/utils/index.js";
import { silentLogger, startLoopbackServer, waitFor } from "../daemonSupport.js";

const rankKey = "agents";
const ranked = rankByRendezvous(rankKey, Array.from({ length: 12 }, (...[, index]) => `entry-${index}`));

/** Starts an entry instance that answers each heartbeat. */
function startEntry() {
    const follow = (call: FollowCall): void => {
        call.on("error", () => undefined);
        call.on("end", () => call.end());
        call.on(
            "data",
            ({ heartbeat }: { heartbeat: bigint; }) =>
                call.write(create(FollowResponseSchema, { instance: "entry", heartbeat })),
        );
    };
    return startLoopbackServer({ definition: relayServiceDefinition, implementation: { follow } });
}

describe("followers of entry instances", () => {
    for (const silent of [3, 11]) {
        // Guards against a process that only ever tries the first instances of its ranking, which may be gone for good.
        it(`reach the one that responds behind ${silent} that do not`, async () => {
            await using entry = await startEntry();
            const sockets = new Set<Socket>();
            const server = createServer(socket => {
                sockets.add(socket.on("error", () => {}).resume());
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const silentAddress = `127.0.0.1:${(server.address() as { readonly port: number; }).port}`;
            const answered: string[] = [];
            const followers = startFollowerSet({
                self: "agent-1",
                incarnation: "first",
                store: createStateStore(),
                clock: createSystemClock(),
                startedAt: 0,
                readContent: () => ({ copies: [], draining: false }),
                onHeartbeatResponse: ({ instance }) => answered.push(instance),
                onInstances: () => undefined,
                listTargets: () =>
                    ranked.slice(0, silent + 1).map((instance, index) => ({
                        instance,
                        address: index === silent ? entry.address : silentAddress,
                    })),
                rankKey,
                listRequired: () => [],
                heartbeatMilliseconds: 20,
                logger: silentLogger,
            });
            await waitFor(() => answered.length > 0).finally(() => {
                followers[Symbol.dispose]();
                sockets.forEach(socket => socket.destroy());
                server.close();
            });
            expect(followers.heardAt === undefined).toEqual(false);
        });
    }
});

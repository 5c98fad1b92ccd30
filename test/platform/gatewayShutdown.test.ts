import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { once } from "node:events";
import { Agent } from "node:http";
import { connect, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { FollowRecordsRequestSchema, TopicPositionSchema } from "../../src/generated/goldcrestpoint_pb.js";
import { createReplicaClient } from "../../src/node/grpc/index.js";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment } from "./standIn/deployment.js";
import { drainTimeLimitSeconds } from "./standIn/gateway.js";

const drainTimeLimit = drainTimeLimitSeconds * 1_000;

/** Peer whose connection is open when the gateway shuts down. */
interface OpenPeer extends AsyncDisposable {
    /** Interrupts the link without a reset, so that the peer does not notice the shutdown. */
    interrupt(): void;
}

/** Follows the records of a gateway through a proxy whose link can be interrupted without a reset. */
async function followRecords(address: string): Promise<OpenPeer> {
    const stack = createDisposalStack();
    const sockets: Socket[] = [];
    const [host, port] = address.split(":");
    const link = createServer(near => {
        const far = connect(Number(port), host);
        for (const [from, to] of [[near, far], [far, near]] as const) {
            sockets.push(from);
            from.on("error", () => {});
            from.on("close", () => to.destroy());
            from.pipe(to);
        }
    });
    stack.defer(() => {
        sockets.forEach(socket => socket.destroy());
        link.close();
    });
    link.listen(0, "127.0.0.1");
    await once(link, "listening");
    const client = createReplicaClient(`127.0.0.1:${(link.address() as { readonly port: number; }).port}`);
    const stream = client.followRecords();
    stack.defer(() => {
        stream.cancel();
        client.close();
    });
    stream.on("error", () => {});
    const received = once(stream, "data");
    const positions = [create(TopicPositionSchema, { topic: "operator", nextOffset: 0n })];
    stream.write(create(FollowRecordsRequestSchema, { instance: "follower-1", positions }));
    await received;
    stream.resume();
    return {
        interrupt: () =>
            sockets.forEach(socket => {
                socket.unpipe();
                socket.pause();
            }),
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
}

/** Opens a connection without sending a request. */
async function openIdleConnection(url: string): Promise<OpenPeer> {
    const { hostname, port } = new URL(url);
    const socket = connect(Number(port), hostname);
    socket.on("error", () => {});
    await once(socket, "connect");
    return {
        interrupt: () => {},
        [Symbol.asyncDispose]: () => {
            socket.destroy();
            return Promise.resolve();
        },
    };
}

describe("shutdown of a gateway whose requests outlast the drain time limit", () => {
    const cases = [
        { peer: "a process that follows its records", open: followRecords, at: "relayAddress", isInterrupted: false },
        { peer: "a follower behind an interrupted link", open: followRecords, at: "relayAddress", isInterrupted: true },
        { peer: "a connection without a request", open: openIdleConnection, at: "readyUrl", isInterrupted: false },
    ] as const;

    for (const { at, isInterrupted, open, peer } of cases) {
        // Guards against a process that is killed because it waits for its peers after the drain.
        it(`completes within the time limit with ${peer}`, async () => {
            await using deployment = await startDeployment();
            const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 20_000 }));
            deployment.configure({ version: 2, routes });
            await deployment.addRunner({ id: "i-1", events: 250, eventMilliseconds: 20 });
            await using connection = await open(deployment[at]);
            const running = call(deployment, "/stream/", { headers: { "deadline-ms": "20000" } });
            await sleep(200);
            if (isInterrupted) {
                connection.interrupt();
            }
            const startedAt = performance.now();
            const ended = new AbortController();
            const isInTime = await Promise.race([
                deployment.stop().then(() => performance.now() - startedAt <= drainTimeLimit),
                sleep(3 * drainTimeLimit, ended.signal).then(() => false),
            ]);
            ended.abort();
            expect(isInTime).toEqual(true);
            const drained = deployment.logLines.find(line => line.includes("\"drained\""));
            expect([(await running).complete, drained?.includes("\"open\":1")]).toEqual([false, true]);
        });
    }
});

/** Request whose head was sent, and whose body has not arrived yet. */
interface LateRequest {
    sendBody(): void;
    /** Resolves with all bytes of the answer when the connection has ended. */
    readonly received: Promise<string>;
}

/** Sends the head of a request. */
async function openLateRequest({ gatewayUrl }: TestDeployment, path: string): Promise<LateRequest> {
    const { hostname, port } = new URL(gatewayUrl);
    const socket = connect(Number(port), hostname);
    await once(socket, "connect");
    const lines = [
        `POST ${path} HTTP/1.1`,
        "host: members.example",
        `attempt-id: late-${path}`,
        "deadline-ms: 20000",
        "authorization: Token key-1",
        "content-length: 4",
    ];
    socket.write(`${lines.join("\r\n")}\r\n\r\n`);
    let text = "";
    socket.on("data", part => {
        text += part.toString();
    });
    const received = new Promise<string>(resolve => {
        socket.once("error", () => resolve(text));
        socket.once("close", () => resolve(text));
    });
    await sleep(100);
    return { sendBody: () => void socket.write("body"), received };
}

describe("gateway that shuts down", () => {
    // Guards against a request that arrives on a kept-alive connection late in the drain and is broken off at its end.
    it("runs no request on the connection of a stream that began before the signal", async () => {
        await using deployment = await startDeployment();
        const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 20_000 }));
        deployment.configure({ version: 2, routes });
        const runner = await deployment.addRunner({ id: "i-1", events: 75, eventMilliseconds: 20 });
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const options = { agent, headers: { "deadline-ms": "20000" } };
        const running = call(deployment, "/stream/", options);
        await sleep(200);
        const next = running.then(() => call(deployment, "/stream/", options)).catch(() => undefined);
        await deployment.stop();
        agent.destroy();
        expect((await running).complete).toEqual(true);
        expect((await next)?.status !== 200).toEqual(true);
        expect(runner.runs.length).toEqual(1);
    });

    for (const path of ["/unsafe/", "/stream/"]) {
        // Guards against a request that is read late in the drain, forwarded, and broken off at its end.
        it(`refuses a request to ${path} whose body arrives after the last connections were accepted`, async () => {
            await using deployment = await startDeployment();
            const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 20_000 }));
            deployment.configure({ version: 2, routes });
            const runner = await deployment.addRunner({ id: "i-1", workMilliseconds: 4 * drainTimeLimit });
            const late = await openLateRequest(deployment, path);
            const stopped = deployment.stop();
            await sleep(0.4 * drainTimeLimit);
            late.sendBody();
            const received = await late.received;
            await stopped;
            expect(received.startsWith("HTTP/1.1 503 ")).toEqual(true);
            expect(received.toLowerCase().includes("connection: close")).toEqual(true);
            expect(runner.countArrivals()).toEqual(0);
        });
    }

    const atTheEnd = [
        { name: "refuses a request whose body has not arrived", sendsBody: false, status: 503, arrivals: 0 },
        { name: "answers that it does not know the outcome of a request", sendsBody: true, status: 502, arrivals: 1 },
    ];
    for (const { arrivals, name, sendsBody, status } of atTheEnd) {
        // Guards against a connection that is closed without an answer.
        it(`${name} when the time for the drain is over`, async () => {
            await using deployment = await startDeployment();
            const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 20_000 }));
            deployment.configure({ version: 2, routes });
            const runner = await deployment.addRunner({ id: "i-1", workMilliseconds: 4 * drainTimeLimit });
            const late = await openLateRequest(deployment, "/unsafe/");
            if (sendsBody) {
                late.sendBody();
                await sleep(200);
            }
            await deployment.stop();
            const received = await late.received;
            expect(received.startsWith(`HTTP/1.1 ${status} `)).toEqual(true);
            expect(received.toLowerCase().includes("connection: close")).toEqual(true);
            expect(runner.countArrivals()).toEqual(arrivals);
        });
    }
});

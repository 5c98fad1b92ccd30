import { setTimeout as delay } from "node:timers/promises";
import { Agent, request } from "undici";
import { createSeededRandom, createSystemClock } from "../../src/utils/index.js";
import type { FromChild, ToChild } from "./messages.js";

/** Mean time between two live requests to one agent. */
const meanIntervalMilliseconds = 200;

const requestBody = Buffer.alloc(2_048, "request");

function send(message: FromChild): void {
    process.send?.(message);
}

function startClient(message: Extract<ToChild, { kind: "start-client"; }>): void {
    const clock = createSystemClock();
    const random = createSeededRandom(message.seed);
    const dispatcher = new Agent({ connections: 8 });
    const latencies: Record<"quiet" | "burst", number[]> = { quiet: [], burst: [] };
    let phase: "quiet" | "burst" = "quiet";
    let running = true;

    async function sendRequest(port: number): Promise<void> {
        const phaseAtStart = phase;
        const startedAt = clock.monotonic();
        const answer = await request(`http://127.0.0.1:${port}/`, { method: "POST", body: requestBody, dispatcher });
        await answer.body.arrayBuffer();
        latencies[phaseAtStart].push(clock.monotonic() - startedAt);
    }

    async function sendRequests(port: number): Promise<void> {
        while (running) {
            await delay(-Math.log(1 - random.next()) * meanIntervalMilliseconds);
            // A request to an agent that was killed fails; such failures are left out of the latencies.
            void sendRequest(port).catch(() => undefined);
        }
    }

    for (const port of message.ports) {
        void sendRequests(port);
    }
    send({ kind: "client-started" });
    process.on("message", (nextMessage: ToChild) => {
        if (nextMessage.kind === "mark-burst") {
            phase = "burst";
        }
        if (nextMessage.kind === "finish") {
            running = false;
            send({ kind: "latencies", ...latencies });
        }
    });
}

process.once("message", (message: ToChild) => {
    if (message.kind === "start-client") {
        startClient(message);
    }
});

// The parent process can exit without terminating its children, for example on a signal.
process.once("disconnect", () => process.exit());

import { Agent, type IncomingMessage, request as sendRequest } from "node:http";
import type { RandomSource } from "../../src/types/index.js";
import { sleep } from "../../src/utils/index.js";
import { streamEvents } from "../platform/standIn/stagingEngine.js";
import { testModel } from "../platform/standIn/testWeights.js";

/** Gateway as a caller sees it. */
export interface CalledGateway {
    readonly name: string;
    readonly ip: string;
    readonly isRunning: () => boolean;
}

/** Responses that callers have received. */
export interface CallCounts {
    /** Streams that were received in full. */
    whole: number;
    /** Requests that were refused and did not run. */
    refused: number;
    /** Requests without a complete response. */
    failed: number;
}

/** Outcome of one request. */
type CallOutcome = keyof CallCounts;

const timeLimitMilliseconds = 6_000;
const refusals: readonly (number | undefined)[] = [408, 421, 429, 503];

function isWhole(text: string): boolean {
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    return ids.length === streamEvents && ids.every((id, index) => id === index + 1);
}

async function readOutcome(response: IncomingMessage): Promise<CallOutcome> {
    let text = "";
    try {
        for await (const part of response as AsyncIterable<Buffer>) {
            text += part.toString();
        }
    }
    catch {
        return "failed";
    }
    if (refusals.includes(response.statusCode)) {
        return "refused";
    }
    return response.statusCode === 200 && response.complete && isWhole(text) ? "whole" : "failed";
}

function call(agent: Agent, gateway: CalledGateway, port: number, attemptId: string): Promise<CallOutcome> {
    return new Promise(resolve => {
        const request = sendRequest({
            agent,
            host: gateway.ip,
            port,
            path: "/sketch/",
            method: "POST",
            signal: AbortSignal.timeout(timeLimitMilliseconds + 2_000),
            headers: {
                host: "members.example",
                "attempt-id": attemptId,
                "deadline-ms": String(timeLimitMilliseconds),
                authorization: "Token key-1",
                model: testModel,
                "token-usage": "40,80",
                "prompt-prefix": "5c1e07a2:40,91bd3f06:10",
                "content-length": "0",
            },
        }, response => void readOutcome(response).then(resolve));
        request.on("error", () => resolve("failed"));
        request.end();
    });
}

/**
 * Sends one stream request after the other over a kept connection, until it is stopped. It changes to another gateway
 * only when the connection or the gateway's process has ended.
 *
 * @param options - name, gateways and their port
 * @returns stops the caller, and returns its counts
 */
export function startStreamCaller({ gateways, name, port, random }: {
    readonly name: string;
    readonly gateways: readonly CalledGateway[];
    readonly port: number;
    readonly random: RandomSource;
}): () => Promise<CallCounts> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const counts: CallCounts = { whole: 0, refused: 0, failed: 0 };
    let isStopped = false;
    let gateway = gateways[Math.floor(random.next() * gateways.length)]!;
    const finished = (async () => {
        for (let sent = 1; !isStopped; sent++) {
            const running = gateways.filter(candidate => candidate.isRunning());
            const isConnected = Object.values(agent.freeSockets).some(sockets => (sockets?.length ?? 0) > 0);
            if ((!isConnected || !gateway.isRunning()) && running.length > 0) {
                gateway = running[Math.floor(random.next() * running.length)]!;
            }
            const outcome = await call(agent, gateway, port, `${name}-${sent}`);
            counts[outcome]++;
            await sleep(outcome === "whole" ? 50 : 300);
        }
    })();
    return async () => {
        isStopped = true;
        await finished;
        agent.destroy();
        return counts;
    };
}

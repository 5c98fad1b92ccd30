import type { ServerResponse } from "node:http";
import { type ModelRunnerOptions, type RunnerRequest, startModelRunner } from "./modelRunner.js";

/**
 * How a runner writes its answers: soundly, or, from the time of the message on, with bytes that are no answer and have no
 * end.
 */
export type RunnerBehaviour = "sound" | "endless-body";

/** Settings of the process of a runner. */
export type RunnerProcessOptions = Pick<
    ModelRunnerOptions,
    "downMilliseconds" | "eventMilliseconds" | "events" | "firstMilliseconds" | "ip" | "port" | "service" | "slots" | "zone"
>;

/** Message of a runner to the case: a record of the store, a request that arrived, or the end of an answer. */
export type RunnerMessage =
    | { readonly kind: "write"; readonly topic: string; readonly key: string; readonly content: unknown; }
    | { readonly kind: "drop"; readonly topic: string; readonly key: string; }
    | { readonly kind: "arrival"; readonly request: RunnerRequest; }
    | { readonly kind: "endless"; readonly attemptId: string; readonly bytes: number; };

/** Bytes that are no answer: characters without the end of an event, each in a chunk of its own, as if flushed singly. */
const noise = Buffer.from("1\r\nx\r\n".repeat(4_096));

let behaviour: RunnerBehaviour = "sound";

function send(message: RunnerMessage): void {
    process.send?.(message);
}

/** Sends the chunks of a body that has no end until the caller closes the channel. */
function writeEndlessly(attemptId: string, response: ServerResponse): void {
    const socket = response.socket!;
    let bytes = 0;
    const write = (): void => {
        while (!socket.destroyed) {
            bytes += noise.length;
            if (!socket.write(noise)) {
                return;
            }
        }
    };
    response.flushHeaders();
    socket.on("drain", write);
    socket.once("close", () => send({ kind: "endless", attemptId, bytes }));
    write();
}

process.on("message", (message: RunnerBehaviour) => {
    behaviour = message;
});
process.on("disconnect", () => process.exit(0));

await startModelRunner({
    ...JSON.parse(process.env["RUNNER"] ?? "{}") as RunnerProcessOptions,
    store: {
        write: (topic, key, content) => send({ kind: "write", topic, key, content }),
        drop: (topic, key) => send({ kind: "drop", topic, key }),
    },
    onArrival: request => send({ kind: "arrival", request }),
    write: ({ attemptId }, response, head) => {
        if (behaviour === "sound") {
            return false;
        }
        response.writeHead(200, head);
        writeEndlessly(attemptId, response);
        return true;
    },
});

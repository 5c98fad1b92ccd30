import { expect } from "earl";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { call } from "./standIn/caller.js";
import { startDeployment } from "./standIn/deployment.js";
import { proof, type RawRequest, startRawRunner } from "./standIn/rawRunner.js";

const interim = "HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n";
const body = "answer";

/** Framings of the answer, by the header fields that state them and the bytes of the body. */
const framings = {
    length: { fields: [`content-length: ${body.length}`], bytes: body },
    chunked: { fields: ["transfer-encoding: chunked"], bytes: `6\r\n${body}\r\n0\r\n\r\n` },
    connection: { fields: ["connection: close"], bytes: body },
} as const;

/** What precedes the head that breaks off. */
type Precedence = "nothing" | "whole answer" | "interim answer";

function createAnswer({ attemptId }: RawRequest, framing: keyof typeof framings, contentType: string): string {
    const { bytes, fields } = framings[framing];
    const head = ["HTTP/1.1 200 OK", `attempt-id: ${attemptId}`, proof, contentType, ...fields];
    return `${head.join("\r\n")}\r\n\r\n${bytes}`;
}

function endConnection(socket: Socket, ending: "closed" | "reset"): void {
    if (ending === "closed") {
        socket.end();
    }
    else {
        setTimeout(() => socket.resetAndDestroy(), 2);
    }
}

describe("answer that ends within its head", () => {
    for (const path of ["/safe/", "/unsafe/", "/stream/"]) {
        for (const precedence of ["nothing", "whole answer", "interim answer"] satisfies Precedence[]) {
            // Guards against a part of a head that is relayed as a complete success with an empty or a short body.
            it(`is never relayed as complete: ${path}, after ${precedence}`, async () => {
                await using deployment = await startDeployment();
                let cut = 0;
                let sent = 0;
                const answer = (socket: Socket, request: RawRequest): void => {
                    const isFirst = request.count === 1 && precedence === "whole answer";
                    const type = path === "/stream/" ? "content-type: text/event-stream" : "content-type: text/plain";
                    const whole = createAnswer(request, isFirst ? "length" : framing, type);
                    if (isFirst) {
                        socket.write(whole);
                        return;
                    }
                    sent++;
                    const headBytes = whole.indexOf("\r\n\r\n") + 3;
                    socket.write(
                        (precedence === "interim answer" ? interim : "") + whole.slice(0, Math.min(cut, headBytes)),
                    );
                    endConnection(socket, cut % 2 === 0 ? "closed" : "reset");
                };
                let framing: keyof typeof framings = "length";
                for (const id of ["i-1", "i-2"]) {
                    const runner = deployment.stack.use(await startRawRunner(answer));
                    await deployment.addRunnerRecord(id, runner.address);
                }
                const results: string[] = [];
                for (framing of ["length", "chunked", "connection"] as const) {
                    for (cut = 1; cut < 170; cut += 7) {
                        const received = await call(deployment, path).catch(() => undefined);
                        const isWhole = received?.status === 200 && received.complete;
                        if (isWhole && received.body !== body) {
                            results.push(`${framing} after ${cut} bytes: ${JSON.stringify(received.body)}`);
                        }
                    }
                }
                expect(results).toEqual([]);
                expect(sent > 10).toEqual(true);
            });
        }
    }
});

import { expect } from "earl";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { call } from "./standIn/caller.js";
import { startDeployment } from "./standIn/deployment.js";
import { createHead, proof, type RawRequest, startRawRunner } from "./standIn/rawRunner.js";

const body = "id: 2\ndata: two\n\n";
const framings = {
    length: { fields: [`content-length: ${body.length}`], bytes: body },
    chunked: { fields: ["transfer-encoding: chunked"], bytes: `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n` },
    connection: { fields: ["connection: close"], bytes: body },
} as const;
type Framing = keyof typeof framings;

const statuses = ["000", "0", "20", "099", "2000", "-200", "600", "999", "none"];
const type = "content-type: text/event-stream";

/** Answers with an invalid status; a stream that begins is broken off after its first event. */
function createAnswer(status: string, framing: Framing): (socket: Socket, request: RawRequest) => void {
    const { bytes, fields } = framings[framing];
    return (socket, { attemptId, path, resumeAfter }) => {
        const names = [`attempt-id: ${attemptId}`, proof, type] as const;
        if (path.startsWith("/stream/?begin") && resumeAfter === undefined) {
            const event = "id: 1\ndata: one\n\n";
            socket.write(createHead("200 OK", ...names, "content-length: 1000") + event);
            setTimeout(() => socket.destroy(), 20);
            return;
        }
        const line = status === "none" ? "HTTP/1.1" : `HTTP/1.1 ${status} Odd`;
        socket.write(`${[line, ...names, ...fields].join("\r\n")}\r\n\r\n${bytes}`);
        if (framing === "connection") {
            socket.end();
        }
    };
}

describe("answer of a backend server whose status is no status of HTTP", () => {
    for (const framing of Object.keys(framings) as Framing[]) {
        // Guards against a status that a caller cannot interpret, and against a stream that is continued with it.
        it(`is not relayed, and logged with its server: ${framing}`, async () => {
            for (const status of statuses) {
                await using deployment = await startDeployment();
                for (const id of ["i-1", "i-2"]) {
                    const runner = deployment.stack.use(await startRawRunner(createAnswer(status, framing)));
                    await deployment.addRunnerRecord(id, runner.address);
                }
                const received = await Promise.all(
                    ["/safe/", "/unsafe/", "/stream/", "/stream/?begin"].map(path => call(deployment, path)),
                );
                const described = received.map(answer => [answer.status, answer.complete]);
                const first = [status, 502, true];
                expect(described.slice(0, 3).map(values => [status, ...values])).toEqual([first, first, first]);
                expect([status, ...described[3]!]).toEqual([status, 200, false]);
                const lines = deployment.logLines.filter(line => line.includes("\"invalid status\""));
                const quoted = status === "none" ? "HTTP/1.1" : status;
                expect([status, lines.length > 0]).toEqual([status, true]);
                expect([status, lines.every(line => /"peer":"i-[12]"/.test(line) && line.includes(quoted))])
                    .toEqual([status, true]);
            }
        });
    }
});

import { expect } from "earl";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { call } from "./standIn/caller.js";
import { startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";

const proof = "response-seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";

/** Answers the request with the given identifier; `count` numbers the requests of a connection from 1. */
type RawAnswer = (socket: Socket, requestId: string, count: number) => void;

/** Adds a runner whose answers are written to the socket as raw bytes, and returns the requests that it received. */
async function addRawRunner(deployment: TestDeployment, answer: RawAnswer): Promise<readonly string[]> {
    const received: string[] = [];
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        let count = 0;
        sockets.add(socket);
        socket.on("error", () => {});
        socket.on("data", (bytes: Buffer) => {
            const text = bytes.toString();
            received.push(text);
            count++;
            answer(socket, /^attempt-id: (\S+)/m.exec(text)?.[1] ?? "", count);
        });
    });
    deployment.stack.defer(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as { readonly port: number; };
    await deployment.addRunnerRecord("i-1", `127.0.0.1:${port}`);
    await waitUntil("the runner is listed", async () => (await call(deployment, "/safe/")).status === 200);
    received.length = 0;
    return received;
}

function writeAnswer(socket: Socket, requestId: string): void {
    socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${requestId}\r\n${proof}content-length: 3\r\n\r\nown`);
}

/** Writes a late answer without an identifier before the answers to all but the first request of each connection. */
function precedeWithLateAnswer(late: string): RawAnswer {
    return (socket, requestId, count) => {
        if (count > 1) {
            socket.write(late);
        }
        setTimeout(() => writeAnswer(socket, requestId), count > 1 ? 20 : 0);
    };
}

describe("gateway that receives late answers to other requests", () => {
    for (const status of ["404 Not Found", "500 Internal Server Error"]) {
        it(`does not relay a late answer without an identifier: ${status}`, async () => {
            await using deployment = await startDeployment();
            await addRawRunner(
                deployment,
                precedeWithLateAnswer(`HTTP/1.1 ${status}\r\ncontent-length: 7\r\n\r\nforeign`),
            );
            const answer = await call(deployment, "/unsafe/", { method: "POST" });
            expect([answer.status, answer.body.includes("foreign")]).toEqual([502, false]);
        });
    }

    for (const head of ["503 Service Unavailable\r\nnot-executed: 1", "421 Misdirected Request"]) {
        it(`does not report a request as not run after a late answer without an identifier: ${head}`, async () => {
            await using deployment = await startDeployment();
            const late = `HTTP/1.1 ${head}\r\ncontent-length: 0\r\n\r\n`;
            const received = await addRawRunner(deployment, precedeWithLateAnswer(late));
            const answer = await call(deployment, "/unsafe/", { method: "POST" });
            expect([answer.status, received.length]).toEqual([502, 1]);
        });
    }

    it("does not use the answer that follows a late one as the answer to the next request", async () => {
        await using deployment = await startDeployment();
        let first: Socket | undefined;
        await addRawRunner(deployment, (socket, requestId, count) => {
            first ??= socket;
            if (socket === first && count === 2) {
                socket.write("HTTP/1.1 404 Not Found\r\ncontent-length: 7\r\n\r\nforeign");
            }
            setTimeout(() => writeAnswer(socket, requestId), 20);
        });
        const statuses: number[] = [];
        for (let sent = 0; sent < 4; sent++) {
            statuses.push((await call(deployment, "/unsafe/", { method: "POST" })).status);
        }
        expect(statuses).toEqual([502, 200, 200, 200]);
    });
});

describe("gateway that receives transfer codings which it does not decode", () => {
    const coded = "transfer-encoding: gzip, chunked\r\n\r\n4\r\nGZIP\r\n0\r\n\r\n";

    for (const status of ["200 OK", "404 Not Found"]) {
        it(`does not relay an encoded answer as if it were not encoded: ${status}`, async () => {
            await using deployment = await startDeployment();
            await addRawRunner(deployment, (socket, requestId, count) => {
                if (count === 1) {
                    writeAnswer(socket, requestId);
                    return;
                }
                socket.write(`HTTP/1.1 ${status}\r\nattempt-id: ${requestId}\r\n${proof}${coded}`);
            });
            const answer = await call(deployment, "/unsafe/", { method: "POST" });
            expect([answer.status, answer.body.includes("GZIP")]).toEqual([502, false]);
        });
    }

    it("does not forward an encoded request as if it were not encoded", async () => {
        await using deployment = await startDeployment();
        const received = await addRawRunner(deployment, writeAnswer);
        const headers = { "attempt-id": "coded", "transfer-encoding": "gzip, chunked" };
        const answer = await call(deployment, "/unsafe/", { method: "POST", headers, body: "GZIP" });
        expect([answer.status, answer.headers["connection"], received.length]).toEqual([501, "close", 0]);
        const lines = deployment.logLines.filter(line => line.includes("request rejected"));
        const { reason, requestId, status } = JSON.parse(lines.at(-1) ?? "{}") as Readonly<Record<string, unknown>>;
        expect([requestId, status, reason]).toEqual(["coded", 501, "transfer-coding"]);
    });
});

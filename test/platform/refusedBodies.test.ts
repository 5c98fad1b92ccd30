import { expect } from "earl";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { startDeployment, type TestDeployment } from "./standIn/deployment.js";

/** Request that is refused before its body has arrived. */
interface RefusedRequest {
    readonly name: string;
    readonly path?: string;
    readonly fields?: readonly string[];
    /** Part of the body, which is sent five times. */
    readonly part?: string;
    readonly status: number;
}

const shortPart = "x".repeat(100);
const longPart = "x".repeat(1_000);
const refusals: readonly RefusedRequest[] = [
    { name: "no route", path: "/none/", status: 404 },
    { name: "an unknown key", fields: ["authorization: Token none", "content-length: 500"], status: 401 },
    {
        name: "a transfer coding",
        fields: ["authorization: Token key-1", "transfer-encoding: gzip, chunked"],
        status: 501,
    },
    {
        name: "too long a body",
        fields: ["authorization: Token key-1", "content-length: 5000"],
        part: longPart,
        status: 413,
    },
    {
        name: "too long a body in chunks",
        fields: ["authorization: Token key-1", "transfer-encoding: chunked"],
        part: `3e8\r\n${longPart}\r\n`,
        status: 413,
    },
];

/** Sends a request whose caller reads nothing before it has sent its whole body; returns the status that it reads. */
async function sendWhole(
    { callers }: TestDeployment,
    { fields = ["authorization: Token key-1", "content-length: 500"], part = shortPart, path = "/unsafe/" }:
        RefusedRequest,
): Promise<number | undefined> {
    const socket = connect({ ...callers, allowHalfOpen: true });
    socket.on("error", () => {});
    await once(socket, "connect");
    const ended = new Promise(resolve => socket.once("end", resolve).once("close", resolve));
    socket.pause();
    const lines = [`POST ${path} HTTP/1.1`, "host: members.example", "attempt-id: refused", ...fields];
    socket.write(`${lines.join("\r\n")}\r\n\r\n`);
    for (let sent = 0; sent < 5 && !socket.destroyed; sent++) {
        await sleep(50);
        socket.write(part);
    }
    let text = "";
    socket.on("data", data => {
        text += data.toString();
    });
    socket.resume();
    await ended;
    socket.destroy();
    const status = /^HTTP\/1.1 (\d+)/.exec(text)?.[1];
    return status === undefined ? undefined : Number(status);
}

describe("refusal of a request whose body is still being sent", { concurrency: true }, () => {
    for (const refusal of refusals) {
        // Guards against a reset, with which the caller loses the refusal.
        it(`reaches the caller: ${refusal.name}`, async () => {
            await using deployment = await startDeployment();
            await deployment.addRunner({ id: "i-1" });
            expect(await sendWhole(deployment, refusal)).toEqual(refusal.status);
        });
    }
});

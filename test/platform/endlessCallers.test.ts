import { expect } from "earl";
import { describe, it } from "node:test";
import { startDeployment } from "./standIn/deployment.js";
import { closingMarginMilliseconds, type EndlessRequest, sendEndlessRequest } from "./standIn/endlessCaller.js";

const routeTimeout = 1_500;
const head = ["POST /unsafe/ HTTP/1.1", "host: members.example", "attempt-id: endless", "authorization: Token key-1"];

const variants: readonly (EndlessRequest & { readonly name: string; })[] = [
    {
        name: "a field",
        first: `${head[0]}\r\nx: `,
        part: "x".repeat(4_096),
        intervalMilliseconds: 1,
        allowedMilliseconds: closingMarginMilliseconds,
    },
    {
        name: "fields",
        first: `${head[0]}\r\n`,
        part: "x: y\r\n".repeat(500),
        intervalMilliseconds: 1,
        allowedMilliseconds: closingMarginMilliseconds,
    },
    {
        name: "a body",
        first: `${head.join("\r\n")}\r\ncontent-length: 1000000000\r\n\r\n`,
        part: "x".repeat(4_096),
        intervalMilliseconds: 1,
        allowedMilliseconds: closingMarginMilliseconds,
    },
    {
        name: "chunks",
        first: `${head.join("\r\n")}\r\ntransfer-encoding: chunked\r\n\r\n`,
        part: `1000\r\n${"x".repeat(4_096)}\r\n`,
        intervalMilliseconds: 1,
        allowedMilliseconds: closingMarginMilliseconds,
    },
    {
        name: "a chunk extension",
        first: `${head.join("\r\n")}\r\ntransfer-encoding: chunked\r\n\r\n1;`,
        part: "x".repeat(4_096),
        intervalMilliseconds: 1,
        allowedMilliseconds: closingMarginMilliseconds,
    },
    {
        name: "a slow body",
        first: `${head.join("\r\n")}\r\ncontent-length: 1000\r\n\r\n`,
        part: "x",
        intervalMilliseconds: 100,
        allowedMilliseconds: routeTimeout + closingMarginMilliseconds,
    },
];

describe("callers that send without end", { concurrency: true }, () => {
    for (const variant of variants) {
        // Guards against connections that stay open as long as a caller keeps sending.
        it(`are cut off: ${variant.name}`, async () => {
            await using deployment = await startDeployment();
            await deployment.addRunner({ id: "i-1" });
            const { duration, status } = await sendEndlessRequest(deployment, variant);
            expect(duration).toBeLessThan(variant.allowedMilliseconds);
            if (variant.name === "a slow body") {
                expect(status).toEqual(408);
            }
        });
    }
});

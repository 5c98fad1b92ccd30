import { expect } from "earl";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { operatorConfiguration, startDeployment } from "./standIn/deployment.js";
import { startWorkRunner } from "./standIn/workRunner.js";

const idleLimit = 500;
const answerBytes = 2_000_000;

/** Time in milliseconds for which callers leave their connections idle, from the end of an answer. */
const idleTimes = [0, 100, 200, 300, 400];

function formatRequest(attemptId: string, query: string): string {
    const lines = [
        `GET /unsafe/?${query} HTTP/1.1`,
        "host: members.example",
        `attempt-id: ${attemptId}`,
        "deadline-ms: 7000",
        "authorization: Token key-1",
    ];
    return `${lines.join("\r\n")}\r\n\r\n`;
}

describe("connections whose callers read slowly", () => {
    // Guards against an idle limit that begins before the caller has received its answer.
    it("stay open for the idle limit after their answers have arrived", async () => {
        await using deployment = await startDeployment();
        const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 8_000 }));
        const limits = { ...operatorConfiguration.limits, idle_timeout_ms: idleLimit };
        deployment.configure({ version: 2, routes, limits });
        const runner = deployment.stack.use(await startWorkRunner("i-1"));
        await deployment.addRunnerRecord("i-1", runner.address);

        async function callAfterIdleTime(idleTime: number, pause: number): Promise<string> {
            const socket = connect(deployment.callers.port, deployment.callers.host);
            socket.on("error", () => {});
            await once(socket, "connect");
            // The operating system holds the answer while the caller does not read.
            socket.write(formatRequest(`first-${pause}-${idleTime}`, `bytes=${answerBytes}`));
            await sleep(pause);
            let bytes = 0;
            let text = "";
            let isOver = false;
            socket.on("close", () => {
                isOver = true;
            });
            socket.on("data", (part: Buffer) => {
                bytes += part.length;
                text = (text + part.toString("latin1")).slice(-200);
            });
            while (bytes < answerBytes && !isOver) {
                await sleep(1);
            }
            await sleep(idleTime);
            text = "";
            bytes = 0;
            socket.write(formatRequest(`second-${pause}-${idleTime}`, "bytes=20"));
            while (bytes === 0 && !isOver) {
                await sleep(1);
            }
            socket.destroy();
            return bytes === 0 ? "none" : text.split("\r\n")[0]!;
        }

        const calls = [0, 1_300, 1_700].flatMap(pause => idleTimes.map(idleTime => ({ idleTime, pause })));
        const answers = await Promise.all(
            calls.map(async ({ idleTime, pause }) =>
                `${pause} ${idleTime}: ${await callAfterIdleTime(idleTime, pause)}`
            ),
        );
        expect(answers.filter(answer => answer.endsWith("none"))).toEqual([]);
    });
});

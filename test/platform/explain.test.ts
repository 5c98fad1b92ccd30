import { expect } from "earl";
import { describe, it } from "node:test";
import { explainRequest, type Explanation, parseLogLine } from "../../src/runtime/explain/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";

/** Explains a request from what the gateway has logged, as `goldcrestpoint explain --logs` does. */
function explain({ logLines }: TestDeployment, requestId: string): Explanation {
    return explainRequest(logLines.flatMap((text, position) => parseLogLine(text, position) ?? []), requestId)!;
}

describe("cause of a failed request, from its id and the logs", () => {
    it("is found for one that was refused as overloaded", async () => {
        await using deployment = await startDeployment();
        const runner = await deployment.addRunner({ id: "i-1" });
        runner.setBehaviour("silent");
        const answers = await Promise.all([...Array(60).keys()].map(async index => {
            const requestId = `crowd-${index}`;
            const { status } = await call(deployment, "/safe/", { headers: { "attempt-id": requestId } });
            return { requestId, status };
        }));
        const refused = answers.find(({ status }) => status === 503)!;
        const { causes, timeline } = explain(deployment, refused.requestId);
        expect(causes.length).toEqual(1);
        expect(causes[0]!.startsWith("refused without having run (")).toEqual(true);
        expect(causes[0]!.includes("open at the gateway, which had ")).toEqual(true);
        expect(timeline.some(({ relation }) => relation === "request")).toEqual(true);
    });

    it("is found for one whose backend server reset the connection", async () => {
        await using deployment = await startDeployment();
        const runner = await deployment.addRunner({ id: "i-1" });
        runner.setBehaviour("reset");
        const answer = await call(deployment, "/unsafe/", { method: "POST", headers: { "attempt-id": "broken" } });
        expect(answer.status).toEqual(502);
        const { causes, timeline } = explain(deployment, "broken");
        expect(causes.length).toEqual(1);
        expect(causes[0]!.startsWith("backend server i-1 failed (connection-lost: ")).toEqual(true);
        expect(causes[0]!.endsWith("the request may have run and is not idempotent")).toEqual(true);
        const messages = timeline.map(({ line }) => line.message);
        expect(messages.includes("backend server changed")).toEqual(true);
        expect(messages.slice(-3)).toEqual(["routing decision", "backend server checked", "retry decision"]);
    });

    it("is found for one whose answer was reset before its end was known", async () => {
        await using deployment = await startDeployment();
        const runner = await deployment.addRunner({ id: "i-1" });
        runner.setBehaviour("unframed-reset");
        await call(deployment, "/unsafe/", { method: "POST", headers: { "attempt-id": "short" } });
        const { causes, timeline } = explain(deployment, "short");
        expect(causes.length).toEqual(1);
        expect(causes[0]!.startsWith("backend server i-1 failed (connection-lost: ")).toEqual(true);
        const { fields } = timeline.at(-1)!.line;
        expect([fields["framing"], fields["receivedBytes"]]).toEqual(["connection", 4]);
    });

    it("is empty for an answer that the end of the connection completed, and the log states this framing", async () => {
        await using deployment = await startDeployment();
        const runner = await deployment.addRunner({ id: "i-1" });
        runner.setBehaviour("unframed");
        await call(deployment, "/unsafe/", { method: "POST", body: "text", headers: { "attempt-id": "whole" } });
        const { causes, timeline } = explain(deployment, "whole");
        expect(causes).toEqual([]);
        const { fields, message } = timeline.at(-1)!.line;
        expect([message, fields["peer"], fields["framing"], fields["receivedBytes"]])
            .toEqual(["completion decision", "i-1", "connection", 8]);
    });

    it("is found for one that a change of the configuration left without a route", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" });
        deployment.configure({ version: 2, routes: operatorConfiguration.routes.slice(1) });
        await waitUntil("the route is gone", async () => (await call(deployment, "/safe/")).status === 404);
        await call(deployment, "/safe/now", { headers: { "attempt-id": "late" } });
        const { causes, timeline } = explain(deployment, "late");
        expect(causes).toEqual(["answered 404: configuration 2 has no route for members.example/safe/now"]);
        expect(timeline.map(({ line, relation }) => [relation, line.fields["revision"]])).toEqual([
            ["configuration", 2],
            ["request", 2],
        ]);
    });

    it("is found for one with a key that is not in the configuration", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" });
        await call(deployment, "/safe/", { headers: { "attempt-id": "stranger", authorization: "Token key-9" } });
        expect(explain(deployment, "stranger").causes).toEqual(["answered 401: unknown-key by configuration 1"]);
    });
});

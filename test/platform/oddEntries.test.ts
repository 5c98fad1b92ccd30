import { expect } from "earl";
import { describe, it } from "node:test";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import { unreadableEntries } from "./standIn/oddEntries.js";

function countLines({ logLines }: TestDeployment, message: string): number {
    return logLines.filter(line => line.includes(`"msg":"${message}"`)).length;
}

describe("gateway whose list holds entries of another writer", () => {
    it("serves every request at the other backend servers, and follows the list", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" }, { slots: 100 });
        for (const [index, { content, key = `odd-${index}` }] of unreadableEntries.entries()) {
            deployment.store.writeBytes("keyed.servers", key, Buffer.from(content));
        }
        const second = await deployment.addRunner({ id: "i-2" }, { slots: 100 });
        await waitUntil("i-2 is used", async () => {
            await call(deployment, "/safe/").catch(() => undefined);
            return second.runs.length > 0;
        });
        const statuses: number[] = [];
        for (let sent = 0; sent < 24; sent++) {
            const unsafe = sent % 2 === 1;
            const answer = call(deployment, unsafe ? "/unsafe/" : "/safe/", { method: unsafe ? "POST" : "GET" });
            statuses.push(await answer.then(({ status }) => status, () => 0));
        }
        expect(statuses.filter(status => status !== 200)).toEqual([]);
        expect(countLines(deployment, "entry of a backend server cannot be read")).toEqual(unreadableEntries.length);
    });
});

describe("gateway whose list of gateways holds entries of another writer", () => {
    // Guards against clients that throw in a timer, which ends the process.
    it("follows the gateways beside them", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" }, { slots: 100 });
        const record = { zone: "zone-a", region: "south", startedAt: 1 };
        for (const [index, address] of ["", ":", "a[b/%:5", "127.0.0.1:65536", "foo://bar", 7].entries()) {
            deployment.store.write("keyed.goldcrestpoint-instances", `a-${index}`, { ...record, address });
        }
        deployment.store.writeBytes("keyed.goldcrestpoint-instances", "a-9", Buffer.from("[".repeat(100_000)));
        const second = await deployment.addGateway("gateway-2");
        await waitUntil(
            "the second gateway follows the first one",
            () => second.logLines.some(line => line.includes("\"msg\":\"relay followed\"")),
        );
        expect((await call(second, "/safe/")).status).toEqual(200);
    });
});

describe("gateway with a route whose timeout is longer than a timer can be", () => {
    // Guards against a timer that fires at once, so that each request without a deadline of its own fails.
    it("waits for the answer to a request that states no deadline", async () => {
        await using deployment = await startDeployment();
        const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 1e12 }));
        deployment.configure({ version: 2, routes });
        await deployment.addRunner({ id: "i-1", workMilliseconds: 200 });
        const answer = await call(deployment, "/safe/", { headers: { "deadline-ms": "" } });
        expect([answer.status, answer.body]).toEqual([200, "i-1:"]);
    });
});

import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, waitUntil } from "./standIn/deployment.js";

describe("gateway with streams at a backend server that accepts no further requests", () => {
    for (const ending of ["leaves", "is gone from the list"]) {
        // Guards against requests that are refused because streams at a draining backend server use up the places of
        // an idle one.
        it(`uses the places of an idle backend server when the first one ${ending}`, async () => {
            await using deployment = await startDeployment();
            const routes = operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 20_000 }));
            deployment.configure({ version: 2, routes });
            const first = await deployment.addRunner({ id: "i-1", events: 200, eventMilliseconds: 20 });
            const options = { headers: { "deadline-ms": "20000" } };
            const streams = Array.from({ length: 4 }, () => call(deployment, "/stream/", options));
            await waitUntil("all streams run", () => first.runs.length === 4);
            const second = await deployment.addRunner({ id: "i-2" });
            if (ending === "leaves") {
                await deployment.addRunnerRecord("i-1", first.address, { state: "draining" });
            }
            else {
                deployment.store.drop("keyed.servers", "i-1");
                await sleep(600);
            }
            const answers = await Promise.all(Array.from({ length: 4 }, () => call(deployment, "/unsafe/")));
            expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
            expect(second.runs.length).toEqual(4);
            await Promise.all(streams);
        });
    }
});

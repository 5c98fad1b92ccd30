import { createHttpClient, createResponseMemoryLimit } from "../../../src/node/httpClient/index.js";

/** Calls a backend server whose answers do not end, and writes by how many bytes the memory of this process has grown. */
const [address, limit, duration] = process.argv.slice(2);
const concurrentCalls = 16;
const memoryLimit = createResponseMemoryLimit(Number(limit));
const client = createHttpClient({ baseUrl: `http://${address}`, memoryLimit });
const before = process.memoryUsage().rss;
let most = before;
const timer = setInterval(() => {
    most = Math.max(most, process.memoryUsage().rss);
}, 10);
const endsAt = performance.now() + Number(duration);

async function callAgain(): Promise<void> {
    while (performance.now() < endsAt) {
        await client.send({ method: "GET", path: "/", headers: { "attempt-id": "a" }, timeouts: { total: 1_500 } });
    }
}

await Promise.all(Array.from({ length: concurrentCalls }, callAgain));
clearInterval(timer);
process.stdout.write(String(most - before));
process.exit(0);

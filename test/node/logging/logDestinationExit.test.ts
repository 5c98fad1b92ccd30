import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { describe, it } from "node:test";

/** Writes more lines than the pipe and the destination buffer, then exits. */
const program = `
import { createBoundedDestination } from "./src/node/logging/boundedDestination.ts";
const destination = createBoundedDestination({ maximumWaitingBytes: 10_000 });
const line = "x".repeat(999) + "\\n";
for (let index = 0; index < 500; index++) {
    destination.write(line);
    await new Promise(resolve => setImmediate(resolve));
}
process.exit(0);
`;

describe("process whose log output is not read", () => {
    it("exits without a signal", async () => {
        const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "-e", program], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        child.stdout.pause();
        const timer = setTimeout(() => child.kill("SIGKILL"), 20_000);
        const [code] = await once(child, "exit") as [number | undefined];
        clearTimeout(timer);
        child.stdout.destroy();
        expect(code).toEqual(0);
    });
});

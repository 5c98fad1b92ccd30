import { spawn } from "node:child_process";
import { startProgram } from "../../demo/cluster/index.js";
import { findFreePorts } from "../../src/standIn/index.js";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { budgets } from "./designSize.js";
import type { CapacityFigure } from "./measurement.js";
import { readMemory, readMetric, registerInstance, startNode, startPlatform } from "./nodes.js";

const settleMilliseconds = 8_000;
const sampleMilliseconds = 6_000;

/** Node options that limit the heap, by the name of the compared variant. */
const heapOptions = {
    "default heap": "",
    "semi-space 1 MB": "--max-semi-space-size=1",
    "semi-space 1 MB, old space 24 MB": "--max-semi-space-size=1 --max-old-space-size=24",
} as const;

/** Sets of modules whose memory is measured; a process loads one set and does nothing else. */
const moduleSets: Readonly<Record<string, readonly string[]>> = {
    nothing: [],
    undici: ["undici"],
    "@grpc/grpc-js": ["@grpc/grpc-js"],
    zod: ["zod"],
    "hdr-histogram-js": ["hdr-histogram-js"],
    "undici and @grpc/grpc-js": ["undici", "@grpc/grpc-js"],
};

/**
 * Measures the memory of idle processes: bare Node, the libraries, an entry instance and an agent.
 *
 * @returns resident memory of each, and processor time and further memory figures of the daemons
 */
export async function measureIdleMemory(): Promise<CapacityFigure[]> {
    const figures: CapacityFigure[] = [];
    for (const [name, modules] of Object.entries(moduleSets)) {
        figures.push({
            name: `resident memory, Node with ${name}`,
            value: await measureModules(modules),
            unit: "bytes",
        });
    }
    for (const [name, options] of Object.entries(heapOptions)) {
        figures.push(...await measureDaemons(name, options));
    }
    return figures;
}

async function measureModules(modules: readonly string[]): Promise<number> {
    const imports = modules.map(name => `await import(${JSON.stringify(name)});`).join("");
    const child = spawn(process.execPath, [
        "--input-type=module",
        "--eval",
        `${imports} setInterval(() => undefined, 1_000); process.stdout.write("ready");`,
    ], { stdio: ["ignore", "pipe", "inherit"] });
    await new Promise(resolve => child.stdout.once("data", resolve));
    await sleep(1_000);
    const { resident } = await readMemory(child.pid!);
    child.kill("SIGKILL");
    return resident;
}

async function measureDaemons(name: string, options: string): Promise<CapacityFigure[]> {
    await using platform = await startPlatform();
    const [servicePort] = await findFreePorts(1);
    // Without a backend server, the agent would use processor time for connections that fail.
    await using resources = createDisposalStack();
    resources.use(startProgram("service", ["stand-in", "service"], {
        GOLDCRESTPOINT_STAND_IN_SERVICE_HTTP_ADDRESS: `127.0.0.1:${servicePort}`,
    }));
    const settings = {
        NODE_OPTIONS: options,
        GOLDCRESTPOINT_BACKEND_SERVER_KIND: "service",
        GOLDCRESTPOINT_BACKEND_SERVER_URL: `http://127.0.0.1:${servicePort}`,
    };
    await using entry = await startNode("entry", "entry-0", platform.url, settings);
    await registerInstance(platform.url, "entry-0", "entry", entry.grpcPort);
    await using agent = await startNode("agent", "agent-0", platform.url, settings);
    await registerInstance(platform.url, "agent-0", "backend-server", agent.grpcPort);
    await sleep(settleMilliseconds);
    const figures: CapacityFigure[] = [];
    for (const [role, node] of Object.entries({ "entry instance": entry, agent: agent })) {
        const before = await readMetric(node, "process_cpu_seconds_total");
        await sleep(sampleMilliseconds);
        const seconds = await readMetric(node, "process_cpu_seconds_total") - before;
        const { proportional, resident, residentFile } = await readMemory(node.process.pid);
        const budget = name === "default heap" ? budgets.controlResidentBytes : undefined;
        figures.push(
            {
                name: `processor, idle ${role}, ${name}`,
                value: seconds * 100_000 / sampleMilliseconds,
                unit: "% of a core",
                budget: budget && budgets.controlCores * 100,
            },
            { name: `resident memory, idle ${role}, ${name}`, value: resident, unit: "bytes", budget },
            { name: `file pages of it, idle ${role}, ${name}`, value: residentFile, unit: "bytes" },
            { name: `proportional memory, idle ${role}, ${name}`, value: proportional, unit: "bytes" },
        );
    }
    return figures;
}

import { request } from "undici";
import { type Cluster, deployAndWait, sendJsonRequest, startLoneStarCluster } from "../../demo/cluster/index.js";
import { budgets, designSize } from "./designSize.js";
import { type CapacityFigure, computeQuantile, fitLine } from "./measurement.js";

const answerLengths = [8, 128, 384];
const callerCount = 4;
const requestsPerCaller = 15;
const tokensPerSecond = 200;

interface StreamSample {
    readonly requests: number;
    readonly tokens: number;
    readonly entryCpuSeconds: number;
    readonly agentCpuSeconds: number;
    readonly firstTokens: readonly number[];
    readonly gaps: readonly number[];
}

/**
 * Measures streamed completions through one entry instance, one agent and one engine stand-in.
 *
 * @returns latencies, and processor time for each token and each request: the slope and the intercept of a line fitted
 *     over the length of the answers
 */
export async function measureStreams(): Promise<CapacityFigure[]> {
    await using cluster = await startLoneStarCluster({
        entries: 1,
        pools: [{ pool: "scribe", kind: "model", runners: [1] }],
        settings: { GOLDCRESTPOINT_STAND_IN_ENGINE_TOKENS_PER_SECOND: String(tokensPerSecond) },
    });
    await deployAndWait(cluster, { name: "scribe", kind: "model", replicas: [1] });
    await sampleStreams(cluster, answerLengths[0]!);
    const samples: StreamSample[] = [];
    for (const length of answerLengths) {
        samples.push(await sampleStreams(cluster, length));
    }
    return [...listFittedFigures(samples), ...listLatencies(samples)];
}

function listFittedFigures(samples: readonly StreamSample[]): CapacityFigure[] {
    const fit = (read: (sample: StreamSample) => number) =>
        fitLine(samples.map(sample => [sample.tokens / sample.requests, read(sample) / sample.requests * 1_000_000]));
    const entry = fit(({ entryCpuSeconds }) => entryCpuSeconds);
    const agent = fit(({ agentCpuSeconds }) => agentCpuSeconds);
    const tokensPerEntry = designSize.tokensPerSecond / designSize.entries;
    const requestsPerEntry = designSize.requestsPerSecond / designSize.entries;
    const tokensPerAgent = designSize.tokensPerSecond / designSize.runners;
    return [
        { name: "entry instance, processor for each streamed token", value: entry.slope, unit: "us" },
        { name: "entry instance, processor for each request", value: entry.intercept, unit: "us" },
        { name: "agent, processor for each streamed token", value: agent.slope, unit: "us" },
        { name: "agent, processor for each request", value: agent.intercept, unit: "us" },
        {
            name: "calculated: entry instance, serving",
            value: (entry.slope * tokensPerEntry + entry.intercept * requestsPerEntry) / 10_000,
            unit: "% of a core",
        },
        {
            name: "calculated: agent, serving tokens",
            value: agent.slope * tokensPerAgent / 10_000,
            unit: "% of a core",
        },
    ];
}

function listLatencies(samples: readonly StreamSample[]): CapacityFigure[] {
    const firstTokens = samples.flatMap(sample => sample.firstTokens);
    const gaps = samples.flatMap(sample => sample.gaps);
    return [
        {
            name: "time to first token, p95",
            value: computeQuantile(firstTokens, 0.95),
            unit: "ms",
            budget: budgets.firstTokenMilliseconds,
        },
        {
            name: "time between tokens, p95",
            value: computeQuantile(gaps, 0.95),
            unit: "ms",
            budget: budgets.betweenTokensMilliseconds,
        },
    ];
}

async function readCpuSeconds(url: string): Promise<number> {
    const { body } = await sendJsonRequest("GET", `${url}/metrics`);
    return Number(/^goldcrestpoint_process_cpu_seconds_total (.+)$/m.exec(String(body))?.[1]);
}

async function sampleStreams(cluster: Cluster, length: number): Promise<StreamSample> {
    const entryUrl = cluster.entries[0]!.url;
    const { agentUrl } = cluster.runners[0]!;
    const entryBefore = await readCpuSeconds(entryUrl);
    const agentBefore = await readCpuSeconds(agentUrl);
    const firstTokens: number[] = [];
    const gaps: number[] = [];
    let tokens = 0;
    await Promise.all([...Array(callerCount).keys()].map(async caller => {
        for (let index = 0; index < requestsPerCaller; index++) {
            const arrivals = await readStream(entryUrl, length, `prompt ${caller} ${index}`);
            firstTokens.push(arrivals[0]!);
            arrivals.slice(1).forEach((arrival, position) => gaps.push(arrival - arrivals[position]!));
            tokens += arrivals.length;
        }
    }));
    return {
        requests: callerCount * requestsPerCaller,
        tokens,
        entryCpuSeconds: await readCpuSeconds(entryUrl) - entryBefore,
        agentCpuSeconds: await readCpuSeconds(agentUrl) - agentBefore,
        firstTokens,
        gaps,
    };
}

async function readStream(url: string, length: number, prompt: string): Promise<number[]> {
    const startedAt = performance.now();
    const answer = await request(`${url}/v1/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", "x-deadline-milliseconds": "60000" },
        body: JSON.stringify({ model: "scribe", prompt, max_tokens: length, stream: true }),
    });
    if (answer.statusCode !== 200) {
        throw new Error(`completion was refused: ${answer.statusCode} ${await answer.body.text()}`);
    }
    const arrivals: number[] = [];
    for await (const chunk of answer.body) {
        const events = String(chunk).split("data:").length - 1;
        arrivals.push(...Array<number>(events).fill(performance.now() - startedAt));
    }
    return arrivals;
}

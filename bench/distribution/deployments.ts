import { readFileSync } from "node:fs";
import type { TransferServiceOptions } from "../../src/node/agent/transfer/index.js";
import type { RunScale } from "./messages.js";

/** Sizes and speeds of a deployment, and its deadline for new versions. */
export interface Deployment {
    readonly scale: RunScale;
    /** Rate of the link between two zones. */
    readonly zoneBytesPerSecond: number;
    /** Time after the naming of a version at which no request may be sent to an older one, in milliseconds. */
    readonly deadline: number;
}

const bytesPerMegabit = 125_000;

function describeDeployment(
    chunks: number,
    chunkBytes: number,
    megabits: { readonly origin: number; readonly agent: number; readonly zones: number; },
    deadline: number,
): Deployment {
    return {
        scale: {
            totalBytes: chunks * chunkBytes,
            chunkBytes,
            linkBytesPerSecond: megabits.agent * bytesPerMegabit,
            originBytesPerSecond: megabits.origin * bytesPerMegabit,
        },
        zoneBytesPerSecond: megabits.zones * bytesPerMegabit,
        deadline,
    };
}

/** The two deployments of docs/hard-load.md. */
export const deployments = {
    engraving: describeDeployment(64, 32_768, { origin: 5.94, agent: 5.32, zones: 18.2 }, 10_300),
    "catch-up": describeDeployment(96, 24_576, { origin: 4.38, agent: 5.11, zones: 16.1 }, 13_400),
} as const;

/** Name of a deployment. */
export type DeploymentName = keyof typeof deployments;

/** Intervals that the weight agent passes to the transfer service. */
const agentIntervals: TransferServiceOptions = {
    exchangeInterval: 400,
    exchangeTimeLimit: 400,
    tickInterval: 100,
    retryChokedAfter: 100,
};

/**
 * Reads the options of the platform's template, so that simulations use what agents use.
 *
 * @returns the options of the section `distribution`, and the intervals of the weight agent
 */
export function readPlatformOptions(): TransferServiceOptions {
    const template = readFileSync(new URL("../../platform/settings.ini", import.meta.url), "utf8");
    const section = template.split("[distribution]")[1]!.split("\n[")[0]!;
    const entries = section.split("\n").filter(line => line.includes("=")).map(line => {
        const [key, value] = line.split("=").map(part => part.trim());
        return [key!.replace(/Milliseconds$/, ""), JSON.parse(value!) as number | boolean] as const;
    });
    return { ...agentIntervals, ...Object.fromEntries(entries) };
}

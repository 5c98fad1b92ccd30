import type { Milliseconds } from "../src/types/index.js";
import type { BurstFigures } from "./burst.js";
import type { UserReport } from "./userRun.js";

const labelWidth = 44;
const valueWidth = 16;

/**
 * Renders the results of one user's run as a table.
 *
 * @param report - result of the run
 * @returns the lines, without a trailing line break
 */
export function renderReport(report: UserReport): string {
    const { firstVersion, versionChange, firstByteP95 } = report;
    const bursts = [firstVersion, versionChange];
    const row = (label: string, read: (figures: BurstFigures) => string): string => renderRow(label, bursts.map(read));
    return [
        report.title,
        `${report.model} on ${report.copies} instances, objective ${report.objective}`,
        renderRow("", ["first version", "version change"]),
        row(`time to ${report.copies} replicas`, ({ timeToAllCopies }) => `${(timeToAllCopies / 1_000).toFixed(1)} s`),
        row("bytes from the origin, in copies", ({ originCopies }) => originCopies.toFixed(2)),
        row("bytes of a link in and out, in copies: mean", ({ meanLinkCopies }) => meanLinkCopies.toFixed(2)),
        row("bytes of a link in and out, in copies: max", ({ maximumLinkCopies }) => maximumLinkCopies.toFixed(2)),
        renderRow("", ["without burst", "with burst"]),
        renderRow("p95 time to first byte of completions", [firstByteP95.quiet, firstByteP95.burst].map(renderTime)),
        `requests answered / refused / unknown / unreached:  ${renderRequests(report.requests)}`,
        `guarantees:  ${report.broken.length === 0 ? "none broken" : `${report.broken.length} broken`}`,
        ...report.broken.map(line => `  ${line}`),
    ].join("\n");
}

function renderRow(label: string, values: readonly string[]): string {
    return label.padEnd(labelWidth) + values.map(value => value.padStart(valueWidth)).join("");
}

function renderTime(time: Milliseconds | undefined): string {
    return time === undefined ? "no answers" : `${time.toFixed(0)} ms`;
}

/** Broken responses count as unknown, because the caller does not learn whether the request ran. */
function renderRequests(requests: UserReport["requests"]): string {
    const { answered = 0, refused = 0, unknown = 0, broken = 0, unreached = 0 } = requests;
    return [answered, refused, unknown + broken, unreached].join(" / ");
}

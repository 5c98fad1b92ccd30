import { err, ok, type Result } from "true-myth/result";
import * as z from "zod";
import { createError, type GoldcrestpointError, type PortResult } from "../../../types/index.js";
import { exitCodes } from "../exitCodes.js";
import { renderTable } from "../renderTable.js";
import type { CommandHandler, CommandReport, OperatorContext } from "../types.js";
import { readEvacuations } from "./evacuations.js";

/** Path at which an entry instance reports the status of all deployments. */
export const statusPath = "/operations/status";

const count = z.number().int().min(0);

/** Schema of the response to `GET /operations/status`. */
export const statusSchema = z.object({
    appliedOffset: count,
    deployments: z.array(z.object({
        deployment: z.string(),
        revision: count,
        version: z.string().optional(),
        zones: z.array(z.object({
            zone: z.string(),
            wanted: count,
            assigned: count,
            complete: count,
            serving: count,
            chunksComplete: count,
            chunksTotal: count,
        })),
    })),
});

/** Status of all deployments, as reported by one entry instance. */
export type StatusAnswer = z.infer<typeof statusSchema>;

const headings = ["DEPLOYMENT", "REVISION", "VERSION", "ZONE", "WANTED", "ASSIGNED", "COMPLETE", "SERVING", "PROGRESS"];

function renderProgress(chunksComplete: number, chunksTotal: number): string {
    return chunksTotal === 0 ? "-" : `${Math.floor(chunksComplete / chunksTotal * 100)}%`;
}

/**
 * Renders the status as a table.
 *
 * @param status - response of an entry instance
 * @returns the table, with one line for each deployment and availability zone
 */
export function renderStatus(status: StatusAnswer): string {
    const rows = status.deployments.flatMap(({ deployment, revision, version, zones }) =>
        zones.map(zone => [
            deployment,
            String(revision),
            version === undefined || version === "" ? "-" : version,
            zone.zone,
            String(zone.wanted),
            String(zone.assigned),
            String(zone.complete),
            String(zone.serving),
            renderProgress(zone.chunksComplete, zone.chunksTotal),
        ])
    );
    const lines = renderTable([headings, ...rows]);
    return [`applied offset ${status.appliedOffset}`, ...lines].join("\n");
}

async function readStatus(context: OperatorContext): PortResult<StatusAnswer> {
    const reasons: string[] = [];
    for (const url of context.settings.operator.entryUrls) {
        const answer = await context.ports.entries.get(url, statusPath);
        if (answer.isErr) {
            reasons.push(`${url}: ${answer.error.message}`);
            continue;
        }
        const parsed = statusSchema.safeParse(answer.value.body);
        if (answer.value.status === 200 && parsed.success) {
            return ok(parsed.data);
        }
        reasons.push(`${url}: answered ${answer.value.status} without a usable status`);
    }
    const message = `no entry instance answered: ${
        reasons.length === 0 ? "[operator] entryUrls is empty" : reasons.join("; ")
    }`;
    return err(createError("PEER_UNREACHABLE", "read status", "entry instances", message));
}

/** Reads the deployments, unless the settings name gateways and no entry instance. */
async function readDeployments(
    context: OperatorContext,
): Promise<Result<CommandReport | undefined, GoldcrestpointError>> {
    const { entryUrls, gatewayUrls } = context.settings.operator;
    if (entryUrls.length === 0 && gatewayUrls.length > 0) {
        return ok(undefined);
    }
    const answer = await readStatus(context);
    return answer.map(read => ({ text: renderStatus(read), json: read }));
}

/** Shows the parts of the status that could be read. */
function emitStatus(
    context: OperatorContext,
    deployments: CommandReport | undefined,
    evacuations: CommandReport | undefined,
): void {
    const parts = [deployments, evacuations].filter(part => part !== undefined);
    if (parts.length > 0) {
        context.emit({
            text: parts.map(({ text }) => text).join("\n"),
            json: {
                ...(deployments?.json as StatusAnswer | undefined),
                ...(evacuations === undefined ? {} : { evacuations: evacuations.json }),
            },
        });
    }
}

/**
 * Shows wanted, complete and serving copies of each deployment, and the evacuated zones that gateways know.
 *
 * @param context - ports and output
 * @param argument - not used
 * @param options - options of the command; `watch` repeats until the program is interrupted
 * @returns the exit code; `PEER_UNREACHABLE` if no entry instance or no gateway answers
 */
export const status: CommandHandler = async (context, ...[, options]) => {
    for (;;) {
        const [deployments, evacuations] = await Promise.all([readDeployments(context), readEvacuations(context)]);
        emitStatus(context, deployments.unwrapOr(undefined), evacuations.unwrapOr(undefined));
        const answer = deployments.isErr ? deployments : evacuations;
        if (options["watch"] !== true) {
            return answer.map(() => exitCodes.success);
        }
        if (answer.isErr) {
            context.warn(answer.error.message);
        }
        if (!await context.ports.pause(context.settings.operator.watchInterval)) {
            return ok(exitCodes.success);
        }
    }
};

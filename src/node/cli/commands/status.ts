import { err, ok } from "true-myth/result";
import * as z from "zod";
import { createError, type PortResult } from "../../../types/index.js";
import { exitCodes } from "../exitCodes.js";
import { renderTable } from "../renderTable.js";
import type { CommandHandler, OperatorContext } from "../types.js";

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

/**
 * Shows wanted, complete and serving copies of each deployment.
 *
 * @param context - ports and output
 * @param argument - not used
 * @param options - options of the command; `watch` repeats until the program is interrupted
 * @returns the exit code; `PEER_UNREACHABLE` if no entry instance answers
 */
export const status: CommandHandler = async (context, ...[, options]) => {
    for (;;) {
        const answer = await readStatus(context);
        if (answer.isOk) {
            context.emit({ text: renderStatus(answer.value), json: answer.value });
        }
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

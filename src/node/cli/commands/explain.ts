import { err, ok } from "true-myth/result";
import * as z from "zod";
import { createError } from "../../../types/index.js";
import { exitCodes } from "../exitCodes.js";
import type { CommandHandler, OperatorContext } from "../types.js";
import { explainFromLogs } from "./explainLogs.js";

const decisionSchema = z.looseObject({
    kind: z.string(),
    outcome: z.string(),
    deployment: z.string(),
    choice: z.string(),
    reason: z.string(),
    candidates: z.number(),
    decidedAt: z.string(),
    instance: z.string(),
    details: z.record(z.string(), z.unknown()).optional(),
});

const answerSchema = z.object({ decisions: z.array(decisionSchema) });

type ReportedDecision = z.infer<typeof decisionSchema>;

function renderDecision(decision: ReportedDecision): string {
    const { decidedAt, instance, kind, outcome, choice, reason, candidates, details = {} } = decision;
    const values = Object.entries(details).map(([name, value]) => `${name}=${String(value)}`);
    return [`${decidedAt} ${instance} ${kind} ${outcome}: ${choice} (${reason}; candidates=${candidates})`, ...values]
        .join(" ");
}

async function queryEntries(context: OperatorContext, id: string) {
    const path = `/operations/decisions/${encodeURIComponent(id)}`;
    const urls = context.settings.operator.entryUrls;
    const answers = await Promise.all(urls.map(url => context.ports.entries.get(url, path)));
    const decisions: ReportedDecision[] = [];
    const silent: string[] = [];
    answers.forEach((answer, index) => {
        const parsed = answer.isOk ? answerSchema.safeParse(answer.value.body) : undefined;
        if (parsed?.success === true) {
            decisions.push(...parsed.data.decisions);
        }
        else if (answer.isErr || answer.value.status !== 404) {
            silent.push(urls[index]!);
        }
    });
    decisions.sort((left, right) => left.decidedAt < right.decidedAt ? -1 : left.decidedAt > right.decidedAt ? 1 : 0);
    return { decisions, silent };
}

/**
 * Shows the decisions on a request, or the placement decisions on a deployment.
 *
 * @param context - ports and output
 * @param id - request id or name of a deployment
 * @param options - options of the command; `logs` lists log files to read instead of querying entry instances
 * @returns exit code 1 if all entry instances answered but none keeps a decision; `PEER_UNREACHABLE` if no decision was
 * found and some did not answer
 */
export const explain: CommandHandler = async (context, id, options) => {
    const files = options["logs"];
    if (Array.isArray(files)) {
        return explainFromLogs(context, id, files as readonly string[]);
    }
    const { decisions, silent } = await queryEntries(context, id);
    if (silent.length > 0 && decisions.length > 0) {
        context.warn(`no answer from ${silent.join(", ")}; decisions may be missing`);
    }
    if (decisions.length > 0) {
        context.emit({ text: decisions.map(renderDecision).join("\n"), json: { id, decisions, silent } });
        return ok(exitCodes.success);
    }
    if (silent.length > 0) {
        const message = `no decision on ${id} was found, and there was no answer from ${silent.join(", ")}`;
        return err(createError("PEER_UNREACHABLE", "read decisions", silent.join(", "), message));
    }
    const text = `no decision on ${id} is kept; each instance keeps the newest ones ([log] recentDecisions)`;
    context.emit({ text, json: { id, decisions, silent } });
    return ok(exitCodes.failure);
};

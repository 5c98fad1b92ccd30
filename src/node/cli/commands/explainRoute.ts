import { readFileSync } from "node:fs";
import { err, ok, type Result } from "true-myth/result";
import * as z from "zod";
import { createError, type GoldcrestpointError } from "../../../types/index.js";
import { exitCodes } from "../exitCodes.js";
import { renderTable } from "../renderTable.js";
import type { CommandHandler, CommandOptions } from "../types.js";

const serverSchema = z.object({
    instance: z.string(),
    zone: z.string(),
    region: z.string(),
    leftOut: z.string().optional(),
    score: z.number().optional(),
    expectedFirstEvent: z.number().optional(),
    expectedEnd: z.number().optional(),
    remainingWork: z.number().optional(),
    slowdown: z.number(),
    outstanding: z.number(),
    reportedLoad: z.number(),
    reportAge: z.number(),
    weights: z.string().optional(),
});

const explanationSchema = z.object({
    route: z.string(),
    service: z.string(),
    clientAccount: z.string().optional(),
    allowedRegions: z.array(z.string()).optional(),
    promptTokens: z.number().optional(),
    expectedTokens: z.number().optional(),
    drawn: z.number(),
    servers: z.array(serverSchema),
});

const problemSchema = z.object({ problem: z.string(), message: z.string() });

type Explanation = z.infer<typeof explanationSchema>;

const step = "explain route";

function fail(message: string): Result<never, GoldcrestpointError> {
    return err(createError("USAGE_INVALID", step, "local", message));
}

/** Reads the headers from a file, one `name: value` a line, and from flags, which take precedence. */
function readHeaders(options: CommandOptions): Result<Readonly<Record<string, string>>, GoldcrestpointError> {
    const file = options["headers"];
    const flags = options["header"];
    const headers: Record<string, string> = {};
    let lines: string[];
    try {
        lines = typeof file === "string" ? readFileSync(file, "utf8").split(/\r?\n/) : [];
    }
    catch (cause) {
        return fail(`headers cannot be read: ${cause instanceof Error ? cause.message : String(cause)}`);
    }
    for (const line of [...lines, ...(Array.isArray(flags) ? flags as readonly string[] : [])]) {
        const separator = line.indexOf(":");
        if (line.trim() === "") {
            continue;
        }
        if (separator <= 0) {
            return fail(`header ${JSON.stringify(line)}: allowed is NAME: VALUE`);
        }
        headers[line.slice(0, separator).trim().toLowerCase()] = line.slice(separator + 1).trim();
    }
    return ok(headers);
}

function render(explanation: Explanation): string {
    const { allowedRegions, clientAccount, drawn, expectedTokens, promptTokens, route, servers, service } = explanation;
    const candidates = servers.filter(({ leftOut }) => leftOut === undefined).length;
    const facts = [
        `route ${route}, service ${service}, account ${clientAccount ?? "none"}, regions ${
            allowedRegions?.join(", ") ?? "any"
        }`,
        `prompt tokens ${promptTokens ?? "unknown"}, expected output tokens ${expectedTokens ?? "unknown"}`,
        candidates === 0 ?
            "no backend server may get the request now" :
            `${candidates} of ${servers.length} backend servers may get it; of ${
                Math.min(drawn, candidates)
            } drawn at random, the one with the lowest score does`,
    ];
    const rows = servers.map(server => [
        server.instance,
        `${server.zone} (${server.region})`,
        server.leftOut ?? "candidate",
        String(server.score ?? "-"),
        String(server.expectedFirstEvent ?? "-"),
        String(server.remainingWork ?? "-"),
        String(server.slowdown),
        `${server.outstanding} + ${server.reportedLoad}`,
        String(server.reportAge),
        server.weights ?? "-",
    ]);
    const header = [
        "server",
        "zone (region)",
        "state",
        "score",
        "first event ms",
        "work left ms",
        "slowdown",
        "own + others",
        "report age ms",
        "weights",
    ];
    return [...facts, ...renderTable([header, ...rows])].join("\n");
}

/**
 * Asks a gateway where a request would be sent now, and why. Nothing is sent on.
 *
 * @param context - ports and output
 * @param path - path of the request with its query
 * @param options - `gateway` is the base URL of the gateway's metrics address; `header` and `headers` give the headers
 * @returns exit code 1 if no backend server may get the request; `USAGE_INVALID` for malformed headers and for a request
 * that the configuration does not allow, `PEER_UNREACHABLE` if the gateway does not answer
 */
export const explainRoute: CommandHandler = async (context, path, options) => {
    const gateway = options["gateway"];
    if (typeof gateway !== "string") {
        return fail("--gateway is required: http://HOST:PORT of the gateway's metrics address");
    }
    const headers = readHeaders(options);
    if (headers.isErr) {
        return err(headers.error);
    }
    const question = encodeURIComponent(JSON.stringify({ path, headers: headers.value }));
    const answer = await context.ports.entries.get(gateway, `/operations/route?question=${question}`);
    if (answer.isErr) {
        return err(answer.error);
    }
    const { body, status } = answer.value;
    const explanation = explanationSchema.safeParse(body);
    if (status === 200 && explanation.success) {
        context.emit({ text: render(explanation.data), json: explanation.data });
        const isServable = explanation.data.servers.some(({ leftOut }) => leftOut === undefined);
        return ok(isServable ? exitCodes.success : exitCodes.failure);
    }
    const problem = problemSchema.safeParse(body);
    return problem.success ?
        err(createError("USAGE_INVALID", step, gateway, `${problem.data.message} (${problem.data.problem})`)) :
        err(createError("PEER_UNREACHABLE", step, gateway, `answered with status ${status} and no explanation`));
};

import * as z from "zod";
import { type HttpRouter, sendJson } from "../httpServer/index.js";
import type { RouteAnswer, RouteProblem, RouteQuestion } from "./selection/routeExplainer.js";

/** Path that `goldcrestpoint explain-route` asks; the query has the request as JSON in `question`. */
export const explainRoutePath = "/operations/route";

const questionSchema = z.object({ path: z.string().startsWith("/"), headers: z.record(z.string(), z.string()) });

const statuses: Readonly<Record<RouteProblem, number>> = {
    "no-configuration": 503,
    "no-route": 404,
    "unknown-key": 401,
    "no-request-id": 400,
    "no-service": 503,
};

function parseQuestion(text: string | undefined): RouteQuestion | undefined {
    try {
        const { data } = questionSchema.safeParse(JSON.parse(text ?? ""));
        return data && {
            path: data.path,
            headers: Object.fromEntries(
                Object.entries(data.headers).map(([name, value]) => [name.toLowerCase(), value]),
            ),
        };
    }
    catch {
        return undefined;
    }
}

/**
 * Adds the route that explains where a request would be sent now.
 *
 * @param router - router of the gateway's status addresses
 * @param explain - explains a request without sending it
 */
export function registerExplainRoute(router: HttpRouter, explain: (question: RouteQuestion) => RouteAnswer): void {
    router.on("GET", explainRoutePath, (...[, response, , , query]) => {
        const question = parseQuestion(query["question"]);
        if (question === undefined) {
            sendJson(response, 400, { problem: "no-question", message: "question is no JSON with path and headers" });
            return;
        }
        const answer = explain(question);
        if (answer.kind === "explained") {
            sendJson(response, 200, answer.explanation);
            return;
        }
        sendJson(response, statuses[answer.problem], { problem: answer.problem, message: answer.message });
    });
}

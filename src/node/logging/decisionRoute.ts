import type { HTTPVersion, Instance as Router } from "find-my-way";
import type { DecisionLog } from "./decisionLog.js";

/** Path of the kept decisions; its parameter is a request id or the name of a deployment. */
export const decisionsPath = "/operations/decisions/:id";

/**
 * Adds the route that `goldcrestpoint explain` reads: `GET /operations/decisions/ID` responds with a JSON object with
 * `decisions`, and with status 404 if none is kept.
 *
 * @param router - router of the daemon
 * @param decisionLog - decision log of the daemon
 */
export function registerDecisionRoute(router: Router<HTTPVersion.V1>, decisionLog: DecisionLog): void {
    router.on("GET", decisionsPath, (...[, response, parameters]) => {
        const decisions = decisionLog.listRecent(parameters["id"] ?? "");
        response.writeHead(decisions.length === 0 ? 404 : 200, { "content-type": "application/json" });
        response.end(JSON.stringify({ decisions }));
    });
}

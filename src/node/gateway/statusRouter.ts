import findMyWay from "find-my-way";
import type { HttpRouter } from "../httpServer/index.js";
import { registerStatusRoutes, sendJson } from "../httpServer/index.js";
import { type DecisionLog, registerDecisionRoute } from "../logging/index.js";
import { registerExplainRoute } from "./explainRoute.js";
import type { EvacuationStatus } from "./membership/evacuationStatus.js";
import type { RouteAnswer, RouteQuestion } from "./selection/routeExplainer.js";

/** Dependencies of {@link createRouter}. */
export interface StatusRouterInput {
    /** Path at which the platform checks readiness. */
    readonly readyPath: string;
    /** Reasons why the daemon is not ready; empty if it is. */
    readonly listUnreadyReasons: () => readonly string[];
    readonly renderMetrics: () => string;
    readonly describeEvacuations: () => readonly EvacuationStatus[];
    readonly decisions: DecisionLog;
    readonly explainRoute: (question: RouteQuestion) => RouteAnswer;
}

/**
 * Creates the router of readiness, metrics, evacuated zones, recent decisions and routes.
 *
 * @param input - sources of the answers
 * @returns the router
 */
export function createRouter(input: StatusRouterInput): HttpRouter {
    const router: HttpRouter = findMyWay({ defaultRoute: (...[, response]) => sendJson(response, 404, {}) });
    registerStatusRoutes(router, input);
    registerDecisionRoute(router, input.decisions);
    registerExplainRoute(router, input.explainRoute);
    router.on("GET", "/evacuations", (...[, response]) => {
        sendJson(response, 200, { evacuations: input.describeEvacuations() });
    });
    if (input.readyPath !== "/ready") {
        router.on("GET", input.readyPath, (...[, response]) => {
            const reasons = input.listUnreadyReasons();
            sendJson(response, reasons.length === 0 ? 200 : 503, { ready: reasons.length === 0, reasons });
        });
    }
    return router;
}

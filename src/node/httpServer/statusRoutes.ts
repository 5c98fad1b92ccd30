import type { HttpRouter } from "./httpServer.js";
import { sendJson } from "./responses.js";

/** Source of the responses of a daemon's status routes. */
export interface StatusSource {
    /** Reasons why the daemon is not ready; empty if it is. */
    readonly listUnreadyReasons: () => readonly string[];
    /** Metrics in the Prometheus text format. */
    readonly renderMetrics: () => string;
}

/**
 * Adds the routes `/health` (the process is running), `/ready` (200 if it is ready to serve, otherwise 503 with the
 * reasons) and `/metrics`.
 *
 * @param router - router of the daemon
 * @param source - readiness and metrics
 */
export function registerStatusRoutes(router: HttpRouter, source: StatusSource): void {
    router.on("GET", "/health", (...[, response]) => sendJson(response, 200, { healthy: true }));
    router.on("GET", "/ready", (...[, response]) => {
        const reasons = source.listUnreadyReasons();
        sendJson(response, reasons.length === 0 ? 200 : 503, { ready: reasons.length === 0, reasons });
    });
    router.on("GET", "/metrics", (...[, response]) => {
        response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
        response.end(source.renderMetrics());
    });
}

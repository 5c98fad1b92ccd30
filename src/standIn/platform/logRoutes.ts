import { EventEmitter, once } from "node:events";
import type { LogEntry, LogPage, LogRecord } from "../../types/index.js";
import {
    createJsonResponse,
    createRefusal,
    parseJsonObject,
    type StandInResponse,
    type StandInRoute,
} from "../http/index.js";
import type { LogStore } from "./logStore.js";

/** Limit of the entries in one response. */
const maximumPageEntries = 500;
const maximumWaitMilliseconds = 30_000;

/**
 * Creates the routes of the log: `POST /log/records` (operation `log-append`) and
 * `GET /log/records?after=OFFSET&wait=MILLISECONDS` (operation `log-read`). `POST /control/log/truncate` with
 * `{ beforeOffset }` removes the records before an offset, as retention does.
 *
 * @param log - the log
 * @returns the routes
 */
export function createLogRoutes(log: LogStore): StandInRoute[] {
    const appended = new EventEmitter().setMaxListeners(0);

    async function read(after: number, waitMilliseconds: number, signal: AbortSignal): Promise<LogPage> {
        const page = log.read(after, maximumPageEntries);
        if (page.entries.length > 0 || waitMilliseconds <= 0) {
            return page;
        }
        const waitEnded = AbortSignal.any([
            signal,
            AbortSignal.timeout(Math.min(waitMilliseconds, maximumWaitMilliseconds)),
        ]);
        await once(appended, "appended", { signal: waitEnded }).catch(() => undefined);
        return log.read(after, maximumPageEntries);
    }

    return [
        {
            operation: "control",
            method: "POST",
            path: "/control/log/truncate",
            handle: ({ body }) => {
                log.truncate(Number(parseJsonObject(body)?.["beforeOffset"]));
                return { status: 204 };
            },
        },
        {
            operation: "log-append",
            method: "POST",
            path: "/log/records",
            handle: ({ body }) => {
                const record = parseJsonObject(body);
                if (typeof record?.["id"] !== "string") {
                    return createRefusal(400, "a record needs an id");
                }
                const offset = log.append(record as unknown as LogRecord);
                if (offset === undefined) {
                    return createRefusal(429, "too many appends", { "retry-after": "1" });
                }
                appended.emit("appended");
                return createJsonResponse(201, { id: record["id"], offset });
            },
        },
        {
            operation: "log-read",
            method: "GET",
            path: "/log/records",
            transforms: {
                duplicate: response => transformEntries(response, entries => entries.flatMap(entry => [entry, entry])),
                "out-of-order": response => transformEntries(response, entries => [...entries].reverse()),
            },
            handle: async ({ query, signal }) => {
                const after = Number(query.get("after") ?? 0);
                return createJsonResponse(200, await read(after, Number(query.get("wait") ?? 0), signal));
            },
        },
    ];
}

function transformEntries(
    response: StandInResponse,
    transform: (entries: readonly LogEntry[]) => readonly LogEntry[],
): StandInResponse {
    const page = JSON.parse(response.body as string) as LogPage;
    return { ...response, body: JSON.stringify({ ...page, entries: transform(page.entries) }) };
}

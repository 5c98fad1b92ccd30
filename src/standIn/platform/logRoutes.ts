import { EventEmitter, once } from "node:events";
import type { LogEntry, LogPage, LogRecord } from "../../types/index.js";
import { answerJson, answerRefusal, parseJsonObject, type StandInAnswer, type StandInRoute } from "../http/index.js";
import type { LogStore } from "./logStore.js";

/** Entries in one answer. */
const pageLimit = 500;
const longestWait = 30_000;

/**
 * Creates the routes of the log: `POST /log/records` (operation `log-append`) and
 * `GET /log/records?after=OFFSET&wait=MILLISECONDS` (operation `log-read`). `POST /control/log/truncate` with
 * `{ beforeOffset }` removes older records as retention does.
 *
 * @param log - the log
 * @returns the routes
 */
export function createLogRoutes(log: LogStore): StandInRoute[] {
    const appended = new EventEmitter().setMaxListeners(0);

    async function read(after: number, waitMilliseconds: number, signal: AbortSignal): Promise<LogPage> {
        const page = log.read(after, pageLimit);
        if (page.entries.length > 0 || waitMilliseconds <= 0) {
            return page;
        }
        const ended = AbortSignal.any([signal, AbortSignal.timeout(Math.min(waitMilliseconds, longestWait))]);
        await once(appended, "appended", { signal: ended }).catch(() => undefined);
        return log.read(after, pageLimit);
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
                    return answerRefusal(400, "a record needs an id");
                }
                const offset = log.append(record as unknown as LogRecord);
                if (offset === undefined) {
                    return answerRefusal(429, "too many appends", { "retry-after": "1" });
                }
                appended.emit("appended");
                return answerJson(201, { id: record["id"], offset });
            },
        },
        {
            operation: "log-read",
            method: "GET",
            path: "/log/records",
            rearrange: {
                duplicate: answer => changeEntries(answer, entries => entries.flatMap(entry => [entry, entry])),
                "out-of-order": answer => changeEntries(answer, entries => [...entries].reverse()),
            },
            handle: async ({ query, signal }) => {
                const after = Number(query.get("after") ?? 0);
                return answerJson(200, await read(after, Number(query.get("wait") ?? 0), signal));
            },
        },
    ];
}

function changeEntries(
    answer: StandInAnswer,
    change: (entries: readonly LogEntry[]) => readonly LogEntry[],
): StandInAnswer {
    const page = JSON.parse(answer.body as string) as LogPage;
    return { ...answer, body: JSON.stringify({ ...page, entries: change(page.entries) }) };
}

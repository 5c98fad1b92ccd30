import { err, ok, type Result } from "true-myth/result";
import {
    createError,
    type GoldcrestpointError,
    type LogEntry,
    type LogPage,
    type LogPort,
    type LogRecord,
    type Milliseconds,
    type Offset,
    type PortResult,
} from "../../types/index.js";
import {
    createHttpClient,
    type HttpClient,
    type HttpTimeouts,
    parseJson,
    toCallError,
    toReadError,
    toStatusError,
} from "../httpClient/index.js";
import { appendResponseSchema, readResponseSchema } from "./schemas.js";

const appendStep = "append record";
const readStep = "read log";

/** Options of {@link createLogClient}. */
export interface LogClientOptions {
    /** Base URL of the log. */
    readonly baseUrl: string;
    /** Default: those of {@link HttpTimeouts}; for a read, the time that it waits for a record is added. */
    readonly timeouts?: Partial<HttpTimeouts> | undefined;
}

/**
 * Creates a client of the platform's log.
 *
 * @param options - base URL and time limits
 * @returns the client. `append` fails with `APPEND_AMBIGUOUS` if the record may have been appended, otherwise with
 * `LOG_UNREACHABLE`. `read` sorts entries and removes duplicates; it fails with `LOG_TRUNCATED` if entries after a
 * positive offset have expired, and with `LOG_UNREACHABLE` for a response with a gap. A read after offset 0 starts at
 * the first offset that the log still holds.
 */
export function createLogClient(options: LogClientOptions): LogPort & AsyncDisposable {
    const client = createHttpClient(options);
    return {
        append: record => append(client, record),
        read: (afterOffset, waitMilliseconds) => read(client, options.timeouts, afterOffset, waitMilliseconds),
        [Symbol.asyncDispose]: () => client[Symbol.asyncDispose](),
    };
}

async function append(client: HttpClient, record: LogRecord): PortResult<Offset> {
    const response = await client.send({
        method: "POST",
        path: "/log/records",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(record),
    });
    if (response.isErr) {
        const code = response.error.requestWritten ? "APPEND_AMBIGUOUS" : "LOG_UNREACHABLE";
        return err(toCallError(code, appendStep, client.peer, response.error));
    }
    if (response.value.status !== 201) {
        const error = toStatusError("LOG_UNREACHABLE", appendStep, client.peer, response.value);
        return err(error.mayHaveTakenEffect ? { ...error, code: "APPEND_AMBIGUOUS" } : error);
    }
    const parsed = appendResponseSchema.safeParse(parseJson(response.value.body));
    if (!parsed.success || parsed.data.id !== record.id) {
        const message = "the response does not contain the identifier of the appended record";
        return err(createError("APPEND_AMBIGUOUS", appendStep, client.peer, message, { mayHaveTakenEffect: true }));
    }
    return ok(parsed.data.offset);
}

async function read(
    client: HttpClient,
    timeouts: Partial<HttpTimeouts> | undefined,
    afterOffset: Offset,
    wait: Milliseconds,
): PortResult<LogPage> {
    const response = await client.send({
        method: "GET",
        path: `/log/records?after=${afterOffset}&wait=${wait}`,
        timeouts: { head: (timeouts?.head ?? 5_000) + wait, total: (timeouts?.total ?? 10_000) + wait },
    });
    if (response.isErr) {
        return err(toReadError("LOG_UNREACHABLE", readStep, client.peer, response.error));
    }
    if (response.value.status !== 200) {
        const error = toStatusError("LOG_UNREACHABLE", readStep, client.peer, response.value);
        return err({ ...error, mayHaveTakenEffect: false });
    }
    const parsed = readResponseSchema.safeParse(parseJson(response.value.body));
    if (!parsed.success) {
        return err(
            createError("LOG_UNREACHABLE", readStep, client.peer, "the response is not a valid page of the log"),
        );
    }
    return checkPage(parsed.data, afterOffset, client.peer);
}

function checkPage(page: LogPage, afterOffset: Offset, peer: string): Result<LogPage, GoldcrestpointError> {
    const entries = sortEntries(page.entries, afterOffset);
    const oldest = entries[0];
    // All entries between the requested offset and the oldest entry of the log have expired.
    const expired = oldest === undefined ?
        page.firstOffset > page.headOffset :
        oldest.offset <= page.firstOffset && oldest.previousOffset > afterOffset;
    const complete = oldest === undefined ? page.headOffset <= afterOffset : oldest.previousOffset === afterOffset;
    if (!complete && expired && afterOffset > 0) {
        const message = `entries after offset ${afterOffset} have expired; the log begins at ${page.firstOffset}`;
        return err(createError("LOG_TRUNCATED", readStep, peer, message));
    }
    const isContiguous = entries.every((entry, index) =>
        index === 0 || entry.previousOffset === entries[index - 1]!.offset
    );
    if (!isContiguous || (!complete && !expired)) {
        return err(createError("LOG_UNREACHABLE", readStep, peer, `the entries after ${afterOffset} have a gap`));
    }
    return ok({ firstOffset: page.firstOffset, headOffset: page.headOffset, entries });
}

function sortEntries(entries: readonly LogEntry[], afterOffset: Offset): LogEntry[] {
    const byOffset = new Map(entries.map(entry => [entry.offset, entry]));
    return [...byOffset.values()]
        .filter(entry => entry.offset > afterOffset)
        .sort((left, right) => left.offset - right.offset);
}

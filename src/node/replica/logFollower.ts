import type { Logger } from "pino";
import type { Result } from "true-myth/result";
import { computeDirectReadTime, type DirectReadOptions } from "../../runtime/replica/index.js";
import {
    type Clock,
    createError,
    type GoldcrestpointError,
    type KeyedLogPort,
    type KeyedPage,
    type KeyedTopic,
    type Milliseconds,
    type Offset,
} from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import type { RecordStore } from "./recordStore.js";
import type { StallMonitor } from "./stallMonitor.js";

/**
 * How a topic is read: by long polling, or at fixed intervals if records arrive all the time. `check` reads a topic that
 * is also long-polled, since the connection of a long poll may stall without being closed.
 */
export type ReadMode = "wait" | "poll" | "check";

/** Options of {@link followLog}. */
export interface LogFollowerOptions extends DirectReadOptions {
    /** Longest time that the log service holds a read open until a record arrives. */
    readonly readWait: Milliseconds;
    /** Time between two reads of a topic that is not long-polled, or between two checks. */
    readonly pollInterval: Milliseconds;
    /** Time between two reads after a change, so that several changes are read with one call. */
    readonly changeInterval: Milliseconds;
    /** First delay after a failed read; it doubles up to {@link LogFollowerOptions.longestRetry}. */
    readonly retryAfter: Milliseconds;
    readonly longestRetry: Milliseconds;
}

/** Dependencies of {@link followLog}. */
export interface LogFollowerInput {
    readonly log: KeyedLogPort;
    readonly store: RecordStore;
    readonly self: string;
    /** Instances that relay records, this one included. */
    readonly listRelays: () => readonly string[];
    readonly clock: Clock;
    readonly stalls: StallMonitor;
    readonly random: { next(): number; };
    readonly logger: Logger;
    readonly options: LogFollowerOptions;
    readonly signal: AbortSignal;
}

/**
 * Time after which a long poll that was not answered was held open by the log service, which then had no record to send.
 */
const promptAnswerLimit: Milliseconds = 1_000;

/** Topic whose age is part of each relay heartbeat; its reader also performs the checks. */
const heartbeatTopic: KeyedTopic = "backend-servers";

/** Interval at which a process that does not know a topic yet checks whether it has to read the log itself. */
const unknownTopicCheckInterval: Milliseconds = 100;

/** Read that the log service has not answered yet. */
interface PendingRead {
    readonly controller: AbortController;
    readonly nextOffset: Offset;
    /** Timer that aborts the read; undefined until the store has records that the read must return. */
    expectation: NodeJS.Timeout | undefined;
    isSilent: boolean;
}

/**
 * Follows a topic of the log until the signal is aborted.
 *
 * @param input - log, store and options
 * @param topic - topic to follow
 * @param mode - how the topic is read
 */
export async function followLog(input: LogFollowerInput, topic: KeyedTopic, mode: ReadMode): Promise<void> {
    const { clock, log, options, random, signal, stalls, store } = input;
    const startedAt = clock.monotonic();
    let failures = 0;
    let hasReadTopic = false;
    /** True if the last read did not return all records that the log had. */
    let hasMore = false;
    let pendingRead: PendingRead | undefined;
    /** Ends the wait until the topic may have to be read; undefined while there is none. */
    let endWait: (() => void) | undefined;
    store.onEra(() => pendingRead?.controller.abort());
    store.onChange(changed => {
        if (changed === "instances") {
            endWait?.();
        }
        if (mode === "wait" && changed === topic) {
            expectAnswer();
        }
    });

    /** Aborts a long poll that does not return records which a relay or a check has already delivered. */
    function expectAnswer(): void {
        const read = pendingRead;
        if (read === undefined || read.expectation !== undefined || store.topic(topic).nextOffset <= read.nextOffset) {
            return;
        }
        read.expectation = setTimeout(() => {
            read.isSilent = true;
            read.controller.abort();
        }, promptAnswerLimit);
    }

    /** Computes the monotonic time after which the topic is read; `Infinity` while that depends on its first records. */
    const computeReadTime: Readonly<Record<ReadMode, () => Milliseconds>> = {
        wait: () => -Infinity,
        poll: () => store.topic(topic).currentAt === undefined ? -Infinity : computeReaderTime(),
        check: () => store.topic(topic).currentAt === undefined ? Infinity : computeReaderTime(),
    };

    function computeReaderTime(): Milliseconds {
        return computeDirectReadTime({
            instances: input.listRelays(),
            self: input.self,
            relayedCurrentAt: store.relayedCurrentAt(
                mode === "check" ? heartbeatTopic : topic,
                reader => reader < input.self,
            ),
            startedAt,
            options,
        });
    }

    /** Waits until the topic may have to be read. Relayed records only put this off, but other instances may end. */
    async function awaitReadTime(readAt: Milliseconds): Promise<void> {
        const ended = new AbortController();
        const end = (): void => ended.abort();
        endWait = end;
        signal.addEventListener("abort", end);
        await sleep(
            readAt === Infinity ? unknownTopicCheckInterval : readAt - clock.monotonic() + 1,
            ended.signal,
        );
        signal.removeEventListener("abort", end);
        endWait = undefined;
    }

    /**
     * Reads the records from an offset on. The read is aborted if a newer era becomes known, which voids the offset.
     *
     * @returns the page, or the error; undefined if the read was abandoned at a silent connection
     */
    async function readFromOffset(
        nextOffset: Offset,
        wait: Milliseconds,
    ): Promise<Result<KeyedPage, GoldcrestpointError> | undefined> {
        const read: PendingRead = {
            controller: new AbortController(),
            nextOffset,
            expectation: undefined,
            isSilent: false,
        };
        pendingRead = read;
        try {
            const page = await log.readSince(topic, nextOffset, wait, read.controller.signal);
            if (page.isErr && read.isSilent) {
                const { peer, step } = page.error;
                input.logger.warn({ topic, step, peer, nextOffset }, "silent long poll abandoned");
                return undefined;
            }
            return page;
        }
        finally {
            clearTimeout(read.expectation);
            pendingRead = undefined;
        }
    }

    async function readOnce(): Promise<GoldcrestpointError | undefined> {
        const { era, nextOffset } = store.topic(topic);
        hasMore = false;
        const complete = (!hasReadTopic && nextOffset === 0) || store.newestEra() > era;
        const requestedAt = clock.monotonic();
        const wait = mode === "wait" ? options.readWait : 0;
        const page = complete ? await log.readNewest(topic) : await readFromOffset(nextOffset, wait);
        if (page === undefined) {
            return undefined;
        }
        if (page.isErr) {
            return page.error;
        }
        const pageEra = page.value.era ?? 0;
        if (pageEra < store.newestEra() || (!complete && pageEra !== era)) {
            store.recordEra(pageEra);
            return createError("LOG_RESTORED", `read records of ${topic}`, "log", `era ${pageEra}, expected ${era}`);
        }
        hasReadTopic = true;
        hasMore = page.value.hasMore === true && page.value.nextOffset > nextOffset;
        const now = clock.monotonic();
        // The response to a long poll is current when it is sent; its time in the network is unknown and is ignored.
        const sentAfter = stalls.computeSentAfter(requestedAt);
        const age = page.value.hasMore === true ?
            now - (store.topic(topic).currentAt ?? requestedAt) :
            complete || wait === 0 ?
            now - requestedAt :
            now - sentAfter;
        const isHeldOpen = !complete && wait > 0 && sentAfter - requestedAt > promptAnswerLimit;
        const writtenAfter = isHeldOpen ? sentAfter : undefined;
        store.receive({
            topic,
            page: page.value,
            complete,
            age,
            writtenAfter,
            source: "log",
            afterFailure: failures > 0,
            peer: "log",
            reader: input.self,
        });
        return undefined;
    }

    async function readAfterTruncation(): Promise<GoldcrestpointError | undefined> {
        const requestedAt = clock.monotonic();
        const page = await log.readNewest(topic);
        if (page.isErr) {
            return page.error;
        }
        const age = clock.monotonic() - requestedAt;
        store.receive({
            topic,
            page: page.value,
            complete: true,
            age,
            source: "log",
            afterFailure: failures > 0,
            peer: "log",
            reader: input.self,
        });
        return undefined;
    }

    /** Converts what a read throws into an error, so that the topic is read again. */
    async function guard(
        readPage: () => Promise<GoldcrestpointError | undefined>,
    ): Promise<GoldcrestpointError | undefined> {
        try {
            return await readPage();
        }
        catch (cause) {
            const detail = cause instanceof Error ? cause.message : String(cause);
            return createError("LOG_UNREACHABLE", `read records of ${topic}`, "log", detail, { cause });
        }
    }

    async function read(): Promise<void> {
        const before = store.topic(topic).nextOffset;
        let error = await guard(readOnce);
        if (error?.code === "LOG_TRUNCATED") {
            error = await guard(readAfterTruncation);
        }
        else if (error !== undefined && store.newestEra() > store.topic(topic).era) {
            error = await guard(readOnce);
        }
        if (signal.aborted) {
            return;
        }
        if (error === undefined) {
            if (failures > 0) {
                input.logger.info({ topic, failures }, "log reachable again");
            }
            failures = 0;
            const changed = store.topic(topic).nextOffset !== before;
            await sleep(
                hasMore ? 0 : mode !== "wait" ? options.pollInterval : changed ? options.changeInterval : 0,
                signal,
            );
            return;
        }
        failures++;
        if (failures === 1) {
            const { code, message, peer, step } = error;
            input.logger.warn({ topic, code, step, peer, detail: message }, "log not reachable");
        }
        const delay = Math.min(options.longestRetry, options.retryAfter * 2 ** Math.min(failures - 1, 6));
        await sleep(delay * (0.5 + random.next()), signal);
    }

    while (!signal.aborted) {
        const readAt = computeReadTime[mode]();
        if (clock.monotonic() > readAt) {
            await read();
        }
        else {
            await awaitReadTime(readAt);
        }
    }
}

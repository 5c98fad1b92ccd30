import type { ServerResponse } from "node:http";
import { type HttpStandIn, sendJson, startHttpStandIn } from "./httpStandIn.js";

/**
 * Faults of the store:
 *
 * - `busy`: calls are refused with status 503;
 * - `many`: calls are refused with status 429;
 * - `reset`: the connection is closed without a response;
 * - `silent`: calls get no response;
 * - `lost`: records are appended, and the connection is closed without a response;
 * - `failed`: records are appended, and the call is answered with status 500;
 * - `unreadable`: records are appended, and the call is answered with a body that is no JSON.
 */
export type StoreFault = "none" | "busy" | "many" | "reset" | "silent" | "lost" | "failed" | "unreadable";

interface StoredRecord {
    readonly offset: number;
    readonly key: string;
    readonly value: Buffer;
}

interface StoredTopic {
    records: StoredRecord[];
    /** Newest record of each key. */
    readonly newest: Map<string, StoredRecord>;
    /** Offset of the next record. */
    end: number;
}

/** Stand-in for the platform's store. */
export interface StoreStandIn extends HttpStandIn {
    /** Writes a record with JSON content, as the operator or a backend server does. */
    write(topic: string, key: string, content: unknown): void;
    /** Writes a record with any content, which need not be JSON. */
    writeBytes(topic: string, key: string, value: Buffer): void;
    /** Deletes a key by writing an empty record. */
    drop(topic: string, key: string): void;
    /** Removes all records from the log of a topic; the newest record of each key can still be read. */
    compact(topic: string): void;
    /** Sets the fault of all further calls. */
    setFault(fault: StoreFault): void;
    /** Makes a backup of all topics. */
    backUp(): void;
    /** Restores the backup; offsets after it are assigned again, and the era increases. */
    restore(): void;
    /** Delays all further calls for a topic before they are executed. */
    slow(topic: string, milliseconds: number): void;
    /** Counts all calls. */
    readonly countCalls: () => number;
    /** Counts the reads of a topic that do not wait for a record. */
    countImmediateReads(topic: string): number;
    /** Counts the records of a key in the log of a topic. */
    countRecords(topic: string, key: string): number;
}

/** Limit of the keys on one page of the newest records. */
const maximumPageKeys = 3;

/**
 * Starts a store with keyed topics that speaks the platform's protocol.
 *
 * @returns the store, without records
 */
export async function startStoreStandIn(): Promise<StoreStandIn> {
    const topics = new Map<string, StoredTopic>();
    const waiting = new Set<() => void>();
    let fault: StoreFault = "none";
    let calls = 0;
    let era = 1;
    let backup = new Map<string, StoredTopic>();
    const delays = new Map<string, number>();
    const immediateReads = new Map<string, number>();

    function copyTopics(from: ReadonlyMap<string, StoredTopic>): Map<string, StoredTopic> {
        return new Map([...from].map(([name, { end, newest, records }]) => [
            name,
            { end, records: [...records], newest: new Map(newest) },
        ]));
    }

    function getOrCreateTopic(name: string): StoredTopic {
        const topic = topics.get(name) ?? { records: [], newest: new Map<string, StoredRecord>(), end: 0 };
        topics.set(name, topic);
        return topic;
    }

    function append(name: string, key: string, value: Buffer): number {
        const topic = getOrCreateTopic(name);
        const record = { offset: topic.end, key, value };
        topic.end++;
        topic.records.push(record);
        if (value.length === 0) {
            topic.newest.delete(key);
        }
        else {
            topic.newest.set(key, record);
        }
        waiting.forEach(wake => wake());
        return record.offset;
    }

    function encodeRead(topic: StoredTopic, from: number): Buffer {
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.end), 0);
        head.writeBigUInt64BE(BigInt(topic.records[0]?.offset ?? topic.end), 8);
        const parts = topic.records.filter(({ offset }) => offset >= from).map(({ key, value }) => {
            const keyBytes = Buffer.from(key);
            const content = Buffer.concat([Buffer.of(keyBytes.length), keyBytes, value]);
            const length = Buffer.alloc(4);
            length.writeUInt32BE(content.length);
            return Buffer.concat([length, content]);
        });
        return Buffer.concat([head, ...parts]);
    }

    async function read(url: URL, response: ServerResponse): Promise<void> {
        const name = url.searchParams.get("topic") ?? "";
        const startedIn = era;
        const topic = getOrCreateTopic(name);
        const from = Number(url.searchParams.get("from"));
        if (!url.searchParams.has("wait_ms")) {
            immediateReads.set(name, (immediateReads.get(name) ?? 0) + 1);
        }
        if (from < (topic.records[0]?.offset ?? topic.end) || from > topic.end) {
            sendJson(response, 410, { first: topic.records[0]?.offset ?? topic.end });
            return;
        }
        const endsAt = Date.now() + Number(url.searchParams.get("wait_ms") ?? 0);
        while (topic.end <= from && startedIn === era && Date.now() < endsAt && !response.destroyed) {
            await new Promise<void>(resolve => {
                const wake = (): void => {
                    clearTimeout(timer);
                    waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Math.max(1, endsAt - Date.now()));
                waiting.add(wake);
            });
        }
        if (startedIn !== era) {
            response.destroy();
            return;
        }
        response.writeHead(200);
        response.end(encodeRead(topic, from));
    }

    function readNewest(url: URL, response: ServerResponse): void {
        const topic = getOrCreateTopic(url.searchParams.get("topic") ?? "");
        const after = url.searchParams.get("after") ?? "";
        const rows = [...topic.newest.values()].filter(({ key }) => key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        const items = rows.slice(0, maximumPageKeys).map(({ key, offset, value }) => ({
            key,
            value: value.toString("base64"),
            offset,
        }));
        sendJson(response, 200, { items, has_more: rows.length > maximumPageKeys, end: topic.end });
    }

    function write(url: URL, body: Buffer, response: ServerResponse): void {
        const length = body.readUInt32BE(0);
        const content = body.subarray(4, 4 + length);
        const keyEnd = 1 + content[0]!;
        const topic = url.searchParams.get("topic") ?? "";
        const offset = append(topic, content.toString("utf8", 1, keyEnd), content.subarray(keyEnd));
        if (fault === "lost") {
            response.destroy();
            return;
        }
        if (fault === "failed") {
            sendJson(response, 500, {});
            return;
        }
        if (fault === "unreadable") {
            response.writeHead(200).end("{");
            return;
        }
        sendJson(response, 200, { offset, end: offset + 1 });
    }

    const faults: Readonly<Partial<Record<StoreFault, (response: ServerResponse) => void>>> = {
        busy: response => sendJson(response, 503, {}),
        many: response => sendJson(response, 429, {}),
        reset: response => void response.destroy(),
        silent: () => {},
    };

    const server = await startHttpStandIn(async (...[, response, url, body]) => {
        calls++;
        const delay = delays.get(url.searchParams.get("topic") ?? "");
        if (delay !== undefined) {
            await new Promise(resolve => setTimeout(resolve, delay));
        }
        response.setHeader("store-era", String(era));
        const applyFault = faults[fault];
        if (applyFault !== undefined) {
            applyFault(response);
            return;
        }
        switch (url.pathname) {
            case "/api/log-append":
                write(url, body, response);
                break;
            case "/api/log-read":
                await read(url, response);
                break;
            case "/api/log-newest":
                readNewest(url, response);
                break;
            default:
                sendJson(response, 404, {});
        }
    });
    return {
        ...server,
        write: (topic, key, content) => void append(topic, key, Buffer.from(JSON.stringify(content))),
        writeBytes: (topic, key, value) => void append(topic, key, value),
        drop: (topic, key) => void append(topic, key, Buffer.alloc(0)),
        compact: name => {
            getOrCreateTopic(name).records = [];
        },
        setFault: next => {
            fault = next;
            waiting.forEach(wake => wake());
        },
        backUp: () => {
            backup = copyTopics(topics);
        },
        restore: () => {
            topics.clear();
            copyTopics(backup).forEach((topic, name) => topics.set(name, topic));
            era++;
            waiting.forEach(wake => wake());
        },
        slow: (topic, milliseconds) => void delays.set(topic, milliseconds),
        countCalls: () => calls,
        countImmediateReads: topic => immediateReads.get(topic) ?? 0,
        countRecords: (topic, key) => getOrCreateTopic(topic).records.filter(record => record.key === key).length,
        [Symbol.asyncDispose]: async () => {
            await server[Symbol.asyncDispose]();
            waiting.forEach(wake => wake());
        },
    };
}

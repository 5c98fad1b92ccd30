import { createServerRecord } from "./serverRecord.js";

/** Entry of the list of backend servers that another writer has left. */
export interface OddEntry {
    /** What is odd about the entry. */
    readonly name: string;
    /** Key of the entry. Default: one that a backend server could have. */
    readonly key?: string;
    readonly content: string;
}

const unusedAddress = "127.0.0.1:1";
const wellFormed = createServerRecord(unusedAddress);

function createEntry(fields: string): string {
    return `${JSON.stringify(wellFormed).slice(0, -1)},${fields}}`;
}

function nest(open: string, depth: number): string {
    const close = open.endsWith("[") ? "]" : "}";
    return `${open.repeat(depth)}0${close.repeat(depth)}`;
}

const depth = 100_000;

/** Entries that name no backend server that could be used. */
export const unreadableEntries: readonly OddEntry[] = [
    ...["65536", "99999", "0", "-1", "1e3", "123456"].map(port => ({
        name: `port ${port}`,
        content: createEntry(`"address":"127.0.0.1:${port}"`),
    })),
    ...["a[b/%", "", "127.0.0.256", "a b", "xn--a", "a@b", "user:secret@host"].map(host => ({
        name: `host "${host}"`,
        content: createEntry(`"address":"${host}:80"`),
    })),
    { name: "slots 1e300", content: createEntry("\"slots\":1e300") },
    { name: "slots 1e400", content: createEntry("\"slots\":1e400") },
    { name: "slots -1", content: createEntry("\"slots\":-1") },
    { name: "born 1e400", content: createEntry("\"born\":1e400") },
    { name: "version 1e300", content: createEntry("\"models\":[{\"name\":\"m\",\"version\":1e300}]") },
    { name: "layers 1e400", content: createEntry("\"layers\":{\"from\":0,\"target\":1e400}") },
    { name: "nested as a whole", content: nest("[", depth) },
    { name: "nested models", content: createEntry(`"models":${nest("[", depth)}`) },
    { name: "nested layers", content: createEntry(`"layers":${nest("[", depth)}`) },
    { name: "nested address", content: createEntry(`"address":${nest("{\"a\":", depth)}`) },
    { name: "key with a line break", key: "i\r\nx: y", content: createEntry("\"slots\":1") },
    { name: "key outside of ASCII", key: "i-\u6797", content: createEntry("\"slots\":1") },
    { name: "no JSON", content: "{\"service\":" },
    { name: "null", content: "null" },
    { name: "a number", content: "1e999" },
    { name: "a list", content: "[]" },
    { name: "prototype", content: "{\"__proto__\":{\"service\":\"archive\"},\"constructor\":1}" },
];

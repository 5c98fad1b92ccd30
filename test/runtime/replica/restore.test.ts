import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import {
    createReplica,
    mergePage,
    type ReplicaTopic,
    selectUnknown,
    supersedes,
} from "../../../src/runtime/replica/index.js";
import type { KeyedRecord, KeyedTopic } from "../../../src/types/index.js";

function createTopic(name: KeyedTopic = "operator"): ReplicaTopic {
    return createReplica([name]).topics.get(name)!;
}

function record(key: string, offset: number, order: readonly number[] | undefined, text?: string): KeyedRecord {
    return { key, offset, order, value: Buffer.from(text ?? JSON.stringify(order ?? "none")) };
}

function drop(key: string, offset: number): KeyedRecord {
    return { key, offset, value: undefined };
}

function merge(topic: ReplicaTopic, era: number, records: readonly KeyedRecord[], nextOffset: number, complete = true) {
    return mergePage(topic, { page: { records, nextOffset, era }, complete, currentAt: 0 }).map(({ key }) => key);
}

function readOrder(topic: ReplicaTopic, key: string): readonly number[] | undefined {
    const known = topic.records.get(key);
    return known?.value === undefined ? undefined : known.order;
}

describe("comparison of records of two eras", () => {
    const cases = [
        { name: "a higher number", later: record("a", 0, [3]), known: record("a", 9, [2]), expected: true },
        { name: "a lower number", later: record("a", 0, [1]), known: record("a", 9, [2]), expected: false },
        { name: "an earlier heartbeat", later: record("a", 0, [1, 4]), known: record("a", 9, [1, 5]), expected: false },
        { name: "a new start", later: record("a", 0, [2, 1]), known: record("a", 9, [1, 5]), expected: true },
        { name: "no numbers", later: record("a", 0, undefined), known: record("a", 9, [1]), expected: true },
        {
            name: "a heartbeat of a dropped key",
            later: record("a", 0, [1, 9]),
            known: { ...drop("a", 9), order: [1, 5] },
            expected: false,
        },
        {
            name: "a new start of a dropped key",
            later: record("a", 0, [2, 1]),
            known: { ...drop("a", 9), order: [1, 5] },
            expected: true,
        },
        {
            name: "the drop of the same lifetime",
            later: { ...drop("a", 0), order: [1, 5] },
            known: record("a", 9, [1, 7]),
            expected: true,
        },
        {
            name: "the drop of an earlier lifetime",
            later: { ...drop("a", 0), order: [1, 5] },
            known: record("a", 9, [2, 1]),
            expected: false,
        },
    ];
    for (const { expected, known, later, name } of cases) {
        it(`${expected ? "prefers" : "leaves out"} ${name}`, () => {
            expect(supersedes(later, known)).toEqual(expected);
        });
    }
});

describe("replica of a log that was restored from an older copy", () => {
    it("takes over the offsets of the new era, whatever the old position", () => {
        const topic = createTopic();
        merge(topic, 1, [record("config", 7, [5])], 8);
        expect(merge(topic, 2, [record("config", 2, [3])], 3)).toEqual([]);
        expect(readOrder(topic, "config")).toEqual([5]);
        expect(merge(topic, 2, [record("config", 3, [6])], 4, false)).toEqual(["config"]);
        expect([topic.era, topic.nextOffset]).toEqual([2, 4]);
    });

    it("leaves out pages of the earlier era, and parts of a later one", () => {
        const topic = createTopic();
        merge(topic, 2, [record("config", 2, [3])], 3);
        expect(merge(topic, 1, [record("config", 9, [9])], 10)).toEqual([]);
        expect(merge(topic, 3, [record("config", 9, [9])], 10, false)).toEqual([]);
        expect([topic.era, readOrder(topic, "config")]).toEqual([2, [3]]);
    });

    // Guards against an operator's history that is written once more and steps back through older configurations.
    it("leaves out what is written again as long as it is older", () => {
        const topic = createTopic();
        merge(topic, 1, [record("config", 7, [5])], 8);
        merge(topic, 2, [record("config", 2, [3])], 3);
        expect(merge(topic, 2, [record("config", 3, [4])], 4, false)).toEqual([]);
        expect(merge(topic, 2, [record("config", 4, [5])], 5, false)).toEqual([]);
        expect(readOrder(topic, "config")).toEqual([5]);
        expect(topic.records.get("config")!.era).toEqual(2);
    });

    it("keeps what the operator wrote since the copy, and drops backend servers that do not write again", () => {
        const operator = createTopic();
        merge(operator, 1, [record("config", 0, [1]), record("version/a", 1, [2])], 2);
        expect(merge(operator, 2, [record("config", 0, [1])], 1)).toEqual([]);
        expect(readOrder(operator, "version/a")).toEqual([2]);
        const servers = createTopic("backend-servers");
        merge(servers, 1, [record("i-1", 0, [1, 1]), record("i-2", 1, [1, 1])], 2);
        expect(merge(servers, 2, [record("i-1", 0, [1, 1])], 1)).toEqual(["i-2"]);
        expect(merge(servers, 2, [record("i-2", 1, [1, 2])], 2, false)).toEqual(["i-2"]);
    });

    it("tells a process that has read the copy only what is newer, and nothing twice", () => {
        const knowing = createTopic("backend-servers");
        merge(knowing, 1, [record("i-1", 0, [1, 1])], 1);
        merge(knowing, 1, [drop("i-1", 1)], 2, false);
        merge(knowing, 2, [record("i-1", 0, [1, 1])], 1);
        const started = createTopic("backend-servers");
        merge(started, 2, [record("i-1", 0, [1, 1])], 1);
        const position = { era: 2, nextOffset: 1, carriedChanges: undefined };
        const { complete, records } = selectUnknown(knowing, position);
        expect(merge(started, 2, records, 1, complete)).toEqual(["i-1"]);
        expect(readOrder(started, "i-1")).toEqual(undefined);
        expect(selectUnknown(knowing, { ...position, carriedChanges: knowing.carriedChanges }).records).toEqual([]);
    });

    // Guards against a backend server that is back and is dropped on the word of a process that has not read so far.
    it("keeps a record that the sender of an earlier one has not seen", () => {
        const topic = createTopic("backend-servers");
        merge(topic, 2, [record("i-1", 0, [1, 1])], 1);
        merge(topic, 2, [record("i-1", 4, [1, 9], "back")], 5, false);
        const carried = { ...drop("i-1", 1), era: 1, order: [1, 1] };
        expect(merge(topic, 2, [carried], 3, false)).toEqual([]);
        expect(readOrder(topic, "i-1")).toEqual([1, 9]);
    });
});

interface ModelLog {
    era: number;
    records: KeyedRecord[];
}

type Step = "write" | "back-up" | "restore" | "read" | "relay";

/** Processes that read a log which is restored now and then, and relay to each other. */
class Model {
    readonly log: ModelLog = { era: 1, records: [] };
    readonly processes = Array.from({ length: 4 }, () => createTopic());
    private copy: readonly KeyedRecord[] = [];
    private readonly told = new Map<string, number>();
    private version = 0;

    run(step: Step, index: number, other: number): void {
        const handlers: Readonly<Record<Step, () => void>> = {
            write: () => {
                this.version++;
                this.log.records.push(record("config", this.log.records.length, [this.version]));
            },
            "back-up": () => {
                this.copy = [...this.log.records];
            },
            restore: () => {
                this.log.era++;
                this.log.records = [...this.copy];
            },
            read: () => this.read(index),
            relay: () => this.relay(index, other),
        };
        handlers[step]();
    }

    read(index: number): void {
        const topic = this.processes[index]!;
        const { era, records } = this.log;
        if (topic.era === era) {
            merge(topic, era, records.slice(topic.nextOffset), records.length, false);
            return;
        }
        merge(topic, era, records.slice(-1), records.length);
    }

    relay(from: number, to: number): void {
        const [sender, receiver] = [this.processes[from]!, this.processes[to]!];
        const name = `${from}-${to}`;
        const { era, nextOffset } = receiver;
        const { complete, records } = selectUnknown(sender, { era, nextOffset, carriedChanges: this.told.get(name) });
        merge(receiver, sender.era, records, sender.nextOffset, complete);
        this.told.set(name, sender.carriedChanges);
    }
}

describe("replicas of a log that is restored several times", () => {
    const steps = fastCheck.array(
        fastCheck.tuple(
            fastCheck.constantFrom<Step>("write", "back-up", "restore", "read", "read", "relay", "relay"),
            fastCheck.nat(3),
            fastCheck.nat(3),
        ),
        { maxLength: 60 },
    );

    it("never go back, and agree once the operator writes again, in any order of delivery", () => {
        fastCheck.assert(
            fastCheck.property(steps, sequence => {
                const model = new Model();
                let before = model.processes.map(() => 0);
                for (const [step, index, other] of sequence) {
                    model.run(step, index, other);
                    const now = model.processes.map(topic => readOrder(topic, "config")?.[0] ?? 0);
                    expect(now.every((version, process) => version >= before[process]!)).toEqual(true);
                    before = now;
                }
                model.run("write", 0, 0);
                model.processes.forEach((...[, index]) => model.read(index));
                const versions = new Set(model.processes.map(topic => readOrder(topic, "config")?.[0]));
                expect(versions.size).toEqual(1);
            }),
            { numRuns: 2_000 },
        );
    });

    it("teach a process that has just started all that the others know", () => {
        fastCheck.assert(
            fastCheck.property(steps, sequence => {
                const model = new Model();
                sequence.forEach(step => model.run(...step));
                model.read(0);
                model.processes[1] = createTopic();
                model.read(1);
                const [knowing, started] = [model.processes[0]!, model.processes[1]];
                const { era, nextOffset } = started;
                const { complete, records } = selectUnknown(knowing, { era, nextOffset, carriedChanges: undefined });
                merge(started, knowing.era, records, knowing.nextOffset, complete);
                const [known, learnt] = [0, 1].map(index => readOrder(model.processes[index]!, "config"));
                expect(learnt).toEqual(known);
            }),
            { numRuns: 2_000 },
        );
    });
});

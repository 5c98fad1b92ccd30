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

describe("replica of a log that was restored from a backup", () => {
    it("uses the offsets of the new era, whatever the old position", () => {
        const topic = createTopic();
        merge(topic, 1, [record("config", 7, [5])], 8);
        expect(merge(topic, 2, [record("config", 2, [3])], 3)).toEqual([]);
        expect(readOrder(topic, "config")).toEqual([5]);
        expect(merge(topic, 2, [record("config", 3, [6])], 4, false)).toEqual(["config"]);
        expect([topic.era, topic.nextOffset]).toEqual([2, 4]);
    });

    it("ignores pages of an earlier era, and incomplete pages of a later one", () => {
        const topic = createTopic();
        merge(topic, 2, [record("config", 2, [3])], 3);
        expect(merge(topic, 1, [record("config", 9, [9])], 10)).toEqual([]);
        expect(merge(topic, 3, [record("config", 9, [9])], 10, false)).toEqual([]);
        expect([topic.era, readOrder(topic, "config")]).toEqual([2, [3]]);
    });

    // Guards against reverting to older configurations when an operator's history is written to the log again.
    it("ignores records that are written again as long as they are older", () => {
        const topic = createTopic();
        merge(topic, 1, [record("config", 7, [5])], 8);
        merge(topic, 2, [record("config", 2, [3])], 3);
        expect(merge(topic, 2, [record("config", 3, [4])], 4, false)).toEqual([]);
        expect(merge(topic, 2, [record("config", 4, [5])], 5, false)).toEqual([]);
        expect(readOrder(topic, "config")).toEqual([5]);
        expect(topic.records.get("config")!.era).toEqual(2);
    });

    it("keeps what the operator wrote after the backup, and drops backend servers until they write again", () => {
        const operator = createTopic();
        merge(operator, 1, [record("config", 0, [1]), record("version/a", 1, [2])], 2);
        expect(merge(operator, 2, [record("config", 0, [1])], 1)).toEqual([]);
        expect(readOrder(operator, "version/a")).toEqual([2]);
        const servers = createTopic("backend-servers");
        merge(servers, 1, [record("i-1", 0, [1, 1]), record("i-2", 1, [1, 1])], 2);
        expect(merge(servers, 2, [record("i-1", 0, [1, 1])], 1)).toEqual(["i-2"]);
        expect(merge(servers, 2, [record("i-2", 1, [1, 2])], 2, false)).toEqual(["i-2"]);
    });

    it("sends a process that has read the backup only what is newer, and nothing twice", () => {
        const source = createTopic("backend-servers");
        merge(source, 1, [record("i-1", 0, [1, 1])], 1);
        merge(source, 1, [drop("i-1", 1)], 2, false);
        merge(source, 2, [record("i-1", 0, [1, 1])], 1);
        const started = createTopic("backend-servers");
        merge(started, 2, [record("i-1", 0, [1, 1])], 1);
        const position = { era: 2, nextOffset: 1, carriedChanges: undefined };
        const { complete, records } = selectUnknown(source, position);
        expect(merge(started, 2, records, 1, complete)).toEqual(["i-1"]);
        expect(readOrder(started, "i-1")).toEqual(undefined);
        expect(selectUnknown(source, { ...position, carriedChanges: source.carriedChanges }).records).toEqual([]);
    });

    // Guards against dropping a backend server that has registered again because a sender has not read that far.
    it("keeps a record that the sender of an earlier one does not know", () => {
        const topic = createTopic("backend-servers");
        merge(topic, 2, [record("i-1", 0, [1, 1])], 1);
        merge(topic, 2, [record("i-1", 4, [1, 9], "back")], 5, false);
        const carried = { ...drop("i-1", 1), era: 1, order: [1, 1] };
        expect(merge(topic, 2, [carried], 3, false)).toEqual([]);
        expect(readOrder(topic, "i-1")).toEqual([1, 9]);
    });
});

interface SimulatedLog {
    era: number;
    records: KeyedRecord[];
}

type Step = "write" | "back-up" | "restore" | "read" | "relay";

/** Simulates processes that read a log, which is restored from backups, and relay records to each other. */
class LogSimulation {
    readonly log: SimulatedLog = { era: 1, records: [] };
    readonly processes = Array.from({ length: 4 }, () => createTopic());
    private backup: readonly KeyedRecord[] = [];
    private readonly sentCarriedChanges = new Map<string, number>();
    private version = 0;

    run(step: Step, index: number, other: number): void {
        const handlers: Readonly<Record<Step, () => void>> = {
            write: () => {
                this.version++;
                this.log.records.push(record("config", this.log.records.length, [this.version]));
            },
            "back-up": () => {
                this.backup = [...this.log.records];
            },
            restore: () => {
                this.log.era++;
                this.log.records = [...this.backup];
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
        const { complete, records } = selectUnknown(sender, {
            era,
            nextOffset,
            carriedChanges: this.sentCarriedChanges.get(name),
        });
        merge(receiver, sender.era, records, sender.nextOffset, complete);
        this.sentCarriedChanges.set(name, sender.carriedChanges);
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

    it("never revert to older records, and agree once the operator writes again, in any order of delivery", () => {
        fastCheck.assert(
            fastCheck.property(steps, sequence => {
                const simulation = new LogSimulation();
                let before = simulation.processes.map(() => 0);
                for (const [step, index, other] of sequence) {
                    simulation.run(step, index, other);
                    const now = simulation.processes.map(topic => readOrder(topic, "config")?.[0] ?? 0);
                    expect(now.every((version, process) => version >= before[process]!)).toEqual(true);
                    before = now;
                }
                simulation.run("write", 0, 0);
                simulation.processes.forEach((...[, index]) => simulation.read(index));
                const versions = new Set(simulation.processes.map(topic => readOrder(topic, "config")?.[0]));
                expect(versions.size).toEqual(1);
            }),
            { numRuns: 2_000 },
        );
    });

    it("send a process that has just started all that the others know", () => {
        fastCheck.assert(
            fastCheck.property(steps, sequence => {
                const simulation = new LogSimulation();
                sequence.forEach(step => simulation.run(...step));
                simulation.read(0);
                simulation.processes[1] = createTopic();
                simulation.read(1);
                const [source, started] = [simulation.processes[0]!, simulation.processes[1]];
                const { era, nextOffset } = started;
                const { complete, records } = selectUnknown(source, { era, nextOffset, carriedChanges: undefined });
                merge(started, source.era, records, source.nextOffset, complete);
                const [known, received] = [0, 1].map(index => readOrder(simulation.processes[index]!, "config"));
                expect(received).toEqual(known);
            }),
            { numRuns: 2_000 },
        );
    });
});

import { expect } from "earl";
import { describe, it } from "node:test";
import { createSimulatedFleet } from "./simulatedFleet.js";
import type { SimulatedFleet } from "./simulatedFleet.js";

function listInstances(
    fleet: SimulatedFleet,
    deployment: string,
    state: "assigned" | "revoked" = "assigned",
): string[] {
    const copies = fleet.readPlacement(deployment)?.copies ?? [];
    return copies.filter(copy => copy.state === state).map(({ instance }) => instance).sort();
}

function createServing(zones: Record<string, number>, replicas: Record<string, number>): SimulatedFleet {
    const fleet = createSimulatedFleet(zones);
    fleet.run(3);
    fleet.apply("scribe", replicas);
    fleet.run(20);
    return fleet;
}

function markAsLeaving(fleet: SimulatedFleet, instance: string): void {
    fleet.listing.set(instance, { ...fleet.listing.get(instance)!, state: "leaving" });
}

describe("placement rules", () => {
    // Guards against replacing a leaving copy while its agent still finishes requests and renews its hold.
    it("waits for an agent that reports that it still finishes its requests", () => {
        const fleet = createServing({ "zone-a": 3 }, { "zone-a": 2 });
        const [leaving] = listInstances(fleet, "scribe");
        fleet.busy.add(leaving!);
        markAsLeaving(fleet, leaving!);
        fleet.run(60);
        expect(listInstances(fleet, "scribe", "revoked")).toEqual([leaving!]);
        expect(listInstances(fleet, "scribe").length).toEqual(1);
        fleet.busy.delete(leaving!);
        fleet.run(10);
        expect(listInstances(fleet, "scribe").length).toEqual(2);
    });

    // Guards against a placement that waits for a timer, needs several records or keeps changing.
    it("places all wanted copies in one record and then changes nothing", () => {
        const fleet = createSimulatedFleet({ "zone-a": 4, "zone-b": 3 });
        fleet.run(3);
        fleet.apply("scribe", { "zone-a": 3, "zone-b": 2 });
        fleet.run(1);
        expect(fleet.log.length).toEqual(2);
        const zones = fleet.readPlacement("scribe")!.copies.map(({ zone }) => zone).sort();
        expect(zones).toEqual(["zone-a", "zone-a", "zone-a", "zone-b", "zone-b"]);
        fleet.run(40);
        const settled = fleet.log.length;
        fleet.run(40);
        expect(fleet.log.length).toEqual(settled);
        expect(fleet.readPlacement("scribe")!.owners).toEqual(listInstances(fleet, "scribe"));
    });

    // Guards against revoking good copies when another one fails or the wanted count changes.
    it("revokes leaving, then unreachable, then incomplete, then the least recently assigned copies", () => {
        const fleet = createServing({ "zone-a": 6 }, { "zone-a": 4 });
        const [first, second, third] = listInstances(fleet, "scribe");
        fleet.apply("scribe", { "zone-a": 6 });
        fleet.run(20);
        const cases: { readonly fault: () => void; readonly revoked: string; }[] = [
            { fault: () => fleet.isolated.add(second!), revoked: second! },
            { fault: () => markAsLeaving(fleet, third!), revoked: third! },
            { fault: () => undefined, revoked: first! },
        ];
        for (const [index, { fault, revoked }] of cases.entries()) {
            const before = listInstances(fleet, "scribe");
            fault();
            fleet.run(11);
            fleet.apply("scribe", { "zone-a": 5 - index });
            fleet.run(1);
            expect(listInstances(fleet, "scribe")).toEqual(before.filter(instance => instance !== revoked));
        }
    });

    // Guards against copies that remain after their deployment was taken out of service.
    it("revokes and releases all copies when the wanted count drops to 0", () => {
        const fleet = createServing({ "zone-a": 3 }, { "zone-a": 3 });
        fleet.apply("scribe", { "zone-a": 0 });
        fleet.run(8);
        expect(fleet.readPlacement("scribe")!.copies).toEqual([]);
        expect(fleet.readPlacement("scribe")!.owners).toEqual([]);
    });

    // Guards against more copies than declared while they are moved between zones.
    it("assigns in one zone only what another zone has released", () => {
        const fleet = createServing({ "zone-a": 2, "zone-b": 2 }, { "zone-a": 2, "zone-b": 0 });
        fleet.isolated.add(listInstances(fleet, "scribe")[0]!);
        fleet.apply("scribe", { "zone-a": 0, "zone-b": 2 });
        fleet.run(8);
        expect(fleet.readPlacement("scribe")!.copies.length).toEqual(2);
        fleet.run(40);
        expect(fleet.readPlacement("scribe")!.copies.map(({ zone }) => zone)).toEqual(["zone-b", "zone-b"]);
    });

    // Guards against mass replacement when many agents become unreachable at the same time.
    it("replaces no more copies than the limit at once, and none in a zone without a reachable instance", () => {
        const fleet = createServing({ "zone-a": 8, "zone-b": 3 }, { "zone-a": 4, "zone-b": 2 });
        listInstances(fleet, "scribe").slice(0, 3).forEach(instance => fleet.isolated.add(instance));
        fleet.agents.filter(({ listed }) => listed.zone === "zone-b")
            .forEach(({ listed }) => fleet.isolated.add(listed.instance));
        for (let step = 0; step < 30; step++) {
            fleet.run(1);
            const revoked = listInstances(fleet, "scribe", "revoked");
            expect(revoked.length <= 1).toEqual(true);
            expect(revoked.some(instance => fleet.listing.get(instance)!.zone === "zone-b")).toEqual(false);
        }
    });

    // Guards against a replacement while an unreachable agent may still use its copy.
    it("replaces the copy of an unreachable agent only after its hold has certainly expired", () => {
        const fleet = createServing({ "zone-a": 3 }, { "zone-a": 2 });
        const [lost] = listInstances(fleet, "scribe");
        const cutAt = fleet.clock.monotonic();
        fleet.isolated.add(lost!);
        fleet.run(10);
        expect(listInstances(fleet, "scribe", "revoked")).toEqual([lost!]);
        while (fleet.readPlacement("scribe")!.copies.some(({ instance }) => instance === lost)) {
            expect(fleet.clock.monotonic() - cutAt < 60_000).toEqual(true);
            fleet.run(1);
        }
        expect(fleet.clock.monotonic() - cutAt >= 10_000 + 25_000).toEqual(true);
        expect(listInstances(fleet, "scribe").length).toEqual(2);
    });

    // Guards against trusting a single incomplete instance list, and against a gone instance that blocks its zone.
    it("considers an instance gone after three reads without it and no heartbeat for the hold duration", () => {
        const fleet = createServing({ "zone-a": 3 }, { "zone-a": 2 });
        const [lost] = listInstances(fleet, "scribe");
        const row = fleet.listing.get(lost!)!;
        fleet.listing.delete(lost!);
        fleet.run(25);
        expect(listInstances(fleet, "scribe").includes(lost!)).toEqual(true);
        fleet.listing.set(lost!, row);
        fleet.run(2);
        expect(fleet.entries[0]!.input.instances.get(lost!)!.state).toEqual("live");
        fleet.agents.find(({ listed }) => listed.instance === lost)!.alive = false;
        fleet.listing.delete(lost!);
        fleet.run(24);
        expect(listInstances(fleet, "scribe").length).toEqual(2);
        expect(listInstances(fleet, "scribe").includes(lost!)).toEqual(false);
    });

    // Guards against a proposer that considers all agents unreachable because it has just started or was paused.
    it("waits for heartbeats after a start or a pause of the proposer", () => {
        const fleet = createServing({ "zone-a": 4 }, { "zone-a": 2 });
        const settled = fleet.log.length;
        fleet.entries.forEach(entry => fleet.restartEntry(entry));
        fleet.clock.advance(60_000);
        const commands = fleet.entries.flatMap(entry => fleet.propose(entry));
        fleet.run(5);
        fleet.clock.advance(60_000);
        // After the pause, only heartbeats of instances without a copy arrive.
        listInstances(fleet, "scribe").forEach(instance => fleet.isolated.add(instance));
        fleet.elapse(1_000);
        commands.push(...fleet.entries.flatMap(entry => fleet.propose(entry)));
        fleet.isolated.clear();
        fleet.run(20);
        expect(commands).toEqual([]);
        expect(fleet.log.length).toEqual(settled);
    });

    // Guards against plain services that wait for weights, or that own no keys.
    it("places plain services without weights", () => {
        const fleet = createSimulatedFleet({ "zone-a": 2 });
        fleet.run(3);
        const declaration = { schemaVersion: 1, kind: "service", replicas: { "zone-a": 1 }, pool: "scribe" } as const;
        const header = {
            id: "service",
            deployment: "members",
            base: 0,
            writtenAt: "2026-01-01T00:00:00Z",
            writer: "operator",
        };
        fleet.append({ ...header, kind: "configuration", declaration });
        fleet.run(10);
        const { copies, owners } = fleet.readPlacement("members")!;
        expect(copies.map(({ weights }) => weights)).toEqual([undefined]);
        expect(owners).toEqual([copies[0]!.instance]);
    });

    // Guards against an update that takes a whole zone out of service, and against one that never ends.
    it("updates copies on their instances, a few at a time if the update is rolling", () => {
        for (const updateStrategy of ["rolling", "in-place"] as const) {
            const fleet = createServing({ "zone-a": 5 }, { "zone-a": 4 });
            const before = listInstances(fleet, "scribe");
            fleet.apply("scribe", { "zone-a": 4 }, "2");
            const entry = fleet.log.pop()!;
            if (entry.record.kind !== "configuration") {
                throw new Error("not a configuration");
            }
            const declaration = {
                ...entry.record.declaration,
                schemaVersion: 2,
                objective: "time",
                priority: 5,
                updateStrategy,
            } as const;
            fleet.append({ ...entry.record, declaration });
            fleet.run(1);
            const updated = fleet.readPlacement("scribe")!.copies.filter(({ weights }) => weights!.version === "2");
            expect(updated.length).toEqual(updateStrategy === "rolling" ? 1 : 4);
            fleet.run(15);
            expect(listInstances(fleet, "scribe")).toEqual(before);
            const versions = fleet.readPlacement("scribe")!.copies.map(({ weights }) => weights!.version);
            expect(versions).toEqual(["2", "2", "2", "2"]);
        }
    });

    // Guards against two deployments that keep the same instance after they were placed at the same time.
    it("revokes the later of two assignments of one instance", () => {
        const fleet = createSimulatedFleet({ "zone-a": 2 });
        fleet.run(3);
        fleet.apply("archive", { "zone-a": 1 });
        fleet.apply("scribe", { "zone-a": 2 });
        fleet.run(1);
        expect(fleet.readPlacement("scribe")!.copies.length).toEqual(2);
        fleet.run(20);
        expect(listInstances(fleet, "archive").length).toEqual(1);
        expect(listInstances(fleet, "scribe").length).toEqual(1);
        expect(listInstances(fleet, "scribe")).not.toEqual(listInstances(fleet, "archive"));
    });

    // Guards against replacing witnesses while the agent still renews its hold with the old ones.
    it("keeps the preceding witnesses until the agent knows the new ones", () => {
        const fleet = createServing({ "zone-a": 1 }, { "zone-a": 1 });
        const before = fleet.readPlacement("scribe")!.copies[0]!.witnesses;
        fleet.listing.delete("entry-2");
        fleet.entries.pop();
        fleet.run(2);
        while (fleet.readPlacement("scribe")!.copies[0]!.previousWitnesses === undefined) {
            fleet.run(1);
        }
        expect(fleet.readPlacement("scribe")!.copies[0]!.previousWitnesses).toEqual(before);
        fleet.run(8);
        const [copy] = fleet.readPlacement("scribe")!.copies;
        expect(copy!.previousWitnesses).toEqual(undefined);
        expect([...copy!.witnesses].sort()).toEqual(["entry-0", "entry-1"]);
    });

    // Guards against configurations that are lost when the log's retention expires.
    it("refreshes and confirms old records, by the first-ranked proposer only", () => {
        const fleet = createSimulatedFleet({ "zone-a": 2 }, { retention: 400_000 });
        fleet.run(3);
        fleet.apply("scribe", { "zone-a": 2 });
        fleet.run(20);
        const settled = fleet.log.length;
        fleet.run(190);
        const refreshes = fleet.log.slice(settled).map(({ record }) => record.kind).sort();
        expect(refreshes).toEqual(["configuration", "configuration", "placement", "placement"]);
        expect(fleet.entries[0]!.input.state.configurations.get("scribe")!.revision).toEqual(1);
    });
});

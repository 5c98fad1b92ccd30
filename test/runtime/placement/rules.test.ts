import { expect } from "earl";
import { describe, it } from "node:test";
import { createWorld } from "./world.js";
import type { World } from "./world.js";

function listInstances(world: World, deployment: string, state: "assigned" | "revoked" = "assigned"): string[] {
    const copies = world.readPlacement(deployment)?.copies ?? [];
    return copies.filter(copy => copy.state === state).map(({ instance }) => instance).sort();
}

function createServing(zones: Record<string, number>, replicas: Record<string, number>): World {
    const world = createWorld(zones);
    world.run(3);
    world.apply("scribe", replicas);
    world.run(20);
    return world;
}

function leave(world: World, instance: string): void {
    world.listing.set(instance, { ...world.listing.get(instance)!, state: "leaving" });
}

describe("placement rules", () => {
    // Guards against a replacement beside a leaving copy whose agent still finishes requests and renews its hold.
    it("waits for a holder that was heard to finish its requests", () => {
        const world = createServing({ "zone-a": 3 }, { "zone-a": 2 });
        const [leaving] = listInstances(world, "scribe");
        world.busy.add(leaving!);
        leave(world, leaving!);
        world.run(60);
        expect(listInstances(world, "scribe", "revoked")).toEqual([leaving!]);
        expect(listInstances(world, "scribe").length).toEqual(1);
        world.busy.delete(leaving!);
        world.run(10);
        expect(listInstances(world, "scribe").length).toEqual(2);
    });

    // Guards against a placement that waits for a timer or needs several records.
    it("places at once what a configuration wants, and stays as it is", () => {
        const world = createWorld({ "zone-a": 4, "zone-b": 3 });
        world.run(3);
        world.apply("scribe", { "zone-a": 3, "zone-b": 2 });
        world.run(1);
        expect(world.log.length).toEqual(2);
        const zones = world.readPlacement("scribe")!.copies.map(({ zone }) => zone).sort();
        expect(zones).toEqual(["zone-a", "zone-a", "zone-a", "zone-b", "zone-b"]);
        world.run(40);
        const settled = world.log.length;
        world.run(40);
        expect(world.log.length).toEqual(settled);
        expect(world.readPlacement("scribe")!.owners).toEqual(listInstances(world, "scribe"));
    });

    // Guards against good copies that move when another one fails or the count changes.
    it("revokes leaving, then unreachable, then incomplete, then the least recently assigned copies", () => {
        const world = createServing({ "zone-a": 6 }, { "zone-a": 4 });
        const [first, second, third] = listInstances(world, "scribe");
        world.apply("scribe", { "zone-a": 6 });
        world.run(20);
        const cases: { readonly fault: () => void; readonly revoked: string; }[] = [
            { fault: () => world.cuts.add(second!), revoked: second! },
            { fault: () => leave(world, third!), revoked: third! },
            { fault: () => undefined, revoked: first! },
        ];
        for (const [index, { fault, revoked }] of cases.entries()) {
            const before = listInstances(world, "scribe");
            fault();
            world.run(11);
            world.apply("scribe", { "zone-a": 5 - index });
            world.run(1);
            expect(listInstances(world, "scribe")).toEqual(before.filter(instance => instance !== revoked));
        }
    });

    // Guards against copies of a deployment that was taken out of service.
    it("revokes and releases all copies when the wanted count drops to 0", () => {
        const world = createServing({ "zone-a": 3 }, { "zone-a": 3 });
        world.apply("scribe", { "zone-a": 0 });
        world.run(8);
        expect(world.readPlacement("scribe")!.copies).toEqual([]);
        expect(world.readPlacement("scribe")!.owners).toEqual([]);
    });

    // Guards against more licences than declared while copies move between zones.
    it("assigns in one zone only what another zone has released", () => {
        const world = createServing({ "zone-a": 2, "zone-b": 2 }, { "zone-a": 2, "zone-b": 0 });
        world.cuts.add(listInstances(world, "scribe")[0]!);
        world.apply("scribe", { "zone-a": 0, "zone-b": 2 });
        world.run(8);
        expect(world.readPlacement("scribe")!.copies.length).toEqual(2);
        world.run(40);
        expect(world.readPlacement("scribe")!.copies.map(({ zone }) => zone)).toEqual(["zone-b", "zone-b"]);
    });

    // Guards against mass replacement when many holders fall silent together.
    it("replaces no more than the cap at once, and none in a zone without a reachable member", () => {
        const world = createServing({ "zone-a": 8, "zone-b": 3 }, { "zone-a": 4, "zone-b": 2 });
        listInstances(world, "scribe").slice(0, 3).forEach(instance => world.cuts.add(instance));
        world.agents.filter(({ listed }) => listed.zone === "zone-b")
            .forEach(({ listed }) => world.cuts.add(listed.instance));
        for (let step = 0; step < 30; step++) {
            world.run(1);
            const revoked = listInstances(world, "scribe", "revoked");
            expect(revoked.length <= 1).toEqual(true);
            expect(revoked.some(instance => world.listing.get(instance)!.zone === "zone-b")).toEqual(false);
        }
    });

    // Guards against a replacement that exists beside the copy of a holder that was not heard.
    it("replaces an unreachable holder only after its hold has certainly expired", () => {
        const world = createServing({ "zone-a": 3 }, { "zone-a": 2 });
        const [lost] = listInstances(world, "scribe");
        const cutAt = world.clock.monotonic();
        world.cuts.add(lost!);
        world.run(10);
        expect(listInstances(world, "scribe", "revoked")).toEqual([lost!]);
        while (world.readPlacement("scribe")!.copies.some(({ instance }) => instance === lost)) {
            expect(world.clock.monotonic() - cutAt < 60_000).toEqual(true);
            world.run(1);
        }
        expect(world.clock.monotonic() - cutAt >= 10_000 + 25_000).toEqual(true);
        expect(listInstances(world, "scribe").length).toEqual(2);
    });

    // Guards against a partial answer of the list, and against a gone instance that blocks its zone.
    it("takes an instance for gone after three reads without it and silence for the hold duration", () => {
        const world = createServing({ "zone-a": 3 }, { "zone-a": 2 });
        const [lost] = listInstances(world, "scribe");
        const row = world.listing.get(lost!)!;
        world.listing.delete(lost!);
        world.run(25);
        expect(listInstances(world, "scribe").includes(lost!)).toEqual(true);
        world.listing.set(lost!, row);
        world.run(2);
        expect(world.entries[0]!.input.instances.get(lost!)!.state).toEqual("live");
        world.agents.find(({ listed }) => listed.instance === lost)!.alive = false;
        world.listing.delete(lost!);
        world.run(24);
        expect(listInstances(world, "scribe").length).toEqual(2);
        expect(listInstances(world, "scribe").includes(lost!)).toEqual(false);
    });

    // Guards against a proposer that takes all agents for lost because it has just started or was paused.
    it("gives agents the time to be heard after a start of the proposer", () => {
        const world = createServing({ "zone-a": 4 }, { "zone-a": 2 });
        const settled = world.log.length;
        world.entries.forEach(entry => world.restartEntry(entry));
        world.clock.advance(60_000);
        const commands = world.entries.flatMap(entry => world.propose(entry));
        world.run(5);
        world.clock.advance(60_000);
        // Only the free instances have been heard again.
        listInstances(world, "scribe").forEach(instance => world.cuts.add(instance));
        world.pass(1_000);
        commands.push(...world.entries.flatMap(entry => world.propose(entry)));
        world.cuts.clear();
        world.run(20);
        expect(commands).toEqual([]);
        expect(world.log.length).toEqual(settled);
    });

    // Guards against plain services that wait for weights, or that own no keys.
    it("places plain services without weights", () => {
        const world = createWorld({ "zone-a": 2 });
        world.run(3);
        const declaration = { schemaVersion: 1, kind: "service", replicas: { "zone-a": 1 }, pool: "scribe" } as const;
        const header = {
            id: "service",
            deployment: "members",
            base: 0,
            writtenAt: "2026-01-01T00:00:00Z",
            writer: "operator",
        };
        world.append({ ...header, kind: "configuration", declaration });
        world.run(10);
        const { copies, owners } = world.readPlacement("members")!;
        expect(copies.map(({ weights }) => weights)).toEqual([undefined]);
        expect(owners).toEqual([copies[0]!.instance]);
    });

    // Guards against an update that takes a whole zone out of service, and against one that never ends.
    it("updates copies where they are, a few at a time if the update is rolling", () => {
        for (const updateStrategy of ["rolling", "in-place"] as const) {
            const world = createServing({ "zone-a": 5 }, { "zone-a": 4 });
            const before = listInstances(world, "scribe");
            world.apply("scribe", { "zone-a": 4 }, "2");
            const entry = world.log.pop()!;
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
            world.append({ ...entry.record, declaration });
            world.run(1);
            const updated = world.readPlacement("scribe")!.copies.filter(({ weights }) => weights!.version === "2");
            expect(updated.length).toEqual(updateStrategy === "rolling" ? 1 : 4);
            world.run(15);
            expect(listInstances(world, "scribe")).toEqual(before);
            const versions = world.readPlacement("scribe")!.copies.map(({ weights }) => weights!.version);
            expect(versions).toEqual(["2", "2", "2", "2"]);
        }
    });

    // Guards against two deployments that hold one instance after they were placed at the same time.
    it("revokes the later of two assignments of one instance", () => {
        const world = createWorld({ "zone-a": 2 });
        world.run(3);
        world.apply("archive", { "zone-a": 1 });
        world.apply("scribe", { "zone-a": 2 });
        world.run(1);
        expect(world.readPlacement("scribe")!.copies.length).toEqual(2);
        world.run(20);
        expect(listInstances(world, "archive").length).toEqual(1);
        expect(listInstances(world, "scribe").length).toEqual(1);
        expect(listInstances(world, "scribe")).not.toEqual(listInstances(world, "archive"));
    });

    // Guards against a holder whose witnesses have all been replaced while it was renewing with the old ones.
    it("keeps the preceding witnesses until the holder knows the new ones", () => {
        const world = createServing({ "zone-a": 1 }, { "zone-a": 1 });
        const before = world.readPlacement("scribe")!.copies[0]!.witnesses;
        world.listing.delete("entry-2");
        world.entries.pop();
        world.run(2);
        while (world.readPlacement("scribe")!.copies[0]!.previousWitnesses === undefined) {
            world.run(1);
        }
        expect(world.readPlacement("scribe")!.copies[0]!.previousWitnesses).toEqual(before);
        world.run(8);
        const [copy] = world.readPlacement("scribe")!.copies;
        expect(copy!.previousWitnesses).toEqual(undefined);
        expect([...copy!.witnesses].sort()).toEqual(["entry-0", "entry-1"]);
    });

    // Guards against configurations that the log's retention ends.
    it("refreshes and confirms old records, the first-ranked proposer alone", () => {
        const world = createWorld({ "zone-a": 2 }, { retention: 400_000 });
        world.run(3);
        world.apply("scribe", { "zone-a": 2 });
        world.run(20);
        const settled = world.log.length;
        world.run(190);
        const refreshes = world.log.slice(settled).map(({ record }) => record.kind).sort();
        expect(refreshes).toEqual(["configuration", "configuration", "placement", "placement"]);
        expect(world.entries[0]!.input.state.configurations.get("scribe")!.revision).toEqual(1);
    });
});

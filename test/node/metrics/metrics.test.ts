import { expect } from "earl";
import { describe, it } from "node:test";
import { createMetrics } from "../../../src/node/metrics/index.js";
import { createManualClock } from "../../../src/utils/index.js";

describe("metrics", () => {
    // Guards against output that a Prometheus server cannot read: each line is a comment or name, labels and value.
    it("are rendered in the Prometheus text format", () => {
        const metrics = createMetrics({ clock: createManualClock() });
        const requests = metrics.createCounter({ name: "requests_total", documentation: "Requests.\nAll of them." });
        requests.add(2, { deployment: "say \"hi\"\\" });
        requests.add();
        metrics.createGauge({ name: "copies", documentation: "Copies." }).set(3, { zone: "a", deployment: "b" });
        metrics.registerGauge({ name: "log_age_seconds", documentation: "Age of the log." }, () => 1.5);
        expect(metrics.render()).toEqual(
            [
                "# HELP requests_total Requests.\\nAll of them.",
                "# TYPE requests_total counter",
                "requests_total{deployment=\"say \\\"hi\\\"\\\\\"} 2",
                "requests_total 1",
                "# HELP copies Copies.",
                "# TYPE copies gauge",
                "copies{deployment=\"b\",zone=\"a\"} 3",
                "# HELP log_age_seconds Age of the log.",
                "# TYPE log_age_seconds gauge",
                "log_age_seconds 1.5",
                "",
            ].join("\n"),
        );
    });

    // Guards against values that are added to a series which was removed, or to one of another order of the labels.
    it("find a series by its labels in any order, and begin a removed one again", () => {
        const metrics = createMetrics({ clock: createManualClock() });
        const copies = metrics.createGauge({ name: "copies", documentation: "Copies." });
        copies.set(3, { zone: "a", deployment: "b" });
        copies.set(4, { deployment: "b", zone: "a" });
        expect(metrics.render()).toEqual(expect.includes("copies{deployment=\"b\",zone=\"a\"} 4\n"));
        copies.remove({ zone: "a", deployment: "b" });
        copies.set(5, { deployment: "b", zone: "a" });
        expect(metrics.render()).toEqual(expect.includes("copies{deployment=\"b\",zone=\"a\"} 5\n"));
    });

    // Guards against quantiles in which hours of old values hide a change, and against totals that decrease.
    it("compute quantiles over the newest windows and totals since the start", () => {
        const clock = createManualClock();
        const metrics = createMetrics({ clock, window: 1_000 });
        const duration = metrics.createHistogram({ name: "duration", documentation: "Duration." });
        for (let value = 1; value <= 100; value++) {
            duration.record(value);
        }
        expect(metrics.render()).toEqual(expect.includes("duration{quantile=\"0.5\"} 50"));
        clock.advance(1_000);
        duration.record(500);
        expect(metrics.render()).toEqual(expect.includes("duration{quantile=\"0.5\"} 5"));
        clock.advance(1_000);
        const output = metrics.render();
        expect(Number(/quantile="0.5"\} (.*)/.exec(output)?.[1])).toBeCloseTo(500, 5);
        expect(output).toEqual(expect.includes("duration_sum 5550\nduration_count 101"));
        clock.advance(5_000);
        expect(metrics.render()).toEqual(expect.includes("duration{quantile=\"0.5\"} NaN"));
    });

    // Guards against memory that grows with label values that callers choose.
    it("count label values beyond the limit in one series", () => {
        const metrics = createMetrics({ clock: createManualClock(), maximumSeries: 2 });
        const requests = metrics.createCounter({ name: "requests_total", documentation: "Requests." });
        for (const account of ["a", "b", "c", "d", "a"]) {
            requests.add(1, { account });
        }
        const lines = metrics.render().split("\n").filter(line => line.startsWith("requests_total"));
        expect(lines).toEqual([
            "requests_total{account=\"a\"} 2",
            "requests_total{account=\"b\"} 1",
            "requests_total{account=\"other\"} 2",
        ]);
    });
});

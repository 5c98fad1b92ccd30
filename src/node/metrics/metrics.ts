import type { Clock, Milliseconds } from "../../types/index.js";
import { createWindowedHistogram, type WindowedHistogram } from "./windowedHistogram.js";

/** Values of a metric's labels. */
export type Labels = Readonly<Record<string, string>>;

/** Name and meaning of a metric. */
export interface MetricDescription {
    /** Prometheus name, for example `goldcrestpoint_requests_total`. */
    readonly name: string;
    readonly documentation: string;
}

/** Metric whose value only increases. */
export interface Counter {
    /** Adds to the counter; default: 1. */
    add(amount?: number, labels?: Labels): void;
}

/** Metric whose value can increase and decrease. */
export interface Gauge {
    set(value: number, labels?: Labels): void;
    /** Removes a series, for example that of a removed deployment. */
    remove(labels: Labels): void;
}

/** Distribution of values. */
export interface Histogram {
    /** Records a value; negative ones count as 0. */
    record(value: number, labels?: Labels): void;
}

/** Metrics of one process. */
export interface Metrics {
    createCounter(description: MetricDescription): Counter;
    createGauge(description: MetricDescription): Gauge;
    /**
     * Adds a gauge whose value is read each time the metrics are rendered.
     *
     * @param description - name and meaning
     * @param read - returns the value
     */
    registerGauge(description: MetricDescription, read: () => number): void;
    createHistogram(description: MetricDescription): Histogram;
    /** @returns all metrics in the Prometheus text format, version 0.0.4 */
    render(): string;
}

/** Options of the metrics. */
export interface MetricsOptions {
    readonly clock: Clock;
    /** Length of a window; quantiles cover between one and two windows. Default: 60,000 ms. */
    readonly window?: Milliseconds | undefined;
    /** Maximum number of series of one metric; further label values are counted under `other`. Default: 200. */
    readonly maximumSeries?: number | undefined;
}

/** Content type of the rendered metrics. */
export const metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

const quantiles = [0.5, 0.9, 0.95, 0.99] as const;

function escapeLabel(value: string): string {
    return value.replaceAll("\\", "\\\\").replaceAll("\n", "\\n").replaceAll("\"", "\\\"");
}

function renderLabels(labels: Labels): string {
    const pairs = Object.keys(labels).sort().map(name => `${name}="${escapeLabel(labels[name]!)}"`);
    return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}

interface Series<Value> {
    find(labels: Labels): Value;
    remove(labels: Labels): void;
    list(): Iterable<{ readonly labels: Labels; readonly value: Value; }>;
}

interface SeriesRow<Value> {
    readonly labels: Labels;
    readonly value: Value;
}

/** Formats labels as a key, in the order in which the caller states them. */
function formatKey(labels: Labels): string {
    let key = "";
    for (const name of Object.keys(labels)) {
        key += `${name}\0${labels[name]!}\0`;
    }
    return key;
}

function createSeries<Value>(maximum: number, create: () => Value): Series<Value> {
    const rows = new Map<string, SeriesRow<Value>>();
    /** Rows by {@link formatKey}, which is found with less work than the rendered labels. */
    const known = new Map<string, SeriesRow<Value>>();

    function findRow(labels: Labels): Value {
        const key = renderLabels(labels);
        const row = rows.get(key);
        if (row !== undefined) {
            return row.value;
        }
        const other = Object.fromEntries(Object.keys(labels).map(name => [name, "other"]));
        if (rows.size >= maximum && renderLabels(other) !== key) {
            return findRow(other);
        }
        const value = create();
        rows.set(key, { labels, value });
        return value;
    }

    function find(labels: Labels): Value {
        const key = formatKey(labels);
        const row = known.get(key);
        if (row !== undefined) {
            return row.value;
        }
        const value = findRow(labels);
        const found = rows.get(renderLabels(labels));
        // Labels that are counted under `other` are not kept, since their number has no limit.
        if (found !== undefined) {
            known.set(key, found);
        }
        return value;
    }

    return {
        find,
        remove: labels => {
            rows.delete(renderLabels(labels));
            known.clear();
        },
        list: () => rows.values(),
    };
}

function renderHeader({ name, documentation }: MetricDescription, type: string): string[] {
    const text = documentation.replaceAll("\\", "\\\\").replaceAll("\n", "\\n");
    return [`# HELP ${name} ${text}`, `# TYPE ${name} ${type}`];
}

function renderNumbers(description: MetricDescription, type: string, series: Series<{ value: number; }>): string[] {
    const lines = [...series.list()].map(({ labels, value }) =>
        `${description.name}${renderLabels(labels)} ${value.value}`
    );
    return [...renderHeader(description, type), ...lines];
}

function renderSummary(description: MetricDescription, series: Series<WindowedHistogram>): string[] {
    const lines = [...series.list()].flatMap(({ labels, value }) => {
        const { name } = description;
        const values = value.readQuantiles(quantiles);
        const quantileLines = quantiles.map((quantile, index) =>
            `${name}${renderLabels({ ...labels, quantile: String(quantile) })} ${values[index]}`
        );
        const suffix = renderLabels(labels);
        return [...quantileLines, `${name}_sum${suffix} ${value.sum}`, `${name}_count${suffix} ${value.count}`];
    });
    return [...renderHeader(description, "summary"), ...lines];
}

/**
 * Creates the metrics of a process.
 *
 * @param options - clock and limits
 * @returns the metrics, empty
 */
export function createMetrics(options: MetricsOptions): Metrics {
    const { clock, window = 60_000, maximumSeries = 200 } = options;
    const renderers: (() => string[])[] = [];

    function createNumbers(description: MetricDescription, type: string): Series<{ value: number; }> {
        const series = createSeries(maximumSeries, () => ({ value: 0 }));
        renderers.push(() => renderNumbers(description, type, series));
        return series;
    }

    return {
        createCounter: description => {
            const series = createNumbers(description, "counter");
            return {
                add: (amount = 1, labels = {}) => {
                    series.find(labels).value += amount;
                },
            };
        },
        createGauge: description => {
            const series = createNumbers(description, "gauge");
            return {
                set: (value, labels = {}) => {
                    series.find(labels).value = value;
                },
                remove: labels => series.remove(labels),
            };
        },
        registerGauge: (description, read) => {
            renderers.push(() => [...renderHeader(description, "gauge"), `${description.name} ${read()}`]);
        },
        createHistogram: description => {
            const series = createSeries(maximumSeries, () => createWindowedHistogram(clock, window));
            renderers.push(() => renderSummary(description, series));
            return { record: (value, labels = {}) => series.find(labels).record(value) };
        },
        render: () => `${renderers.flatMap(render => render()).join("\n")}\n`,
    };
}

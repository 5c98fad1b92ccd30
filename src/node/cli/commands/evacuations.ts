import { err, ok, type Result } from "true-myth/result";
import * as z from "zod";
import { createError, type GoldcrestpointError } from "../../../types/index.js";
import { renderTable } from "../renderTable.js";
import type { CommandReport, OperatorContext } from "../types.js";

const count = z.number().int().min(0);

/** Path at which a gateway reports the evacuated zones, at its metrics address. */
const evacuationsPath = "/evacuations";

/** Schema of the response to `GET /evacuations`. */
const evacuationsSchema = z.object({
    evacuations: z.array(z.object({ zone: z.string(), since: z.iso.datetime(), servers: count, running: count })),
});

type GatewayEvacuations = z.infer<typeof evacuationsSchema>["evacuations"];

/** Evacuated zone, as several gateways report it. */
interface ZoneReport {
    readonly zone: string;
    /** Time at which the first gateway learned of the evacuation, in ISO 8601. */
    readonly since: string;
    /** Listed backend servers of the zone; the highest number that a gateway knows. */
    readonly servers: number;
    /** Requests that are still in progress there, of all gateways that answered. */
    readonly running: number;
    /** Gateways that know of the evacuation. */
    readonly gateways: number;
}

function mergeZones(reports: readonly GatewayEvacuations[]): readonly ZoneReport[] {
    const zones = new Map<string, ZoneReport>();
    for (const { running, servers, since, zone } of reports.flat()) {
        const known = zones.get(zone);
        zones.set(zone, {
            zone,
            since: known === undefined || Date.parse(since) < Date.parse(known.since) ? since : known.since,
            servers: Math.max(servers, known?.servers ?? 0),
            running: running + (known?.running ?? 0),
            gateways: 1 + (known?.gateways ?? 0),
        });
    }
    return [...zones.values()].sort((left, right) => left.zone.localeCompare(right.zone));
}

function render(zones: readonly ZoneReport[], answered: number, failures: readonly string[]): string {
    const heard = [`${answered} of ${answered + failures.length} gateways answered`, ...failures];
    if (zones.length === 0) {
        return [...heard, "no evacuated zone"].join("\n");
    }
    const rows = zones.map(({ gateways, running, servers, since, zone }) => [
        zone,
        since,
        String(servers),
        String(running),
        `${gateways} of ${answered}`,
    ]);
    const headings = ["EVACUATED", "SINCE", "SERVERS", "IN PROGRESS", "KNOWN TO GATEWAYS"];
    return [...heard, ...renderTable([headings, ...rows])].join("\n");
}

/**
 * Asks the gateways of the settings for the evacuated zones. The report names those that give no usable answer.
 *
 * @param context - ports, settings and output
 * @returns the report; undefined if the settings name no gateway; `PEER_UNREACHABLE` if none gives a usable answer
 */
export async function readEvacuations(
    context: OperatorContext,
): Promise<Result<CommandReport | undefined, GoldcrestpointError>> {
    const { gatewayUrls } = context.settings.operator;
    if (gatewayUrls.length === 0) {
        return ok(undefined);
    }
    const reports: GatewayEvacuations[] = [];
    const failures: string[] = [];
    await Promise.all(gatewayUrls.map(async url => {
        const answer = await context.ports.entries.get(url, evacuationsPath);
        const parsed = answer.isOk ? evacuationsSchema.safeParse(answer.value.body) : undefined;
        if (answer.isOk && answer.value.status === 200 && parsed?.success === true) {
            reports.push(parsed.data.evacuations);
            return;
        }
        failures.push(
            `${url}: ${
                answer.isErr ?
                    answer.error.message :
                    `answered ${answer.value.status} without a usable list of evacuations`
            }`,
        );
    }));
    if (reports.length === 0) {
        const message = `no gateway answered: ${failures.join("; ")}`;
        return err(createError("PEER_UNREACHABLE", "read evacuated zones", "gateways", message));
    }
    const zones = mergeZones(reports);
    return ok({
        text: render(zones, reports.length, failures),
        json: { gatewaysAnswered: reports.length, failures, zones },
    });
}

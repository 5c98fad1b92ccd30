import { createCallerProtocol } from "../../../platform/callerProtocol.js";
import { createRecordDecoder } from "../../../platform/recordDecoder.js";
import { createStoreClient } from "../../../platform/storeClient.js";
import { startGateway } from "../../../src/node/gateway/index.js";
import { createLogger } from "../../../src/node/logging/index.js";
import { resolveGatewaySettings } from "../../../src/node/settings/index.js";
import { findFreePorts } from "../../../src/standIn/index.js";
import { createDisposalStack, createSystemClock } from "../../../src/utils/index.js";
import { expectOk } from "../../node/support.js";

/** Time within which the gateway finishes its shutdown. */
export const drainTimeLimitSeconds = 3;

/** Gateway that runs in the process of the test. */
export interface TestGateway extends AsyncDisposable {
    readonly gatewayUrl: string;
    /** Address for callers. */
    readonly callers: { readonly host: string; readonly port: number; };
    readonly readyUrl: string;
    readonly metricsUrl: string;
    /** `host:port` at which the gateway relays records. */
    readonly relayAddress: string;
    /** Lines that the gateway has logged. */
    readonly logLines: readonly string[];
    /** Begins the shutdown of the gateway. */
    drain(): Promise<void>;
}

/** Options of {@link startTestGateway}. */
export interface TestGatewayOptions {
    readonly instance: string;
    /** `host:port` of the store. */
    readonly storeAddress: string;
    /** Settings that differ from the defaults of the tests, by key. */
    readonly flags?: Readonly<Record<string, string>>;
    /** Called with each line when the gateway logs it. */
    readonly onLogLine?: (line: string) => void;
}

/** Starts a gateway that follows a store. */
export async function startTestGateway(options: TestGatewayOptions): Promise<TestGateway> {
    await using startedParts = createDisposalStack();
    const { instance } = options;
    const [relayPort, callerPort, readyPort, metricsPort] = await findFreePorts(4);
    const settings = expectOk(resolveGatewaySettings({
        environment: {},
        flags: {
            "instance.id": instance,
            "instance.zone": "zone-a",
            "instance.region": "south",
            "instance.grpcAddress": `127.0.0.1:${relayPort}`,
            "instance.httpAddress": `127.0.0.1:${callerPort}`,
            "instance.drainTimeLimitSeconds": String(drainTimeLimitSeconds),
            "gateway.readyAddress": `127.0.0.1:${readyPort}`,
            "gateway.metricsAddress": `127.0.0.1:${metricsPort}`,
            "gateway.relayPort": String(relayPort),
            "gateway.acceptAfterShutdownMilliseconds": "200",
            "gateway.switchAfterMilliseconds": "400",
            "gateway.registrationLimitMilliseconds": "10000",
            "routing.reportExpiryMilliseconds": "600000",
            "admission.retryAfterStepSeconds": "0.05",
            "retry.maximumCrashes": "3",
            ...options.flags,
        },
    }));
    const log = startedParts.use(createStoreClient({ address: options.storeAddress }));
    const logLines: string[] = [];
    const destination = {
        write: (line: string) => {
            logLines.push(line);
            options.onLogLine?.(line);
        },
    };
    const gateway = startedParts.use(expectOk(
        await startGateway(settings, {
            log,
            decoder: createRecordDecoder(),
            protocol: createCallerProtocol(),
            clock: createSystemClock(),
            random: { next: Math.random },
            readyPath: "/api/ready",
        }, createLogger({ level: "info", program: "gateway", instance, destination })),
    ));
    const stack = startedParts.move();
    return {
        gatewayUrl: `http://127.0.0.1:${callerPort}`,
        callers: { host: "127.0.0.1", port: callerPort! },
        readyUrl: `http://127.0.0.1:${readyPort}/api/ready`,
        metricsUrl: `http://127.0.0.1:${metricsPort}/metrics`,
        relayAddress: `127.0.0.1:${relayPort}`,
        logLines,
        drain: () => gateway.drain(),
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
}

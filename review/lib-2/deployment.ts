import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePorts } from "../../src/standIn/index.js";
import { startStoreStandIn, type StoreStandIn } from "../../test/platform/standIn/storeStandIn.js";
import { type Link, openLink } from "./cut.js";
import { readCommand, renderSettings } from "./settings.js";

/** Answer as a client saw it. */
export interface Answer {
    readonly id: string;
    /** Undefined if the channel ended without the head of an answer. */
    readonly status: number | undefined;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    readonly isComplete: boolean;
    /** Monotonic times in milliseconds. */
    readonly sentAt: number;
    /** Undefined without a head. */
    readonly headAt: number | undefined;
}

/** A gateway in a process of its own, with the project's stand-in for the store. */
export interface Deployment {
    readonly store: StoreStandIn;
    /** Link from the gateway to the store. */
    readonly storeLink: Link;
    /** False if the case is played without its trouble. */
    readonly hasTrouble: boolean;
    /** Adds a line to the record, with the time since the start. */
    note(text: string): void;
    /** Waits until the gateway is ready. */
    awaitReady(): Promise<void>;
    /** Sends a request on a kept channel. */
    send(method: string, path: string, body: string): Promise<Answer>;
    /** Ends the case with the status for the rule, and all processes with it. */
    finish(brokenBy: readonly string[]): Promise<never>;
}

/** API key and its tenant. */
export const key = { tenant: "family", text: "key-1" };

/** Route of the operator's configuration, with what all routes of the cases have in common. */
export const commonRoute = {
    host: "members.example",
    timeout_ms: 3_000,
    target_latency_ms: 1_000,
    priority: 1,
    public: false,
};

/** Limits and tenants of the operator's configuration. */
export const commonConfiguration = {
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: key.tenant, api_keys: [key.text] }],
};

/** Bounds of the small deployments in force. */
export const bounds = {
    drain_ms: 2_000,
    grace_s: 8,
    settle_window_ms: 3_000,
    config_deadline_ms: 2_000,
    version_ms: 8_000,
    retry_budget_ratio: 0.2,
    budget_slack: 104,
    budget_window_s: 10,
};

const host = "127.0.0.1";
const readyTimeLimit = 20_000;
const unplayable = 2;

/** Waits for a number of milliseconds. */
export function wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });
}

/**
 * Starts the store and a gateway with the command of the deploy file.
 *
 * @param folder - folder of the case, which gets its record
 * @returns the deployment
 */
export async function startDeployment(folder: string): Promise<Deployment> {
    const startedAt = performance.now();
    const record = join(folder, "record.txt");
    writeFileSync(record, "");
    const note = (text: string): void =>
        appendFileSync(record, `${Math.round(performance.now() - startedAt)} ms  ${text}\n`);
    const temporary = mkdtempSync(join(tmpdir(), "review-"));
    const store = await startStoreStandIn();
    const storeLink = await openLink(store.address);
    const [front, ready, control, relay, metrics] = await findFreePorts(5) as [number, number, number, number, number];
    const settings = join(temporary, "gateway.ini");
    writeFileSync(
        settings,
        renderSettings({
            node_name: "front-zone-a-1",
            zone: "zone-a",
            region: "south",
            ip: host,
            internal_port_range: [String(relay), String(metrics)],
            seeds: [`${host}:${control}`],
            zones: { "zone-a": "south" },
            listen: { front: `${host}:${front}`, ready: `${host}:${ready}`, control: `${host}:${control}` },
            limits: { memory_mb: 350 },
            bounds,
            platform: { address: storeLink.address },
        }),
    );
    const [program, ...parameters] = readCommand("gateway");
    const gateway: ChildProcess = spawn(program!, parameters, {
        env: { PATH: process.env["PATH"], HOME: process.env["HOME"], GOLDCRESTPOINT_CONFIG: settings },
        stdio: ["ignore", "ignore", "inherit"],
    });
    const exited = once(gateway, "exit");
    const agent = new Agent({ keepAlive: true });
    let sent = 0;

    async function finishWith(status: number): Promise<never> {
        gateway.kill("SIGKILL");
        await exited;
        rmSync(temporary, { recursive: true, force: true });
        process.exit(status);
    }

    async function isReady(): Promise<boolean> {
        return fetch(`http://${host}:${ready}/api/ready`).then(({ status }) => status === 200, () => false);
    }

    process.on("uncaughtException", error => {
        note(`could not run: ${error.stack ?? error.message}`);
        void finishWith(unplayable);
    });
    return {
        store,
        storeLink,
        hasTrouble: process.env["TROUBLE"] !== "0",
        note,
        awaitReady: async () => {
            const endsAt = performance.now() + readyTimeLimit;
            while (!await isReady()) {
                if (performance.now() > endsAt) {
                    throw new Error("the gateway is not ready");
                }
                await wait(50);
            }
            note("the gateway is ready");
        },
        send: (method, path, body) => {
            const id = `attempt-${++sent}`;
            const sentAt = performance.now();
            return new Promise(resolve => {
                let answer: Answer = {
                    id,
                    status: undefined,
                    headers: {},
                    body: "",
                    isComplete: false,
                    sentAt,
                    headAt: undefined,
                };
                const finish = (): void => {
                    resolve(answer);
                };
                const outgoing = request({
                    host,
                    port: front,
                    method,
                    path,
                    agent,
                    headers: {
                        host: commonRoute.host,
                        "attempt-id": id,
                        "deadline-ms": "2500",
                        authorization: `Token ${key.text}`,
                        "content-length": Buffer.byteLength(body),
                    },
                }, incoming => {
                    const headAt = performance.now();
                    const parts: Buffer[] = [];
                    incoming.on("data", (part: Buffer) => parts.push(part));
                    incoming.on("error", () => {});
                    incoming.on("close", () => {
                        const text = Buffer.concat(parts).toString();
                        answer = {
                            id,
                            status: incoming.statusCode,
                            headers: incoming.headers,
                            body: text,
                            isComplete: incoming.complete,
                            sentAt,
                            headAt,
                        };
                        finish();
                    });
                });
                outgoing.on("error", finish);
                outgoing.end(body);
            });
        },
        finish: async brokenBy => {
            brokenBy.forEach(text => note(`BROKEN ${text}`));
            note(brokenBy.length === 0 ? "the rule held" : `the rule was broken ${brokenBy.length} times`);
            return finishWith(brokenBy.length === 0 ? 0 : 1);
        },
    };
}

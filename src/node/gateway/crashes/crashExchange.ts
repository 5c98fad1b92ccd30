import { create } from "@bufbuild/protobuf";
import { Metadata, type sendUnaryData, type ServerUnaryCall, type ServiceError, status } from "@grpc/grpc-js";
import type { Logger } from "pino";
import {
    BackendServerCrashSchema,
    type CrashEvidence,
    type CrashEvidenceRequest,
    CrashEvidenceRequestSchema,
    CrashEvidenceSchema,
    LeavingServerSchema,
    RequestAnswerSchema,
    type ServerRateLimit,
    ServerRateLimitSchema,
} from "../../../generated/goldcrestpoint_pb.js";
import type { SharedLeaving, SharedRateLimit } from "../../../runtime/gateway/index.js";
import type { SharedCrash, SharedEvidence } from "../../../runtime/retry/index.js";
import type { Clock, Fingerprint, Milliseconds, RandomSource } from "../../../types/index.js";
import { computeDigest } from "../../../utils/index.js";
import { createReplicaClient, type ReplicaClient } from "../../grpc/index.js";
import type { RateLimits } from "../membership/rateLimits.js";
import type { RegistrationCleanup } from "../membership/registrationCleanup.js";
import type { ServerNotices } from "../membership/serverNotices.js";
import type { CrashEvidenceStore } from "./crashEvidenceStore.js";

/** Dependencies of {@link createCrashExchange}. */
export interface CrashExchangeInput {
    readonly crashEvidence: CrashEvidenceStore;
    readonly notices: ServerNotices;
    readonly rateLimits: RateLimits;
    /** Lists `host:port` of the other gateways; some may no longer run. */
    readonly listAddresses: () => readonly string[];
    /** Learns which gateways respond. */
    readonly cleanup: Pick<RegistrationCleanup, "findNextToCall" | "recordCall">;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Time within which evidence must reach all gateways. */
    readonly settleTime: Milliseconds;
}

/** Exchange of crash evidence between gateways, by gossip and periodic reconciliation. */
export interface CrashExchange extends Disposable {
    /** Queries newly known gateways shortly after the start of this process; called when gateways become known. */
    queryNewGateways(): void;
    /** Handler for the gRPC server. */
    readonly exchangeCrashEvidence: (
        call: ServerUnaryCall<CrashEvidenceRequest, CrashEvidence>,
        callback: sendUnaryData<CrashEvidence>,
    ) => void;
}

/** Gateways that are sent new evidence, or queried after the start, at a time; each forwards what is new to it. */
const gatewaysPerRound = 8;
/** Queries to other gateways per settle time; they recover lost evidence in time. */
const queriesPerSettleTime = 4;
/** Maximum number of open connections to other gateways; the oldest is closed first. */
const maximumGatewayClients = 64;
/** Share of the settle time for which new evidence is collected before it is sent: many requests break together. */
const deltaDelayShare = 0.03;

/** Tells whether a gateway has responded to a call; one that does not know the call has. */
function hasResponded(error: Pick<ServiceError, "code"> | undefined): boolean {
    return error === undefined || ![status.UNAVAILABLE, status.DEADLINE_EXCEEDED].includes(error.code);
}

/** Converts an age to whole milliseconds that a message can state. */
function toWholeMilliseconds(age: Milliseconds): bigint {
    return BigInt(Math.round(Math.min(Math.max(0, age), Number.MAX_SAFE_INTEGER)));
}

function encodeRateLimits(rateLimits: readonly SharedRateLimit[]): ServerRateLimit[] {
    return rateLimits.map(({ age, lifetime, requestsPerSecond }) =>
        create(ServerRateLimitSchema, {
            lifetime,
            ageMilliseconds: toWholeMilliseconds(age),
            ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
        })
    );
}

function decodeRateLimits({ rateLimits }: CrashEvidence): SharedRateLimit[] {
    return rateLimits.map(({ ageMilliseconds, lifetime, requestsPerSecond }) => ({
        lifetime,
        requestsPerSecond,
        age: Number(ageMilliseconds),
    }));
}

/** Lists the numbers of events in the order of the fingerprints; nothing if no answer had begun. */
function listEvents(fingerprints: readonly Fingerprint[], events: SharedCrash["events"]): number[] {
    const counts = fingerprints.map(fingerprint => events?.get(fingerprint) ?? 0);
    return counts.some(count => count > 0) ? counts : [];
}

function encode(
    { answers, crashes }: SharedEvidence,
    leaving: readonly SharedLeaving[],
    rateLimits: readonly SharedRateLimit[],
): CrashEvidence {
    return create(CrashEvidenceSchema, {
        rateLimits: encodeRateLimits(rateLimits),
        leaving: leaving.map(({ age, lifetime }) =>
            create(LeavingServerSchema, { lifetime, ageMilliseconds: toWholeMilliseconds(age) })
        ),
        crashes: crashes.map(({ age, crashId, events, fingerprints, touchedAge }) =>
            create(BackendServerCrashSchema, {
                crashId,
                fingerprints: [...fingerprints],
                events: listEvents(fingerprints, events),
                ageMilliseconds: toWholeMilliseconds(age),
                touchedAgeMilliseconds: toWholeMilliseconds(touchedAge),
            })
        ),
        answers: answers.map(({ age, fingerprint }) =>
            create(RequestAnswerSchema, { fingerprint, ageMilliseconds: toWholeMilliseconds(age) })
        ),
    });
}

function decode({ answers, crashes }: CrashEvidence): SharedEvidence {
    return {
        crashes: crashes.map(({ ageMilliseconds, crashId, events, fingerprints, touchedAgeMilliseconds }) => ({
            crashId,
            fingerprints,
            events: new Map(fingerprints.map((fingerprint, index) => [fingerprint, events[index] ?? 0])),
            age: Number(ageMilliseconds),
            touchedAge: Number(touchedAgeMilliseconds),
        })),
        answers: answers.map(({ ageMilliseconds, fingerprint }) => ({ fingerprint, age: Number(ageMilliseconds) })),
    };
}

/**
 * Creates the exchange. New evidence is sent to several gateways at once. In addition, each gateway queries another one
 * at intervals, which recovers lost evidence; a gateway that has just started queries several.
 *
 * @param input - crash evidence, other gateways and times
 * @returns the exchange; disposing of it closes the connections
 */
export function createCrashExchange(input: CrashExchangeInput): CrashExchange {
    const { clock, crashEvidence, logger, notices, random, rateLimits, settleTime } = input;
    const clients = new Map<string, ReplicaClient>();
    const queriedAddresses = new Set<string>();
    let deltaTimer: NodeJS.Timeout | undefined;
    const startedAt = clock.monotonic();
    const interval = settleTime / queriesPerSettleTime;

    function merge(evidence: CrashEvidence): void {
        crashEvidence.merge(decode(evidence), "gateway");
        notices.mergeLeaving(evidence.leaving.map(({ ageMilliseconds, lifetime }) => ({
            lifetime,
            age: Number(ageMilliseconds),
        })));
        rateLimits.merge(decodeRateLimits(evidence));
    }

    /** Computes the digest by which two gateways detect that they differ; empty if nothing is known. */
    function digest(): string {
        const leaving = notices.listLeaving().map(({ lifetime }) => lifetime).sort();
        const limited = rateLimits.listLimited().map(lifetime => `limited ${lifetime}`).sort();
        const lifetimes = [...leaving, ...limited];
        return lifetimes.length === 0 ?
            crashEvidence.digest() :
            computeDigest([crashEvidence.digest(), ...lifetimes].join("\n"));
    }

    function closeClient(address: string): void {
        clients.get(address)?.close();
        clients.delete(address);
    }

    function send(address: string, message: CrashEvidenceRequest): void {
        const client = clients.get(address) ?? createReplicaClient(address);
        clients.set(address, client);
        if (clients.size > maximumGatewayClients) {
            closeClient(clients.keys().next().value!);
        }
        const deadline = Date.now() + settleTime / 2;
        client.exchangeCrashEvidence(message, new Metadata(), { deadline }, (error, answer) => {
            // A call that this process has ended itself tells nothing of the gateway.
            if (error?.code !== status.CANCELLED) {
                input.cleanup.recordCall(address, hasResponded(error ?? undefined));
            }
            if (answer !== undefined) {
                if (message.asks) {
                    queriedAddresses.add(address);
                }
                merge(answer);
                return;
            }
            logger.debug({ peer: address, error: error?.message }, "crashes not exchanged");
            // The connection may hang, so it is not reused.
            if (clients.get(address) === client) {
                closeClient(address);
            }
        });
    }

    function query(address: string): void {
        // The digest does not cover the values and ages of rate limits, which change with each response.
        const statements = encodeRateLimits(rateLimits.share());
        const news = statements.length === 0 ?
            {} :
            { news: create(CrashEvidenceSchema, { rateLimits: statements }) };
        send(address, create(CrashEvidenceRequestSchema, { asks: true, digest: digest(), ...news }));
    }

    function sendDelta(): void {
        deltaTimer = undefined;
        const message = create(CrashEvidenceRequestSchema, {
            news: encode(crashEvidence.takeDelta(), notices.listLeaving(), rateLimits.share()),
        });
        pickRandom(input.listAddresses(), gatewaysPerRound).forEach(address => send(address, message));
    }

    function pickRandom(addresses: readonly string[], count: number): string[] {
        const picked = [...addresses];
        while (picked.length > count) {
            picked.splice(Math.floor(random.next() * picked.length), 1);
        }
        return picked;
    }

    function queryNewGateways(): void {
        if (clock.monotonic() - startedAt < settleTime) {
            pickRandom(input.listAddresses().filter(address => !queriedAddresses.has(address)), gatewaysPerRound)
                .forEach(query);
        }
    }

    function tick(): void {
        const addresses = input.listAddresses();
        [...clients.keys()].filter(address => !addresses.includes(address)).forEach(closeClient);
        queryNewGateways();
        const unanswered = input.cleanup.findNextToCall();
        new Set([...pickRandom(addresses, 1), ...(unanswered === undefined ? [] : [unanswered])]).forEach(query);
    }

    function scheduleDelta(): void {
        deltaTimer ??= setTimeout(sendDelta, settleTime * deltaDelayShare);
    }

    crashEvidence.onDelta(scheduleDelta);
    notices.onLeaving(scheduleDelta);
    rateLimits.onSignificantChange(scheduleDelta);
    const timer = setInterval(tick, interval);
    return {
        queryNewGateways,
        exchangeCrashEvidence: (call, callback) => {
            const { asks, digest: peerDigest, news } = call.request;
            if (news !== undefined) {
                merge(news);
            }
            const differs = asks && peerDigest !== digest();
            callback(
                undefined as never,
                differs ?
                    encode(crashEvidence.share(), notices.listLeaving(), rateLimits.share()) :
                    create(CrashEvidenceSchema),
            );
        },
        [Symbol.dispose]: () => {
            clearInterval(timer);
            clearTimeout(deltaTimer);
            [...clients.keys()].forEach(closeClient);
        },
    };
}

import { create } from "@bufbuild/protobuf";
import { Metadata, type sendUnaryData, type ServerUnaryCall } from "@grpc/grpc-js";
import type { Logger } from "pino";
import {
    BackendServerCrashSchema,
    type CrashEvidence,
    type CrashEvidenceRequest,
    CrashEvidenceRequestSchema,
    CrashEvidenceSchema,
    LeavingServerSchema,
    RequestAnswerSchema,
} from "../../generated/goldcrestpoint_pb.js";
import type { SharedLeaving } from "../../runtime/gateway/index.js";
import type { SharedEvidence } from "../../runtime/retry/index.js";
import type { Clock, Milliseconds, RandomSource } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";
import { createReplicaClient, type ReplicaClient } from "../grpc/index.js";
import type { CrashKnowledge } from "./crashKnowledge.js";
import type { ServerNotices } from "./serverNotices.js";

/** Dependencies of {@link createCrashExchange}. */
export interface CrashExchangeInput {
    readonly knowledge: CrashKnowledge;
    readonly notices: ServerNotices;
    /** `host:port` of the other gateways; some may be gone. */
    readonly listAddresses: () => readonly string[];
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Time in which every gateway has to know what one of them has seen. */
    readonly settleTime: Milliseconds;
}

/** Exchange of crashes between gateways. */
export interface CrashExchange extends Disposable {
    /** Asks the gateways that a process which has just started has not asked yet; called when gateways become known. */
    askNew(): void;
    /** Handler for the gRPC server. */
    readonly exchangeCrashEvidence: (
        call: ServerUnaryCall<CrashEvidenceRequest, CrashEvidence>,
        callback: sendUnaryData<CrashEvidence>,
    ) => void;
}

/** Gateways that are told of news at once; they pass it on as long as it is new to them. */
const fanOut = 8;
/** Questions to another gateway in the settle time, by which what was lost on the way still arrives in time. */
const questionsPerSettleTime = 4;
/** Connections to other gateways that are kept; the oldest is closed first. */
const maximumClients = 64;
/** Share of the settle time for which news waits for more of it, since many requests break together. */
const newsDelayShare = 0.03;

function encode({ answers, crashes }: SharedEvidence, leaving: readonly SharedLeaving[]): CrashEvidence {
    return create(CrashEvidenceSchema, {
        leaving: leaving.map(({ age, lifetime }) =>
            create(LeavingServerSchema, { lifetime, ageMilliseconds: BigInt(Math.round(age)) })
        ),
        crashes: crashes.map(({ age, crashId, fingerprints, touchedAge }) =>
            create(BackendServerCrashSchema, {
                crashId,
                fingerprints: [...fingerprints],
                ageMilliseconds: BigInt(Math.round(age)),
                touchedAgeMilliseconds: BigInt(Math.round(touchedAge)),
            })
        ),
        answers: answers.map(({ age, fingerprint }) =>
            create(RequestAnswerSchema, { fingerprint, ageMilliseconds: BigInt(Math.round(age)) })
        ),
    });
}

function decode({ answers, crashes }: CrashEvidence): SharedEvidence {
    return {
        crashes: crashes.map(({ ageMilliseconds, crashId, fingerprints, touchedAgeMilliseconds }) => ({
            crashId,
            fingerprints,
            age: Number(ageMilliseconds),
            touchedAge: Number(touchedAgeMilliseconds),
        })),
        answers: answers.map(({ ageMilliseconds, fingerprint }) => ({ fingerprint, age: Number(ageMilliseconds) })),
    };
}

/**
 * Creates the exchange. News goes to several gateways at once. Each gateway asks another one at intervals, which repairs
 * what was lost; one that has just started asks several.
 *
 * @param input - knowledge, other gateways and times
 * @returns the exchange; disposing of it closes the connections
 */
export function createCrashExchange(input: CrashExchangeInput): CrashExchange {
    const { clock, knowledge, logger, notices, random, settleTime } = input;
    const clients = new Map<string, ReplicaClient>();
    const asked = new Set<string>();
    let newsTimer: NodeJS.Timeout | undefined;
    const startedAt = clock.monotonic();
    const interval = settleTime / questionsPerSettleTime;

    function merge(evidence: CrashEvidence): void {
        knowledge.merge(decode(evidence), "gateway");
        notices.mergeLeaving(evidence.leaving.map(({ ageMilliseconds, lifetime }) => ({
            lifetime,
            age: Number(ageMilliseconds),
        })));
    }

    /** Text by which two gateways notice that they know different things; empty if nothing is known. */
    function digest(): string {
        const lifetimes = notices.listLeaving().map(({ lifetime }) => lifetime).sort();
        return lifetimes.length === 0 ?
            knowledge.digest() :
            computeDigest([knowledge.digest(), ...lifetimes].join("\n"));
    }

    function closeClient(address: string): void {
        clients.get(address)?.close();
        clients.delete(address);
    }

    function send(address: string, message: CrashEvidenceRequest): void {
        const client = clients.get(address) ?? createReplicaClient(address);
        clients.set(address, client);
        if (clients.size > maximumClients) {
            closeClient(clients.keys().next().value!);
        }
        const deadline = Date.now() + settleTime / 2;
        client.exchangeCrashEvidence(message, new Metadata(), { deadline }, (error, answer) => {
            if (answer !== undefined) {
                if (message.asks) {
                    asked.add(address);
                }
                merge(answer);
                return;
            }
            logger.debug({ peer: address, error: error?.message }, "crashes not exchanged");
            // A connection that has gone silent is not used again.
            if (clients.get(address) === client) {
                closeClient(address);
            }
        });
    }

    function ask(address: string): void {
        send(address, create(CrashEvidenceRequestSchema, { asks: true, digest: digest() }));
    }

    function tellNews(): void {
        newsTimer = undefined;
        const message = create(CrashEvidenceRequestSchema, {
            news: encode(knowledge.takeNews(), notices.listLeaving()),
        });
        pick(input.listAddresses(), fanOut).forEach(address => send(address, message));
    }

    function pick(addresses: readonly string[], count: number): string[] {
        const picked = [...addresses];
        while (picked.length > count) {
            picked.splice(Math.floor(random.next() * picked.length), 1);
        }
        return picked;
    }

    function askNew(): void {
        if (clock.monotonic() - startedAt < settleTime) {
            pick(input.listAddresses().filter(address => !asked.has(address)), fanOut).forEach(ask);
        }
    }

    function tick(): void {
        const addresses = input.listAddresses();
        [...clients.keys()].filter(address => !addresses.includes(address)).forEach(closeClient);
        askNew();
        pick(addresses, 1).forEach(ask);
    }

    function scheduleNews(): void {
        newsTimer ??= setTimeout(tellNews, settleTime * newsDelayShare);
    }

    knowledge.onNews(scheduleNews);
    notices.onLeaving(scheduleNews);
    const timer = setInterval(tick, interval);
    return {
        askNew,
        exchangeCrashEvidence: (call, callback) => {
            const { asks, digest: theirs, news } = call.request;
            if (news !== undefined) {
                merge(news);
            }
            const differs = asks && theirs !== digest();
            callback(
                undefined as never,
                differs ? encode(knowledge.share(), notices.listLeaving()) : create(CrashEvidenceSchema),
            );
        },
        [Symbol.dispose]: () => {
            clearInterval(timer);
            clearTimeout(newsTimer);
            [...clients.keys()].forEach(closeClient);
        },
    };
}

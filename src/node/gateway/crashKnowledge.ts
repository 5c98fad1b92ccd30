import type { Logger } from "pino";
import {
    type CrashEvidenceOptions,
    type CrashRow,
    createCrashEvidence,
    digestEvidence,
    type EvidenceNews,
    expireEvidence,
    exportEvidence,
    mayRepeatAfterCrash,
    mergeEvidence,
    readCrashStanding,
    recordAnswer,
    recordCrash,
    type SharedEvidence,
    type SuspectStanding,
} from "../../runtime/retry/index.js";
import type { Clock, Fingerprint } from "../../types/index.js";
import type { BackendServerEnd } from "./crashWatch.js";

/** Where a change came from: this gateway, another one, the platform's log, or the age of what was known. */
export type EvidenceSource = "local" | "gateway" | "log" | "expiry";

/** Change of what a gateway believes of a request. */
export interface StandingChange {
    readonly fingerprint: Fingerprint;
    readonly change: "condemned" | "cleared";
    readonly source: EvidenceSource;
    /** True if this gateway has seen one of the crashes itself. */
    readonly isWitness: boolean;
}

/** What a gateway knows of requests that crash backend servers. */
export interface CrashKnowledge {
    readStanding(fingerprint: Fingerprint): SuspectStanding;
    /** False if a failed request is not to be sent on at once, since one more crash would condemn it. */
    mayRepeat(fingerprint: Fingerprint): boolean;
    recordEnd(end: BackendServerEnd): void;
    /** Records that a backend server has begun to answer a request. */
    recordAnswer(fingerprint: Fingerprint): void;
    merge(shared: SharedEvidence, source: EvidenceSource): void;
    /** All that others may need to know. */
    share(): SharedEvidence;
    /** What was learnt since the last call, for others to be told. */
    takeNews(): SharedEvidence;
    /** Text by which two gateways notice that they know different things; empty if no crash is known. */
    digest(): string;
    /** Crashes that a request was in progress in. */
    listCrashes(fingerprint: Fingerprint): readonly CrashRow[];
    listCondemned(): readonly Fingerprint[];
    /** Forgets what is too old; called at short intervals. */
    expire(): void;
    /** Called when there is news that others are to be told. */
    onNews(listener: () => void): void;
    onStandingChange(listener: (change: StandingChange) => void): void;
}

/** Dependencies of {@link createCrashKnowledge}. */
export interface CrashKnowledgeInput {
    readonly options: CrashEvidenceOptions;
    readonly clock: Clock;
    readonly logger: Logger;
}

/**
 * Creates the knowledge of a gateway that has seen no crash.
 *
 * @param input - options, clock and log
 * @returns the knowledge
 */
export function createCrashKnowledge({ clock, logger, options }: CrashKnowledgeInput): CrashKnowledge {
    const evidence = createCrashEvidence(options);
    const newsListeners: (() => void)[] = [];
    const changeListeners: ((change: StandingChange) => void)[] = [];
    const news = { crashIds: new Set<string>(), answered: new Set<Fingerprint>() };
    const witnessed = new Set<string>();
    let condemned: ReadonlySet<Fingerprint> = new Set();

    function listCondemned(): Fingerprint[] {
        return [...evidence.suspects].filter(([, suspect]) => suspect.condemned).map(([fingerprint]) => fingerprint);
    }

    function listCrashes(fingerprint: Fingerprint): CrashRow[] {
        return [...evidence.crashes.values()].filter(({ fingerprints }) => fingerprints.has(fingerprint));
    }

    function announce(change: Omit<StandingChange, "isWitness">): void {
        const crashes = listCrashes(change.fingerprint);
        logger.warn({
            fingerprint: change.fingerprint,
            change: change.change,
            source: change.source,
            crashes: crashes.length,
            crashIds: crashes.map(({ crashId }) => crashId).join(","),
            ageMilliseconds: Math.round(clock.monotonic() - Math.min(...crashes.map(({ at }) => at))),
        }, "standing of a request changed");
        const isWitness = crashes.some(({ crashId }) => witnessed.has(crashId));
        changeListeners.forEach(listener => listener({ ...change, isWitness }));
    }

    function noteChanges(source: EvidenceSource): void {
        const current = new Set(listCondemned());
        const former = condemned;
        condemned = current;
        for (const fingerprint of current) {
            if (!former.has(fingerprint)) {
                announce({ fingerprint, change: "condemned", source });
            }
        }
        for (const fingerprint of former) {
            if (!current.has(fingerprint)) {
                announce({ fingerprint, change: "cleared", source });
            }
        }
    }

    function apply({ answered, crashIds }: EvidenceNews, source: EvidenceSource): void {
        if (answered.length === 0 && crashIds.length === 0) {
            return;
        }
        answered.forEach(fingerprint => news.answered.add(fingerprint));
        crashIds.forEach(crashId => news.crashIds.add(crashId));
        noteChanges(source);
        newsListeners.forEach(listener => listener());
    }

    return {
        readStanding: fingerprint => readCrashStanding(evidence, fingerprint, clock.monotonic()),
        mayRepeat: fingerprint => mayRepeatAfterCrash(evidence, fingerprint),
        recordEnd: ({ crashId, fingerprints }) => {
            witnessed.add(crashId);
            apply(recordCrash(evidence, crashId, fingerprints, clock.monotonic()), "local");
        },
        recordAnswer: fingerprint => apply(recordAnswer(evidence, fingerprint, clock.monotonic()), "local"),
        merge: (shared, source) => apply(mergeEvidence(evidence, shared, clock.monotonic()), source),
        share: () => exportEvidence(evidence, clock.monotonic()),
        takeNews: () => {
            const taken = { crashIds: [...news.crashIds], answered: [...news.answered] };
            news.crashIds.clear();
            news.answered.clear();
            return exportEvidence(evidence, clock.monotonic(), taken);
        },
        digest: () => digestEvidence(evidence),
        listCrashes,
        listCondemned: () => [...condemned],
        expire: () => {
            expireEvidence(evidence, clock.monotonic());
            [...witnessed].filter(crashId => !evidence.crashes.has(crashId))
                .forEach(crashId => witnessed.delete(crashId));
            if (condemned.size > 0) {
                noteChanges("expiry");
            }
        },
        onNews: listener => void newsListeners.push(listener),
        onStandingChange: listener => void changeListeners.push(listener),
    };
}

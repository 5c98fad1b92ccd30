import type { Logger } from "pino";
import {
    type CrashEvidenceOptions,
    type CrashRow,
    createCrashEvidence,
    digestEvidence,
    type EvidenceDelta,
    expireEvidence,
    exportEvidence,
    hasRivalParts,
    isPartFingerprint,
    mayCrashBeforeAnswer,
    mayRepeatAfterCrash,
    mergeEvidence,
    readCrashStanding,
    recordAnswer,
    recordCrash,
    type RequestCauses,
    type SharedEvidence,
    type SuspectStanding,
} from "../../../runtime/retry/index.js";
import type { Clock, Fingerprint } from "../../../types/index.js";
import type { ObservedCrash } from "./crashWatch.js";

/** Origin of a change: this gateway, another one, the platform's log, or the expiry of old evidence. */
export type EvidenceSource = "local" | "gateway" | "log" | "expiry";

/** Whether a request or a part of its prompt crashes backend servers. */
export type CrashCause = "request" | "prompt-part";

/** Change of the standing of a request, or of a part of prompts, at a gateway. */
export interface StandingChange {
    readonly fingerprint: Fingerprint;
    readonly change: "condemned" | "cleared";
    readonly source: EvidenceSource;
    /** True if this gateway itself observed one of the crashes. */
    readonly isWitness: boolean;
}

/** Evidence that a gateway has about requests that crash backend servers. */
export interface CrashEvidenceStore {
    /** Reads how a request has to be treated: the strictest of its own standing and those of its parts. */
    readStanding(request: RequestCauses): SuspectStanding;
    /** Finds the part of its prompt because of which a request is refused; undefined if there is none. */
    readonly findCrashingPart: (request: RequestCauses) => Fingerprint | undefined;
    /** Returns true if a part of the prompt crashes backend servers, while it is not known which one. */
    hasRivalParts(request: RequestCauses): boolean;
    /** Lists the parts of a prompt that may have crashed backend servers before they began to answer. */
    listHoldingParts(request: RequestCauses): readonly Fingerprint[];
    /**
     * Returns false if a failed request must not be retried at once, since one more crash would condemn it or a part of
     * its prompt.
     */
    mayRepeat(request: RequestCauses): boolean;
    recordObservedCrash(end: ObservedCrash): void;
    /** Records that a backend server has answered a request, or one with each of the parts, completely. */
    recordAnswer(fingerprints: readonly Fingerprint[]): void;
    merge(shared: SharedEvidence, source: EvidenceSource): void;
    /** Exports all evidence for other gateways. */
    share(): SharedEvidence;
    /** Exports the evidence that is new since the last call. */
    takeDelta(): SharedEvidence;
    /** Computes the digest by which two gateways detect that they differ; empty if no crash is known. */
    digest(): string;
    /** Lists the crashes during which a request, or one with a part of a prompt, was in progress. */
    listCrashes(fingerprint: Fingerprint): readonly CrashRow[];
    listCondemned(): readonly Fingerprint[];
    /** Removes expired evidence; called at short intervals. */
    expire(): void;
    /** Registers a listener that is called when there is new evidence for other gateways. */
    onDelta(listener: () => void): void;
    onStandingChange(listener: (change: StandingChange) => void): void;
}

/** Dependencies of {@link createCrashEvidenceStore}. */
export interface CrashEvidenceStoreInput {
    readonly options: CrashEvidenceOptions;
    readonly clock: Clock;
    readonly logger: Logger;
}

const strictestFirst: readonly SuspectStanding[] = ["condemned", "suspect"];

/**
 * Tells what a fingerprint stands for.
 *
 * @param fingerprint - fingerprint in evidence
 * @returns whether it is a request or a part of a prompt
 */
export function describeCause(fingerprint: Fingerprint): CrashCause {
    return isPartFingerprint(fingerprint) ? "prompt-part" : "request";
}

function listCauses({ fingerprint, partFingerprints = [] }: RequestCauses): readonly Fingerprint[] {
    return [fingerprint, ...partFingerprints];
}

/**
 * Creates a store without evidence.
 *
 * @param input - options, clock and log
 * @returns the store
 */
export function createCrashEvidenceStore({ clock, logger, options }: CrashEvidenceStoreInput): CrashEvidenceStore {
    const evidence = createCrashEvidence(options);
    const deltaListeners: (() => void)[] = [];
    const changeListeners: ((change: StandingChange) => void)[] = [];
    const delta = { crashIds: new Set<string>(), answered: new Set<Fingerprint>() };
    const witnessedCrashIds = new Set<string>();
    let condemned: ReadonlySet<Fingerprint> = new Set();

    function listCondemned(): Fingerprint[] {
        return [...evidence.suspects].filter(([, suspect]) => suspect.condemned).map(([fingerprint]) => fingerprint);
    }

    function listCrashes(fingerprint: Fingerprint): CrashRow[] {
        return [...evidence.crashes.values()].filter(({ fingerprints }) => fingerprints.has(fingerprint));
    }

    function reportChange(change: Omit<StandingChange, "isWitness">): void {
        const crashes = listCrashes(change.fingerprint);
        logger.warn({
            fingerprint: change.fingerprint,
            cause: describeCause(change.fingerprint),
            change: change.change,
            source: change.source,
            crashes: crashes.length,
            crashIds: crashes.map(({ crashId }) => crashId).join(","),
            ageMilliseconds: Math.round(clock.monotonic() - Math.min(...crashes.map(({ at }) => at))),
        }, "standing of a request changed");
        const isWitness = crashes.some(({ crashId }) => witnessedCrashIds.has(crashId));
        changeListeners.forEach(listener => listener({ ...change, isWitness }));
    }

    function detectChanges(source: EvidenceSource): void {
        const current = new Set(listCondemned());
        const former = condemned;
        condemned = current;
        for (const fingerprint of current) {
            if (!former.has(fingerprint)) {
                reportChange({ fingerprint, change: "condemned", source });
            }
        }
        for (const fingerprint of former) {
            if (!current.has(fingerprint)) {
                reportChange({ fingerprint, change: "cleared", source });
            }
        }
    }

    function apply({ answered, crashIds }: EvidenceDelta, source: EvidenceSource): void {
        if (answered.length === 0 && crashIds.length === 0) {
            return;
        }
        answered.forEach(fingerprint => delta.answered.add(fingerprint));
        crashIds.forEach(crashId => delta.crashIds.add(crashId));
        detectChanges(source);
        deltaListeners.forEach(listener => listener());
    }

    function findStanding(request: RequestCauses, standing: SuspectStanding): Fingerprint | undefined {
        if (evidence.suspects.size === 0) {
            return undefined;
        }
        const now = clock.monotonic();
        return listCauses(request).find(cause => readCrashStanding(evidence, cause, now) === standing);
    }

    function listSuspectParts({ partFingerprints = [] }: RequestCauses): readonly Fingerprint[] {
        return evidence.suspects.size === 0 ? [] : partFingerprints.filter(part => evidence.suspects.has(part));
    }

    return {
        readStanding: request =>
            strictestFirst.find(standing => findStanding(request, standing) !== undefined) ?? "clear",
        findCrashingPart: request => {
            const found = findStanding(request, "condemned") ?? listSuspectParts(request)[0];
            return found === request.fingerprint ? undefined : found;
        },
        hasRivalParts: request => hasRivalParts(evidence, listSuspectParts(request)),
        listHoldingParts: request => listSuspectParts(request).filter(part => mayCrashBeforeAnswer(evidence, part)),
        mayRepeat: request =>
            evidence.suspects.size === 0 || listCauses(request).every(cause => mayRepeatAfterCrash(evidence, cause)),
        recordObservedCrash: ({ crashId, events, fingerprints }) => {
            witnessedCrashIds.add(crashId);
            apply(recordCrash(evidence, crashId, fingerprints, clock.monotonic(), events), "local");
        },
        recordAnswer: fingerprints => apply(recordAnswer(evidence, fingerprints, clock.monotonic()), "local"),
        merge: (shared, source) => apply(mergeEvidence(evidence, shared, clock.monotonic()), source),
        share: () => exportEvidence(evidence, clock.monotonic()),
        takeDelta: () => {
            const taken = { crashIds: [...delta.crashIds], answered: [...delta.answered] };
            delta.crashIds.clear();
            delta.answered.clear();
            return exportEvidence(evidence, clock.monotonic(), taken);
        },
        digest: () => digestEvidence(evidence),
        listCrashes,
        listCondemned: () => [...condemned],
        expire: () => {
            expireEvidence(evidence, clock.monotonic());
            [...witnessedCrashIds].filter(crashId => !evidence.crashes.has(crashId))
                .forEach(crashId => witnessedCrashIds.delete(crashId));
            if (condemned.size > 0) {
                detectChanges("expiry");
            }
        },
        onDelta: listener => void deltaListeners.push(listener),
        onStandingChange: listener => void changeListeners.push(listener),
    };
}

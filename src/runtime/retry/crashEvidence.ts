import type { Fingerprint, Milliseconds } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";
import { judgeCrashes } from "./judgeCrashes.js";
import type {
    CrashEvidence,
    CrashEvidenceOptions,
    CrashRow,
    EvidenceNews,
    SharedCrash,
    SharedEvidence,
    SuspectStanding,
} from "./types.js";

const noNews: EvidenceNews = { crashIds: [], answered: [] };
/** Crashes of which one message tells. */
const maximumSharedCrashes = 256;

/**
 * Creates evidence that knows of no crash.
 *
 * @param options - bounds and durations
 * @returns the evidence
 */
export function createCrashEvidence(options: CrashEvidenceOptions): CrashEvidence {
    return { crashes: new Map(), answers: new Map(), suspects: new Map(), options };
}

function judge(evidence: CrashEvidence): void {
    evidence.suspects.clear();
    for (const [fingerprint, suspect] of judgeCrashes(evidence)) {
        evidence.suspects.set(fingerprint, suspect);
    }
}

function supportsCondemnation({ suspects }: CrashEvidence, { fingerprints }: CrashRow): boolean {
    return [...fingerprints].some(fingerprint => suspects.get(fingerprint)?.condemned === true);
}

function countFingerprints({ crashes }: CrashEvidence): number {
    return [...crashes.values()].reduce((sum, { fingerprints }) => sum + fingerprints.size, 0);
}

/** Drops the oldest crashes beyond the bound; those under which a request is condemned go last. */
function dropExcess(evidence: CrashEvidence): void {
    const { crashes, options } = evidence;
    while (countFingerprints(evidence) > options.maximumSuspects && crashes.size > 1) {
        const rows = [...crashes.values()].sort((left, right) => left.touchedAt - right.touchedAt);
        const dropped = rows.find(row => !supportsCondemnation(evidence, row)) ?? rows[0]!;
        crashes.delete(dropped.crashId);
    }
}

/** Returns true if the crash or one of the fingerprints was not known. */
function mergeCrash({ crashes }: CrashEvidence, row: CrashRow): boolean {
    const known = crashes.get(row.crashId);
    if (known === undefined) {
        crashes.set(row.crashId, { ...row, fingerprints: new Set(row.fingerprints) });
        return true;
    }
    const before = known.fingerprints.size;
    row.fingerprints.forEach(fingerprint => known.fingerprints.add(fingerprint));
    known.touchedAt = Math.max(known.touchedAt, row.touchedAt);
    return known.fingerprints.size > before;
}

function listNamed({ crashes }: CrashEvidence): ReadonlySet<Fingerprint> {
    return new Set([...crashes.values()].flatMap(({ fingerprints }) => [...fingerprints]));
}

/** Forgets old answers, but not those to requests that a crash names: it would count against them again. */
function forgetAnswers(evidence: CrashEvidence, now: Milliseconds): void {
    const { answers, options } = evidence;
    const named = listNamed(evidence);
    for (const [fingerprint, at] of answers) {
        if (now - at <= options.answerMemory && answers.size <= options.maximumSuspects) {
            return;
        }
        if (!named.has(fingerprint)) {
            answers.delete(fingerprint);
        }
    }
}

/** Keeps the answers in the order of their time, so that the oldest one comes first. */
function storeAnswer({ answers }: CrashEvidence, fingerprint: Fingerprint, at: Milliseconds): void {
    answers.delete(fingerprint);
    answers.set(fingerprint, at);
}

/** Returns true for an answer that matters: its time is rounded on the way, so that the same one may look newer. */
function mergeAnswer(evidence: CrashEvidence, fingerprint: Fingerprint, at: Milliseconds): boolean {
    const known = evidence.answers.get(fingerprint);
    if (known !== undefined && at <= known) {
        return false;
    }
    storeAnswer(evidence, fingerprint, at);
    return known === undefined || at - known > evidence.options.answerMemory / 2;
}

/**
 * Records the end of a backend server.
 *
 * @param evidence - evidence to change
 * @param crashId - lifetime of the backend server; its end counts once, whoever reports it
 * @param fingerprints - requests without an answer that this process had in progress there
 * @param now - monotonic time
 * @returns what others are to be told
 */
export function recordCrash(
    evidence: CrashEvidence,
    crashId: string,
    fingerprints: readonly Fingerprint[],
    now: Milliseconds,
): EvidenceNews {
    const isNew = mergeCrash(evidence, { crashId, fingerprints: new Set(fingerprints), at: now, touchedAt: now });
    if (!isNew) {
        return noNews;
    }
    dropExcess(evidence);
    judge(evidence);
    return { crashIds: [crashId], answered: fingerprints.filter(fingerprint => evidence.answers.has(fingerprint)) };
}

/**
 * Records that a backend server has begun to answer a request.
 *
 * @param evidence - evidence to change
 * @param fingerprint - the request
 * @param now - monotonic time
 * @returns what others are to be told: the answer, if crashes were blamed on the request
 */
export function recordAnswer(evidence: CrashEvidence, fingerprint: Fingerprint, now: Milliseconds): EvidenceNews {
    storeAnswer(evidence, fingerprint, now);
    if (evidence.answers.size > evidence.options.maximumSuspects) {
        forgetAnswers(evidence, now);
    }
    if (!evidence.suspects.has(fingerprint)) {
        return noNews;
    }
    judge(evidence);
    return { crashIds: [], answered: [fingerprint] };
}

/**
 * Reads how a request has to be treated. The crashes of a condemned request are remembered for the full duration from then
 * on, so that a caller that keeps sending it causes no further crash.
 *
 * @param evidence - evidence; the age of the crashes of a condemned request is reset
 * @param fingerprint - the request
 * @param now - monotonic time
 * @returns the standing
 */
export function readCrashStanding(
    evidence: CrashEvidence,
    fingerprint: Fingerprint,
    now: Milliseconds,
): SuspectStanding {
    const suspect = evidence.suspects.get(fingerprint);
    if (suspect === undefined) {
        return "clear";
    }
    if (!suspect.condemned) {
        return "suspect";
    }
    for (const row of evidence.crashes.values()) {
        if (row.fingerprints.has(fingerprint)) {
            row.touchedAt = now;
        }
    }
    return "condemned";
}

/**
 * Decides whether a request whose backend server has ended may be sent to another one at once. The last crash before it
 * is condemned is left to a caller that sends it again.
 *
 * @param evidence - evidence
 * @param fingerprint - the request
 * @returns false if one more crash would condemn the request
 */
export function mayRepeatAfterCrash({ options, suspects }: CrashEvidence, fingerprint: Fingerprint): boolean {
    const suspect = suspects.get(fingerprint);
    return suspect === undefined || (!suspect.condemned && suspect.crashes + 1 < options.maximumCrashes);
}

/**
 * Lists what others need to know.
 *
 * @param evidence - evidence
 * @param now - monotonic time
 * @param news - what is wanted; default: everything
 * @returns the crashes, newest first, and the answers to requests that were in progress in a crash
 */
export function exportEvidence(evidence: CrashEvidence, now: Milliseconds, news?: EvidenceNews): SharedEvidence {
    const { answers, crashes } = evidence;
    const rows = [...crashes.values()]
        .filter(({ crashId }) => news === undefined || news.crashIds.includes(crashId))
        .sort((left, right) => right.touchedAt - left.touchedAt)
        .slice(0, maximumSharedCrashes);
    return {
        crashes: rows.map(({ at, crashId, fingerprints, touchedAt }): SharedCrash => ({
            crashId,
            fingerprints: [...fingerprints],
            age: Math.max(0, now - at),
            touchedAge: Math.max(0, now - touchedAt),
        })),
        answers: (news?.answered ?? [...listNamed(evidence)]).flatMap(fingerprint => {
            const at = answers.get(fingerprint);
            return at === undefined ? [] : [{ fingerprint, age: Math.max(0, now - at) }];
        }),
    };
}

/**
 * Computes a text by which two processes notice that their evidence differs.
 *
 * @param evidence - evidence
 * @returns the same text for the same crashes, requests and answered requests; empty if no crash is known
 */
export function digestEvidence(evidence: CrashEvidence): string {
    if (evidence.crashes.size === 0) {
        return "";
    }
    const rows = [...evidence.crashes.values()].map(({ crashId, fingerprints }) => `${crashId}:${fingerprints.size}`);
    const answered = [...listNamed(evidence)].filter(fingerprint => evidence.answers.has(fingerprint));
    return computeDigest([...rows, ...answered].sort().join("\n"));
}

/**
 * Merges what another process knows. The order and the number of merges do not matter.
 *
 * @param evidence - evidence to change
 * @param shared - what the other process knows
 * @param now - monotonic time
 * @returns what others are to be told: what was not known here, and the answers known here to the requests of new crashes
 */
export function mergeEvidence(evidence: CrashEvidence, shared: SharedEvidence, now: Milliseconds): EvidenceNews {
    const crashIds: string[] = [];
    const answered = new Set<Fingerprint>();
    for (const { age, crashId, fingerprints, touchedAge } of shared.crashes) {
        if (touchedAge > evidence.options.condemnedDuration) {
            continue;
        }
        const row = { crashId, fingerprints: new Set(fingerprints), at: now - age, touchedAt: now - touchedAge };
        if (mergeCrash(evidence, row)) {
            crashIds.push(crashId);
            fingerprints.filter(fingerprint => evidence.answers.has(fingerprint))
                .forEach(fingerprint => answered.add(fingerprint));
        }
    }
    for (const { age, fingerprint } of shared.answers) {
        if (mergeAnswer(evidence, fingerprint, now - age)) {
            answered.add(fingerprint);
        }
    }
    if (crashIds.length > 0 || answered.size > 0) {
        dropExcess(evidence);
        judge(evidence);
    }
    return { crashIds, answered: [...answered] };
}

/**
 * Forgets what is too old to count.
 *
 * @param evidence - evidence to change
 * @param now - monotonic time
 */
export function expireEvidence(evidence: CrashEvidence, now: Milliseconds): void {
    const { crashes, options } = evidence;
    forgetAnswers(evidence, now);
    const expired = [...crashes.values()].filter(row =>
        now - row.touchedAt >
            (supportsCondemnation(evidence, row) ? options.condemnedDuration : options.suspicionDuration)
    );
    if (expired.length > 0) {
        expired.forEach(({ crashId }) => crashes.delete(crashId));
        judge(evidence);
    }
}

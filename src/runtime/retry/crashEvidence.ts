import type { Fingerprint, Milliseconds } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";
import { dropSingleParts, sampleParts } from "./excessParts.js";
import { findCrashSuspects, isRuledOut, listPossibleCrashes, readAnswerMemory } from "./findCrashSuspects.js";
import { isPartFingerprint } from "./promptParts.js";
import type {
    CrashEvidence,
    CrashEvidenceOptions,
    CrashRow,
    EvidenceDelta,
    SharedCrash,
    SharedEvidence,
} from "./types.js";

const nothingToShare: EvidenceDelta = { crashIds: [], answered: [] };
/** Most crashes in one message to another process. */
const maximumSharedCrashes = 256;

/**
 * Creates empty evidence.
 *
 * @param options - bounds and durations
 * @returns the evidence
 */
export function createCrashEvidence(options: CrashEvidenceOptions): CrashEvidence {
    return { crashes: new Map(), answers: new Map(), suspects: new Map(), options };
}

function updateSuspects(evidence: CrashEvidence): void {
    evidence.suspects.clear();
    for (const [fingerprint, suspect] of findCrashSuspects(evidence)) {
        evidence.suspects.set(fingerprint, suspect);
    }
}

function involvesCondemned({ suspects }: CrashEvidence, { fingerprints }: CrashRow): boolean {
    return [...fingerprints].some(fingerprint => suspects.get(fingerprint)?.condemned === true);
}

/** Tells whether a crash counts against what is condemned, or against parts that are held back as rivals. */
function involvesVerdict({ suspects }: CrashEvidence, { fingerprints }: CrashRow): boolean {
    return [...fingerprints].map(fingerprint => suspects.get(fingerprint)).some(suspect =>
        suspect?.condemned === true || suspect?.rivals !== undefined
    );
}

function countFingerprints({ crashes }: CrashEvidence): number {
    return [...crashes.values()].reduce((sum, { fingerprints }) => sum + fingerprints.size, 0);
}

/**
 * Drops parts of prompts that were in one crash only, and then the oldest crashes, while more than `maximumSuspects`
 * fingerprints are stored. Crashes that involve a condemned request are dropped last.
 */
function dropExcess(evidence: CrashEvidence): void {
    const { crashes, options } = evidence;
    const excess = countFingerprints(evidence) - options.maximumSuspects;
    if (excess > 0) {
        dropSingleParts([...crashes.values()], excess);
    }
    while (countFingerprints(evidence) > options.maximumSuspects && crashes.size > 1) {
        const rows = [...crashes.values()].sort((left, right) => left.touchedAt - right.touchedAt);
        const dropped = rows.find(row => !involvesCondemned(evidence, row)) ?? rows[0]!;
        crashes.delete(dropped.crashId);
    }
}

/** Merges numbers of events. Returns true if an answer had gone further than was known. */
function mergeEvents(known: Map<Fingerprint, number>, events: ReadonlyMap<Fingerprint, number>): boolean {
    let isFurther = false;
    for (const [fingerprint, count] of events) {
        if (count > (known.get(fingerprint) ?? 0)) {
            known.set(fingerprint, count);
            isFurther = true;
        }
    }
    return isFurther;
}

/** Selects the answers that had begun to one of the fingerprints. */
function selectEvents(
    events: ReadonlyMap<Fingerprint, number>,
    fingerprints: ReadonlySet<Fingerprint>,
): Map<Fingerprint, number> {
    return new Map([...events].filter(([fingerprint, count]) => count > 0 && fingerprints.has(fingerprint)));
}

/** Merges a crash into the evidence. Returns true if the crash or something of it was not known. */
function mergeCrash({ crashes }: CrashEvidence, row: CrashRow): boolean {
    const known = crashes.get(row.crashId);
    if (known === undefined) {
        crashes.set(row.crashId, {
            ...row,
            fingerprints: new Set(row.fingerprints),
            events: new Map(row.events),
        });
        return true;
    }
    const before = known.fingerprints.size;
    const isFurther = mergeEvents(known.events, row.events);
    row.fingerprints.forEach(fingerprint => known.fingerprints.add(fingerprint));
    known.at = Math.min(known.at, row.at);
    known.touchedAt = Math.max(known.touchedAt, row.touchedAt);
    return isFurther || known.fingerprints.size > before;
}

/** Lists the requests that were in progress in any crash. */
function listImplicated({ crashes }: CrashEvidence): ReadonlySet<Fingerprint> {
    return new Set([...crashes.values()].flatMap(({ fingerprints }) => [...fingerprints]));
}

/**
 * Forgets old answers, except those to requests that were in progress in a known crash: without the answer, the crash
 * would count against the request again.
 */
function forgetAnswers(evidence: CrashEvidence, now: Milliseconds): void {
    const { answers, options } = evidence;
    const implicated = listImplicated(evidence);
    for (const [fingerprint, at] of answers) {
        if (now - at <= options.answerMemory && answers.size <= options.maximumSuspects) {
            return;
        }
        if (!implicated.has(fingerprint)) {
            answers.delete(fingerprint);
        }
    }
}

/** Stores an answer as the last entry of the map, so that the oldest answer comes first. */
function storeAnswer({ answers }: CrashEvidence, fingerprint: Fingerprint, at: Milliseconds): void {
    answers.delete(fingerprint);
    answers.set(fingerprint, at);
}

/**
 * Stores an answer that another process reported. Returns true if it has to be shared further. Ages are rounded in
 * transit, so an answer that is only slightly later and rules out nothing more may be the one that is known already.
 */
function mergeAnswer(evidence: CrashEvidence, fingerprint: Fingerprint, at: Milliseconds): boolean {
    const known = evidence.answers.get(fingerprint);
    if (known !== undefined && at <= known) {
        return false;
    }
    const possibleCrashes = evidence.suspects.has(fingerprint) ? listPossibleCrashes(evidence, fingerprint) : [];
    storeAnswer(evidence, fingerprint, at);
    return known === undefined || at - known > readAnswerMemory(evidence, fingerprint) / 2 ||
        possibleCrashes.some(row => isRuledOut(evidence, fingerprint, row));
}

/**
 * Records the crash of a backend server.
 *
 * @param evidence - evidence to change
 * @param crashId - identifier of the server's lifetime, from its start to its crash; a crash that several processes
 * report counts once
 * @param fingerprints - requests without a complete answer that this process had in progress on the server, and the
 * shared parts of their prompts; parts that an answer rules out are left out
 * @param now - monotonic time
 * @param events - number of events that had arrived of each answer that had begun, the longest one for a part. Default:
 * none had.
 * @returns the part of the evidence to share with other processes
 */
export function recordCrash(
    evidence: CrashEvidence,
    crashId: string,
    fingerprints: readonly Fingerprint[],
    now: Milliseconds,
    events: ReadonlyMap<Fingerprint, number> = new Map(),
): EvidenceDelta {
    const notRuledOut = fingerprints.filter(fingerprint =>
        !isPartFingerprint(fingerprint) || !isRuledOut(evidence, fingerprint, { at: now })
    );
    const { maximumSuspects } = evidence.options;
    const possible = sampleParts(crashId, notRuledOut, maximumSuspects, part => evidence.suspects.has(part));
    const causes = new Set(possible);
    const row: CrashRow = {
        crashId,
        fingerprints: causes,
        events: selectEvents(events, causes),
        at: now,
        touchedAt: now,
    };
    if (possible.length === 0 || !mergeCrash(evidence, row)) {
        return nothingToShare;
    }
    dropExcess(evidence);
    updateSuspects(evidence);
    return { crashIds: [crashId], answered: possible.filter(fingerprint => evidence.answers.has(fingerprint)) };
}

/**
 * Records that a backend server has answered a request completely. The begin of an answer proves nothing: the backend
 * server may crash at any place of it.
 *
 * @param evidence - evidence to change
 * @param fingerprints - the request, and the shared parts of its prompt
 * @param now - monotonic time
 * @returns the part of the evidence to share with other processes: the answers of those that were suspects
 */
export function recordAnswer(
    evidence: CrashEvidence,
    fingerprints: readonly Fingerprint[],
    now: Milliseconds,
): EvidenceDelta {
    fingerprints.forEach(fingerprint => storeAnswer(evidence, fingerprint, now));
    if (evidence.answers.size > evidence.options.maximumSuspects) {
        forgetAnswers(evidence, now);
    }
    const answered = fingerprints.filter(fingerprint => evidence.suspects.has(fingerprint));
    if (answered.length === 0) {
        return nothingToShare;
    }
    updateSuspects(evidence);
    return { crashIds: [], answered };
}

/**
 * Exports evidence for other processes.
 *
 * @param evidence - evidence
 * @param now - monotonic time
 * @param toShare - the part to export. Default: all crashes, and the answers to requests that were in progress in them.
 * @returns the crashes, most recently used first, and the answers, with ages instead of times
 */
export function exportEvidence(evidence: CrashEvidence, now: Milliseconds, toShare?: EvidenceDelta): SharedEvidence {
    const { answers, crashes } = evidence;
    const rows = [...crashes.values()]
        .filter(({ crashId }) => toShare === undefined || toShare.crashIds.includes(crashId))
        .sort((left, right) => right.touchedAt - left.touchedAt)
        .slice(0, maximumSharedCrashes);
    return {
        crashes: rows.map(({ at, crashId, events, fingerprints, touchedAt }): SharedCrash => ({
            crashId,
            fingerprints: [...fingerprints],
            events: new Map(events),
            age: Math.max(0, now - at),
            touchedAge: Math.max(0, now - touchedAt),
        })),
        answers: (toShare?.answered ?? [...listImplicated(evidence)]).flatMap(fingerprint => {
            const at = answers.get(fingerprint);
            return at === undefined ? [] : [{ fingerprint, age: Math.max(0, now - at) }];
        }),
    };
}

/**
 * Computes a digest by which two processes detect that their evidence differs.
 *
 * @param evidence - evidence
 * @returns the same digest for the same crashes with the same numbers of possible causes and the same answered requests;
 * empty if no crash is known
 */
export function digestEvidence(evidence: CrashEvidence): string {
    if (evidence.crashes.size === 0) {
        return "";
    }
    const rows = [...evidence.crashes.values()].map(row => {
        const possible = [...row.fingerprints].filter(fingerprint => !isRuledOut(evidence, fingerprint, row));
        const events = [...row.events.values()].reduce((sum, count) => sum + count, 0);
        return `${row.crashId}:${row.fingerprints.size}:${events}:${possible.length}`;
    });
    const answered = [...listImplicated(evidence)].filter(fingerprint => evidence.answers.has(fingerprint));
    return computeDigest([...rows, ...answered].sort().join("\n"));
}

/**
 * Merges the evidence of another process. The order and the number of merges do not matter.
 *
 * @param evidence - evidence to change
 * @param shared - evidence of the other process
 * @param now - monotonic time
 * @returns the part of the evidence to share with other processes: what was not known here, and the answers known here
 * to the requests of new crashes
 */
export function mergeEvidence(evidence: CrashEvidence, shared: SharedEvidence, now: Milliseconds): EvidenceDelta {
    const crashIds: string[] = [];
    const answered = new Set<Fingerprint>();
    const { condemnedDuration } = evidence.options;
    for (const { age, crashId, events = new Map(), fingerprints: sharedFingerprints, touchedAge } of shared.crashes) {
        const fingerprints = age > condemnedDuration ?
            sharedFingerprints.filter(fingerprint => !isPartFingerprint(fingerprint)) :
            sharedFingerprints;
        if (touchedAge > condemnedDuration || fingerprints.length === 0) {
            continue;
        }
        const causes = new Set(fingerprints);
        const row: CrashRow = {
            crashId,
            fingerprints: causes,
            events: selectEvents(events, causes),
            at: now - age,
            touchedAt: now - touchedAge,
        };
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
        updateSuspects(evidence);
    }
    return { crashIds, answered: [...answered] };
}

/** Removes the parts of prompts from crashes that no longer count against them. Returns true if there were any. */
function forgetOldParts({ crashes, options }: CrashEvidence, now: Milliseconds): boolean {
    const oldParts = [...crashes.values()].filter(({ at }) => now - at > options.condemnedDuration).flatMap(row =>
        [...row.fingerprints].filter(isPartFingerprint).map(fingerprint => ({ row, fingerprint }))
    );
    oldParts.forEach(({ fingerprint, row }) => {
        row.fingerprints.delete(fingerprint);
        row.events.delete(fingerprint);
    });
    return oldParts.length > 0;
}

/**
 * Removes crashes and answers that have expired.
 *
 * @param evidence - evidence to change
 * @param now - monotonic time
 */
export function expireEvidence(evidence: CrashEvidence, now: Milliseconds): void {
    const { crashes, options } = evidence;
    forgetAnswers(evidence, now);
    let changed = forgetOldParts(evidence, now);
    const expired = [...crashes.values()].filter(row =>
        row.fingerprints.size === 0 || now - row.touchedAt >
            (involvesVerdict(evidence, row) ? options.condemnedDuration : options.suspicionDuration)
    );
    expired.forEach(({ crashId }) => crashes.delete(crashId));
    changed ||= expired.length > 0;
    if (changed) {
        updateSuspects(evidence);
    }
}

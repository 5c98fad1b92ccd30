// Models the placement of copies through records in the log, holds and replacement (sections 6 and 7 of
// docs/design.md). A hold is a lease: an agent serves its copy only while it has one. It is renewed by reads of the log
// and, during an outage of the log, by a majority of witnesses. There is one deployment with one wanted copy. Each
// module at the end of the file disables one guard or none; see README.md.

module placement {
    /// Name of the disabled guard; "none" for the complete design.
    const DISABLED_GUARD: str

    /// Number of wanted copies.
    pure val WANTED = 1
    /// Duration of a hold. All times are in the same abstract unit.
    pure val HOLD = 8
    /// Time to wait in addition to HOLD before a hold counts as expired.
    pure val MARGIN = 1
    pure val NEVER = -100
    pure val FOREVER = 10000
    pure val AGENTS = Set("a", "b")
    /// Entry instances, which are also the witnesses.
    pure val ENTRIES = Set("e1", "e2", "e3")
    /// Entry instances that append placement records.
    pure val PROPOSERS = Set("e1", "e2")

    /// epoch is the offset of the record that assigned the copy, revokedAt that of the one that revoked it, 0 while the
    /// copy is assigned.
    type Copy = { epoch: int, revokedAt: int }
    /// State after a record: the copies by agent. offset is that of the newest accepted record.
    type Row = { offset: int, copies: str -> Copy }
    /// An entry instance has applied the first `applied` records and knew the current state of the log at knownAt. As a
    /// proposer, it found at confirmedAt that a majority had applied the revocation at offset confirmedRevocation.
    type Entry = { applied: int, knownAt: int, startedAt: int, confirmedRevocation: int, confirmedAt: int }
    /// answers has, for each witness, the time of its last answer if that reported an outage, otherwise NEVER. While
    /// lapsed is true, witnesses cannot give the agent a hold, only newer knowledge of the log can. No hold lasts
    /// beyond holdLimit. loaded tells whether the engine has loaded the copy.
    type Agent = { applied: int, knownAt: int, startedAt: int, answers: str -> int, lapsed: bool, holdLimit: int,
        loaded: bool }

    var now: int
    /// State after each record in the log, accepted or not. A process that has applied n records knows rows[n].
    var rows: List[Row]
    /// Processes on the other side of a network partition than the log and the remaining processes. It may heal.
    var cutOff: Set[str]
    var entries: str -> Entry
    var agents: str -> Agent
    /// True once an accepted record brought back a copy that an earlier record had removed or revoked.
    var reverted: bool

    def isEnabled(guard) = DISABLED_GUARD != guard
    pure def isMajority(witnesses) = 2 * witnesses.size() > ENTRIES.size()
    def newest = rows[rows.length() - 1]
    def lastApplied = rows.length() - 1
    def isAssigned(id, applied) = and {
        rows[applied].copies.keys().contains(id),
        rows[applied].copies.get(id).revokedAt == 0,
    }
    pure def maximum(left, right) = if (left > right) left else right
    pure def minimum(left, right) = if (left < right) left else right

    // ---- Holds ----

    /// Latest time at or after which a majority of the witnesses reported an outage: the median of three times.
    def outageConfirmedAt(agent) = {
        val time1 = agent.answers.get("e1")
        val time2 = agent.answers.get("e2")
        val time3 = agent.answers.get("e3")
        if (isEnabled("majority of witnesses")) maximum(minimum(time1, time2), minimum(time3, maximum(time1, time2)))
        else maximum(time1, maximum(time2, time3))
    }
    def heldUntil(agent) = {
        val logTime =
            if (isEnabled("knowledge since start") and agent.knownAt <= agent.startedAt) NEVER else agent.knownAt
        val outageTime = if (agent.lapsed) NEVER else outageConfirmedAt(agent)
        minimum(maximum(logTime, outageTime) + HOLD, agent.holdLimit)
    }
    /// Lets the hold lapse or begin. An agent without a hold unloads its copy at once; one with a hold loads a copy
    /// that is assigned to it.
    def updateHold(id, agent, time) = {
        val held = time < heldUntil(agent)
        agent.with("lapsed", not(held)).with("loaded", held and (agent.loaded or isAssigned(id, agent.applied)))
    }
    /// The agent applies records. Once it knows that its copy is revoked, its hold is no longer renewed.
    def applyRecords(id, agent, applied) = {
        val known = maximum(agent.applied, applied)
        val ended = isAssigned(id, agent.applied) and not(isAssigned(id, known))
        val begun = isAssigned(id, known) and
            (not(isAssigned(id, agent.applied)) or rows[known].copies.get(id) != rows[agent.applied].copies.get(id))
        agent.with("applied", known)
            .with("holdLimit", if (begun) FOREVER
                else if (ended and isEnabled("no renewal after revocation")) heldUntil(agent) else agent.holdLimit)
            .with("lapsed", agent.lapsed and not(begun and not(isEnabled("first hold from log"))))
    }

    // ---- Environment ----

    action keepLog = all { cutOff' = cutOff, rows' = rows, reverted' = reverted }
    /// Time passes, then some processes read the log. The others are partitioned or paused; none reads during an
    /// outage.
    action passTime = {
        nondet duration = Set(1, 2, 4).oneOf()
        nondet readers = AGENTS.union(ENTRIES).exclude(cutOff).powerset().oneOf()
        val time = now + duration
        all {
            now' = time,
            entries' = ENTRIES.mapBy(entry => if (readers.contains(entry))
                entries.get(entry).with("applied", lastApplied).with("knownAt", time) else entries.get(entry)),
            agents' = AGENTS.mapBy(id => {
                val agent = updateHold(id, agents.get(id), time)
                if (readers.contains(id))
                    updateHold(id, applyRecords(id, agent, lastApplied).with("knownAt", time), time)
                else agent
            }),
            keepLog,
        }
    }
    action healPartition = all {
        cutOff != Set(), cutOff' = Set(),
        now' = now, rows' = rows, entries' = entries, agents' = agents, reverted' = reverted,
    }
    /// Entry instances on the same side of the partition.
    def reachableEntries(id) = ENTRIES.filter(entry => cutOff.contains(id) == cutOff.contains(entry))
    /// An agent receives records, and the age of the knowledge of the log, from an entry instance.
    action followRelay = {
        nondet id = AGENTS.oneOf()
        nondet entry = reachableEntries(id).oneOf()
        val relay = entries.get(entry)
        val agent = applyRecords(id, agents.get(id), relay.applied)
        all {
            agents' = agents.set(id, updateHold(id, agent.with("knownAt", maximum(agent.knownAt, relay.knownAt)), now)),
            now' = now, entries' = entries, keepLog,
        }
    }
    /// An agent asks some witnesses, applies the records that they know and notes which of them report an outage of the
    /// log. A witness does so if it has not read the log for the duration of a hold.
    action askWitnesses = {
        nondet id = AGENTS.oneOf()
        nondet asked = reachableEntries(id).powerset().oneOf()
        val applied = asked.fold(0, (best, witness) => maximum(best, entries.get(witness).applied))
        def reports(witness) = now - entries.get(witness).knownAt >= HOLD and
            (now - entries.get(witness).startedAt >= HOLD or not(isEnabled("witness uptime")))
        val agent = applyRecords(id, agents.get(id), applied)
        val answers = ENTRIES.mapBy(witness =>
            if (asked.contains(witness)) { if (reports(witness)) now else NEVER } else agent.answers.get(witness))
        all {
            agents' = agents.set(id, updateHold(id, agent.with("answers", answers), now)),
            now' = now, entries' = entries, keepLog,
        }
    }
    /// An entry instance restarts and copies the state of a peer, which may be behind.
    action restartEntry = {
        nondet entry = ENTRIES.oneOf()
        nondet peer = reachableEntries(entry).exclude(Set(entry)).oneOf()
        all {
            entries' = entries.set(entry,
                { ...entries.get(peer), startedAt: now, confirmedRevocation: 0, confirmedAt: NEVER }),
            now' = now, agents' = agents, keepLog,
        }
    }
    /// An agent restarts and copies the state of an entry instance, which may be behind.
    action restartAgent = {
        nondet id = AGENTS.oneOf()
        nondet peer = reachableEntries(id).oneOf()
        val newAgent = { applied: entries.get(peer).applied, knownAt: entries.get(peer).knownAt, startedAt: now,
            answers: ENTRIES.mapBy(witness => NEVER), lapsed: isEnabled("first hold from log"), holdLimit: FOREVER,
            loaded: false }
        all {
            agents' = agents.set(id, updateHold(id, newAgent, now)),
            now' = now, entries' = entries, keepLog,
        }
    }
    /// An agent unloads its copy after it has learned of the revocation and finished its requests.
    action unload = {
        nondet id = AGENTS.oneOf()
        all {
            agents.get(id).loaded, not(isAssigned(id, agents.get(id).applied)),
            agents' = agents.set(id, agents.get(id).with("loaded", false)),
            now' = now, entries' = entries, keepLog,
        }
    }

    // ---- Proposers. Each acts on the state that it has applied, which is stale if it is paused or cut off. ----

    /// Appends a record, which is accepted only if its base is the newest accepted record. The answer of the log is
    /// lost; the proposer learns the outcome by reading the log. In `copies`, epoch 0 and a negative revokedAt stand
    /// for the offset of this record.
    action appendRecord(proposer, base, copies) = {
        val offset = rows.length()
        val isAccepted = base == newest.offset or not(isEnabled("base check"))
        val filled = copies.keys().mapBy(id => {
            val copy = copies.get(id)
            { epoch: if (copy.epoch == 0) offset else copy.epoch,
                revokedAt: if (copy.revokedAt < 0) offset else copy.revokedAt }
        })
        val returns = filled.keys().exists(id => {
            val copy = filled.get(id)
            copy.epoch != offset and (not(newest.copies.keys().contains(id)) or
                newest.copies.get(id).epoch != copy.epoch or
                (copy.revokedAt == 0 and newest.copies.get(id).revokedAt != 0))
        })
        all {
            not(cutOff.contains(proposer)), cutOff' = cutOff,
            rows' = rows.append(if (isAccepted) { offset: offset, copies: filled } else newest),
            reverted' = (reverted or (isAccepted and returns)),
            now' = now, entries' = entries, agents' = agents,
        }
    }
    action revoke = {
        nondet proposer = PROPOSERS.oneOf()
        val row = rows[entries.get(proposer).applied]
        nondet id = row.copies.keys().oneOf()
        all {
            row.copies.get(id).revokedAt == 0,
            appendRecord(proposer, row.offset, row.copies.set(id, { epoch: row.copies.get(id).epoch, revokedAt: -1 })),
        }
    }
    /// A proposer finds that a majority of the witnesses has applied a revocation that it knows.
    action confirm = {
        nondet proposer = PROPOSERS.oneOf()
        nondet id = rows[entries.get(proposer).applied].copies.keys().oneOf()
        val revokedAt = rows[entries.get(proposer).applied].copies.get(id).revokedAt
        val known = reachableEntries(proposer).filter(witness => entries.get(witness).applied >= revokedAt and
            (now - entries.get(witness).startedAt >= HOLD or not(isEnabled("witness uptime"))))
        all {
            revokedAt > 0, entries.get(proposer).confirmedRevocation != revokedAt, isMajority(known),
            entries' = entries.set(proposer,
                entries.get(proposer).with("confirmedRevocation", revokedAt).with("confirmedAt", now)),
            now' = now, agents' = agents, keepLog,
        }
    }
    /// Replaces a revoked copy after its agent has reported that it unloaded the copy, or after its hold has expired.
    action replace = {
        nondet proposer = PROPOSERS.oneOf()
        val proposerState = entries.get(proposer)
        val row = rows[proposerState.applied]
        nondet id = row.copies.keys().oneOf()
        nondet target = AGENTS.oneOf()
        val revokedAt = row.copies.get(id).revokedAt
        val reported = agents.get(id).applied >= revokedAt and not(agents.get(id).loaded)
        val wait = if (isEnabled("wait for hold and margin")) HOLD + MARGIN else 0
        val expired = proposerState.confirmedRevocation == revokedAt and now - proposerState.confirmedAt >= wait
        all {
            revokedAt > 0, reported or expired or not(isEnabled("release before replacement")),
            appendRecord(proposer, row.offset, Map(target -> { epoch: 0, revokedAt: 0 })),
        }
    }

    /// Starts just after the copy of agent a was revoked. The processes behind the partition do not know about it. If
    /// e1 has restarted, it had confirmed the revocation to e2 before it copied the state of e3. If a has restarted, it
    /// had reported that it unloaded the copy, and the copy had been assigned to b, before a copied an older state from
    /// an entry instance.
    action begin(cutOffAtStart, restarted) = {
        val replaced = restarted.contains("a")
        val confirmed = restarted.contains("e1")
        nondet lastReadAt = 1.to(HOLD).oneOf()
        val assigned = { epoch: 1, revokedAt: 0 }
        val applied = AGENTS.union(ENTRIES).mapBy(id => if (cutOffAtStart.contains(id)) 1 else if (replaced) 3 else 2)
        all {
            now' = HOLD, reverted' = false, cutOff' = cutOffAtStart,
            rows' = [{ offset: 0, copies: Map() }, { offset: 1, copies: Map("a" -> assigned) },
                { offset: 2, copies: Map("a" -> assigned.with("revokedAt", 2)) }]
                .concat(if (replaced) [{ offset: 3, copies: Map("b" -> { epoch: 3, revokedAt: 0 }) }] else []),
            entries' = ENTRIES.mapBy(entry => { applied: applied.get(entry),
                knownAt: if (cutOffAtStart.contains(entry)) lastReadAt else HOLD,
                startedAt: if (restarted.contains(entry)) HOLD else 0,
                confirmedRevocation: if (confirmed and entry == "e2") 2 else 0,
                confirmedAt: if (confirmed and entry == "e2") HOLD else NEVER }),
            agents' = AGENTS.mapBy(id => { applied: applied.get(id),
                knownAt: if (restarted.contains(id)) lastReadAt else HOLD,
                startedAt: if (restarted.contains(id)) HOLD else 0, answers: ENTRIES.mapBy(witness => NEVER),
                lapsed: restarted.contains(id) and isEnabled("first hold from log"),
                loaded: id == (if (replaced) "b" else "a"),
                holdLimit: if (id != "a" or cutOffAtStart.contains(id) or
                    not(isEnabled("no renewal after revocation"))) FOREVER
                    else HOLD + HOLD }),
        }
    }
    action init = {
        nondet cutOffAtStart = AGENTS.union(ENTRIES).powerset().oneOf()
        begin(cutOffAtStart, Set())
    }
    /// Reachable states that are starting points of rare runs, so that these are sampled more often.
    action initRestartedWitness = begin(Set("a", "e1", "e3"), Set("e1"))
    action initRestartedHolder = begin(Set("a", "e2", "e3"), Set("a"))
    action step = any {
        passTime,
        any { revoke, confirm, replace },
        any { askWitnesses, followRelay, unload },
        any { restartEntry, restartAgent, healPartition },
    }

    /// There are never more loaded copies than wanted. A copy is loaded only while its agent has a hold.
    val noExtraCopy = AGENTS.filter(id => agents.get(id).loaded).size() <= WANTED
    val neverReverts = not(reverted)
}

module placementDesign { import placement(DISABLED_GUARD = "none").* }
module withoutBaseCheck { import placement(DISABLED_GUARD = "base check").* }
module withoutWait { import placement(DISABLED_GUARD = "wait for hold and margin").* }
module withoutMajority { import placement(DISABLED_GUARD = "majority of witnesses").* }
module withoutWitnessUptime { import placement(DISABLED_GUARD = "witness uptime").* }
module withoutRelease { import placement(DISABLED_GUARD = "release before replacement").* }
module withoutKnowledgeSinceStart { import placement(DISABLED_GUARD = "knowledge since start").* }
module withoutFirstHoldFromLog { import placement(DISABLED_GUARD = "first hold from log").* }
module withoutEndOfRenewal { import placement(DISABLED_GUARD = "no renewal after revocation").* }

// Placement of copies over the log, holds and replacement (design sections 6 and 7) and orders to the engine (section 8).
// One deployment that wants one copy. The modules at the end select what is left out; see README.md.

module placement {
    /// Name of the guard that is left out; "none" for the whole design.
    const REMOVED: str

    pure val WANTED = 1
    pure val HOLD = 8
    pure val MARGIN = 1
    pure val NEVER = -100
    pure val FOREVER = 10000
    pure val AGENTS = Set("a", "b")
    pure val ENTRIES = Set("e1", "e2", "e3")
    pure val PROPOSERS = Set("e1", "e2")

    /// revokedAt is 0 while the copy is assigned.
    type Copy = { epoch: int, revokedAt: int }
    type Row = { offset: int, copies: str -> Copy }
    type Entry = { applied: int, knownAt: int, startedAt: int, confirmedRevocation: int, confirmedAt: int }
    type Agent = { applied: int, knownAt: int, startedAt: int, answers: str -> int, lapsed: bool, frozenUntil: int, loaded: bool }

    var now: int
    /// Accepted row after each entry of the log: a process that applied n entries knows rows[n].
    var rows: List[Row]
    /// Processes that are cut off from the log and from those that are not; the partition may end.
    var cutOff: Set[str]
    var entries: str -> Entry
    var agents: str -> Agent
    var reverted: bool

    def has(guard) = REMOVED != guard
    pure def isMajority(witnesses) = 2 * witnesses.size() > ENTRIES.size()
    def newest = rows[rows.length() - 1]
    def lastApplied = rows.length() - 1
    def isAssigned(id, applied) = and {
        rows[applied].copies.keys().contains(id),
        rows[applied].copies.get(id).revokedAt == 0,
    }
    pure def larger(left, right) = if (left > right) left else right
    pure def smaller(left, right) = if (left < right) left else right

    // ---- Hold ----

    /// Newest time that a majority of answers reaches: the second newest of three.
    def witnessTime(agent) = {
        val t1 = agent.answers.get("e1")
        val t2 = agent.answers.get("e2")
        val t3 = agent.answers.get("e3")
        if (has("majority of witnesses")) larger(smaller(t1, t2), smaller(t3, larger(t1, t2)))
        else larger(t1, larger(t2, t3))
    }
    def heldUntil(agent) = {
        val logTime = if (has("knowledge since start") and agent.knownAt <= agent.startedAt) NEVER else agent.knownAt
        val outageTime = if (agent.lapsed) NEVER else witnessTime(agent)
        smaller(larger(logTime, outageTime) + HOLD, agent.frozenUntil)
    }
    /// Lapse of the hold, and loading and unloading as far as it follows at once.
    def settle(id, agent, time) = {
        val held = time < heldUntil(agent)
        agent.with("lapsed", not(held)).with("loaded", held and (agent.loaded or isAssigned(id, agent.applied)))
    }
    /// The agent applies records. A revocation that it learns ends the renewal of its hold.
    def learn(id, agent, applied) = {
        val known = larger(agent.applied, applied)
        val ended = isAssigned(id, agent.applied) and not(isAssigned(id, known))
        val begun = isAssigned(id, known) and
            (not(isAssigned(id, agent.applied)) or rows[known].copies.get(id) != rows[agent.applied].copies.get(id))
        agent.with("applied", known)
            .with("frozenUntil", if (begun) FOREVER
                else if (ended and has("no renewal after revocation")) heldUntil(agent) else agent.frozenUntil)
            .with("lapsed", agent.lapsed and not(begun and not(has("first hold from log"))))
    }

    // ---- Environment ----

    action keepLog = all { cutOff' = cutOff, rows' = rows, reverted' = reverted }
    /// Time passes, then some processes read the log. The others are cut off or paused; in an outage nobody reads.
    action passTime = {
        nondet duration = Set(1, 2, 4).oneOf()
        nondet readers = AGENTS.union(ENTRIES).exclude(cutOff).powerset().oneOf()
        val time = now + duration
        all {
            now' = time,
            entries' = ENTRIES.mapBy(e => if (readers.contains(e))
                entries.get(e).with("applied", lastApplied).with("knownAt", time) else entries.get(e)),
            agents' = AGENTS.mapBy(id => {
                val agent = settle(id, agents.get(id), time)
                if (readers.contains(id)) settle(id, learn(id, agent, lastApplied).with("knownAt", time), time) else agent
            }),
            keepLog,
        }
    }
    action heal = all {
        cutOff != Set(), cutOff' = Set(),
        now' = now, rows' = rows, entries' = entries, agents' = agents, reverted' = reverted,
    }
    def canHear(id) = ENTRIES.filter(e => cutOff.contains(id) == cutOff.contains(e))
    /// An agent takes records and their age from an entry instance.
    action followRelay = {
        nondet id = AGENTS.oneOf()
        nondet e = canHear(id).oneOf()
        val relay = entries.get(e)
        val agent = learn(id, agents.get(id), relay.applied)
        all {
            agents' = agents.set(id, settle(id, agent.with("knownAt", larger(agent.knownAt, relay.knownAt)), now)),
            now' = now, entries' = entries, keepLog,
        }
    }
    /// An agent asks some witnesses, applies the records that they know and counts those that report an outage.
    action askWitnesses = {
        nondet id = AGENTS.oneOf()
        nondet asked = canHear(id).powerset().oneOf()
        val applied = asked.fold(0, (best, w) => larger(best, entries.get(w).applied))
        def reports(w) = now - entries.get(w).knownAt >= HOLD and
            (now - entries.get(w).startedAt >= HOLD or not(has("witness uptime")))
        val agent = learn(id, agents.get(id), applied)
        val answers = ENTRIES.mapBy(w =>
            if (asked.contains(w)) { if (reports(w)) now else NEVER } else agent.answers.get(w))
        all {
            agents' = agents.set(id, settle(id, agent.with("answers", answers), now)),
            now' = now, entries' = entries, keepLog,
        }
    }
    /// A new process takes its state from a peer, which may be behind.
    action restartEntry = {
        nondet e = ENTRIES.oneOf()
        nondet peer = canHear(e).exclude(Set(e)).oneOf()
        all {
            entries' = entries.set(e, { ...entries.get(peer), startedAt: now, confirmedRevocation: 0, confirmedAt: NEVER }),
            now' = now, agents' = agents, keepLog,
        }
    }
    action restartAgent = {
        nondet id = AGENTS.oneOf()
        nondet peer = canHear(id).oneOf()
        val fresh = { applied: entries.get(peer).applied, knownAt: entries.get(peer).knownAt, startedAt: now,
            answers: ENTRIES.mapBy(w => NEVER), lapsed: has("first hold from log"), frozenUntil: FOREVER, loaded: false }
        all {
            agents' = agents.set(id, settle(id, fresh, now)),
            now' = now, entries' = entries, keepLog,
        }
    }
    /// The agent unloads a copy that it knows to be revoked, once its requests are finished.
    action unload = {
        nondet id = AGENTS.oneOf()
        all {
            agents.get(id).loaded, not(isAssigned(id, agents.get(id).applied)),
            agents' = agents.set(id, agents.get(id).with("loaded", false)),
            now' = now, entries' = entries, keepLog,
        }
    }

    // ---- Proposers: each acts on what it has applied, so one that does not read is paused and stale. ----

    /// Appends a record; the answer is lost, the writer learns the outcome from the log.
    action appendRecord(p, base, copies) = {
        val offset = rows.length()
        val isAccepted = base == newest.offset or not(has("base check"))
        val filled = copies.keys().mapBy(id => {
            val copy = copies.get(id)
            { epoch: if (copy.epoch == 0) offset else copy.epoch, revokedAt: if (copy.revokedAt < 0) offset else copy.revokedAt }
        })
        val returns = filled.keys().exists(id => {
            val copy = filled.get(id)
            copy.epoch != offset and (not(newest.copies.keys().contains(id)) or newest.copies.get(id).epoch != copy.epoch or
                (copy.revokedAt == 0 and newest.copies.get(id).revokedAt != 0))
        })
        all {
            not(cutOff.contains(p)), cutOff' = cutOff,
            rows' = rows.append(if (isAccepted) { offset: offset, copies: filled } else newest),
            reverted' = (reverted or (isAccepted and returns)),
            now' = now, entries' = entries, agents' = agents,
        }
    }
    action revoke = {
        nondet p = PROPOSERS.oneOf()
        val row = rows[entries.get(p).applied]
        nondet id = row.copies.keys().oneOf()
        all {
            row.copies.get(id).revokedAt == 0,
            appendRecord(p, row.offset, row.copies.set(id, { epoch: row.copies.get(id).epoch, revokedAt: -1 })),
        }
    }
    /// Notes that a majority of the witnesses has applied the revocation that the proposer knows.
    action confirm = {
        nondet p = PROPOSERS.oneOf()
        nondet id = rows[entries.get(p).applied].copies.keys().oneOf()
        val revokedAt = rows[entries.get(p).applied].copies.get(id).revokedAt
        val known = canHear(p).filter(w => entries.get(w).applied >= revokedAt and
            (now - entries.get(w).startedAt >= HOLD or not(has("witness uptime"))))
        all {
            revokedAt > 0, entries.get(p).confirmedRevocation != revokedAt, isMajority(known),
            entries' = entries.set(p, entries.get(p).with("confirmedRevocation", revokedAt).with("confirmedAt", now)),
            now' = now, agents' = agents, keepLog,
        }
    }
    action replace = {
        nondet p = PROPOSERS.oneOf()
        val self = entries.get(p)
        val row = rows[self.applied]
        nondet id = row.copies.keys().oneOf()
        nondet target = AGENTS.oneOf()
        val revokedAt = row.copies.get(id).revokedAt
        val reported = agents.get(id).applied >= revokedAt and not(agents.get(id).loaded)
        val wait = if (has("wait for hold and margin")) HOLD + MARGIN else 0
        val expired = self.confirmedRevocation == revokedAt and now - self.confirmedAt >= wait
        all {
            revokedAt > 0, reported or expired or not(has("release before replacement")),
            appendRecord(p, row.offset, Map(target -> { epoch: 0, revokedAt: 0 })),
        }
    }

    /// Begins when the copy of agent a has just been revoked. The processes that are cut off do not know it.
    /// With e1 restarted, e1 had confirmed the revocation to e2 before it took the state of e3. With a restarted, a had
    /// reported that it unloaded the copy, and b had got it, before a took older state from an entry instance.
    action begin(cut, restarted) = {
        val replaced = restarted.contains("a")
        val confirmed = restarted.contains("e1")
        nondet cutAt = 1.to(HOLD).oneOf()
        val assigned = { epoch: 1, revokedAt: 0 }
        val applied = AGENTS.union(ENTRIES).mapBy(id => if (cut.contains(id)) 1 else if (replaced) 3 else 2)
        all {
            now' = HOLD, reverted' = false, cutOff' = cut,
            rows' = [{ offset: 0, copies: Map() }, { offset: 1, copies: Map("a" -> assigned) },
                { offset: 2, copies: Map("a" -> assigned.with("revokedAt", 2)) }]
                .concat(if (replaced) [{ offset: 3, copies: Map("b" -> { epoch: 3, revokedAt: 0 }) }] else []),
            entries' = ENTRIES.mapBy(e => { applied: applied.get(e), knownAt: if (cut.contains(e)) cutAt else HOLD,
                startedAt: if (restarted.contains(e)) HOLD else 0,
                confirmedRevocation: if (confirmed and e == "e2") 2 else 0,
                confirmedAt: if (confirmed and e == "e2") HOLD else NEVER }),
            agents' = AGENTS.mapBy(id => { applied: applied.get(id), knownAt: if (restarted.contains(id)) cutAt else HOLD,
                startedAt: if (restarted.contains(id)) HOLD else 0, answers: ENTRIES.mapBy(w => NEVER),
                lapsed: restarted.contains(id) and has("first hold from log"), loaded: id == (if (replaced) "b" else "a"),
                frozenUntil: if (id != "a" or cut.contains(id) or not(has("no renewal after revocation"))) FOREVER
                    else HOLD + HOLD }),
        }
    }
    action init = {
        nondet cut = AGENTS.union(ENTRIES).powerset().oneOf()
        begin(cut, Set())
    }
    /// Reachable states from which rare runs are sampled more often.
    action initRestartedWitness = begin(Set("a", "e1", "e3"), Set("e1"))
    action initRestartedHolder = begin(Set("a", "e2", "e3"), Set("a"))
    action step = any {
        passTime,
        any { revoke, confirm, replace },
        any { askWitnesses, followRelay, unload },
        any { restartEntry, restartAgent, heal },
    }

    /// Copies that can serve: loaded and held.
    val noExtraCopy = AGENTS.filter(id => agents.get(id).loaded).size() <= WANTED
    val neverReverts = not(reverted)
}

module placementDesign { import placement(REMOVED = "none").* }
module withoutBaseCheck { import placement(REMOVED = "base check").* }
module withoutWait { import placement(REMOVED = "wait for hold and margin").* }
module withoutMajority { import placement(REMOVED = "majority of witnesses").* }
module withoutWitnessUptime { import placement(REMOVED = "witness uptime").* }
module withoutRelease { import placement(REMOVED = "release before replacement").* }
module withoutKnowledgeSinceStart { import placement(REMOVED = "knowledge since start").* }
module withoutFirstHoldFromLog { import placement(REMOVED = "first hold from log").* }
module withoutEndOfRenewal { import placement(REMOVED = "no renewal after revocation").* }

// Models the ownership of an idempotency key while its owner changes (section 11 of docs/design.md). Only an agent that
// owns the key and has a hold runs its request; a hold is a lease that each read of the log renews (section 7). Keys do
// not affect each other, so the model has a single key, which one agent owns at a time. Each module at the end of the
// file disables one guard or none; see README.md.

module atMostOnce {
    /// Name of the disabled guard; "none" for the complete design.
    const DISABLED_GUARD: str

    /// Duration of a hold. All times are in the same abstract unit.
    pure val HOLD = 8
    /// Time to wait in addition to HOLD before a hold counts as expired.
    pure val MARGIN = 1
    /// Clock skew that the design allows for. The wall clocks of the model differ by less.
    pure val SKEW_ALLOWANCE = 2
    pure val CLOCK_OFFSETS = Set(0, SKEW_ALLOWANCE - 1)
    pure val NEVER = -100
    pure val FOREVER = 10000
    pure val NOBODY = "nobody"
    pure val AGENTS = Set("a", "b")
    pure val CREATION_TIMES = 2.to(16)

    /// Placement record. nextOwner is NOBODY unless a change of the owner is in progress. acceptedAt is in true time,
    /// writtenAt the time on the proposer's wall clock.
    type Row = { owner: str, nextOwner: str, writtenAt: int, acceptedAt: int }
    /// Ownership of the key by one agent, in wall-clock times. `since` is the start of the current uninterrupted
    /// period, FOREVER if there is none. `previousSince` is the start of the period before it, and `previousUntil` the
    /// time at which the record that ended that period was written.
    type Ownership = { since: int, previousSince: int, previousUntil: int }
    /// An agent has applied the first `applied` records and knew the current state of the log at knownAt. knownAt and
    /// startedAt are in true time. The agent's wall clock shows now + clockOffset; by this clock, interruptedAt is the
    /// last time at which the agent found that it had no hold. inLedger tells whether the agent has recorded the key as
    /// run.
    type Agent = { clockOffset: int, startedAt: int, applied: int, knownAt: int, interruptedAt: int,
        ownership: Ownership, inLedger: bool }
    /// Request with the key on its way to an agent. refusals is the number of times that the key had been refused as
    /// "not run" when the request was sent.
    type Message = { agent: str, refusals: int }

    var now: int
    /// Accepted placement records. A process that has applied n of them knows rows[n - 1] as the newest.
    var rows: List[Row]
    var agents: str -> Agent
    /// Entry instance from which a starting agent copies its state.
    var relay: { applied: int, knownAt: int }
    /// creationTime is the true time at which the key was created, createdAt the time on the caller's wall clock then.
    /// runs and refusals count how often the key ran and how often it was refused as "not run".
    var key: { creationTime: int, createdAt: int, runs: int, refusals: int }
    var messages: Set[Message]
    /// True once a refusal as "not run" turned out to be wrong: the key had run before, or a request that was sent
    /// before the refusal ran after it.
    var refusalBroken: bool

    def isEnabled(guard) = DISABLED_GUARD != guard
    pure def maximum(left, right) = if (left > right) left else right
    pure def minimum(left, right) = if (left < right) left else right
    def newest = rows[rows.length() - 1]
    def isHeld(agent) = now < agent.knownAt + HOLD and
        (agent.knownAt > agent.startedAt or not(isEnabled("knowledge since start")))

    // ---- Ownership; implemented in src/runtime/idempotency/ownership.ts ----

    def isOwner(row, id) = row.owner == id and
        (row.nextOwner == NOBODY or row.nextOwner == id or not(isEnabled("next owners")))
    def applyRow(ownership, row, id, wallClock) =
        if (isOwner(row, id)) ownership.with("since", minimum(ownership.since, wallClock))
        else if (ownership.since != FOREVER)
            { since: FOREVER, previousSince: ownership.since, previousUntil: row.writtenAt }
        else ownership.with("previousUntil", minimum(ownership.previousUntil, row.writtenAt))
    pure val NO_OWNERSHIP = { since: FOREVER, previousSince: FOREVER, previousUntil: NEVER }
    /// The agent applies all records that it does not know yet.
    def catchUp(agent, id, time) = {
        val first = if (isEnabled("every record in order")) agent.applied else maximum(agent.applied, rows.length() - 1)
        val ownership = rows.slice(first, rows.length())
            .foldl(agent.ownership, (result, row) => applyRow(result, row, id, time + agent.clockOffset))
        agent.with("ownership", ownership).with("applied", rows.length()).with("knownAt", time)
    }

    // ---- Environment ----

    action keepKeyState = all { key' = key, messages' = messages, refusalBroken' = refusalBroken }
    /// Time passes, then some processes read the log. The others are partitioned or paused; none reads during an
    /// outage.
    action passTime = {
        nondet duration = Set(1, 2, 4).oneOf()
        nondet readers = Set("a", "b", "relay").powerset().oneOf()
        val time = now + duration
        all {
            now' = time,
            agents' = AGENTS.mapBy(id =>
                if (readers.contains(id)) catchUp(agents.get(id), id, time) else agents.get(id)),
            relay' = if (readers.contains("relay")) { applied: rows.length(), knownAt: time } else relay,
            rows' = rows, keepKeyState,
        }
    }
    /// An agent restarts. The new process has lost the ledger and copies its state from the relay, which may be behind.
    action restart = {
        nondet id = AGENTS.oneOf()
        val clockOffset = agents.get(id).clockOffset
        all {
            agents' = agents.set(id, { clockOffset: clockOffset, startedAt: now, applied: relay.applied,
                knownAt: relay.knownAt, interruptedAt: NEVER,
                ownership: applyRow(NO_OWNERSHIP, rows[relay.applied - 1], id, now + clockOffset), inLedger: false }),
            now' = now, relay' = relay, rows' = rows, keepKeyState,
        }
    }

    // ---- Proposer ----

    action appendRow(owner, nextOwner) = {
        nondet clockOffset = CLOCK_OFFSETS.oneOf()
        all {
            rows' = rows.append({ owner: owner, nextOwner: nextOwner, writtenAt: now + clockOffset, acceptedAt: now }),
            now' = now, relay' = relay, agents' = agents, keepKeyState,
        }
    }
    /// Begins a change of owners. The new owner may be the current one, because a change may concern other keys only.
    action beginChange = {
        nondet owner = AGENTS.oneOf()
        all { newest.nextOwner == NOBODY, appendRow(newest.owner, owner) }
    }
    /// Completes the change after the old owner has stopped: it has applied the record that begins the change, or its
    /// hold has expired since then, including the margin.
    action completeChange = all {
        newest.nextOwner != NOBODY,
        agents.get(newest.owner).applied == rows.length() or now - newest.acceptedAt >= HOLD + MARGIN
            or not(isEnabled("old owners have stopped")),
        appendRow(newest.nextOwner, NOBODY),
    }

    // ---- Requests. Each response may be lost, so the caller may send the key again to any agent at any time. ----

    /// Decides whether a request runs; implemented by `offerKey` in src/runtime/idempotency/ledger.ts. Only the owner
    /// at the creation of the key may run it, so an agent that was the owner then and has not run the key can refuse it
    /// as "not run". An agent that cannot be sure of this answers "unknown".
    def decide(agent, id) = {
        val skew = if (isEnabled("clock skew")) SKEW_ALLOWANCE else 0
        val unbroken = agent.interruptedAt <= key.createdAt - skew and
            (agent.startedAt + agent.clockOffset <= key.createdAt - skew or not(isEnabled("start before key")))
        val owned = isOwner(rows[agent.applied - 1], id)
        val sinceCreation = unbroken and (if (owned) agent.ownership.since <= key.createdAt - skew
            else agent.ownership.previousSince <= key.createdAt - skew and
                agent.ownership.previousUntil > key.createdAt + skew)
        // A process that has had no hold since its start does not know when the last hold lapsed.
        val lapsedAt = if (agent.knownAt > agent.startedAt) agent.knownAt + HOLD + agent.clockOffset else NEVER
        if (agent.inLedger) "unknown"
        else if (not(owned)) { if (sinceCreation) "not run" else "unknown" }
        else if (not(isHeld(agent)) and isEnabled("hold")) {
            if (sinceCreation and key.createdAt + skew < lapsedAt) "not run" else "unknown"
        }
        else if (sinceCreation or not(isEnabled("key must not predate owner"))) "run"
        else "unknown"
    }
    action answer(message, remaining) = {
        val id = message.agent
        val agent = agents.get(id)
        val decision = decide(agent, id)
        val interruptedAt =
            if (isHeld(agent)) agent.interruptedAt else maximum(agent.interruptedAt, now + agent.clockOffset)
        all {
            now >= key.creationTime,
            messages' = remaining,
            agents' = agents.set(id, agent.with("inLedger", agent.inLedger or decision == "run")
                .with("interruptedAt", interruptedAt)),
            key' = key.with("runs", key.runs + (if (decision == "run") 1 else 0))
                .with("refusals", key.refusals + (if (decision == "not run") 1 else 0)),
            refusalBroken' = (refusalBroken or (decision == "not run" and key.runs > 0)
                or (decision == "run" and message.refusals < key.refusals)),
            now' = now, relay' = relay, rows' = rows,
        }
    }
    action send = {
        nondet id = AGENTS.oneOf()
        answer({ agent: id, refusals: key.refusals }, messages)
    }
    /// Sends a request that is delayed on its way.
    action sendDelayed = {
        nondet id = AGENTS.oneOf()
        all {
            now >= key.creationTime, messages == Set(),
            messages' = Set({ agent: id, refusals: key.refusals }),
            now' = now, relay' = relay, rows' = rows, agents' = agents, key' = key, refusalBroken' = refusalBroken,
        }
    }
    action deliverDelayed = {
        nondet message = messages.oneOf()
        answer(message, Set())
    }

    /// Starts just after a change of the owner from a to b has begun. Only the informed processes know about it.
    action init = {
        nondet clockOffsets = AGENTS.setOfMaps(CLOCK_OFFSETS).oneOf()
        nondet creationTime = CREATION_TIMES.oneOf()
        nondet clockOffset = CLOCK_OFFSETS.oneOf()
        nondet informed = Set("a", "b", "relay").powerset().oneOf()
        val first = { owner: "a", nextOwner: NOBODY, writtenAt: NEVER, acceptedAt: NEVER }
        val second = { owner: "a", nextOwner: "b", writtenAt: clockOffset, acceptedAt: 0 }
        all {
            now' = 0, rows' = [first, second], messages' = Set(), refusalBroken' = false,
            relay' = { applied: if (informed.contains("relay")) 2 else 1, knownAt: 0 },
            key' = { creationTime: creationTime, createdAt: creationTime + clockOffset, runs: 0, refusals: 0 },
            agents' = AGENTS.mapBy(id => {
                val ownership = applyRow(NO_OWNERSHIP, first, id, NEVER)
                { clockOffset: clockOffsets.get(id), startedAt: NEVER,
                    applied: if (informed.contains(id)) 2 else 1, knownAt: 0, interruptedAt: NEVER, inLedger: false,
                    ownership: if (informed.contains(id)) applyRow(ownership, second, id, clockOffsets.get(id))
                        else ownership }
            }),
        }
    }
    action step = any {
        passTime,
        any { beginChange, completeChange, restart },
        any { send, sendDelayed, deliverDelayed },
    }

    val runsAtMostOnce = key.runs <= 1
    val refusalsHold = not(refusalBroken)
}

module atMostOnceDesign { import atMostOnce(DISABLED_GUARD = "none").* }
module withoutNextOwners { import atMostOnce(DISABLED_GUARD = "next owners").* }
module withoutStoppedOwners { import atMostOnce(DISABLED_GUARD = "old owners have stopped").* }
module withoutPredateCheck { import atMostOnce(DISABLED_GUARD = "key must not predate owner").* }
module withoutStartCheck { import atMostOnce(DISABLED_GUARD = "start before key").* }
module withoutClockSkew { import atMostOnce(DISABLED_GUARD = "clock skew").* }
module withoutHold { import atMostOnce(DISABLED_GUARD = "hold").* }
module withoutKnowledgeSinceStart { import atMostOnce(DISABLED_GUARD = "knowledge since start").* }
module withoutEveryRecord { import atMostOnce(DISABLED_GUARD = "every record in order").* }

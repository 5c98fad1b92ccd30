// Ownership of an idempotency key across changes of owners (design section 11), with holds that the log renews (section
// 7). Keys do not affect each other, so there is one, and the owners that a record names are the one agent that owns it.
// The modules at the end select the guard that is left out; see README.md.

module atMostOnce {
    /// Name of the guard that is left out; "none" for the whole design.
    const REMOVED: str

    pure val HOLD = 8
    pure val MARGIN = 1
    /// The allowance for clocks. Wall clocks differ from each other by less.
    pure val SKEW = 2
    pure val CLOCKS = Set(0, SKEW - 1)
    pure val NEVER = -100
    pure val FOREVER = 10000
    pure val NOBODY = "nobody"
    pure val AGENTS = Set("a", "b")
    pure val CREATION_TIMES = 2.to(16)

    /// nextOwner is NOBODY outside a change; acceptedAt is true time, writtenAt the proposer's wall clock.
    type Row = { owner: str, nextOwner: str, writtenAt: int, acceptedAt: int }
    /// Wall-clock times: `since` when an unbroken ownership began, FOREVER if there is none; `lastSince` when the
    /// preceding one began and `lastUntil` when the record that ended it was written.
    type Share = { since: int, lastSince: int, lastUntil: int }
    /// knownAt and startedAt are true time; interruptedAt is by the agent's wall clock, which shows now + clock.
    type Agent = { clock: int, startedAt: int, applied: int, knownAt: int, interruptedAt: int, share: Share, inLedger: bool }
    /// refusals is the number of refusals as "not run" that preceded the message.
    type Message = { agent: str, refusals: int }

    var now: int
    /// Accepted placement records: a process that applied n of them knows rows[n - 1].
    var rows: List[Row]
    var agents: str -> Agent
    /// Entry instance from which a starting agent takes its state.
    var relay: { applied: int, knownAt: int }
    /// sentFrom is the true time of the key's creation, createdAt the caller's wall clock then.
    var key: { sentFrom: int, createdAt: int, runs: int, refusals: int }
    var messages: Set[Message]
    /// True once the key, refused as "not run", had run or ran later without being sent again.
    var refusalBroken: bool

    def has(guard) = REMOVED != guard
    pure def larger(left, right) = if (left > right) left else right
    pure def smaller(left, right) = if (left < right) left else right
    def newest = rows[rows.length() - 1]
    def isHeld(agent) = now < agent.knownAt + HOLD and (agent.knownAt > agent.startedAt or not(has("knowledge since start")))

    // ---- Ownership, as in src/runtime/idempotency/ownership.ts ----

    def accepts(row, id) = row.owner == id and
        (row.nextOwner == NOBODY or row.nextOwner == id or not(has("next owners")))
    def applyRow(share, row, id, wallClock) =
        if (accepts(row, id)) share.with("since", smaller(share.since, wallClock))
        else if (share.since != FOREVER) { since: FOREVER, lastSince: share.since, lastUntil: row.writtenAt }
        else share.with("lastUntil", smaller(share.lastUntil, row.writtenAt))
    pure val NO_SHARE = { since: FOREVER, lastSince: FOREVER, lastUntil: NEVER }
    def catchUp(agent, id, time) = {
        val first = if (has("every record in order")) agent.applied else larger(agent.applied, rows.length() - 1)
        val share = rows.slice(first, rows.length())
            .foldl(agent.share, (result, row) => applyRow(result, row, id, time + agent.clock))
        agent.with("share", share).with("applied", rows.length()).with("knownAt", time)
    }

    // ---- Environment ----

    action keepKey = all { key' = key, messages' = messages, refusalBroken' = refusalBroken }
    /// Time passes, then some processes read the log. The others are cut off or paused; in an outage nobody reads.
    action passTime = {
        nondet duration = Set(1, 2, 4).oneOf()
        nondet readers = Set("a", "b", "relay").powerset().oneOf()
        val time = now + duration
        all {
            now' = time,
            agents' = AGENTS.mapBy(id => if (readers.contains(id)) catchUp(agents.get(id), id, time) else agents.get(id)),
            relay' = if (readers.contains("relay")) { applied: rows.length(), knownAt: time } else relay,
            rows' = rows, keepKey,
        }
    }
    /// The new process has lost the ledger and takes its state from the relay, which may be behind.
    action restart = {
        nondet id = AGENTS.oneOf()
        val clock = agents.get(id).clock
        all {
            agents' = agents.set(id, { clock: clock, startedAt: now, applied: relay.applied, knownAt: relay.knownAt,
                interruptedAt: NEVER, share: applyRow(NO_SHARE, rows[relay.applied - 1], id, now + clock), inLedger: false }),
            now' = now, relay' = relay, rows' = rows, keepKey,
        }
    }

    // ---- Proposer ----

    action appendRow(owner, nextOwner) = {
        nondet clock = CLOCKS.oneOf()
        all {
            rows' = rows.append({ owner: owner, nextOwner: nextOwner, writtenAt: now + clock, acceptedAt: now }),
            now' = now, relay' = relay, agents' = agents, keepKey,
        }
    }
    /// The change may concern other keys only.
    action beginChange = {
        nondet owner = AGENTS.oneOf()
        all { newest.nextOwner == NOBODY, appendRow(newest.owner, owner) }
    }
    /// The old owner has stopped once it reports that it knows the change, or once its hold has certainly expired.
    action completeChange = all {
        newest.nextOwner != NOBODY,
        agents.get(newest.owner).applied == rows.length() or now - newest.acceptedAt >= HOLD + MARGIN
            or not(has("old owners have stopped")),
        appendRow(newest.nextOwner, NOBODY),
    }

    // ---- Requests: each answer may be lost, so the caller may send the key again to any agent at any time. ----

    /// As `offerKey` in src/runtime/idempotency/ledger.ts.
    def decide(agent, id) = {
        val skew = if (has("clock skew")) SKEW else 0
        val unbroken = agent.interruptedAt <= key.createdAt - skew and
            (agent.startedAt + agent.clock <= key.createdAt - skew or not(has("start before key")))
        val owned = accepts(rows[agent.applied - 1], id)
        val sinceCreation = unbroken and (if (owned) agent.share.since <= key.createdAt - skew
            else agent.share.lastSince <= key.createdAt - skew and agent.share.lastUntil > key.createdAt + skew)
        // A process that has had no hold since its start cannot tell when it lapsed.
        val lapsedAt = if (agent.knownAt > agent.startedAt) agent.knownAt + HOLD + agent.clock else NEVER
        if (agent.inLedger) "unknown"
        else if (not(owned)) { if (sinceCreation) "not run" else "unknown" }
        else if (not(isHeld(agent)) and has("hold")) {
            if (sinceCreation and key.createdAt + skew < lapsedAt) "not run" else "unknown"
        }
        else if (sinceCreation or not(has("key must not predate owner"))) "run"
        else "unknown"
    }
    action answer(message, remaining) = {
        val id = message.agent
        val agent = agents.get(id)
        val decision = decide(agent, id)
        val interruptedAt = if (isHeld(agent)) agent.interruptedAt else larger(agent.interruptedAt, now + agent.clock)
        all {
            now >= key.sentFrom,
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
    /// A message that is delayed on its way.
    action sendSlowly = {
        nondet id = AGENTS.oneOf()
        all {
            now >= key.sentFrom, messages == Set(),
            messages' = Set({ agent: id, refusals: key.refusals }),
            now' = now, relay' = relay, rows' = rows, agents' = agents, key' = key, refusalBroken' = refusalBroken,
        }
    }
    action arrive = {
        nondet message = messages.oneOf()
        answer(message, Set())
    }

    /// Begins when a change of the owner from a to b has just begun. The processes that are cut off do not know it.
    action init = {
        nondet clocks = AGENTS.setOfMaps(CLOCKS).oneOf()
        nondet sentFrom = CREATION_TIMES.oneOf()
        nondet clock = CLOCKS.oneOf()
        nondet informed = Set("a", "b", "relay").powerset().oneOf()
        val first = { owner: "a", nextOwner: NOBODY, writtenAt: NEVER, acceptedAt: NEVER }
        val second = { owner: "a", nextOwner: "b", writtenAt: clock, acceptedAt: 0 }
        all {
            now' = 0, rows' = [first, second], messages' = Set(), refusalBroken' = false,
            relay' = { applied: if (informed.contains("relay")) 2 else 1, knownAt: 0 },
            key' = { sentFrom: sentFrom, createdAt: sentFrom + clock, runs: 0, refusals: 0 },
            agents' = AGENTS.mapBy(id => {
                val share = applyRow(NO_SHARE, first, id, NEVER)
                { clock: clocks.get(id), startedAt: NEVER, applied: if (informed.contains(id)) 2 else 1, knownAt: 0,
                    interruptedAt: NEVER, inLedger: false,
                    share: if (informed.contains(id)) applyRow(share, second, id, clocks.get(id)) else share }
            }),
        }
    }
    action step = any {
        passTime,
        any { beginChange, completeChange, restart },
        any { send, sendSlowly, arrive },
    }

    val runsAtMostOnce = key.runs <= 1
    val refusalsHold = not(refusalBroken)
}

module atMostOnceDesign { import atMostOnce(REMOVED = "none").* }
module withoutNextOwners { import atMostOnce(REMOVED = "next owners").* }
module withoutStoppedOwners { import atMostOnce(REMOVED = "old owners have stopped").* }
module withoutPredateCheck { import atMostOnce(REMOVED = "key must not predate owner").* }
module withoutStartCheck { import atMostOnce(REMOVED = "start before key").* }
module withoutClockSkew { import atMostOnce(REMOVED = "clock skew").* }
module withoutHold { import atMostOnce(REMOVED = "hold").* }
module withoutKnowledgeSinceStart { import atMostOnce(REMOVED = "knowledge since start").* }
module withoutEveryRecord { import atMostOnce(REMOVED = "every record in order").* }

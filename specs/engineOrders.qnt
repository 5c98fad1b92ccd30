// Orders of the agent to its engine (design section 8): agents that restart, lost answers, and orders that arrive late.
// The modules at the end select the kind of engine and the guard that is left out; see README.md.

module engineOrders {
    /// Name of the guard that is left out; "none" for the whole design.
    const REMOVED: str
    /// Whether the engine refuses an order with an older fencing token than the newest that it has seen.
    const ENGINE_CHECKS: bool
    /// Longest time that an order is on its way.
    const LONGEST_WAY: int

    /// Time that the agent takes an order to be on its way.
    pure val ORDER_LIMIT = 2

    type Token = { epoch: int, start: int, sequence: int }
    type Order = { token: Token, sentAt: int }
    type Agent = { epoch: int, start: int, startedAt: int, sequence: int, unansweredSince: int }

    var now: int
    /// Offset of the newest placement record.
    var placement: int
    var agent: Agent
    var transit: Set[Order]
    /// Token of the order that took effect last and the newest token that the engine has seen.
    var engine: { last: Token, highest: Token }
    /// True once an order of an earlier process, or any order with an older token, took effect after a later one.
    var predecessorWon: bool
    var olderWon: bool

    pure val ANSWERED = -1
    def has(guard) = REMOVED != guard
    pure def isNewer(left, right) = left.epoch > right.epoch or (left.epoch == right.epoch and
        (left.start > right.start or (left.start == right.start and left.sequence > right.sequence)))

    action keepEngine = all { engine' = engine, predecessorWon' = predecessorWon, olderWon' = olderWon }
    action tick = {
        nondet duration = Set(1, 2).oneOf()
        all {
            now' = now + duration,
            transit' = transit.filter(order => now + duration <= order.sentAt + LONGEST_WAY),
            placement' = placement, agent' = agent, keepEngine,
        }
    }
    action changePlacement = all {
        placement' = placement + 1, now' = now, agent' = agent, transit' = transit, keepEngine,
    }
    action learnPlacement = all {
        agent' = agent.with("epoch", placement), now' = now, placement' = placement, transit' = transit, keepEngine,
    }
    /// The new process may take older state from a peer than its predecessor had.
    action restart = {
        nondet epoch = 1.to(placement).oneOf()
        all {
            agent' = { epoch: epoch, start: agent.start + 1, startedAt: now, sequence: 0, unansweredSince: ANSWERED },
            now' = now, placement' = placement, transit' = transit, keepEngine,
        }
    }
    /// The agent reads the engine's state and then sends an order, so its token is newer than what the engine has seen.
    action sendOrder = {
        val token = { epoch: agent.epoch, start: agent.start, sequence: agent.sequence + 1 }
        all {
            now - agent.startedAt > ORDER_LIMIT or not(has("wait for the predecessor's orders")),
            agent.unansweredSince == ANSWERED or now - agent.unansweredSince > ORDER_LIMIT
                or not(has("wait after a lost answer")),
            isNewer(token, engine.highest),
            transit' = transit.union(Set({ token: token, sentAt: now })),
            agent' = agent.with("sequence", token.sequence).with("unansweredSince", now),
            now' = now, placement' = placement, keepEngine,
        }
    }
    /// An order reaches the engine; the answer reaches the agent or is lost.
    action deliver = {
        nondet order = transit.oneOf()
        nondet isAnswered = Set(true, false).oneOf()
        val token = order.token
        val takesEffect = isNewer(token, engine.highest) or not(ENGINE_CHECKS)
        val isOwn = token.start == agent.start and token.sequence == agent.sequence
        all {
            transit' = transit.exclude(Set(order)),
            engine' = if (takesEffect)
                { last: token, highest: if (isNewer(token, engine.highest)) token else engine.highest } else engine,
            predecessorWon' = (predecessorWon or (takesEffect and token.start < engine.last.start)),
            olderWon' = (olderWon or (takesEffect and isNewer(engine.last, token))),
            agent' = if (isAnswered and isOwn) agent.with("unansweredSince", ANSWERED) else agent,
            now' = now, placement' = placement,
        }
    }

    action init = all {
        now' = 10, placement' = 1, transit' = Set(), predecessorWon' = false, olderWon' = false,
        agent' = { epoch: 1, start: 1, startedAt: 0, sequence: 0, unansweredSince: ANSWERED },
        engine' = { last: { epoch: 0, start: 0, sequence: 0 }, highest: { epoch: 0, start: 0, sequence: 0 } },
    }
    action step = any { tick, changePlacement, learnPlacement, restart, sendOrder, deliver }

    val predecessorNeverWins = not(predecessorWon)
    val olderNeverWins = not(olderWon)
}

module ignoringEngine { import engineOrders(REMOVED = "none", ENGINE_CHECKS = false, LONGEST_WAY = 2).* }
module checkingEngine { import engineOrders(REMOVED = "none", ENGINE_CHECKS = true, LONGEST_WAY = 2).* }
/// Orders that take longer than the agent expects.
module checkingEngineSlowOrders { import engineOrders(REMOVED = "none", ENGINE_CHECKS = true, LONGEST_WAY = 100).* }
module ignoringEngineSlowOrders { import engineOrders(REMOVED = "none", ENGINE_CHECKS = false, LONGEST_WAY = 100).* }
module ignoringWithoutStartWait {
    import engineOrders(REMOVED = "wait for the predecessor's orders", ENGINE_CHECKS = false, LONGEST_WAY = 2).*
}
module checkingWithoutStartWait {
    import engineOrders(REMOVED = "wait for the predecessor's orders", ENGINE_CHECKS = true, LONGEST_WAY = 2).*
}
module ignoringWithoutAnswerWait {
    import engineOrders(REMOVED = "wait after a lost answer", ENGINE_CHECKS = false, LONGEST_WAY = 2).*
}

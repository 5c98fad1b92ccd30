// Models the orders that an agent sends to its engine (section 8 of docs/design.md) while the agent restarts, answers
// are lost and orders arrive late. Each module at the end of the file selects a kind of engine and disables one guard
// or none; see README.md.

module engineOrders {
    /// Name of the disabled guard; "none" for the complete design.
    const DISABLED_GUARD: str
    /// Whether the engine refuses orders whose fencing token is not newer than the newest that it has seen.
    const ENGINE_CHECKS: bool
    /// Longest time that an order takes to reach the engine.
    const MAXIMUM_DELAY: int

    /// Order time limit of the agent: it assumes that no order takes longer to reach the engine.
    pure val ORDER_TIME_LIMIT = 2

    /// Fencing token. epoch is the offset of the placement record that the agent knew, start numbers the processes of
    /// the agent, and sequence numbers the orders of one process.
    type Token = { epoch: int, start: int, sequence: int }
    type Order = { token: Token, sentAt: int }
    /// unansweredSince is the time at which the unanswered order was sent, or NO_UNANSWERED_ORDER.
    type Agent = { epoch: int, start: int, startedAt: int, sequence: int, unansweredSince: int }

    var now: int
    /// Offset of the newest placement record.
    var placement: int
    var agent: Agent
    var inTransit: Set[Order]
    /// last is the token of the order that took effect last, highest the newest token that the engine has seen.
    var engine: { last: Token, highest: Token }
    /// True once an order of an earlier process of the agent took effect after one of a later process.
    var predecessorWon: bool
    /// True once an order took effect after one with a newer token.
    var olderWon: bool

    pure val NO_UNANSWERED_ORDER = -1
    def isEnabled(guard) = DISABLED_GUARD != guard
    pure def isNewer(left, right) = left.epoch > right.epoch or (left.epoch == right.epoch and
        (left.start > right.start or (left.start == right.start and left.sequence > right.sequence)))

    action keepEngine = all { engine' = engine, predecessorWon' = predecessorWon, olderWon' = olderWon }
    action passTime = {
        nondet duration = Set(1, 2).oneOf()
        all {
            now' = now + duration,
            inTransit' = inTransit.filter(order => now + duration <= order.sentAt + MAXIMUM_DELAY),
            placement' = placement, agent' = agent, keepEngine,
        }
    }
    action changePlacement = all {
        placement' = placement + 1, now' = now, agent' = agent, inTransit' = inTransit, keepEngine,
    }
    action learnPlacement = all {
        agent' = agent.with("epoch", placement), now' = now, placement' = placement, inTransit' = inTransit, keepEngine,
    }
    /// The agent restarts. The new process may copy an older state from a peer than its predecessor had.
    action restart = {
        nondet epoch = 1.to(placement).oneOf()
        all {
            agent' = { epoch: epoch, start: agent.start + 1, startedAt: now, sequence: 0,
                unansweredSince: NO_UNANSWERED_ORDER },
            now' = now, placement' = placement, inTransit' = inTransit, keepEngine,
        }
    }
    /// The agent reads the engine's state before it sends an order, so the token is newer than any that the engine has
    /// seen.
    action sendOrder = {
        val token = { epoch: agent.epoch, start: agent.start, sequence: agent.sequence + 1 }
        all {
            now - agent.startedAt > ORDER_TIME_LIMIT or not(isEnabled("wait for the predecessor's orders")),
            agent.unansweredSince == NO_UNANSWERED_ORDER or now - agent.unansweredSince > ORDER_TIME_LIMIT
                or not(isEnabled("wait after a lost answer")),
            isNewer(token, engine.highest),
            inTransit' = inTransit.union(Set({ token: token, sentAt: now })),
            agent' = agent.with("sequence", token.sequence).with("unansweredSince", now),
            now' = now, placement' = placement, keepEngine,
        }
    }
    /// An order reaches the engine. The answer reaches the agent or is lost.
    action deliver = {
        nondet order = inTransit.oneOf()
        nondet isAnswered = Set(true, false).oneOf()
        val token = order.token
        val takesEffect = isNewer(token, engine.highest) or not(ENGINE_CHECKS)
        val isOwn = token.start == agent.start and token.sequence == agent.sequence
        all {
            inTransit' = inTransit.exclude(Set(order)),
            engine' = if (takesEffect)
                { last: token, highest: if (isNewer(token, engine.highest)) token else engine.highest } else engine,
            predecessorWon' = (predecessorWon or (takesEffect and token.start < engine.last.start)),
            olderWon' = (olderWon or (takesEffect and isNewer(engine.last, token))),
            agent' = if (isAnswered and isOwn) agent.with("unansweredSince", NO_UNANSWERED_ORDER) else agent,
            now' = now, placement' = placement,
        }
    }

    action init = all {
        now' = 10, placement' = 1, inTransit' = Set(), predecessorWon' = false, olderWon' = false,
        agent' = { epoch: 1, start: 1, startedAt: 0, sequence: 0, unansweredSince: NO_UNANSWERED_ORDER },
        engine' = { last: { epoch: 0, start: 0, sequence: 0 }, highest: { epoch: 0, start: 0, sequence: 0 } },
    }
    action step = any { passTime, changePlacement, learnPlacement, restart, sendOrder, deliver }

    val predecessorNeverWins = not(predecessorWon)
    val olderNeverWins = not(olderWon)
}

module ignoringEngine { import engineOrders(DISABLED_GUARD = "none", ENGINE_CHECKS = false, MAXIMUM_DELAY = 2).* }
module checkingEngine { import engineOrders(DISABLED_GUARD = "none", ENGINE_CHECKS = true, MAXIMUM_DELAY = 2).* }
/// Orders may take longer than the order time limit.
module checkingEngineSlowOrders {
    import engineOrders(DISABLED_GUARD = "none", ENGINE_CHECKS = true, MAXIMUM_DELAY = 100).*
}
/// Orders may take longer than the order time limit.
module ignoringEngineSlowOrders {
    import engineOrders(DISABLED_GUARD = "none", ENGINE_CHECKS = false, MAXIMUM_DELAY = 100).*
}
module ignoringWithoutStartWait {
    import engineOrders(
        DISABLED_GUARD = "wait for the predecessor's orders", ENGINE_CHECKS = false, MAXIMUM_DELAY = 2
    ).*
}
module checkingWithoutStartWait {
    import engineOrders(
        DISABLED_GUARD = "wait for the predecessor's orders", ENGINE_CHECKS = true, MAXIMUM_DELAY = 2
    ).*
}
module ignoringWithoutAnswerWait {
    import engineOrders(DISABLED_GUARD = "wait after a lost answer", ENGINE_CHECKS = false, MAXIMUM_DELAY = 2).*
}

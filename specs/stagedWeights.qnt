// Models an agent that stages weights in its engine and orders loads, while calls take effect late or lose their
// answers, staged pieces turn bad, and the agent or the engine restarts. The engine checks neither the staged pieces
// nor who sent an order, only the number of orders that it has accepted. Each module at the end of the file disables
// one guard or none; see README.md.

module stagedWeights {
    /// Name of the disabled guard; "none" for the complete design.
    const DISABLED_GUARD: str
    /// Longest time after which an order or a write may still take effect.
    const MAXIMUM_DELAY: int

    pure val PIECES = Set(0, 1)
    pure val VERSIONS = Set(1, 2)
    /// Content of a piece that is bad or missing.
    pure val BAD = 0
    /// Loaded version of an engine without weights, and version of an order that gives up the loaded weights.
    pure val NO_VERSION = 0
    /// The agent assumes that no call takes effect later than this.
    pure val CALL_LIMIT = 2
    /// Time from the acceptance of an order until the engine makes tokens with the weights.
    pure val LOAD_TIME = 2
    /// Age from which on gateways ignore a report.
    pure val REPORT_LIMIT = 1

    /// wrong: a piece was wrong when the order was accepted. usableAt: time from which on tokens are made.
    type Engine = { start: int, startedAt: int, sequence: int, version: int, wrong: bool, usableAt: int }
    /// What is loaded: the start of the engine and the number of orders that it has accepted since.
    type Identity = { start: int, sequence: int }
    pure val NOTHING: Identity = { start: 0, sequence: 0 }
    /// connection is the start of the engine that received the order, process the agent's process that sent it.
    type Order = { version: int, expected: int, connection: int, process: int, copy: int, sentAt: int }
    type Write = { piece: int, version: int, process: int, sentAt: int }
    /// Order without an effect known to the agent. unanswered is the number of its copies without an answer; wasRight
    /// tells whether the staged pieces were right when it was sent.
    type Pending =
        { version: int, expected: int, start: int, copies: int, unanswered: int, sentAt: int, wasRight: bool }
    pure val NO_PENDING: Pending =
        { version: 0, expected: 0, start: 0, copies: 0, unanswered: 0, sentAt: 0, wasRight: false }
    type Agent = {
        process: int, startedAt: int,
        // Last report of the engine: identity, version, and the time of its reading. NOTHING before the first one.
        known: Identity, version: int, knownAt: int,
        pending: Pending,
        // Writes without an answer.
        writes: Set[Write],
        // Whether the staged pieces were wrong when they were read back for the known identity.
        seenWrong: bool,
        // Identity of the weights known to be right, and their version.
        verified: Identity, verifiedVersion: int,
    }
    pure def startAgent(process: int, time: int): Agent = {
        process: process, startedAt: time, known: NOTHING, version: NO_VERSION, knownAt: time, pending: NO_PENDING,
        writes: Set(), seenWrong: false, verified: NOTHING, verifiedVersion: NO_VERSION,
    }

    var now: int
    /// Version of each staged piece.
    var staged: int -> int
    var engine: Engine
    var orders: Set[Order]
    var writes: Set[Write]
    var agent: Agent
    /// Version that the agent's last report declares right, and the time of that report.
    var gateway: { version: int, reportedAt: int }

    def isEnabled(guard) = DISABLED_GUARD != guard
    def identity = { start: engine.start, sequence: engine.sequence }
    def isStaged(version) = PIECES.forall(piece => staged.get(piece) == version)
    def hasPendingOrder = agent.pending.copies > 0
    /// True until the agent has read a report at a time from which on no call of an earlier process takes effect.
    def awaitsPredecessor =
        val latest = if (isEnabled("report after the wait")) agent.knownAt else now
        latest - agent.startedAt <= CALL_LIMIT and isEnabled("wait for the predecessor's calls")
    def isVerified(known: Agent): bool = known.verified == known.known or
        (not(isEnabled("identity of loaded weights")) and known.verifiedVersion == known.version)

    action keepCalls = all { orders' = orders, writes' = writes }
    action keepEngine = all { engine' = engine, staged' = staged }

    action passTime = {
        nondet duration = Set(1, 2).oneOf()
        val later = now + duration
        all {
            now' = later,
            orders' = orders.filter(order => later <= order.sentAt + MAXIMUM_DELAY),
            writes' = writes.filter(write => later <= write.sentAt + MAXIMUM_DELAY),
            agent' = agent.with("writes", agent.writes.filter(write => later <= write.sentAt + CALL_LIMIT)),
            keepEngine, gateway' = gateway,
        }
    }
    action turnBad = {
        nondet piece = PIECES.oneOf()
        all {
            staged' = staged.set(piece, BAD), engine' = engine, now' = now, agent' = agent, keepCalls,
            gateway' = gateway,
        }
    }
    /// What is staged outlives the engine; calls that it has not carried out do not.
    action restartEngine = all {
        engine' = { start: engine.start + 1, startedAt: now, sequence: 0, version: NO_VERSION, wrong: false,
            usableAt: now },
        orders' = Set(), writes' = Set(), staged' = staged, now' = now, agent' = agent, gateway' = gateway,
    }
    action restartAgent = all {
        agent' = startAgent(agent.process + 1, now), now' = now, keepCalls, keepEngine, gateway' = gateway,
    }

    /// Records that the engine reports an identity. An order is settled if the engine has accepted one since, or has
    /// started since.
    def learn(learned: Identity, version: int): Agent = {
        val pending = agent.pending
        val isSettled =
            if (learned.start == pending.start) learned.sequence > pending.expected
            else (engine.startedAt > pending.sentAt or not(isEnabled("start after the order")))
        val changed = learned != agent.known
        val isTrusted = agent.known == NOTHING and not(isEnabled("no knowledge after a restart"))
            and version != NO_VERSION
        val wasRight = pending.wasRight and pending.version == version and isSettled
            and not(isEnabled("read back after the acceptance"))
        { ...agent,
            known: learned, version: version, knownAt: now,
            pending: if (isSettled) NO_PENDING else pending,
            seenWrong: if (changed) false else agent.seenWrong,
            verified: if (isTrusted or wasRight) learned else agent.verified,
            verifiedVersion: if (isTrusted or wasRight) version else agent.verifiedVersion,
        }
    }
    /// Reads the engine's report and reports to the gateway which version is loaded and right. The report may be lost;
    /// nothing else informs the gateway.
    action readReport = {
        nondet isLost = Set(true, false).oneOf()
        val learned = learn(identity, engine.version)
        val isUsable = isVerified(learned) or not(isEnabled("verified weights only"))
        all {
            agent' = learned,
            gateway' = if (isLost) gateway
                else { version: if (isUsable) learned.version else NO_VERSION, reportedAt: now },
            now' = now, keepCalls, keepEngine,
        }
    }
    /// Reads the staged pieces of the loaded weights back.
    action readBack = {
        val isRight = isStaged(agent.version) and not(agent.seenWrong)
        all {
            agent.version != NO_VERSION,
            agent.verified != agent.known,
            agent' = { ...agent,
                seenWrong: not(isRight),
                verified: if (isRight) agent.known else agent.verified,
                verifiedVersion: if (isRight) agent.version else agent.verifiedVersion,
            },
            now' = now, keepCalls, keepEngine, gateway' = gateway,
        }
    }
    action sendWrite = {
        nondet piece = PIECES.oneOf()
        nondet version = VERSIONS.oneOf()
        val write = { piece: piece, version: version, process: agent.process, sentAt: now }
        all {
            agent.known != NOTHING,
            not(awaitsPredecessor),
            not(hasPendingOrder) or not(isEnabled("nothing staged beside a pending order")),
            agent.version == NO_VERSION or isVerified(agent) or not(isEnabled("give up before repair")),
            writes' = writes.union(Set(write)), orders' = orders,
            agent' = agent.with("writes", agent.writes.union(Set(write))),
            now' = now, keepEngine, gateway' = gateway,
        }
    }
    action deliverWrite = {
        nondet write = writes.oneOf()
        nondet isAnswered = Set(true, false).oneOf()
        all {
            staged' = staged.set(write.piece, write.version), engine' = engine,
            writes' = writes.exclude(Set(write)), orders' = orders,
            agent' = if (isAnswered) agent.with("writes", agent.writes.exclude(Set(write))) else agent,
            now' = now, gateway' = gateway,
        }
    }
    /// Orders a version, or gives up the loaded weights.
    action sendOrder = {
        nondet version = VERSIONS.union(Set(NO_VERSION)).oneOf()
        val order = { version: version, expected: agent.known.sequence, connection: engine.start,
            process: agent.process, copy: 1, sentAt: now }
        all {
            agent.known != NOTHING,
            not(hasPendingOrder),
            not(awaitsPredecessor),
            agent.writes == Set() or not(isEnabled("no order beside a pending write")),
            orders' = orders.union(Set(order)), writes' = writes,
            agent' = agent.with("pending", { version: version, expected: agent.known.sequence,
                start: agent.known.start, copies: 1, unanswered: 1, sentAt: now, wasRight: isStaged(version) }),
            now' = now, keepEngine, gateway' = gateway,
        }
    }
    action repeatOrder = {
        val pending = agent.pending
        val order = { version: pending.version, expected: pending.expected, connection: engine.start,
            process: agent.process, copy: pending.copies + 1, sentAt: now }
        all {
            hasPendingOrder, pending.copies < 3,
            orders' = orders.union(Set(order)), writes' = writes,
            agent' = agent.with("pending",
                { ...pending, copies: pending.copies + 1, unanswered: pending.unanswered + 1, sentAt: now }),
            now' = now, keepEngine, gateway' = gateway,
        }
    }
    /// An order reaches the engine, which may refuse it for reasons of its own. The answer may be lost.
    action deliverOrder = {
        nondet order = orders.oneOf()
        nondet isAnswered = Set(true, false).oneOf()
        nondet isRefused = Set(true, false).oneOf()
        val takesEffect = not(isRefused) and order.expected == engine.sequence and order.version != engine.version
        val isOwn = order.process == agent.process and hasPendingOrder and order.expected == agent.pending.expected
        val accepted = { start: engine.start, sequence: engine.sequence + 1 }
        val left = agent.pending.unanswered - 1
        all {
            orders' = orders.exclude(Set(order)), writes' = writes,
            engine' = if (takesEffect) { ...engine,
                sequence: engine.sequence + 1, version: order.version, usableAt: now + LOAD_TIME,
                wrong: order.version != NO_VERSION and not(isStaged(order.version)),
            } else engine,
            staged' = staged,
            agent' = if (not(isAnswered) or not(isOwn)) agent
                else if (takesEffect) learn(accepted, order.version).with("pending", NO_PENDING)
                else if (left == 0 or not(isEnabled("answers of all copies"))) agent.with("pending", NO_PENDING)
                else agent.with("pending", agent.pending.with("unanswered", left)),
            now' = now, gateway' = gateway,
        }
    }
    pure val LOADED_ENGINE: Engine =
        { start: 1, startedAt: 0, sequence: 0, version: 1, wrong: false, usableAt: 0 }
    pure val RESTARTED_ENGINE: Engine =
        { start: 2, startedAt: 7, sequence: 0, version: NO_VERSION, wrong: false, usableAt: 7 }
    /// Agent that has verified version 1.
    pure val VERIFIED_AGENT = { ...startAgent(1, 0),
        known: { start: 1, sequence: 0 }, version: 1, knownAt: 8,
        verified: { start: 1, sequence: 0 }, verifiedVersion: 1,
    }
    /// Agent that restarted and has read one report.
    pure val RESTARTED_AGENT = { ...startAgent(2, 8), known: { start: 2, sequence: 0 }, knownAt: 9 }
    pure def orderTo(receiver: Engine, time: int): Order =
        { version: 2, expected: 0, connection: receiver.start, process: 1, copy: 1, sentAt: time }
    pure val ORDERING_AGENT = VERIFIED_AGENT.with("pending",
        { version: 2, expected: 0, start: 1, copies: 1, unanswered: 1, sentAt: 10, wasRight: true })

    /// What is staged is arbitrary.
    action initWith(first: Engine, started: Agent, order: Set[Order], write: Set[Write]): bool = {
        nondet pieces = PIECES.setOfMaps(VERSIONS.union(Set(BAD))).oneOf()
        all {
            now' = 10, staged' = pieces, engine' = first, orders' = order, writes' = write, agent' = started,
            gateway' = { version: NO_VERSION, reportedAt: 0 },
        }
    }
    /// The agent knows nothing of the engine, which has loaded version 1.
    action init = initWith(LOADED_ENGINE, startAgent(1, 0), Set(), Set())
    action initVerified = initWith(LOADED_ENGINE, VERIFIED_AGENT, Set(), Set())
    /// The agent has just written a piece.
    action initWritten = {
        val write = { piece: 0, version: 2, process: 1, sentAt: 10 }
        initWith(LOADED_ENGINE, VERIFIED_AGENT.with("writes", Set(write)), Set(), Set(write))
    }
    /// The agent has just sent an order.
    action initOrdered = initWith(LOADED_ENGINE, ORDERING_AGENT, Set(orderTo(LOADED_ENGINE, 10)), Set())
    /// The agent has repeated an order.
    action initRepeated = {
        val repeated = ORDERING_AGENT.with("pending", { ...ORDERING_AGENT.pending, copies: 2, unanswered: 2 })
        val first = orderTo(LOADED_ENGINE, 10)
        initWith(LOADED_ENGINE, repeated, Set(first, { ...first, copy: 2 }), Set())
    }
    /// The engine restarted between the agent's last report and its order.
    action initOrderedAfterRestart =
        initWith(RESTARTED_ENGINE, ORDERING_AGENT, Set(orderTo(RESTARTED_ENGINE, 10)), Set())
    /// The agent restarted after its order and has read a report since.
    action initPredecessor = initWith(RESTARTED_ENGINE, RESTARTED_AGENT, Set(orderTo(RESTARTED_ENGINE, 8)), Set())
    /// Bounds the restarts, so that the sampled runs contain more of the other steps.
    action restart = any {
        all { engine.start < 3, restartEngine },
        all { agent.process < 3, restartAgent },
        turnBad,
    }
    action step = any {
        passTime, restart, readReport, readBack, sendWrite, deliverWrite, sendOrder, repeatOrder, deliverOrder,
    }

    /// No token is made with wrong weights: the gateway sends requests for the version that is reported to be right,
    /// and the engine checks nothing but the version.
    val noWrongTokens =
        val isSent = gateway.version != NO_VERSION and
            (now - gateway.reportedAt <= REPORT_LIMIT or not(isEnabled("recent reports")))
        not(isSent and engine.version == gateway.version and now >= engine.usableAt and engine.wrong)
}

module stagedWeightsDesign { import stagedWeights(DISABLED_GUARD = "none", MAXIMUM_DELAY = 2).* }
/// Calls may take effect later than the agent assumes.
module stagedWeightsSlowCalls { import stagedWeights(DISABLED_GUARD = "none", MAXIMUM_DELAY = 100).* }
module withoutFrozenStaging {
    import stagedWeights(DISABLED_GUARD = "nothing staged beside a pending order", MAXIMUM_DELAY = 2).*
}
module withoutAnsweredWrites {
    import stagedWeights(DISABLED_GUARD = "no order beside a pending write", MAXIMUM_DELAY = 2).*
}
module withoutGivingUp { import stagedWeights(DISABLED_GUARD = "give up before repair", MAXIMUM_DELAY = 2).* }
module withoutVerification { import stagedWeights(DISABLED_GUARD = "verified weights only", MAXIMUM_DELAY = 2).* }
/// The agent verifies what is staged only before it sends an order.
module withoutReadBack {
    import stagedWeights(DISABLED_GUARD = "read back after the acceptance", MAXIMUM_DELAY = 2).*
}
module withoutIdentity { import stagedWeights(DISABLED_GUARD = "identity of loaded weights", MAXIMUM_DELAY = 2).* }
module withoutFreshKnowledge {
    import stagedWeights(DISABLED_GUARD = "no knowledge after a restart", MAXIMUM_DELAY = 2).*
}
module withoutPredecessorWait {
    import stagedWeights(DISABLED_GUARD = "wait for the predecessor's calls", MAXIMUM_DELAY = 2).*
}
module withoutReportAfterWait {
    import stagedWeights(DISABLED_GUARD = "report after the wait", MAXIMUM_DELAY = 2).*
}
module withoutStartOfOrder { import stagedWeights(DISABLED_GUARD = "start after the order", MAXIMUM_DELAY = 2).* }
module withoutAllAnswers { import stagedWeights(DISABLED_GUARD = "answers of all copies", MAXIMUM_DELAY = 2).* }
module withoutRecentReports { import stagedWeights(DISABLED_GUARD = "recent reports", MAXIMUM_DELAY = 2).* }

package io.kumquattrail.measure.idempotency

import com.github.michaelbull.result.get
import io.kumquattrail.decision.delivery.Call
import io.kumquattrail.decision.delivery.CallAction
import io.kumquattrail.decision.delivery.CallEvent
import io.kumquattrail.decision.delivery.CallState
import io.kumquattrail.decision.delivery.Frame
import io.kumquattrail.decision.delivery.FrameContent
import io.kumquattrail.decision.delivery.KeyedCall
import io.kumquattrail.decision.delivery.RetryPolicy
import io.kumquattrail.decision.delivery.WorkKind
import io.kumquattrail.decision.idempotency.BeginResult
import io.kumquattrail.decision.idempotency.IdempotencyKey
import io.kumquattrail.decision.idempotency.KeyAttempt
import io.kumquattrail.decision.idempotency.ReleaseResult
import io.kumquattrail.decision.idempotency.StoredAnswer
import io.kumquattrail.decision.idempotency.Ticket
import io.kumquattrail.decision.idempotency.refusal
import io.kumquattrail.decision.idempotency.server
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.record.KeyOwnerGeneration
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.record.ServiceKind
import io.kumquattrail.decision.record.ServiceRecord
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val AGENTS = 3
private const val GATEWAYS = 2
private const val MAXIMUM_CALLS = 6
private const val LOCAL_REFUSAL_SHARE = 0.15
private const val REPEAT_AFTER_SUCCESS_SHARE = 0.3
private const val NEW_AGENT_SHARE = 0.2
private const val NEW_AGENT_MILLISECONDS = 8_000
private const val WRONG_CALLER_CLOCK_SHARE = 0.25
private const val CALLER_CLOCK_ERROR_MILLISECONDS = 4_000
private const val KEYS_OF_OTHERS = 8
private const val FINGERPRINT = "transfer"
private val ORIGIN = WallTime(1_700_000_000_000)
private val CALLER_PATIENCE = 2.seconds
private val GATEWAY_PATIENCE = 1_800.milliseconds
private val SILENCE = 300.milliseconds
private val RELEASE_PATIENCE = 200.milliseconds
private val UNREACHABLE_FOR = 2.seconds
private val RESTART = 100.milliseconds
private val ANSWER = StoredAnswer(status = 200, headers = emptyMap(), body = "posted".toByteArray())

/**
 * Runs one key's life: one caller, two gateways, and three agents with a server each.
 *
 * The caller waits for an answer for a limited time and then sends the call again through the other gateway; it pays no
 * attention to answers of calls that it has given up.
 */
class CallSimulation(
    private val scenario: Scenario,
    private val policy: DeliveryPolicy,
) {
    private val random = Random(scenario.seed)
    private val faults = FaultInjector(scenario.faults, random)
    private val queue = EventQueue()
    private val ledger = Ledger()
    private val currentRecords = records(generations = 2, servers = AGENTS)
    private val staleRecords = records(generations = 1, servers = AGENTS - 1)
    private val agents = List(AGENTS) { Agent(ServerName("ledger-$it"), currentRecords) }
    private val gateways = List(GATEWAYS) { Gateway(currentRecords) }
    private val partitionedUntil = mutableMapOf<Pair<Gateway, Agent>, Duration>()
    private val key: IdempotencyKey

    private var callsSent = 0
    private var openCall: String? = null
    private var ticket: Ticket? = null
    private var refusedUnknown = 0
    private var refusedNotRun = 0
    private var answered = false

    init {
        agents.forEach { agent ->
            agent.clockError = faults.clockError()
            // Key times are most uncertain just after an agent's start.
            val isNew = random.nextDouble() < NEW_AGENT_SHARE
            val age = if (isNew) random.nextInt(0, NEW_AGENT_MILLISECONDS).milliseconds else 1.hours
            startIncarnation(agent, startedAt = wallTime(agent) - age)
        }
        key = if (scenario.issuedKey && policy.issuesKeys) issuedKey() else callerKey()
    }

    /** Runs the scenario until no message is under way. */
    fun run(): ScenarioResult {
        queue.after(ZERO) { callerSends() }
        queue.run()
        return ScenarioResult(
            calls = callsSent,
            runs = ledger.runCount,
            falseNotRun = ledger.falseNotRunCount,
            refusedUnknown = refusedUnknown,
            refusedNotRun = refusedNotRun,
            answered = answered,
        )
    }

    private fun issuedKey(): IdempotencyKey =
        agents
            .random(random)
            .table
            ?.issue(1)
            ?.single() ?: callerKey()

    private fun callerKey(): IdempotencyKey {
        // Nothing bounds the error of a caller's clock, so some keys come from the past and some from the future.
        val error =
            if (random.nextDouble() < WRONG_CALLER_CLOCK_SHARE) {
                random.nextInt(-CALLER_CLOCK_ERROR_MILLISECONDS, CALLER_CLOCK_ERROR_MILLISECONDS).milliseconds
            } else {
                faults.clockError()
            }
        val time = ORIGIN + error
        return IdempotencyKey.Caller(high = (time.milliseconds shl 16) or 0x7000, low = Long.MIN_VALUE or scenario.seed)
    }

    private fun wallTime(agent: Agent): WallTime = ORIGIN + queue.now + agent.clockError

    private fun monotonicTime(): MonotonicTime = MonotonicTime.ZERO + queue.now

    // Caller

    private fun callerSends() {
        if (callsSent == MAXIMUM_CALLS) return
        val gateway = gateways[callsSent % GATEWAYS]
        val id = "call-${callsSent++}"
        openCall = id
        val sentAt = queue.now
        val sentTicket = ticket.takeIf { usesTicket() }
        transmit(CallStep.CALLER_SENDS, gateway, agents.random(random), from = null, to = gateway) {
            gatewayReceives(gateway, id, sentAt, sentTicket?.round ?: 0)
        }
        queue.after(CALLER_PATIENCE) { if (openCall == id) callerSends() }
    }

    private fun usesTicket(): Boolean =
        when (scenario.ticketUse) {
            TicketUse.ALWAYS -> true
            TicketUse.NEVER -> false
            TicketUse.SOMETIMES -> random.nextBoolean()
        }

    private fun callerReceives(
        id: String,
        refusal: Refusal?,
    ) {
        if (openCall != id) return
        openCall = null
        when (refusal?.runState) {
            null -> {
                answered = true
            }

            RunState.UNKNOWN -> {
                refusedUnknown++
            }

            RunState.NO -> {
                refusedNotRun++
                ledger.answeredNotRun(queue.now)
                refusal.ticket?.let { text -> ticket = Ticket.parse(text, key).get() }
            }
        }
        val sendsAgain = refusal != null || random.nextDouble() < REPEAT_AFTER_SUCCESS_SHARE
        if (sendsAgain) queue.after(random.nextInt(1, 400).milliseconds) { callerSends() }
    }

    // Gateway

    private fun gatewayReceives(
        gateway: Gateway,
        id: String,
        sentAt: Duration,
        round: Int,
    ) {
        val unreachable = gateway.unreachableUntil.filterValues { it > queue.now }.keys
        val owner = policy.owner(key, gateway.records, unreachable).server
        if (policy.workKind == WorkKind.KEYED && owner == null) {
            val refusal = Refusal(RefusalReason.KEY_OUTCOME_UNKNOWN, RunState.UNKNOWN, "The gateway knows no owner.")
            answer(gateway, id, refusal)
            return
        }
        val call =
            Call(
                requestId = id,
                kind = policy.workKind,
                deadline = monotonicTime() + GATEWAY_PATIENCE,
                keyed = owner?.let { KeyedCall(key, it, round) }.takeIf { policy.workKind == WorkKind.KEYED },
                silence = SILENCE,
            )
        val state = CallState(call, RetryPolicy(permission = { true }))
        gateway.calls[id] = state
        val limited = Refusal(RefusalReason.ORGANISATION_LIMIT, RunState.NO, "The organisation is over its limit.")
        val first =
            if (random.nextDouble() < LOCAL_REFUSAL_SHARE) CallEvent.RefusedLocally(limited) else CallEvent.Start
        report(gateway, id, sentAt, first)
        queue.afterOnSameEpoch(GATEWAY_PATIENCE, gateway) { report(gateway, id, sentAt, CallEvent.DeadlinePassed) }
    }

    private fun report(
        gateway: Gateway,
        id: String,
        sentAt: Duration,
        event: CallEvent,
    ) {
        val state = gateway.calls[id] ?: return
        state.handle(event, monotonicTime()).forEach { action ->
            when (action) {
                is CallAction.SendAttempt -> {
                    queue.afterOnSameEpoch(action.delay, gateway) {
                        if (!state.ended) gatewaySends(gateway, id, sentAt, action)
                    }
                }

                is CallAction.ReleaseKey -> {
                    gatewayReleases(gateway, id, sentAt, action)
                }

                is CallAction.Refuse -> {
                    answer(gateway, id, action.refusal)
                }

                is CallAction.AbortResponse -> {
                    answer(gateway, id, action.refusal)
                }

                CallAction.Finish -> {
                    answer(gateway, id, refusal = null)
                }

                is CallAction.Write, is CallAction.CancelAttempt -> {
                    Unit
                }
            }
        }
    }

    private fun gatewaySends(
        gateway: Gateway,
        id: String,
        sentAt: Duration,
        action: CallAction.SendAttempt,
    ) {
        val server = action.owner ?: chooseServer(gateway, action.excluded)
        if (server == null) {
            report(gateway, id, sentAt, CallEvent.NoServer(action.attempt))
            return
        }
        val agent = agents.first { it.server == server }
        report(gateway, id, sentAt, CallEvent.ServerChosen(action.attempt, server))
        val attempt =
            Attempt(
                gateway = gateway,
                gatewayEpoch = gateway.epoch,
                requestId = id,
                number = action.attempt,
                round = action.round,
                remaining = GATEWAY_PATIENCE,
                callSentAt = sentAt,
            )
        val refused = {
            gateway.unreachableUntil[server] = queue.now + UNREACHABLE_FOR
            report(gateway, id, sentAt, CallEvent.ConnectionFailed(action.attempt))
        }
        transmit(CallStep.GATEWAY_SENDS, gateway, agent, from = gateway, to = agent, refused) {
            agentReceives(agent, attempt)
        }
        queue.afterOnSameEpoch(action.silence, gateway) {
            if (gateway.calls[id]?.ended == false) gateway.unreachableUntil[server] = queue.now + UNREACHABLE_FOR
            report(gateway, id, sentAt, CallEvent.AttemptTimedOut(action.attempt))
        }
    }

    private fun chooseServer(
        gateway: Gateway,
        excluded: Set<ServerName>,
    ): ServerName? =
        gateway.records.servers
            .map { it.name }
            .filter { it !in excluded }
            .randomOrNull(random)

    private fun gatewayReleases(
        gateway: Gateway,
        id: String,
        sentAt: Duration,
        action: CallAction.ReleaseKey,
    ) {
        val agent = agents.first { it.server == action.owner }
        val refused = { report(gateway, id, sentAt, CallEvent.ReleaseFailed) }
        transmit(CallStep.GATEWAY_SENDS, gateway, agent, from = gateway, to = agent, refused) {
            val result = agent.table?.release(keyAttempt(agent, action.round), monotonicTime(), wallTime(agent))
            val round = (result as? ReleaseResult.Voided)?.ticket?.round
            transmit(CallStep.AGENT_ANSWERS, gateway, agent, from = agent, to = gateway) {
                report(gateway, id, sentAt, CallEvent.ReleaseAnswered(round))
            }
        }
        queue.afterOnSameEpoch(RELEASE_PATIENCE, gateway) { report(gateway, id, sentAt, CallEvent.ReleaseFailed) }
    }

    private fun answer(
        gateway: Gateway,
        id: String,
        refusal: Refusal?,
    ) = transmit(CallStep.GATEWAY_ANSWERS, gateway, agents.random(random), from = gateway, to = null) {
        callerReceives(id, refusal)
    }

    // Agent and its server

    private fun keyAttempt(
        agent: Agent,
        round: Int,
    ) = KeyAttempt(key, round, FINGERPRINT, policy.ownerAtAgent(key, agent.records, agent.server))

    private fun agentReceives(
        agent: Agent,
        attempt: Attempt,
    ) {
        val receivedAt = queue.now
        val table = agent.table
        val begun = table?.begin(keyAttempt(agent, attempt.round), monotonicTime(), wallTime(agent))
        when (begun) {
            is BeginResult.Replay -> {
                agentAnswers(agent, attempt, begun.answer)
            }

            null, is BeginResult.Run -> {
                val due = faults.due(CallStep.AGENT_BEGINS)
                due.forEach { strike(it, attempt.gateway, agent) }
                // The pause of a paused agent lies between its decision and the sending to the server.
                queue.afterOnSameEpoch(ZERO, agent) { agentSends(agent, attempt, receivedAt) }
            }

            else -> {
                val refusal = begun.refusal() ?: return
                val round = (begun as? BeginResult.Voided)?.ticket?.round
                agentAnswers(agent, attempt, FrameContent.NotRun(refusal.reason, "", null, round, round != null))
            }
        }
    }

    private fun agentSends(
        agent: Agent,
        attempt: Attempt,
        receivedAt: Duration,
    ) {
        val problem =
            when {
                queue.now - receivedAt > attempt.remaining -> RefusalReason.DEADLINE_EXCEEDED
                agent.overloadedUntil > queue.now -> RefusalReason.OVERLOADED
                !agent.backend.isAlive -> RefusalReason.SERVER_FAILED
                else -> null
            }
        if (problem != null) {
            val round = agent.table?.failedBeforeSending(key, attempt.round, monotonicTime())?.round
            agentAnswers(agent, attempt, FrameContent.NotRun(problem, "", null, round, keyNotRun = round != null))
            return
        }
        agent.outstanding += attempt
        val due = faults.due(CallStep.AGENT_SENDS)
        due.forEach { strike(it, attempt.gateway, agent) }
        if (Fault.MESSAGE_LOST in
            due
        ) {
            queue.afterOnSameEpoch(1.milliseconds, agent) { connectionBroken(agent, attempt) }
        }
        val delays = faults.delays(due - UNKNOWN_TO_CONNECTIONS)
        delays.forEach { delay ->
            queue.afterOnSameEpoch(delay, agent.backend) {
                ledger.apply(callSentAt = attempt.callSentAt, now = queue.now)
                serverAnswers(agent, attempt)
            }
        }
    }

    private fun serverAnswers(
        agent: Agent,
        attempt: Attempt,
    ) {
        val due = faults.due(CallStep.SERVER_ANSWERS)
        due.forEach { strike(it, attempt.gateway, agent) }
        if (Fault.MESSAGE_LOST in
            due
        ) {
            queue.afterOnSameEpoch(1.milliseconds, agent) { connectionBroken(agent, attempt) }
        }
        faults.delays(due - UNKNOWN_TO_CONNECTIONS).forEach { delay ->
            queue.afterOnSameEpoch(delay, agent) {
                if (agent.outstanding.remove(attempt)) {
                    agent.table?.complete(key, attempt.round, ANSWER, monotonicTime())
                    agentAnswers(agent, attempt, ANSWER)
                }
            }
        }
    }

    private fun connectionBroken(
        agent: Agent,
        attempt: Attempt,
    ) {
        if (!agent.outstanding.remove(attempt)) return
        agent.table?.failedAfterSending(key, attempt.round, monotonicTime())
        agentAnswers(agent, attempt, FrameContent.Broken())
    }

    private fun agentAnswers(
        agent: Agent,
        attempt: Attempt,
        answer: StoredAnswer,
    ) {
        agentAnswers(agent, attempt, FrameContent.Started(answer.status, answer.headers))
        agentAnswers(agent, attempt, FrameContent.Chunk(sequence = 0, tokenOffset = null, tokenCount = 0, answer.body))
        agentAnswers(agent, attempt, FrameContent.Finished(chunks = 1))
    }

    private fun agentAnswers(
        agent: Agent,
        attempt: Attempt,
        content: FrameContent,
    ) {
        val gateway = attempt.gateway
        val frame = Frame(attempt.requestId, attempt.number, agent.incarnation, content)
        transmit(CallStep.AGENT_ANSWERS, gateway, agent, from = agent, to = gateway) {
            if (gateway.epoch == attempt.gatewayEpoch) {
                report(gateway, attempt.requestId, attempt.callSentAt, CallEvent.FrameArrived(frame))
            }
        }
    }

    // Network and faults

    private fun transmit(
        step: CallStep,
        gateway: Gateway,
        agent: Agent,
        from: Node?,
        to: Node?,
        refused: () -> Unit = {},
        action: () -> Unit,
    ) {
        val due = faults.due(step)
        val strikesBeforeSending = random.nextBoolean()
        val fromEpoch = from?.epoch
        if (strikesBeforeSending) due.forEach { strike(it, gateway, agent) }
        if (from?.epoch == fromEpoch) {
            val pause = maxOf(ZERO, (from?.pausedUntil ?: ZERO) - queue.now)
            val delays = faults.delays(due).map { it + pause }
            val partitioned = (partitionedUntil[gateway to agent] ?: ZERO) > queue.now && from != null && to != null
            if (!partitioned) delays.forEach { delay -> deliver(delay, to, refused, action) }
        }
        if (!strikesBeforeSending) due.forEach { strike(it, gateway, agent) }
    }

    private fun deliver(
        delay: Duration,
        to: Node?,
        refused: () -> Unit,
        action: () -> Unit,
    ) = queue.after(delay, to) { if (to?.isAlive != false) action() else refused() }

    private fun strike(
        fault: Fault,
        gateway: Gateway,
        agent: Agent,
    ) {
        when (fault) {
            Fault.MESSAGE_LOST, Fault.MESSAGE_DOUBLED, Fault.MESSAGE_LATE, Fault.MESSAGE_REORDERED -> {
                Unit
            }

            Fault.GATEWAY_DIES -> {
                gatewayDies(gateway)
            }

            Fault.GATEWAY_PAUSED -> {
                gateway.pausedUntil = queue.now + faults.duration()
            }

            Fault.AGENT_DIES -> {
                agentDies(agent)
            }

            Fault.AGENT_PAUSED -> {
                agent.pausedUntil = queue.now + faults.duration()
            }

            Fault.AGENT_OVERLOADED -> {
                agent.overloadedUntil = queue.now + faults.duration()
            }

            Fault.SERVER_DIES -> {
                serverDies(agent)
            }

            Fault.PARTITION -> {
                partitionedUntil[gateway to agent] = queue.now + faults.duration()
            }

            Fault.STALE_RECORDS -> {
                if (random.nextBoolean()) {
                    gateway.records = staleRecords
                } else {
                    agent.records =
                        staleRecords
                }
            }

            Fault.CLOCK_DIFFERENCE -> {
                agents.forEach { it.clockError = faults.clockError() }
            }
        }
    }

    private fun gatewayDies(gateway: Gateway) {
        gateway.epoch++
        gateway.isAlive = false
        gateway.pausedUntil = ZERO
        gateway.calls.clear()
        gateway.unreachableUntil.clear()
        queue.after(RESTART) { gateway.isAlive = true }
    }

    private fun agentDies(agent: Agent) {
        agent.epoch++
        agent.isAlive = false
        agent.pausedUntil = ZERO
        agent.table = null
        agent.outstanding.clear()
        queue.after(RESTART) {
            agent.isAlive = true
            // The new process may run on another VM, whose clock has another error.
            agent.clockError = faults.clockError()
            startIncarnation(agent, startedAt = wallTime(agent))
            // The numbers of the new incarnation's keys reach those of its predecessor.
            agent.table?.issue(KEYS_OF_OTHERS)
        }
    }

    private fun startIncarnation(
        agent: Agent,
        startedAt: WallTime,
    ) {
        agent.incarnation = Incarnation.random(random)
        agent.table = policy.keyTable(agent.server, agent.incarnation, startedAt, random)
    }

    private fun serverDies(agent: Agent) {
        agent.backend.epoch++
        agent.backend.isAlive = false
        agent.outstanding.toList().forEach { attempt ->
            queue.afterOnSameEpoch(1.milliseconds, agent) { connectionBroken(agent, attempt) }
        }
        queue.after(RESTART) { agent.backend.isAlive = true }
    }

    private companion object {
        val UNKNOWN_TO_CONNECTIONS = setOf(Fault.MESSAGE_DOUBLED, Fault.MESSAGE_REORDERED, Fault.MESSAGE_LOST)
    }
}

private fun records(
    generations: Int,
    servers: Int,
): RecordSet {
    val names = List(servers) { ServerName("ledger-$it") }
    val change = (ORIGIN - 1.hours).milliseconds
    val owners =
        listOf(
            KeyOwnerGeneration(0, change, names.take(AGENTS - 1).toImmutableList()),
            KeyOwnerGeneration(change, Long.MAX_VALUE, names.toImmutableList()),
        )
    val service =
        ServiceRecord(LEDGER_SERVICE, ServiceKind.PLAIN, keyOwners = owners.take(generations).toImmutableList())
    val zone = ZoneName("zone")
    return names.fold(RecordSet().with(service, revision = generations.toLong())) { set, name ->
        set.with(BackendServerRecord(name, LEDGER_SERVICE, zone, address = "127.0.0.1:1"), set.revision)
    }
}

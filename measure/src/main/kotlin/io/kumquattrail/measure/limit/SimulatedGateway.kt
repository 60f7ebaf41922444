package io.kumquattrail.measure.limit

import io.kumquattrail.decision.admission.TokenCost
import io.kumquattrail.decision.admission.WorkId
import io.kumquattrail.decision.admission.WorkItem
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.limit.QuotaDecision
import io.kumquattrail.decision.limit.QuotaOwner
import io.kumquattrail.decision.limit.ShedDecision
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** Runs the product's limits of one gateway and picks the less loaded of two servers by its own work in flight. */
internal class SimulatedGateway(
    val name: ProcessName,
    policy: LimitPolicy,
    private val agents: List<SimulatedAgent>,
    private val events: EventQueue,
    private val random: Random,
    limits: (OrganisationName) -> Long?,
) {
    val quota = policy.quota?.invoke(name, random, limits)
    val owner = QuotaOwner()
    val shedder = policy.shedder?.invoke()
    private val retryBudget = policy.retryBudget()
    private val inFlight = IntArray(agents.size)
    private var nextId = 0L

    fun handle(attempt: CallerAttempt) {
        val now = events.now
        val estimate = attempt.estimatedTokens.toLong()
        val decision = quota?.admit(attempt.organisation.name, estimate, now)
        if (decision is QuotaDecision.Refused) return attempt.onRefused(Refusal.QUOTA, decision.retryAfter)
        attempt.onGranted()
        val shed = shedder?.admit(attempt.organisation.priority, estimate, now)
        if (shed is ShedDecision.Shed) return attempt.onRefused(Refusal.OVERLOAD, shed.retryAfter)
        retryBudget.recordFresh(now)
        send(attempt, WorkId("${name.value}/${nextId++}", 1))
    }

    private fun send(
        attempt: CallerAttempt,
        id: WorkId,
    ) {
        val index = choose()
        inFlight[index] += 1
        val item =
            WorkItem(
                id = id,
                organisation = attempt.organisation.name,
                cost = TokenCost(Workload.PROMPT_TOKENS, attempt.estimatedTokens - Workload.PROMPT_TOKENS),
                deadline = attempt.deadline,
                organisationWeight = attempt.organisation.weight,
                priority = attempt.organisation.priority,
            )
        val server =
            ServerAttempt(
                item = item,
                actualTokens = attempt.actualTokens,
                onFinished = { events.after(NETWORK_DELAY) { finished(index, attempt) } },
                onNotRun = { retryAfter -> events.after(NETWORK_DELAY) { notRun(index, attempt, id, retryAfter) } },
            )
        events.after(NETWORK_DELAY) { agents[index].execute(server) }
    }

    private fun finished(
        index: Int,
        attempt: CallerAttempt,
    ) {
        inFlight[index] -= 1
        val estimate = attempt.estimatedTokens.toLong()
        quota?.settle(attempt.organisation.name, estimate, attempt.actualTokens.toLong(), events.now)
        attempt.onFinished()
    }

    private fun notRun(
        index: Int,
        attempt: CallerAttempt,
        id: WorkId,
        retryAfter: Duration,
    ) {
        inFlight[index] -= 1
        val mayRetry = id.attempt < MOST_ATTEMPTS && events.now < attempt.deadline && retryBudget.tryRetry(events.now)
        if (mayRetry) {
            send(
                attempt,
                id.copy(attempt = id.attempt + 1),
            )
        } else {
            attempt.onRefused(Refusal.OVERLOAD, retryAfter)
        }
    }

    private fun choose(): Int {
        val first = random.nextInt(agents.size)
        val second = random.nextInt(agents.size)
        return if (inFlight[second] < inFlight[first]) second else first
    }

    private companion object {
        const val MOST_ATTEMPTS = 3
        val NETWORK_DELAY = 500.microseconds
    }
}

/** Tells a refusal by a published limit from one by overload. */
internal enum class Refusal { QUOTA, OVERLOAD }

/** Holds one sending of a caller's request. */
internal class CallerAttempt(
    val organisation: SimulatedOrganisation,
    val estimatedTokens: Int,
    val actualTokens: Int,
    val deadline: MonotonicTime,
    val onGranted: () -> Unit,
    val onFinished: () -> Unit,
    val onRefused: (Refusal, Duration) -> Unit,
)

package io.kumquattrail.measure.routing

import io.kumquattrail.decision.admission.AdmissionAction
import io.kumquattrail.decision.admission.AdmissionController
import io.kumquattrail.decision.admission.AdmissionEvent
import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.admission.PriorityWorkQueue
import io.kumquattrail.decision.admission.SendDecision
import io.kumquattrail.decision.admission.ServerLimits
import io.kumquattrail.decision.admission.TokenCost
import io.kumquattrail.decision.admission.WorkId
import io.kumquattrail.decision.admission.WorkItem
import io.kumquattrail.decision.admission.WorkOutcome
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.routing.RoutingTarget
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Runs the product's admission controller beside a [RunnerModel]. */
internal class AgentModel(
    private val events: EventQueue,
    private val target: RoutingTarget,
    private val limits: ServerLimits,
    private val runner: RunnerModel,
    random: Random,
) : RunnerListener {
    private val controller =
        AdmissionController(Incarnation.random(random), PriorityWorkQueue(maximumItems = QUEUED_REQUESTS))
    private val attempts = HashMap<WorkId, Attempt>()
    private val jobs = HashMap<WorkId, RunnerJob>()
    private var revision = 0L

    /** Receives the changes of the runner's prefix cache. */
    var cacheListener: (PrefixCacheModel.Change) -> Unit = {}

    /** Time at which the runner last received work. */
    var lastSentAt: MonotonicTime? = null
        private set

    val zone get() = target.zone
    val name get() = target.name
    val model get() = runner
    val load: LoadReport get() = controller.loadReport()

    init {
        runner.listener = this
        events.every(TICK, TICK * random.nextDouble()) { tell(AdmissionEvent.Tick) }
    }

    fun publish(inService: Boolean) {
        revision += 1
        tell(AdmissionEvent.RecordsChanged(limits, inService, revision))
    }

    /** Lets the agent see enough completed requests to end its cold start, as after a long time in service. */
    fun endColdStart() {
        tell(AdmissionEvent.ServerObserved(runner.incarnation, 0, null, events.now))
        var number = 0
        while (controller.loadReport().cold) {
            val id = WorkId("warm-up", number++)
            val deadline = events.now + TICK
            controller.onEvent(
                AdmissionEvent.WorkArrived(WorkItem(id, OrganisationName("warm-up"), TokenCost(1, 1), deadline)),
                events.now,
            )
            controller.recheck(id, events.now)
            controller.onEvent(AdmissionEvent.WorkEnded(id, WorkOutcome.COMPLETED), events.now)
        }
    }

    fun receive(attempt: Attempt) {
        val request = attempt.call.request
        val id = WorkId(attempt.call.number.toString(), attempt.number)
        attempts[id] = attempt
        val item =
            WorkItem(id, request.organisation, attempt.assignment.cost, attempt.call.deadline, 1, request.priority)
        tell(AdmissionEvent.WorkArrived(item))
    }

    override fun onFirstToken(job: RunnerJob) {
        tell(AdmissionEvent.FirstToken(idOf(job)))
        job.reference.gateway.onFirstToken(job.reference, this)
    }

    override fun onFinished(job: RunnerJob) {
        val id = idOf(job)
        tell(AdmissionEvent.OutputProgress(id, job.outputTokens))
        forget(id)
        tell(AdmissionEvent.WorkEnded(id, WorkOutcome.COMPLETED))
        job.reference.gateway.onFinished(job.reference, job.outputTokens, this)
    }

    override fun onBroken(job: RunnerJob) {
        val id = idOf(job)
        forget(id)
        tell(AdmissionEvent.WorkEnded(id, WorkOutcome.BROKEN))
        job.reference.gateway.onBroken(job.reference, runner.outputTokens(job), this)
    }

    override fun onCacheChange(change: PrefixCacheModel.Change) = cacheListener(change)

    private fun tell(event: AdmissionEvent) = apply(controller.onEvent(event, events.now))

    private fun apply(actions: List<AdmissionAction>) {
        for (action in actions) {
            when (action) {
                is AdmissionAction.Start -> send(action.item)
                is AdmissionAction.HandBack -> handBack(action)
                AdmissionAction.ReadServer -> events.after(READ_TIME) { readServer() }
                AdmissionAction.ConfirmRecords -> events.after(READ_TIME) { tell(AdmissionEvent.RecordsConfirmed) }
                is AdmissionAction.CloseDuplicate, is AdmissionAction.NoteCold, AdmissionAction.NoteDrained -> Unit
            }
        }
    }

    private fun send(item: WorkItem) {
        when (val decision = controller.recheck(item.id, events.now)) {
            is SendDecision.Denied -> apply(decision.actions)
            SendDecision.NotGranted -> Unit
            is SendDecision.Send -> submit(item.id, decision.serverIncarnation)
        }
    }

    private fun submit(
        id: WorkId,
        serverIncarnation: String,
    ) {
        if (!runner.isUp || runner.incarnation != serverIncarnation) {
            tell(AdmissionEvent.NotConnected(id))
            return
        }
        val attempt = attempts.getValue(id)
        val call = attempt.call
        val job =
            RunnerJob(
                promptTokens = call.request.promptTokens + call.receivedTokens,
                outputTokens = (call.request.outputTokens - call.receivedTokens).coerceAtLeast(1),
                prefix = call.request.prefix,
                reference = attempt,
            )
        jobs[id] = job
        call.runs += 1
        lastSentAt = events.now
        runner.submit(job)
    }

    private fun handBack(action: AdmissionAction.HandBack) {
        val attempt = attempts.getValue(action.item.id)
        forget(action.item.id)
        attempt.gateway.onNotRun(attempt, action.retryAfter, this)
    }

    private fun readServer() {
        if (!runner.isUp) return
        tell(AdmissionEvent.ServerObserved(runner.incarnation, runner.running, null, events.now - READ_TIME))
    }

    private fun forget(id: WorkId) {
        attempts -= id
        jobs -= id
    }

    private fun idOf(job: RunnerJob) =
        WorkId(
            job.reference.call.number
                .toString(),
            job.reference.number,
        )

    private companion object {
        const val QUEUED_REQUESTS = 16
        val TICK = 100.milliseconds
        val READ_TIME = 1.milliseconds
    }
}

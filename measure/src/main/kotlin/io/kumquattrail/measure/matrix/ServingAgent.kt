package io.kumquattrail.measure.matrix

import io.kumquattrail.decision.admission.AdmissionAction
import io.kumquattrail.decision.admission.AdmissionController
import io.kumquattrail.decision.admission.AdmissionEvent
import io.kumquattrail.decision.admission.PriorityWorkQueue
import io.kumquattrail.decision.admission.SendDecision
import io.kumquattrail.decision.admission.TokenCost
import io.kumquattrail.decision.admission.WorkId
import io.kumquattrail.decision.admission.WorkItem
import io.kumquattrail.decision.admission.WorkOutcome
import io.kumquattrail.decision.delivery.FrameContent
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.suspect.Crash
import io.kumquattrail.decision.suspect.ExecutionPolicy
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs the product's admission controller beside a [ServingServer]. */
internal class ServingAgent(
    private val world: ServingRun,
    val index: Int,
) : ServingProcess(world.queue) {
    private class Work(
        val attempt: ServingAttempt,
        val runAlone: Boolean,
    ) {
        var job: ServingJob? = null
    }

    val server = ServingServer(queue) { running, bearable -> world.violated("P2: $running run, $bearable are borne") }
    private val works = LinkedHashMap<WorkId, Work>()
    var incarnation = Incarnation.random(world.random)
        private set
    private var controller = newController()

    private fun newController() = AdmissionController(incarnation, PriorityWorkQueue(QUEUED))

    override fun start() {
        super.start()
        incarnation = Incarnation.random(world.random)
        controller = newController()
        startTicks()
        world.reached("started", this)
    }

    override fun end() {
        super.end()
        // The connections of the process close: gateways see it, and the server goes on with what it runs.
        val attempts = works.values.map { it.attempt }
        works.clear()
        attempts.forEach { attempt -> world.send(index, ServingRun.GATEWAY) { attempt.connectionLost() } }
    }

    fun startTicks() {
        val since = life

        fun tick() {
            if (life != since) return
            receive(since) { tell(AdmissionEvent.Tick) }
            queue.after(TICK) { tick() }
        }
        tick()
    }

    /** Lets the agent see enough completed requests to end its cold start, as after a long time in service. */
    fun endColdStart() {
        tell(AdmissionEvent.ServerObserved(server.incarnation, 0, null, queue.now))
        var number = 0
        while (controller.loadReport().cold) {
            val id = WorkId("warm-up", number++)
            val item = WorkItem(id, ORGANISATION, TokenCost(1, 1), queue.now + TICK)
            controller.onEvent(AdmissionEvent.WorkArrived(item), queue.now)
            controller.recheck(id, queue.now)
            controller.onEvent(AdmissionEvent.WorkEnded(id, WorkOutcome.COMPLETED), queue.now)
        }
    }

    fun execute(
        attempt: ServingAttempt,
        runAlone: Boolean,
    ) {
        world.reached("work_arrived", this)
        if (world.suspects.executionPolicy(attempt.call.fingerprint, queue.now) is ExecutionPolicy.Blocked) {
            return attempt.frame(this, FrameContent.NotRun(RefusalReason.REQUEST_CRASHES_SERVERS))
        }
        // A duplicate keeps the first copy's entry.
        works.putIfAbsent(attempt.id, Work(attempt, runAlone))
        val cost = TokenCost(COST / 2, COST / 2)
        val item = WorkItem(attempt.id, ORGANISATION, cost, attempt.call.deadline, runAlone = runAlone)
        tell(AdmissionEvent.WorkArrived(item))
    }

    /** Stops waiting for [id]; the server is told and stops a little later. */
    fun cancel(id: WorkId) {
        val work = works.remove(id) ?: return
        val job = work.job ?: return tell(AdmissionEvent.WorkWithdrawn(id))
        queue.after(CANCEL) { server.cancel(job) }
        tell(AdmissionEvent.WorkEnded(id, WorkOutcome.CANCELLED))
    }

    override fun recordsChanged(records: ServingRecords) {
        val inService = index !in records.outOfService
        tell(AdmissionEvent.RecordsChanged(ServingServer.LIMITS, inService, records.revision))
        world.reached(if (inService) "records_learned" else "agent_informed", this)
    }

    fun tell(event: AdmissionEvent) = apply(controller.onEvent(event, queue.now))

    private fun apply(actions: List<AdmissionAction>) {
        actions.forEach { action ->
            when (action) {
                is AdmissionAction.Start -> {
                    world.reached("granted", this)
                    later(SEND) { send(action.item) }
                }

                is AdmissionAction.HandBack -> {
                    val work = works.remove(action.item.id)
                    val notRun = FrameContent.NotRun(action.reason, retryAfter = action.retryAfter)
                    work?.attempt?.frame(this, notRun)
                }

                AdmissionAction.ReadServer -> {
                    val startedAt = queue.now
                    later(SEND) { readServer(startedAt) }
                }

                AdmissionAction.ConfirmRecords -> {
                    world.askPeer(this) { tell(AdmissionEvent.RecordsConfirmed) }
                }

                AdmissionAction.NoteDrained -> {
                    world.reached("drained", this)
                    later(SEND) { exit() }
                }

                is AdmissionAction.CloseDuplicate, is AdmissionAction.NoteCold -> {
                    Unit
                }
            }
        }
    }

    private fun later(
        delay: Duration,
        action: () -> Unit,
    ) {
        val since = life
        queue.after(delay) { receive(since, action) }
    }

    private fun readServer(startedAt: MonotonicTime) {
        if (!server.isUp) return
        tell(AdmissionEvent.ServerObserved(server.incarnation, server.running, null, startedAt))
        world.reached("server_read", this)
    }

    private fun exit() {
        val own = works.values.count { it.job != null }
        if (own > 0) world.violated("P8: agent $index exits with $own requests in progress")
        world.reached("exited", this)
        world.exited(this)
    }

    private fun send(item: WorkItem) {
        when (val decision = controller.recheck(item.id, queue.now)) {
            is SendDecision.Denied -> apply(decision.actions)
            SendDecision.NotGranted -> Unit
            is SendDecision.Send -> submit(item.id, decision.serverIncarnation)
        }
    }

    private fun submit(
        id: WorkId,
        serverIncarnation: String,
    ) {
        val work = works[id] ?: return tell(AdmissionEvent.WorkEnded(id, WorkOutcome.CANCELLED))
        if (!server.isUp || server.incarnation != serverIncarnation) return tell(AdmissionEvent.NotConnected(id))
        work.attempt.call.runs += 1
        world.serverReceived(this)
        val job = Job(id, work, life)
        work.job = job
        server.submit(job)
        if (work.attempt.call.crashesServers) {
            queue.after(CRASH) {
                if (server.incarnation ==
                    serverIncarnation
                ) {
                    crash()
                }
            }
        }
        world.reached("server_received", this)
    }

    private fun crash() {
        world.crashes += 1
        server.crash()
    }

    private inner class Job(
        private val id: WorkId,
        private val work: Work,
        private val since: Int,
    ) : ServingJob {
        private val resumeAfter = work.attempt.resumeAfterTokens
        override val tokens = work.attempt.call.tokens - resumeAfter
        private var sequence = 0L

        private fun own(input: () -> Unit) = receive(since) { if (works[id] === work) input() }

        override fun token(index: Int) =
            own {
                if (index == 0) {
                    tell(AdmissionEvent.FirstToken(id))
                    work.attempt.frame(this@ServingAgent, FrameContent.Started(200))
                    world.reached("first_token", this@ServingAgent)
                }
                val token = resumeAfter + index
                val offset = if (work.attempt.call.isStream) token else null
                val data =
                    work.attempt.call
                        .token(token)
                        .toByteArray()
                val count = if (work.attempt.call.isStream) 1 else 0
                work.attempt.frame(this@ServingAgent, FrameContent.Chunk(sequence++, offset, count, data))
                tell(AdmissionEvent.OutputProgress(id, index + 1))
                if (index == 2) world.reached("third_token", this@ServingAgent)
            }

        override fun finished() =
            own {
                works -= id
                tell(AdmissionEvent.WorkEnded(id, WorkOutcome.COMPLETED))
                if (tokens == 0) work.attempt.frame(this@ServingAgent, FrameContent.Started(200))
                work.attempt.frame(this@ServingAgent, FrameContent.Finished(sequence))
                world.reached("finished_sent", this@ServingAgent)
            }

        override fun broken() =
            own {
                val fingerprints =
                    works.values
                        .filter { it.job != null }
                        .map { it.attempt.call.fingerprint }
                        .toSet()
                works -= id
                tell(AdmissionEvent.WorkEnded(id, WorkOutcome.BROKEN))
                world.suspects.recordCrash(Crash(incarnation, fingerprints, work.runAlone), queue.now)
                work.attempt.frame(this@ServingAgent, FrameContent.Broken(serverCrashed = true))
            }
    }

    private companion object {
        const val QUEUED = 16
        const val COST = 100
        val ORGANISATION = OrganisationName("hanbit")
        val TICK = 100.milliseconds
        val SEND = 1.milliseconds
        val CANCEL = 20.milliseconds
        val CRASH = 15.milliseconds
    }
}

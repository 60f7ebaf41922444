package io.kumquattrail.decision.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMITS = ServerLimits(warmConcurrency = 8, warmTokens = 8_000, coldConcurrency = 2, coldTokens = 2_000)

/** Drives a controller on virtual time and sends granted work at once unless [sends] is false. */
private class Agent(
    var sends: Boolean = true,
    queued: Int = 4,
) {
    val controller = AdmissionController(Incarnation(1, 1), PriorityWorkQueue(queued))
    val sent = mutableListOf<Int>()
    val handedBack = mutableMapOf<Int, HandBackCause>()
    var now = MonotonicTime(1_000_000_000)
    private var number = 0

    fun tell(event: AdmissionEvent): List<AdmissionAction> = controller.onEvent(event, now).also(::apply)

    fun offer(
        priority: Int = 0,
        tokens: Int = 100,
        remaining: Duration = 10.seconds,
        runAlone: Boolean = false,
    ): Int {
        number += 1
        tell(AdmissionEvent.WorkArrived(item(number, priority, tokens, now + remaining, runAlone)))
        return number
    }

    fun send(number: Int): SendDecision =
        controller.recheck(WorkId("$number", 0), now).also { decision ->
            if (decision is SendDecision.Send) sent += number
            if (decision is SendDecision.Denied) apply(decision.actions)
        }

    fun finish(
        number: Int,
        outcome: WorkOutcome = WorkOutcome.COMPLETED,
    ) = tell(AdmissionEvent.WorkEnded(WorkId("$number", 0), outcome))

    fun publish(inService: Boolean = true) = tell(AdmissionEvent.RecordsChanged(LIMITS, inService, revision = 1))

    fun observe(
        incarnation: String = "first",
        running: Int = 0,
    ) = tell(AdmissionEvent.ServerObserved(incarnation, running, tokens = null, readStartedAt = now))

    fun pass(duration: Duration) {
        repeat((duration / 100.milliseconds).toInt()) {
            now += 100.milliseconds
            tell(AdmissionEvent.Tick)
        }
    }

    fun warmUp() {
        publish()
        observe()
        repeat(40) { finish(offer()) }
        sent.clear()
    }

    /** Runs [count] requests with a first token after 100 ms each. */
    fun learnFirstToken(count: Int = 20) =
        repeat(count) {
            val number = offer()
            pass(100.milliseconds)
            tell(AdmissionEvent.FirstToken(WorkId("$number", 0)))
            finish(number)
        }

    private fun apply(actions: List<AdmissionAction>) =
        actions.forEach { action ->
            if (action is AdmissionAction.Start && sends) {
                send(
                    action.item.id.requestId
                        .toInt(),
                )
            }
            if (action is AdmissionAction.HandBack) {
                handedBack[
                    action.item.id.requestId
                        .toInt(),
                ] = action.cause
            }
        }

    private fun item(
        number: Int,
        priority: Int,
        tokens: Int,
        deadline: MonotonicTime,
        runAlone: Boolean,
    ) = WorkItem(
        id = WorkId("$number", 0),
        organisation = OrganisationName("hanbit"),
        cost = TokenCost(tokens / 2, tokens - tokens / 2),
        deadline = deadline,
        priority = priority,
        runAlone = runAlone,
    )
}

class AdmissionControllerSpec :
    DescribeSpec({
        describe("a server in cold start") {
            it("receives nothing before the agent has read its incarnation, since it may run a predecessor's work") {
                val agent = Agent()
                agent.publish()
                agent.offer()
                agent.sent.shouldBeEmpty()
                agent.observe(running = 2)
                agent.sent.shouldBeEmpty()
                agent.observe(running = 1)
                agent.sent shouldContainExactly listOf(1)
            }

            it("receives at most the cold limit of requests and of tokens") {
                val agent = Agent()
                agent.publish()
                agent.observe()
                repeat(4) { agent.offer() }
                agent.sent.size shouldBe 2

                val other = Agent()
                other.publish()
                other.observe()
                repeat(2) { other.offer(tokens = 1_500) }
                other.sent.size shouldBe 1
            }

            it("bears more only after completed requests that were sent after the cold sign") {
                val agent = Agent()
                agent.warmUp()
                val before = List(8) { agent.offer() }
                agent.tell(AdmissionEvent.ConnectionReset)
                agent.observe("first", running = 8)
                before.forEach { agent.finish(it) }
                agent.observe("first", running = 0)
                agent.controller.loadReport().concurrencyLimit shouldBe 2
                repeat(8) { agent.finish(agent.offer()) }
                agent.controller.loadReport().concurrencyLimit shouldBe 4
            }

            it("receives nothing after a cold sign until the work in flight is at or below the cold limit") {
                val agent = Agent(queued = 20)
                agent.warmUp()
                val running = List(6) { agent.offer() }
                agent.observe("second", running = 0)
                agent.sent.clear()
                agent.offer()
                running.take(4).forEach { agent.finish(it) }
                agent.sent.shouldBeEmpty()
                agent.finish(running[4])
                agent.sent.size shouldBe 1
            }

            it("is recognised by a first token that does not come, without a restart") {
                val agent = Agent()
                agent.warmUp()
                agent.learnFirstToken()
                agent.offer()
                agent.pass(500.milliseconds)
                agent.controller.loadReport().cold shouldBe false
                agent.pass(500.milliseconds)
                agent.controller.loadReport().cold shouldBe true
            }

            it("is recognised under high load, when no request in flight makes progress") {
                val agent = Agent()
                agent.warmUp()
                repeat(10) {
                    agent.pass(100.milliseconds)
                    agent.finish(agent.offer())
                }
                repeat(8) { agent.offer() }
                agent.pass(900.milliseconds)
                agent.controller.loadReport().cold shouldBe false
                agent.pass(1.seconds)
                agent.controller.loadReport().cold shouldBe true
            }

            it("is assumed after a pause of the agent, during which the server may have turned cold unnoticed") {
                val agent = Agent()
                agent.warmUp()
                agent.learnFirstToken()
                agent.controller.loadReport().cold shouldBe false
                agent.now += 5.seconds
                agent.tell(AdmissionEvent.Tick)
                agent.controller.loadReport().cold shouldBe true
            }

            it("never exceeds its limit under random events, in whatever order they come") {
                repeat(50) { seed ->
                    val random = Random(seed)
                    val agent = Agent(queued = 8)
                    val server = mutableSetOf<Int>()
                    var incarnation = 0
                    agent.publish()
                    repeat(400) {
                        val limit = agent.controller.loadReport().concurrencyLimit
                        val before = agent.sent.size
                        when (random.nextInt(8)) {
                            in 0..2 -> {
                                agent.offer(priority = random.nextInt(3))
                            }

                            3, 4 -> {
                                server.randomOrNull(random)?.let {
                                    server -= it
                                    agent.finish(it)
                                }
                            }

                            5 -> {
                                agent.observe("$incarnation", server.size)
                            }

                            6 -> {
                                agent.pass(100.milliseconds)
                            }

                            else -> {
                                if (random.nextInt(10) == 0) {
                                    server.clear()
                                    incarnation += 1
                                    agent.tell(AdmissionEvent.ConnectionReset)
                                }
                            }
                        }
                        server += agent.sent.drop(before)
                        val allowed = maxOf(limit, agent.controller.loadReport().concurrencyLimit)
                        if (agent.sent.size > before) server.size shouldBeLessThanOrEqual allowed
                    }
                }
            }
        }

        describe("a server that leaves") {
            it("hands back waiting and granted work and starts no more, while work in progress ends") {
                val agent = Agent()
                agent.warmUp()
                val running = List(8) { agent.offer() }
                val waiting = agent.offer()
                agent.finish(running[0])
                agent.sends = false
                agent.finish(running[1])
                val granted = agent.offer()
                val queued = agent.offer()
                agent.publish(inService = false)
                agent.offer()
                agent.send(granted) shouldBe SendDecision.NotGranted
                agent.handedBack shouldBe
                    mapOf(
                        granted to HandBackCause.DRAINING,
                        queued to HandBackCause.DRAINING,
                        queued + 1 to HandBackCause.DRAINING,
                    )
                agent.controller.drainState shouldBe DrainState.DRAINING
                (running.drop(2) + waiting).flatMap { agent.finish(it) } shouldContain AdmissionAction.NoteDrained
                agent.controller.drainState shouldBe DrainState.DRAINED
            }

            it("is not put back into service by an older revision that arrives late") {
                val agent = Agent()
                agent.publish()
                agent.tell(AdmissionEvent.RecordsChanged(LIMITS, inService = false, revision = 7))
                agent.tell(AdmissionEvent.RecordsChanged(LIMITS, inService = true, revision = 6))
                agent.controller.drainState shouldBe DrainState.DRAINED
            }
        }

        describe("the recheck before a send") {
            it("denies work that expired while the process was paused") {
                val agent = Agent(sends = false)
                agent.warmUpWithSends()
                val number = agent.offer(remaining = 200.milliseconds)
                agent.now += 300.milliseconds
                agent.send(number).shouldBeInstanceOf<SendDecision.Denied>()
                agent.handedBack[number] shouldBe HandBackCause.EXPIRED
            }

            it("denies work granted before a long pause, during which the server may have left the service") {
                val agent = Agent(sends = false)
                agent.warmUpWithSends()
                val number = agent.offer(remaining = 60.seconds)
                agent.now += 5.seconds
                agent.send(number).shouldBeInstanceOf<SendDecision.Denied>()
                agent.handedBack[number] shouldBe HandBackCause.SEND_DELAYED
            }

            it("allows a send once, so that a duplicated message does not run twice") {
                val agent = Agent(sends = false)
                agent.warmUpWithSends()
                val number = agent.offer()
                agent.send(number) shouldBe SendDecision.Send("first")
                agent.send(number) shouldBe SendDecision.NotGranted
            }
        }

        describe("work after a pause of the process") {
            it("waits until records and server are confirmed, or for a bounded time") {
                val agent = Agent()
                agent.warmUp()
                agent.now += 5.seconds
                agent.tell(AdmissionEvent.Tick) shouldContain AdmissionAction.ConfirmRecords
                agent.offer()
                agent.observe()
                agent.sent.shouldBeEmpty()
                agent.tell(AdmissionEvent.RecordsConfirmed)
                agent.sent.size shouldBe 1
                agent.now += 5.seconds
                agent.offer()
                agent.observe()
                agent.pass(2.seconds)
                agent.sent.size shouldBe 2
            }
        }

        describe("arriving work") {
            it("is handed back when it is meant for another incarnation, whose keys this one does not know") {
                val agent = Agent()
                agent.warmUp()
                val item = WorkItem(WorkId("x", 0), OrganisationName("a"), TokenCost(1, 1), agent.now + 1.seconds)
                agent.controller.onEvent(AdmissionEvent.WorkArrived(item, Incarnation(2, 2)), agent.now) shouldContain
                    AdmissionAction.HandBack(item, HandBackCause.OTHER_INCARNATION)
            }

            it("is not declared as not run when it repeats an attempt that may run") {
                val agent = Agent()
                agent.warmUp()
                val item = WorkItem(WorkId("x", 0), OrganisationName("a"), TokenCost(1, 1), agent.now + 1.seconds)
                agent.tell(AdmissionEvent.WorkArrived(item.copy(id = WorkId("900", 0))))
                agent.tell(AdmissionEvent.WorkArrived(item.copy(id = WorkId("900", 0)))) shouldContainExactly
                    listOf(AdmissionAction.CloseDuplicate(WorkId("900", 0)))
            }

            it("is dropped from the queue at its deadline, so that no capacity goes to callers that left") {
                val agent = Agent()
                agent.warmUp()
                val running = List(8) { agent.offer() }
                val late = agent.offer(remaining = 200.milliseconds)
                agent.pass(300.milliseconds)
                agent.handedBack[late] shouldBe HandBackCause.EXPIRED
                agent.finish(running[0])
                agent.sent shouldNotContain late
            }

            it("runs alone when it is suspected of crashing servers") {
                val agent = Agent()
                agent.warmUp()
                val first = agent.offer()
                val alone = agent.offer(runAlone = true, priority = 1)
                val last = agent.offer()
                agent.sent shouldContainExactly listOf(first)
                agent.finish(first)
                agent.sent shouldContainExactly listOf(first, alone)
                agent.finish(alone)
                agent.sent shouldContainExactly listOf(first, alone, last)
            }

            it("is counted as running after it was cancelled until the server says that it ended") {
                val agent = Agent()
                agent.warmUp()
                val numbers = List(8) { agent.offer() }
                agent.finish(numbers[0], WorkOutcome.CANCELLED)
                agent.controller.running shouldBe 8
                agent.pass(1.seconds)
                agent.observe(running = 7)
                agent.controller.running shouldBe 7
            }
        }
    })

private fun Agent.warmUpWithSends() {
    sends = true
    warmUp()
    sends = false
}

package io.kumquattrail.forward.expert

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.catalogue.BackendServer
import io.kumquattrail.decision.expert.replica.OrderResponse
import io.kumquattrail.decision.expert.replica.RankChoices
import io.kumquattrail.decision.expert.replica.RankOrder
import io.kumquattrail.decision.expert.replica.RankState
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.route.EngineFigures
import io.kumquattrail.decision.route.EngineGroupFigures
import io.kumquattrail.decision.route.RoutingConfiguration
import io.kumquattrail.decision.route.ServiceDefinition
import io.kumquattrail.forward.log.EventLog
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SERVICE = ServiceName("drafting")
private val FIGURES = EngineGroupFigures(layerSets = 1, experts = 4, placementsPerRank = 3, sparePlacements = 1)

/** Groups of two ranks each, which hold the experts of map 0. The port of a server determines its group and rank. */
private abstract class TwoRankGroups : RankControl {
    fun group(server: BackendServer) = GroupName("g${server.port / 2}")

    open fun heldPass(server: BackendServer): Long? = null

    /** Returns the answer of [server] to [order]; accepts every order unless overridden. */
    open fun answer(
        server: BackendServer,
        order: RankOrder,
    ): OrderResponse = OrderResponse.ACCEPTED

    fun choices(
        server: BackendServer,
        counts: LongArray,
    ) = RankChoices(server.name, epoch(server), choices = listOf(counts.copyOf()))

    override suspend fun state(server: BackendServer) =
        RankState(
            server = server.name,
            group = group(server),
            epoch = epoch(server),
            rank = server.port % 2,
            size = 2,
            isOpen = true,
            pass = 6,
            mapVersion = 0,
            heldPass = heldPass(server),
        )

    override suspend fun holdings(server: BackendServer) =
        RankHoldings(
            epoch = epoch(server),
            mapVersion = 0,
            preparedVersion = null,
            experts = listOf(setOf(server.port % 2, server.port % 2 + 2)),
        )

    override suspend fun order(
        server: BackendServer,
        order: RankOrder,
        epoch: Long,
        fence: Long,
    ): OrderResponse = answer(server, order)

    private fun epoch(server: BackendServer) = 1L + server.port / 2
}

/** Two ranks, the first of which holds the group before a pass, as left by a gateway that has stopped. */
private class HeldGroup : TwoRankGroups() {
    var heldPass: Long? = 7
    val orders = ArrayList<Pair<String, RankOrder>>()

    override fun heldPass(server: BackendServer): Long? = heldPass.takeIf { server.port == 0 }

    override suspend fun choices(
        server: BackendServer,
        figures: EngineGroupFigures,
    ) = choices(server, longArrayOf(1, 1, 1, 1))

    override fun answer(
        server: BackendServer,
        order: RankOrder,
    ): OrderResponse {
        orders += server.name.value to order
        if (order is RankOrder.Release) heldPass = null
        return OrderResponse.ACCEPTED
    }
}

/** Two ranks, the second of which has all the load. The first [quietReadings] readings show few choices. */
private class QuietThenBusyGroup(
    private val quietReadings: Int,
) : TwoRankGroups() {
    private var readings = 0
    private val choiceCounts = LongArray(4)
    val prepared = AtomicInteger()

    override suspend fun choices(
        server: BackendServer,
        figures: EngineGroupFigures,
    ): RankChoices {
        if (server.port == 0) {
            readings += 1
            val growth = if (readings > quietReadings) 100_000L else 10L
            choiceCounts[1] += growth
            choiceCounts[3] += growth
        }
        return choices(server, choiceCounts)
    }

    override fun answer(
        server: BackendServer,
        order: RankOrder,
    ): OrderResponse {
        if (order is RankOrder.Prepare) prepared.incrementAndGet()
        return OrderResponse.ACCEPTED
    }
}

/** Groups whose second rank has all the load. The servers in [unresponsive] return no counts. */
private open class UnevenGroups(
    private val unresponsive: Set<String> = emptySet(),
) : TwoRankGroups() {
    private val choiceCounts = HashMap<String, LongArray>()
    val queriedServers = HashSet<String>()
    val prepared = HashSet<GroupName>()

    override suspend fun choices(
        server: BackendServer,
        figures: EngineGroupFigures,
    ): RankChoices? {
        queriedServers += server.name.value
        if (server.name.value in unresponsive) return null
        val counts = choiceCounts.getOrPut(server.name.value) { LongArray(4) }
        listOf(1, 3).forEach { counts[it] += 100_000L }
        return choices(server, counts)
    }

    override fun answer(
        server: BackendServer,
        order: RankOrder,
    ): OrderResponse {
        if (order is RankOrder.Prepare) prepared += group(server)
        return OrderResponse.ACCEPTED
    }
}

private fun gatewayState(serverCount: Int = 2): GatewayState {
    val state = GatewayState(ProcessName("127.0.0.1:1"), ZoneName("a"), EventLog(ByteArrayOutputStream()))
    val engine = EngineFigures(8, 1_000, 1.milliseconds, 1.milliseconds, 1.0, 1, 1, group = FIGURES)
    state.publish(
        RoutingConfiguration(
            version = 1,
            routes = persistentListOf(),
            services = persistentMapOf(SERVICE to ServiceDefinition(SERVICE, "/health", 9, engine = engine)),
        ),
        source = "test",
    )
    val servers =
        (0 until serverCount).map {
            BackendServer(
                ServerName("s$it"),
                SERVICE,
                "127.0.0.1",
                it,
                ZoneName("a"),
                slots = 8,
            )
        }
    state.replaceServers(servers, version = 1)
    state.peersAsked = true
    return state
}

/** Maintains the maps of [state]'s groups until [isDone], for at most five seconds; calls [onPoll] every 20 ms. */
private fun maintainMaps(
    control: RankControl,
    state: GatewayState = gatewayState(),
    onPoll: (ExpertMapManager) -> Unit = {},
    isDone: () -> Boolean,
) = runBlocking {
    val job = Job()
    val manager = ExpertMapManager(state, control, peers = { emptyList() })
    manager.start(CoroutineScope(coroutineContext + job))
    withTimeoutOrNull(5.seconds) {
        while (!isDone()) {
            onPoll(manager)
            delay(20)
        }
    }
    job.cancel()
}

/** Returns a function that records a pause of 180 ms for each of [servers]. */
private fun slowPauses(vararg servers: String): (ExpertMapManager) -> Unit =
    { manager -> servers.forEach { manager.recordPause(ServerName(it), 180.milliseconds, ProcessClock.monotonic()) } }

class ExpertMapManagerSpec :
    DescribeSpec({
        describe("a group that has just resumed work when a gateway takes over its maps") {
            // Otherwise, the next check would follow only after the interval of regular checks.
            it("the map leader repeats the check of a resumed group until it has counted enough choices") {
                val control = QuietThenBusyGroup(quietReadings = 4)
                maintainMaps(control, onPoll = slowPauses("s1")) { control.prepared.get() > 0 }
                control.prepared.get() shouldBeGreaterThan 0
            }
        }

        describe("a service whose servers form several groups") {
            // Servers of rank 0 in two groups must not be taken for ranks of one group.
            it("the map leader treats several groups of a service separately and changes the map of each") {
                val control = UnevenGroups()
                maintainMaps(control, gatewayState(serverCount = 4), slowPauses("s1", "s3")) {
                    control.prepared.size ==
                        2
                }
                control.prepared shouldBe setOf(GroupName("g0"), GroupName("g1"))
            }
        }

        describe("the counts of a group") {
            it("the choice counts of a group are read at only one rank, as each reading pauses the group") {
                val control = UnevenGroups()
                maintainMaps(control, onPoll = slowPauses("s1")) { control.prepared.isNotEmpty() }
                control.prepared shouldBe setOf(GroupName("g0"))
                control.queriedServers shouldBe setOf("s0")
            }

            // Otherwise, the map of the group would never be changed.
            it("the choice counts of a group are read at another rank if the first rank does not return them") {
                val control = UnevenGroups(unresponsive = setOf("s0"))
                maintainMaps(control, onPoll = slowPauses("s1")) { control.prepared.isNotEmpty() }
                control.prepared shouldBe setOf(GroupName("g0"))
                control.queriedServers shouldBe setOf("s0", "s1")
            }
        }

        describe("a rank whose list of experts is unusable") {
            listOf(
                "lacks layer sets" to emptyList(),
                "names experts that do not exist" to listOf(setOf(0, 99)),
                "names negative experts" to listOf(setOf(-1, 2)),
            ).forEach { (description, experts) ->
                // An exception for one group would end the survey, so that no group of the service is managed.
                it("the map leader still manages the other groups of the service if the list $description") {
                    val control =
                        object : UnevenGroups() {
                            override suspend fun holdings(server: BackendServer): RankHoldings {
                                val holdings = super.holdings(server)
                                return if (server.port == 0) holdings.copy(experts = experts) else holdings
                            }
                        }
                    maintainMaps(control, gatewayState(serverCount = 4), slowPauses("s1", "s3")) {
                        GroupName("g1") in control.prepared
                    }
                    control.prepared shouldBe setOf(GroupName("g1"))
                }
            }
        }

        describe("a group that was left held by a stopped gateway") {
            it("the next map leader releases a held group that the survey finds, even without requests in progress") {
                val control = HeldGroup()
                maintainMaps(control) { control.heldPass == null }
                control.heldPass.shouldBeNull()
            }

            // The stopped gateway can wake and order ranks to switch after the release.
            it("the next map leader releases a held group only after every rank refuses the unfinished switch") {
                val control = HeldGroup()
                val state = gatewayState()
                state.loads.started(ServerName("s1"))
                maintainMaps(control, state) { control.heldPass == null }
                control.heldPass.shouldBeNull()
                control.orders.map { (server, order) -> server to order::class }.toSet() shouldBe
                    setOf(
                        "s0" to RankOrder.Prepare::class,
                        "s1" to RankOrder.Prepare::class,
                        "s0" to RankOrder.Release::class,
                    )
                control.orders.last() shouldBe ("s0" to RankOrder.Release(pass = 7))
            }
        }
    })

package io.kumquattrail.node

import io.grpc.BindableService
import io.kumquattrail.decision.configuration.RecordSubscription
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.node.clock.Clock
import io.kumquattrail.node.configuration.ConfigurationExchange
import io.kumquattrail.node.configuration.ConfigurationServiceClient
import io.kumquattrail.node.configuration.ExchangeAttachment
import io.kumquattrail.node.http.OperationsServer
import io.kumquattrail.node.http.Readiness
import io.kumquattrail.node.membership.MembershipExchange
import io.kumquattrail.node.metrics.NodeMetrics
import io.kumquattrail.node.rpc.ChannelPool
import io.kumquattrail.node.rpc.RpcServer
import io.kumquattrail.node.settings.NodeSettings
import io.kumquattrail.node.suspect.SuspectRegistry
import io.kumquattrail.node.timeline.TimelineRecorder
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Holds what every process of the system runs beside its own task: configuration, membership, timeline and metrics.
 *
 * @property random source of incarnation and jitter.
 */
class NodeRuntime(
    private val settings: NodeSettings,
    private val vertx: Vertx,
    val clock: Clock,
    val random: Random,
    subscription: RecordSubscription,
    attachments: List<ExchangeAttachment> = emptyList(),
) {
    /** Address on which peers reach this process. */
    val name: ProcessName = ProcessName(settings.rpc.toString())

    /** Identifies this run of the process. */
    val incarnation: Incarnation = Incarnation.random(random)

    /** Ends with the process. */
    val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    val metrics: NodeMetrics = NodeMetrics()
    val timeline: TimelineRecorder = TimelineRecorder(name, settings.zone, clock)
    val channels: ChannelPool = ChannelPool(settings.transportSecurity)
    val suspects: SuspectRegistry = SuspectRegistry(clock)

    private val service = ConfigurationServiceClient(vertx, settings.configurationServices, random)

    val membership: MembershipExchange =
        MembershipExchange(scope, name, settings.zone, incarnation, service, channels, clock, random, timeline)

    val configuration: ConfigurationExchange =
        ConfigurationExchange(
            scope = scope,
            self = name,
            zone = settings.zone,
            subscription = subscription,
            service = service,
            channels = channels,
            clock = clock,
            random = random,
            metrics = metrics,
            timeline = timeline,
            members = membership.members,
            attachments = attachments + suspects,
        )

    private var rpc: RpcServer? = null
    private var operations: OperationsServer? = null

    /** Records in effect. */
    val records: RecordSet get() = configuration.current.value.records

    /** Opens the port for peers with [services] besides the runtime's own. */
    fun openRpc(services: List<BindableService>) {
        val all = services + listOf(configuration.rpc, membership.rpc, timeline.rpc)
        rpc = RpcServer(settings.rpc, all, settings.transportSecurity).also { it.start() }
    }

    /** Opens the port for operators and starts to learn records and members. */
    suspend fun start(readiness: Readiness) {
        operations = OperationsServer(vertx, settings.operations, metrics, readiness).also { it.start() }
        membership.start()
        configuration.start()
    }

    /** Waits up to [timeout] for the calls of peers that are in progress, then closes. */
    suspend fun stop(timeout: Duration) {
        membership.leave()
        rpc?.stop(timeout)
        close()
    }

    /** Closes at once, as a process that dies does. */
    suspend fun kill() {
        rpc?.kill()
        close()
    }

    private suspend fun close() {
        scope.cancel()
        operations?.stop()
        service.close()
        channels.close()
    }
}

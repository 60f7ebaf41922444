package io.kumquattrail.decision.limit

import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.time.MonotonicTime
import java.util.TreeSet

/**
 * Orders the organisations that wait at one priority by weighted fair queueing over token cost.
 *
 * Virtual time advances with each served token by one over the sum of the waiting weights, as in WF2Q+. With the start
 * time of the item in service as virtual time, a steady flow of organisations with one request each held it still and
 * starved the organisations that had been served before.
 *
 * An organisation without waiting items is remembered only while its past service still puts it ahead of virtual time,
 * and at most [mostRemembered] of them are.
 */
internal class PriorityLevel(
    val priority: Int,
    private val mostRemembered: Int,
    val meter: DrainMeter,
) {
    private val flows = HashMap<OrganisationName, OrganisationFlow>()
    private val byStart = TreeSet(compareBy<OrganisationFlow>({ it.start }, { it.sequence }))
    private val byLastStart = TreeSet(compareBy<OrganisationFlow>({ it.lastStart }, { it.sequence }))
    private val remembered = HashMap<OrganisationName, Double>()
    private var virtualTime = 0.0
    private var weights = 0L
    private var sequence = 0L

    /** Tokens served to this level from the share that is reserved for lower priorities. */
    var reservedTokens = 0.0

    var items = 0
        private set

    var tokens = 0L
        private set

    val isEmpty: Boolean get() = items == 0

    /** Number of organisations of which the level holds any state. */
    val organisations: Int get() = flows.size + remembered.size

    fun head(): WaitingItem? = byStart.firstOrNull()?.items?.first()

    /** Last item of the organisation that is furthest over its share. */
    fun mostOverShare(): WaitingItem? = byLastStart.lastOrNull()?.items?.last()

    /** Virtual time at which the last item of the organisation furthest over its share would start. */
    fun latestStart(): Double = byLastStart.lastOrNull()?.lastStart ?: virtualTime

    /** Tokens at this level that are served before a new item of [organisation]. */
    fun tokensAhead(
        organisation: OrganisationName,
        weight: Int,
    ): Double {
        val start = startOf(organisation, weight)
        return flows.values.sumOf { flow ->
            when {
                flow.organisation == organisation -> flow.tokens.toDouble()
                flow.start > start -> 0.0
                else -> flow.tokensUntil(start)
            }
        }
    }

    fun add(
        waiting: WaitingItem,
        weight: Int,
    ) {
        val organisation = waiting.item.organisation
        val known = flows[organisation]
        if (known == null) {
            val start = startOf(organisation, weight)
            remembered.remove(organisation)
            val flow = OrganisationFlow(organisation, weight, start, sequence++)
            weights += weight
            flow.items.addLast(waiting)
            flow.tokens = waiting.cost
            flows[organisation] = flow
            byStart.add(flow)
            byLastStart.add(flow)
        } else {
            byLastStart.remove(known)
            weights += weight - known.weight
            known.weight = weight
            known.items.addLast(waiting)
            known.tokens += waiting.cost
            byLastStart.add(known)
        }
        items += 1
        tokens += waiting.cost
    }

    /** Removes [waiting] because it is served, and charges its organisation. */
    fun serve(waiting: WaitingItem) {
        val flow = flows.getValue(waiting.item.organisation)
        virtualTime = maxOf(virtualTime + waiting.cost.toDouble() / weights, byStart.first().start)
        take(waiting, charge = waiting.cost.toDouble() / flow.weight)
    }

    /** Removes [waiting] without charging its organisation. */
    fun discard(waiting: WaitingItem) = take(waiting, charge = 0.0)

    fun clear() {
        flows.clear()
        byStart.clear()
        byLastStart.clear()
        remembered.clear()
        weights = 0
        items = 0
        tokens = 0
    }

    fun advance(now: MonotonicTime) = meter.advance(now, busy = !isEmpty)

    /** Sum of the weights of the organisations that wait. */
    val weight: Long get() = weights

    /** Virtual time at which a new item of [organisation] would start. */
    fun startOf(
        organisation: OrganisationName,
        weight: Int,
    ): Double =
        flows[organisation]?.let { it.start + it.tokens.toDouble() / weight }
            ?: maxOf(virtualTime, remembered[organisation] ?: virtualTime)

    private fun take(
        waiting: WaitingItem,
        charge: Double,
    ) {
        val flow = flows.getValue(waiting.item.organisation)
        byStart.remove(flow)
        byLastStart.remove(flow)
        flow.items.remove(waiting)
        flow.tokens -= waiting.cost
        flow.start += charge
        items -= 1
        tokens -= waiting.cost
        if (flow.items.isEmpty()) {
            flows.remove(flow.organisation)
            weights -= flow.weight
            remember(flow)
        } else {
            byStart.add(flow)
            byLastStart.add(flow)
        }
    }

    private fun remember(flow: OrganisationFlow) {
        if (items == 0) {
            remembered.clear()
            return
        }
        if (flow.start <= virtualTime) return
        remembered[flow.organisation] = flow.start
        if (remembered.size <= mostRemembered) return
        remembered.values.removeAll { it <= virtualTime }
        if (remembered.size <= mostRemembered) return
        remembered.entries
            .sortedBy { it.value }
            .take(remembered.size - mostRemembered / 2)
            .forEach { remembered.remove(it.key) }
    }
}

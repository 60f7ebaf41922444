package io.kumquattrail.decision.membership

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime
import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Detects processes that stopped, by probing a few peers and by what peers tell.
 *
 * Each process is watched by the processes before it on a few hash rings. Only a process that itself found another
 * silent gives a verdict about it, and only after a sample of the fleet and of the suspect's zone answered: otherwise
 * this process may be the one that is cut off, or a whole zone may be out of reach without having failed. One thread at
 * a time calls the detector. Call [tick] at [nextTick] or later.
 */
class FailureDetector(
    val self: ProcessName,
    val zone: ZoneName?,
    val incarnation: Incarnation,
    startedAt: WallTime,
    private val random: Random,
    private val settings: FailureDetectorSettings = FailureDetectorSettings(),
) {
    val view: MembershipView = MembershipView(self)

    /** Number with which this process refutes suspicions. */
    var counter: Long = startedAt.milliseconds
        private set

    private val queue = UpdateQueue(settings)
    private val accusations = LinkedHashMap<ProcessName, Accusation>()
    private val relays = ArrayList<Relay>()
    private val lastContacts = HashMap<ProcessName, MonotonicTime>()

    private var candidates: List<MemberIdentity> = emptyList()
    private var watched: List<ProcessName> = emptyList()
    private var isStale = true
    private var nextWatched = 0

    private var probe: PeerProbe? = null
    private var check: FleetCheck? = null
    private var nextProbe: MonotonicTime? = null
    private var nextDeadProbe = MonotonicTime.ZERO
    private var lastCall: MonotonicTime? = null

    /** Time at which [tick] has something to do next. */
    val nextTick: MonotonicTime
        get() =
            listOfNotNull(
                nextProbe,
                probe?.let { if (it.throughHelpers || it.answered) null else it.sent + settings.probeTimeout },
                check?.due,
                if (check == null) accusations.values.minOfOrNull { it.nextCheck } else null,
                relays.minOfOrNull { it.until },
            ).minOrNull() ?: MonotonicTime.ZERO

    /** Begins to probe, at a random time within the first interval. */
    fun start(now: MonotonicTime) {
        lastCall = now
        nextProbe = now + settings.probeInterval * random.nextDouble()
        nextDeadProbe = now + settings.deadProbeInterval
        queue.add(ownUpdate(MemberState.ALIVE))
    }

    /** Tells peers that this process leaves. */
    fun leave() {
        queue.add(ownUpdate(MemberState.LEAVING))
    }

    /** Takes over the published list of VMs. */
    fun listChanged(
        listed: Collection<ListedProcess>,
        now: MonotonicTime,
    ): List<MembershipAction> {
        val changes =
            view.listChanged(listed) { process ->
                lastContacts[process]?.let { now - it < CONTACT_TIME } == true
            }
        isStale = true
        return changes.map {
            forgetUnlessSuspected(it)
            MembershipAction.Changed(it)
        }
    }

    /** Does what is due at [now]. */
    fun tick(now: MonotonicTime): List<MembershipAction> =
        buildList {
            if (lastCall?.let { now - it > settings.pauseSuspected } == true) resume(now)
            lastCall = now
            refresh()
            expireRelays(now)
            continueProbe(now)
            continueCheck(now)
            if (nextDeadProbe <= now) probeDead(now)
        }

    /** Takes in [message] of a peer. */
    fun received(
        message: MembershipMessage,
        now: MonotonicTime,
    ): List<MembershipAction> =
        buildList {
            val header = message.header
            val sender = header.sender
            lastContacts[sender] = now
            val known = view.members[sender]
            view.heardFrom(sender, header.incarnation, header.counter, header.zone)?.let { changed(it) }
            // A process that raised its counter refuted a verdict that others may still hold.
            if (known?.state == MemberState.DEAD && header.counter > known.counter) passOn(sender)
            if (view.state(sender) == MemberState.ALIVE) accusations.remove(sender)
            probe?.let { if (it.target == sender) it.answered = true }
            check?.silent?.remove(sender)
            header.updates.forEach { merge(it) }
            when (message) {
                is MembershipMessage.Probe -> send(sender, MembershipMessage.Answer(header(sender)))
                is MembershipMessage.Answer -> answerRelays(sender)
                is MembershipMessage.ProbeThrough -> relay(message, now)
                is MembershipMessage.ProbeThroughResult -> reported(message)
            }
        }

    /** Returns updates for a message of another kind to [peer], such as an exchange of configuration. */
    fun updatesFor(peer: ProcessName): List<MemberUpdate> = header(peer).updates

    /** Takes in updates that came with a message of another kind. */
    fun received(updates: List<MemberUpdate>): List<MembershipAction> = buildList { updates.forEach { merge(it) } }

    private fun MutableList<MembershipAction>.merge(update: MemberUpdate) {
        if (update.process == self) {
            refute(update)
            return
        }
        if (update.state == MemberState.SUSPECTED) return
        val change = view.merge(update) ?: return
        queue.add(change.member.toUpdate())
        changed(change)
    }

    private fun MutableList<MembershipAction>.refute(update: MemberUpdate) {
        val isAccusation = update.state == MemberState.SUSPECTED || update.state == MemberState.DEAD
        if (!isAccusation || (update.incarnation != null && update.counter < counter)) return
        counter = maxOf(counter, update.counter) + 1
        // Only verdicts are passed on to others, so only they need a refutation that is passed on.
        if (update.state == MemberState.DEAD) queue.add(ownUpdate(MemberState.ALIVE))
        add(MembershipAction.Refuted(counter))
    }

    private fun MutableList<MembershipAction>.changed(change: MemberChange) {
        forgetUnlessSuspected(change)
        // Suspected processes stay candidates, so a suspicion changes neither the rings nor the sample.
        val isCandidate = change.member.state.isCandidate
        if (change.previous?.isCandidate != isCandidate) isStale = true
        add(MembershipAction.Changed(change))
    }

    private fun forgetUnlessSuspected(change: MemberChange) {
        if (change.member.state != MemberState.SUSPECTED) accusations.remove(change.member.process)
    }

    private fun MutableList<MembershipAction>.continueProbe(now: MonotonicTime) {
        probe?.let { current ->
            if (!current.answered && !current.throughHelpers && current.sent + settings.probeTimeout <= now) {
                current.throughHelpers = true
                sample(settings.helpers) { it.process != current.target }.forEach { helper ->
                    send(helper, MembershipMessage.ProbeThrough(header(helper), current.target))
                }
            }
        }
        if (nextProbe?.let { it <= now } != true) return
        // Without a report of a helper nobody else is known to miss the target, and this process may be cut off.
        probe?.let { if (!it.answered && it.reportedSilent) accuse(it.target, now) }
        probe = null
        nextProbe = now + settings.probeInterval
        if (watched.isEmpty()) return
        nextWatched = (nextWatched + 1) % watched.size
        val target = watched[nextWatched]
        probe = PeerProbe(target, sent = now)
        send(target, MembershipMessage.Probe(header(target)))
    }

    private fun MutableList<MembershipAction>.accuse(
        target: ProcessName,
        now: MonotonicTime,
    ) {
        if (target in accusations || view.members[target]?.state?.isCandidate != true) return
        accusations[target] = Accusation(nextCheck = now + settings.suspicionTime, pause = settings.suspicionTime)
        // A suspicion is told only to the suspect: passed on, the suspicions of a partition and their refutations would
        // fill the messages of the whole fleet for minutes after it healed.
        view.decide(target, MemberState.SUSPECTED, ChangeCause.DID_NOT_ANSWER)?.let { changed(it) }
    }

    private fun MutableList<MembershipAction>.continueCheck(now: MonotonicTime) {
        val current = check
        if (current == null) {
            beginCheck(now)
        } else if (current.due <= now && !current.isRepeated) {
            current.isRepeated = true
            current.due = now + settings.probeTimeout
            current.silent.forEach { send(it, MembershipMessage.Probe(header(it))) }
        } else if (current.due <= now) {
            check = null
            endCheck(current, now)
        }
    }

    private fun MutableList<MembershipAction>.beginCheck(now: MonotonicTime) {
        val suspect = accusations.entries.find { it.value.nextCheck <= now }?.key ?: return
        val suspectZone = view.members[suspect]?.identity?.zone
        val peers = sample(settings.checkPeers) { it.process != suspect }
        val zonePeers =
            if (suspectZone == null) {
                emptyList()
            } else {
                sample(settings.checkZonePeers) { it.zone == suspectZone && it.process != suspect }
            }
        val silent = LinkedHashSet(peers + zonePeers + suspect)
        check = FleetCheck(suspect, peers, zonePeers, silent, due = now + settings.probeTimeout)
        silent.forEach { send(it, MembershipMessage.Probe(header(it))) }
    }

    private fun MutableList<MembershipAction>.endCheck(
        ended: FleetCheck,
        now: MonotonicTime,
    ) {
        val accusation = accusations[ended.suspect] ?: return
        val silentPeers = ended.peers.count { it in ended.silent }
        val silentZonePeers = ended.zonePeers.count { it in ended.silent }
        if (
            isWithin(silentPeers, ended.peers.size, settings.checkSilentMost, settings.checkPeers) &&
            isWithin(silentZonePeers, ended.zonePeers.size, settings.checkSilentZoneMost, settings.checkZonePeers)
        ) {
            view.decide(ended.suspect, MemberState.DEAD, ChangeCause.VERDICT)?.let {
                changed(it)
                passOn(ended.suspect)
            }
        } else {
            accusation.pause = (accusation.pause * 2).coerceAtMost(settings.recheckLongest)
            accusation.nextCheck = now + accusation.pause * (JITTER_LOWEST + random.nextDouble())
            add(
                MembershipAction.VerdictSuspended(
                    suspect = ended.suspect,
                    peers = ended.peers.size,
                    silentPeers = silentPeers,
                    zonePeers = ended.zonePeers.size,
                    silentZonePeers = silentZonePeers,
                ),
            )
        }
    }

    // Where a sample is smaller than usual the bound shrinks with it, but at least one peer has to answer.
    private fun isWithin(
        silent: Int,
        sampled: Int,
        silentMost: Int,
        usual: Int,
    ): Boolean = sampled == 0 || (silent < sampled && silent <= ceil(silentMost * (sampled / usual.toDouble())))

    // A process that was paused finds all its timers expired, although its peers had no chance to answer.
    private fun resume(now: MonotonicTime) {
        probe = null
        check = null
        relays.clear()
        accusations.values.forEach { it.nextCheck = maxOf(it.nextCheck, now + settings.suspicionTime) }
    }

    private fun MutableList<MembershipAction>.probeDead(now: MonotonicTime) {
        nextDeadProbe = now + settings.deadProbeInterval
        view.members.values
            .filter { it.state == MemberState.DEAD }
            .randomOrNull(random)
            ?.let { send(it.process, MembershipMessage.Probe(header(it.process))) }
    }

    private fun MutableList<MembershipAction>.relay(
        message: MembershipMessage.ProbeThrough,
        now: MonotonicTime,
    ) {
        relays += Relay(message.header.sender, message.target, until = now + settings.probeTimeout)
        send(message.target, MembershipMessage.Probe(header(message.target)))
    }

    private fun MutableList<MembershipAction>.answerRelays(target: ProcessName) {
        val answered = relays.filter { it.target == target }
        if (answered.isEmpty()) return
        relays.removeAll(answered)
        answered.forEach { report(it, reached = true) }
    }

    private fun MutableList<MembershipAction>.expireRelays(now: MonotonicTime) {
        val expired = relays.filter { it.until <= now }
        if (expired.isEmpty()) return
        relays.removeAll(expired)
        expired.forEach { report(it, reached = false) }
    }

    private fun MutableList<MembershipAction>.report(
        relay: Relay,
        reached: Boolean,
    ) {
        val header = header(relay.requester)
        send(relay.requester, MembershipMessage.ProbeThroughResult(header, relay.target, reached))
    }

    private fun MutableList<MembershipAction>.reported(message: MembershipMessage.ProbeThroughResult) {
        val current = probe ?: return
        if (current.target != message.target) return
        if (message.reached) {
            current.answered = true
            if (message.target in accusations) {
                view.decide(message.target, MemberState.ALIVE, ChangeCause.ANSWERED)?.let { changed(it) }
            }
        } else {
            current.reportedSilent = true
        }
    }

    private fun MutableList<MembershipAction>.send(
        peer: ProcessName,
        message: MembershipMessage,
    ) {
        add(MembershipAction.Send(peer, message))
    }

    private fun header(receiver: ProcessName): MembershipHeader {
        val known = view.members[receiver]
        val accusation =
            known?.toUpdate()?.takeIf { it.state == MemberState.SUSPECTED || it.state == MemberState.DEAD }
        return MembershipHeader(
            sender = self,
            incarnation = incarnation,
            counter = counter,
            zone = zone,
            updates = listOfNotNull(accusation) + queue.take(candidates.size + 1),
        )
    }

    private fun passOn(process: ProcessName) {
        view.members[process]?.let { queue.add(it.toUpdate()) }
    }

    private fun ownUpdate(state: MemberState) = MemberUpdate(self, incarnation, counter, state)

    private fun refresh() {
        if (!isStale) return
        isStale = false
        candidates =
            view.members.values
                .filter { it.state.isCandidate }
                .map { it.identity }
                .sortedBy { it.process }
        val own = MemberIdentity(self, zone)
        watched =
            (0 until MemberIdentity.WATCH_RINGS)
                .mapNotNull { ring ->
                    candidates.minByOrNull { it.position(ring) - own.position(ring) + Long.MIN_VALUE }?.process
                }.distinct()
    }

    private fun sample(
        count: Int,
        accept: (MemberIdentity) -> Boolean,
    ): List<ProcessName> {
        val picked = LinkedHashSet<ProcessName>()
        if (candidates.size <= SMALL_FLEET) {
            candidates
                .filter(accept)
                .shuffled(random)
                .take(count)
                .forEach { picked += it.process }
        } else {
            var attempts = 0
            while (picked.size < count && attempts < SAMPLE_ATTEMPTS_PER_PEER * count) {
                attempts += 1
                candidates[random.nextInt(candidates.size)].takeIf(accept)?.let { picked += it.process }
            }
        }
        return picked.toList()
    }

    private val MemberState.isCandidate: Boolean get() = this == MemberState.ALIVE || this == MemberState.SUSPECTED

    private class PeerProbe(
        val target: ProcessName,
        val sent: MonotonicTime,
        var throughHelpers: Boolean = false,
        var answered: Boolean = false,
        var reportedSilent: Boolean = false,
    )

    private class Accusation(
        var nextCheck: MonotonicTime,
        var pause: Duration,
    )

    private class FleetCheck(
        val suspect: ProcessName,
        val peers: List<ProcessName>,
        val zonePeers: List<ProcessName>,
        val silent: MutableSet<ProcessName>,
        var due: MonotonicTime,
        var isRepeated: Boolean = false,
    )

    private class Relay(
        val requester: ProcessName,
        val target: ProcessName,
        val until: MonotonicTime,
    )

    private companion object {
        const val JITTER_LOWEST = 0.5
        const val SMALL_FLEET = 64
        const val SAMPLE_ATTEMPTS_PER_PEER = 20
        val CONTACT_TIME = 30.seconds
    }
}

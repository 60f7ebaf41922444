package io.kumquattrail.agent.work

import io.kumquattrail.decision.admission.AdmissionAction
import io.kumquattrail.decision.admission.AdmissionController
import io.kumquattrail.decision.admission.AdmissionEvent
import io.kumquattrail.decision.admission.DrainState
import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.admission.SendDecision
import io.kumquattrail.decision.admission.WorkId
import io.kumquattrail.decision.admission.WorkItem
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.node.clock.Clock
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Says what became of an item that asked for admission. */
sealed interface Admission {
    /** The item may be sent once [AdmissionGate.recheck] allows it. */
    data object Granted : Admission

    /** The item was not sent and never will be in this attempt. */
    data class HandedBack(
        val action: AdmissionAction.HandBack,
    ) : Admission

    /** The item repeats an attempt that was seen before and that may run. */
    data object Duplicate : Admission
}

/** Performs the actions of the admission controller that concern the outside world. */
interface AdmissionEffects {
    fun readServer()

    fun confirmRecords()

    fun noteCold(action: AdmissionAction.NoteCold)

    fun noteDrained()
}

/** Lets many coroutines use one [AdmissionController], which is made for one thread at a time. */
class AdmissionGate(
    private val controller: AdmissionController,
    private val clock: Clock,
    private val effects: AdmissionEffects,
) {
    private val lock = ReentrantLock()
    private val waiting = HashMap<WorkId, CompletableDeferred<Admission>>()

    /** Whether the server receives new work. */
    val drainState: DrainState get() = lock.withLock { controller.drainState }

    /** Waits until [item] is granted or handed back; cancelling the wait withdraws the item. */
    suspend fun admit(
        item: WorkItem,
        expectedIncarnation: Incarnation? = null,
    ): Admission {
        val outcome = CompletableDeferred<Admission>()
        val actions =
            lock.withLock {
                if (item.id in waiting) return Admission.Duplicate
                waiting[item.id] = outcome
                controller.onEvent(AdmissionEvent.WorkArrived(item, expectedIncarnation), clock.monotonic())
            }
        perform(actions)
        var settled = false
        try {
            return outcome.await().also { settled = true }
        } finally {
            lock.withLock { waiting.remove(item.id, outcome) }
            if (!settled) report(AdmissionEvent.WorkWithdrawn(item.id))
        }
    }

    /** Decides directly before sending whether the granted work may still be sent. */
    fun recheck(id: WorkId): SendDecision {
        val decision = lock.withLock { controller.recheck(id, clock.monotonic()) }
        if (decision is SendDecision.Denied) perform(decision.actions)
        return decision
    }

    fun report(event: AdmissionEvent) = perform(lock.withLock { controller.onEvent(event, clock.monotonic()) })

    fun loadReport(): LoadReport = lock.withLock { controller.loadReport() }

    private fun perform(actions: List<AdmissionAction>) = actions.forEach(::perform)

    private fun perform(action: AdmissionAction) {
        when (action) {
            is AdmissionAction.Start -> settle(action.item.id, Admission.Granted)
            is AdmissionAction.HandBack -> settle(action.item.id, Admission.HandedBack(action))
            is AdmissionAction.CloseDuplicate -> settle(action.id, Admission.Duplicate)
            AdmissionAction.ReadServer -> effects.readServer()
            AdmissionAction.ConfirmRecords -> effects.confirmRecords()
            is AdmissionAction.NoteCold -> effects.noteCold(action)
            AdmissionAction.NoteDrained -> effects.noteDrained()
        }
    }

    private fun settle(
        id: WorkId,
        admission: Admission,
    ) {
        lock.withLock { waiting.remove(id) }?.complete(admission)
    }
}

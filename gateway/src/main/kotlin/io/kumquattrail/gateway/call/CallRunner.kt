package io.kumquattrail.gateway.call

import io.kumquattrail.decision.delivery.Call
import io.kumquattrail.decision.delivery.CallAction
import io.kumquattrail.decision.delivery.CallEvent
import io.kumquattrail.decision.delivery.CallState
import io.kumquattrail.decision.delivery.Output
import io.kumquattrail.decision.delivery.RetryPolicy
import io.kumquattrail.decision.delivery.WorkKind
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.gateway.request.ClassifiedRequest
import io.kumquattrail.node.clock.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Takes calls through their attempts; one [CallState] decides for each call. */
class CallRunner(
    private val sender: AttemptSender,
    private val retries: RetryPolicy,
    private val clock: Clock,
    private val streamSilence: Duration = 10.seconds,
) {
    /** Runs [request] until [sink] has the whole answer or a refusal; [localRefusal] refuses it without an attempt. */
    suspend fun run(
        requestId: String,
        request: ClassifiedRequest,
        sink: AnswerSink,
        localRefusal: Refusal? = null,
    ): CallEnd = coroutineScope { Run(this, requestId, request, sink).run(localRefusal) }

    private inner class Run(
        private val scope: CoroutineScope,
        private val requestId: String,
        private val request: ClassifiedRequest,
        private val sink: AnswerSink,
    ) {
        private val timeout = request.identified.request.timeout
        private val deadline: MonotonicTime = clock.monotonic() + timeout
        private val state = CallState(call(), retries)
        private val control = Channel<CallEvent>(Channel.UNLIMITED)

        // Bounded, so that a caller who reads slowly slows the server down instead of filling memory.
        private val frames = Channel<CallEvent>(FRAME_BUFFER)
        private val attempts = mutableMapOf<Int, Job>()
        private var silence: Job? = null
        private var end = CallEnd.CALLER_GONE

        suspend fun run(localRefusal: Refusal?): CallEnd {
            val timers =
                listOf(
                    scope.launch { after(timeout, CallEvent.DeadlinePassed) },
                    scope.launch {
                        sink.gone.join()
                        control.send(CallEvent.CallerDisconnected)
                    },
                )
            handle(localRefusal?.let { CallEvent.RefusedLocally(it) } ?: CallEvent.Start)
            while (!state.ended) handle(nextEvent())
            (timers + attempts.values + listOfNotNull(silence)).forEach { it.cancel() }
            return end
        }

        private suspend fun nextEvent(): CallEvent =
            select {
                control.onReceive { it }
                frames.onReceive { it }
            }

        private suspend fun handle(event: CallEvent) {
            if (event is CallEvent.FrameArrived) silence?.cancel()
            state.handle(event, clock.monotonic()).forEach { perform(it) }
        }

        private suspend fun perform(action: CallAction) {
            when (action) {
                is CallAction.SendAttempt -> {
                    launchAttempt(action)
                }

                is CallAction.CancelAttempt -> {
                    attempts.remove(action.attempt)?.cancel()
                }

                is CallAction.ReleaseKey -> {
                    scope.launch { control.send(sender.releaseKey(request, action)) }
                }

                is CallAction.Write -> {
                    write(action.output)
                }

                CallAction.Finish -> {
                    end = CallEnd.WHOLE
                    sink.finish()
                }

                is CallAction.Refuse -> {
                    end = CallEnd.REFUSED
                    sink.refuse(action.refusal)
                }

                is CallAction.AbortResponse -> {
                    end = CallEnd.BROKEN_OFF
                    sink.breakOff(action.refusal)
                }
            }
        }

        private suspend fun write(output: Output) {
            when (output) {
                is Output.Head -> sink.head(output.status, output.headers)
                is Output.Body -> sink.body(output.data)
            }
        }

        private fun launchAttempt(action: CallAction.SendAttempt) {
            attempts[action.attempt] =
                scope.launch { sender.send(requestId, request, action, deadline) { frames.send(it) } }
            silence = scope.launch { after(action.delay + action.silence, CallEvent.AttemptTimedOut(action.attempt)) }
        }

        private suspend fun after(
            time: Duration,
            event: CallEvent,
        ) {
            delay(time)
            control.send(event)
        }

        // A whole answer arrives in one piece at its end, so only a stream can be judged by its silence.
        private fun call(): Call {
            val stream = request.identified.request.stream
            return Call(
                requestId = requestId,
                kind = request.kind,
                deadline = deadline,
                keyed = request.keyed,
                silence = if (stream && request.kind == WorkKind.REPEATABLE) streamSilence else timeout,
            )
        }
    }

    private companion object {
        const val FRAME_BUFFER = 64
    }
}

/** Says how a call ended for its caller. */
enum class CallEnd {
    WHOLE,
    REFUSED,
    BROKEN_OFF,
    CALLER_GONE,
}

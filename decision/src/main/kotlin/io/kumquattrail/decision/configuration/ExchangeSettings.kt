package io.kumquattrail.decision.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the rates of the exchange.
 *
 * @property fanout peers with the same subscription to which a change is pushed.
 * @property narrowerFanout peers with a narrower subscription to which a change is pushed.
 * @property compareInterval time between comparisons of the revision with a random peer.
 * @property pushInterval shortest time between two pushes, so that a burst of changes travels together.
 * @property inlineBytes largest delta that is pushed at once; of a larger one only the revision is announced, and each
 *   receiver fetches it once.
 * @property answerTimeout time after which a peer's answer is no longer awaited.
 * @property peersAskedAtStart peers that a new process asks before it trusts the service.
 * @property peerListTimeout time for which a new process waits for its first list of peers.
 * @property readersPerZone processes of each zone that watch the service.
 * @property watchTime longest time of one watch.
 * @property serviceAnswerTimeout time beyond the watch after which an answer of the service is no longer awaited.
 * @property readerPause mean time between an answer of the service and the reader's next read.
 * @property readerRetryLongest longest mean time between a reader's failed reads.
 * @property otherReadInterval shortest mean time between reads of a process that is no reader.
 * @property otherReadSpacing mean time between such reads over the whole fleet.
 * @property firstReadSpacing mean time between first reads of new processes over the whole fleet.
 * @property firstReadDelay time for which a new process that is no reader leaves the first read to the readers.
 * @property unknownFleetProcesses size of the fleet that is assumed while no list of peers is known.
 * @property confirmationTime time from the first read after which a newly published revision proves that the service is
 *   not frozen in an old state.
 */
data class ExchangeSettings(
    val fanout: Int = 3,
    val narrowerFanout: Int = 2,
    val compareInterval: Duration = 1.seconds,
    val pushInterval: Duration = 200.milliseconds,
    val inlineBytes: Int = 8 * 1024,
    val answerTimeout: Duration = 1.seconds,
    val peersAskedAtStart: Int = 3,
    val peerListTimeout: Duration = 2.seconds,
    val readersPerZone: Int = 2,
    val watchTime: Duration = 30.seconds,
    val serviceAnswerTimeout: Duration = 2.seconds,
    val readerPause: Duration = 2.seconds,
    val readerRetryLongest: Duration = 8.seconds,
    val otherReadInterval: Duration = 30.seconds,
    val otherReadSpacing: Duration = 50.milliseconds,
    val firstReadSpacing: Duration = 10.milliseconds,
    val firstReadDelay: Duration = 2.seconds,
    val unknownFleetProcesses: Int = 2_000,
    val confirmationTime: Duration = 30.seconds,
)

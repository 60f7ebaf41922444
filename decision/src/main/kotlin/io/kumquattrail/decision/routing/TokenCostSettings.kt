package io.kumquattrail.decision.routing

import io.kumquattrail.decision.identity.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the settings of [TokenCostRouting].
 *
 * @property localZone availability zone of the gateway; `null` treats all zones alike.
 * @property localPreference factor by which a server of the local zone is drawn more often.
 * @property draws random candidates of a decision.
 * @property homes candidates of a decision by rendezvous hashing of the first prefix block.
 * @property holders candidates of a decision that probably have the prefix cached.
 * @property loadMilliseconds cost of a fully loaded server over an idle one, in milliseconds to first token.
 * @property loadMemory age at which reported load of others still counts for 37%.
 * @property promptMemory age at which reported waiting prompts of others still count for 37%.
 * @property slownessLimit slowness over the mean from which a server gets only probes.
 * @property slownessMemory age at which this gateway's own evidence of slowness still counts for 37%.
 * @property probeInterval time between two probes of a slow server by this gateway, and time without a request after which
 * milder evidence of slowness no longer counts.
 */
data class TokenCostSettings(
    val localZone: ZoneName? = null,
    val localPreference: Double = 2.0,
    val draws: Int = 4,
    val homes: Int = 2,
    val holders: Int = 4,
    val loadMilliseconds: Double = 300.0,
    val loadMemory: Duration = 4.seconds,
    val promptMemory: Duration = 400.milliseconds,
    val slownessLimit: Double = 2.5,
    val slownessMemory: Duration = 10.seconds,
    val probeInterval: Duration = 3.seconds,
)

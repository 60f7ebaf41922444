package io.kumquattrail.decision.expert.change

import io.kumquattrail.decision.identity.Incarnation

/** Message between the agents of a group. */
sealed interface GroupMessage

/** Request of a coordinator to the guard of one rank. Each request is answered by at most one [MapAnswer]. */
sealed interface MapRequest : GroupMessage {
    val proposal: ProposalNumber
}

/**
 * Asks a rank to obey no lower proposal number and to report its state.
 *
 * @property requestedMap version of a map whose content the answer should contain.
 */
data class Query(
    override val proposal: ProposalNumber,
    val requestedMap: MapVersion? = null,
) : MapRequest

/**
 * Request that is addressed to one incarnation of an agent.
 *
 * A guard refuses a request that was addressed to its predecessor: an agent that restarted has lost the promises that
 * the request relies on, and the request may be arbitrarily old.
 */
sealed interface AddressedRequest : MapRequest {
    val recipient: Incarnation
}

/**
 * Asks a rank to load the weights of [map] in addition to those in use. The answer only acknowledges the request; the
 * answers to later [Query] requests report when the weights are loaded.
 *
 * @property previous the committed map before [map], for a rank that has lost both.
 */
data class Prepare(
    override val proposal: ProposalNumber,
    override val recipient: Incarnation,
    val map: VersionedMap,
    val previous: VersionedMap? = null,
) : AddressedRequest

/** Asks a rank not to run [step] or any later step until it has received whether [version] takes effect there. */
data class Schedule(
    override val proposal: ProposalNumber,
    override val recipient: Incarnation,
    val version: MapVersion,
    val step: Long,
) : AddressedRequest

/**
 * States that the group uses [committed].
 *
 * @property previous the committed map before it, for a rank that has lost both.
 */
data class Commit(
    override val proposal: ProposalNumber,
    override val recipient: Incarnation,
    val committed: CommittedMap,
    val previous: CommittedMap? = null,
) : AddressedRequest

/** States that the group's map is [head] and that no other map proposed up to [proposal] ever takes effect. */
data class Abort(
    override val proposal: ProposalNumber,
    override val recipient: Incarnation,
    val head: CommittedMap?,
) : AddressedRequest

/** Kinds of [MapRequest], so that an answer can state which request it belongs to. */
enum class MapRequestKind { QUERY, PREPARE, SCHEDULE, COMMIT, ABORT }

/** Kind of this request. */
val MapRequest.kind: MapRequestKind
    get() =
        when (this) {
            is Query -> MapRequestKind.QUERY
            is Prepare -> MapRequestKind.PREPARE
            is Schedule -> MapRequestKind.SCHEDULE
            is Commit -> MapRequestKind.COMMIT
            is Abort -> MapRequestKind.ABORT
        }

/**
 * Answers a [MapRequest].
 *
 * @property incarnation incarnation of the answering agent.
 * @property refusal why the rank refuses the request; `null` if it accepts it.
 */
data class MapAnswer(
    val rank: Int,
    val incarnation: Incarnation,
    val proposal: ProposalNumber,
    val kind: MapRequestKind,
    val refusal: MapRefusal?,
    val report: GuardReport,
    val map: VersionedMap? = null,
) : GroupMessage

/** Reason why a guard refuses a request. */
enum class MapRefusal {
    /** The guard has not yet read back the engine's state. */
    STARTING,

    /** The guard has promised to obey only higher proposal numbers. */
    PROMISED_HIGHER,

    /** The request was addressed to another incarnation of the agent, or this one did not receive the query. */
    OTHER_INCARNATION,

    /** The rank has released the map of this proposal. */
    ABORTED,

    /** The guard has not yet received the group's map after a restart. */
    RECOVERING,

    /** The engine has not yet run a step with the last committed map. */
    PREVIOUS_CHANGE_UNFINISHED,

    /** The map is not loaded, or another change is pending. */
    NOT_PREPARED,

    /** The step may already be permitted to the engine. */
    STEP_TOO_EARLY,
}

/**
 * Describes the state of a rank.
 *
 * @property promised highest proposal number that the rank obeys.
 * @property head last committed map that the rank has received.
 * @property previous committed map before [head]; used for steps before the first step of [head].
 * @property pending version of a map that is prepared or scheduled and whose outcome the rank has not received.
 * @property pendingLoaded whether the weights of [pending] are loaded.
 * @property pendingStep step at which [pending] is scheduled.
 * @property nextStep step that the engine runs next.
 * @property firstUnpermittedStep lowest step that cannot have been permitted yet, so that the rank may promise not to
 *   run it.
 * @property recovering whether the rank waits for a coordinator to send it the group's map.
 */
data class GuardReport(
    val promised: ProposalNumber? = null,
    val head: CommittedMap? = null,
    val previous: CommittedMap? = null,
    val pending: MapVersion? = null,
    val pendingLoaded: Boolean = false,
    val pendingStep: Long? = null,
    val nextStep: Long = 0,
    val firstUnpermittedStep: Long = 0,
    val recovering: Boolean = false,
)

/** Asks agents of other ranks for the outcome of a change; the coordinating agent starts a round upon it. */
data class OutcomeRequest(
    val rank: Int,
) : GroupMessage

/**
 * Answers an [OutcomeRequest].
 *
 * @property head last committed map that the answering rank has received.
 * @property abortedThrough number up to which no proposed map takes effect, unless it already has.
 */
data class OutcomeAnswer(
    val rank: Int,
    val head: CommittedMap?,
    val abortedThrough: ProposalNumber?,
) : GroupMessage

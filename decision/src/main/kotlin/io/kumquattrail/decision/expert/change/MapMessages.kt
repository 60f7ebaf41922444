package io.kumquattrail.decision.expert.change

import io.kumquattrail.decision.identity.Incarnation

/** Travels between the agents of a group. */
sealed interface GroupMessage

/** Travels from a coordinator to the guard of one rank; each request receives at most one [MapAnswer]. */
sealed interface MapRequest : GroupMessage {
    val proposal: ProposalNumber
}

/**
 * Asks a rank to obey no lower proposal number and to report its state.
 *
 * @property wantedMap version of a map whose content the answer should contain.
 */
data class Query(
    override val proposal: ProposalNumber,
    val wantedMap: MapVersion? = null,
) : MapRequest

/**
 * Is addressed to one run of an agent.
 *
 * A guard refuses a request that was addressed to its predecessor: an agent that restarted knows nothing of the promises
 * that the request relies on, and the request may be arbitrarily old.
 */
sealed interface AddressedRequest : MapRequest {
    val recipient: Incarnation
}

/**
 * Asks a rank to load the weights of [map] beside those in use. The answer states that loading has begun; later
 * [Query] answers state when it is complete.
 *
 * @property previous the committed map before [map], for a rank that lost both.
 */
data class Prepare(
    override val proposal: ProposalNumber,
    override val recipient: Incarnation,
    val map: VersionedMap,
    val previous: VersionedMap? = null,
) : AddressedRequest

/** Asks a rank not to run [step] or any later step until it knows whether [version] takes effect there. */
data class Schedule(
    override val proposal: ProposalNumber,
    override val recipient: Incarnation,
    val version: MapVersion,
    val step: Long,
) : AddressedRequest

/**
 * States that [committed] is decided.
 *
 * @property previous the committed map before it, for a rank that lost both.
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

/** Lists the kinds of [MapRequest], so that an answer can name the request that it belongs to. */
enum class MapRequestKind { QUERY, PREPARE, SCHEDULE, COMMIT, ABORT }

/** Names the kind of this request. */
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
 * @property incarnation run of the answering agent.
 * @property refusal why the rank does not do what was asked; `null` when it does.
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

/** Says why a guard refuses a request. */
enum class MapRefusal {
    /** The guard has not yet read back the engine's state. */
    STARTING,

    /** The guard has promised to obey only higher proposal numbers. */
    PROMISED_HIGHER,

    /** The request was addressed to an earlier run of the agent, or the proposal was never queried by this run. */
    OTHER_INCARNATION,

    /** The rank has released the map of this proposal. */
    ABORTED,

    /** The guard does not yet know the group's map after a restart. */
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
 * @property head last committed map that the rank knows of.
 * @property previous committed map before [head]; used for steps below the first step of [head].
 * @property pending version of a map that is prepared or scheduled and whose outcome the rank does not know.
 * @property pendingLoaded whether the weights of [pending] are loaded.
 * @property pendingStep step at which [pending] is scheduled.
 * @property nextStep step that the engine runs next.
 * @property firstFreeStep lowest step that the rank may promise not to run.
 * @property recovering whether the rank waits for a coordinator to tell it the group's map.
 */
data class GuardReport(
    val promised: ProposalNumber? = null,
    val head: CommittedMap? = null,
    val previous: CommittedMap? = null,
    val pending: MapVersion? = null,
    val pendingLoaded: Boolean = false,
    val pendingStep: Long? = null,
    val nextStep: Long = 0,
    val firstFreeStep: Long = 0,
    val recovering: Boolean = false,
)

/** Asks the other ranks' agents for the outcome of a change; the coordinating agent starts a round on it. */
data class OutcomeRequest(
    val rank: Int,
) : GroupMessage

/**
 * Answers an [OutcomeRequest].
 *
 * @property head last committed map that the answering rank knows of.
 * @property abortedThrough no map proposed up to this number takes effect unless it already has.
 */
data class OutcomeAnswer(
    val rank: Int,
    val head: CommittedMap?,
    val abortedThrough: ProposalNumber?,
) : GroupMessage

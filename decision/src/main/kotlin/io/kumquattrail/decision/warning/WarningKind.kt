package io.kumquattrail.decision.warning

/**
 * Lists the kinds of warnings.
 *
 * @property label stable name in logs, metrics and on the operators' page.
 * @property objective share of good requests that the service level promises; `null` for violated invariants.
 * @property nextStep what the operator does next.
 */
enum class WarningKind(
    val label: String,
    val objective: Double?,
    val nextStep: String,
) {
    FIRST_TOKEN_LATE(
        "first-token-late",
        0.95,
        "Add servers to the service or return a zone to service; if all servers are in service, lower the published " +
            "limits of the organisations with the most tokens.",
    ),
    BETWEEN_TOKENS_SLOW(
        "between-tokens-slow",
        0.95,
        "Find the slow servers in the timeline, take their VMs out of service and replace them.",
    ),
    REQUESTS_FAILING(
        "requests-failing",
        0.99,
        "Read the refusal reasons in the evidence; return servers or zones to service, or withdraw the last record change.",
    ),
    GUARANTEE_VIOLATED(
        "guarantee-violated",
        null,
        "Take the named server or group out of service, save the timeline of all processes, and check the named " +
            "requests with their organisation.",
    ),
}

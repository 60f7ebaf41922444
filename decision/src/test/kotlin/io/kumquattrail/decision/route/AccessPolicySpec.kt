package io.kumquattrail.decision.route

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun route(
    name: String,
    prefix: String,
    anonymous: Boolean = false,
) = Route(
    name = name,
    host = "shop.example",
    pathPrefix = prefix,
    kind = RouteKind.SAFE,
    timeout = 1.seconds,
    latencyTarget = 100.milliseconds,
    targets = persistentListOf(RouteTarget(ServiceName("ledger"))),
    anonymous = anonymous,
)

private val CONFIGURATION =
    RoutingConfiguration(
        version = 3,
        routes =
            persistentListOf(
                route("all", "/a/"),
                route("deep", "/a/b/"),
                route("open", "/open/", anonymous = true),
            ),
        services = persistentMapOf(),
        organisations = persistentMapOf("key-1" to Organisation(OrganisationName("hanbit"))),
    )

class AccessPolicySpec :
    DescribeSpec({
        val policy = AccessPolicy(keyTrust = 3.seconds)

        fun decide(
            path: String,
            key: String? = "key-1",
            age: Duration = 1.seconds,
            host: String = "shop.example",
        ) = policy.decide(CONFIGURATION, age = age, host = host, path = path, key = key)

        describe("the route of a request") {
            it("is the one with the longest prefix, so that a split route does not fall back to the old one") {
                decide("/a/b/c").shouldBeInstanceOf<AccessDecision.Allowed>().route.name shouldBe "deep"
                decide("/a/x").shouldBeInstanceOf<AccessDecision.Allowed>().route.name shouldBe "all"
            }

            it("needs a whole path segment, so that a path that only begins alike is not forwarded") {
                decide("/ab") shouldBe AccessDecision.NoRoute
            }

            it("ignores a port and the case of the host, and a query that looks like a path") {
                decide("/a/x", host = "SHOP.example:8080").shouldBeInstanceOf<AccessDecision.Allowed>()
                decide("/none?/a/b/") shouldBe AccessDecision.NoRoute
            }
        }

        describe("the key of a request") {
            it("must be held by an organisation") {
                decide("/a/x", key = "key-2") shouldBe AccessDecision.UnknownKey
                decide("/a/x", key = null) shouldBe AccessDecision.UnknownKey
            }

            it("is not trusted when the configuration is too old, as it may have been revoked") {
                decide("/a/x", age = 4.seconds) shouldBe AccessDecision.KeysOutdated(4.seconds)
                decide("/a/x", age = Duration.INFINITE) shouldBe AccessDecision.KeysOutdated(Duration.INFINITE)
            }

            it("is not needed on an anonymous route, however old the configuration is") {
                decide("/open/x", key = null, age = 60.seconds).shouldBeInstanceOf<AccessDecision.Allowed>()
            }
        }
    })

class ConfirmationClockSpec :
    DescribeSpec({
        val origin = MonotonicTime.ZERO
        val originWall = WallTime(1_000_000)

        fun clock() = ConfirmationClock().apply { confirmed(origin, originWall) }

        describe("the age of a confirmation") {
            it("is infinite before the first, so that a process that knows nothing trusts nothing") {
                ConfirmationClock().age(origin, originWall) shouldBe Duration.INFINITE
            }

            it("counts a suspension of the VM, which the monotonic clock does not show") {
                clock().age(origin + 1.seconds, originWall + 9.seconds) shouldBe 9.seconds
            }

            it("is not shortened by a wall clock that was set back") {
                clock().age(origin + 4.seconds, originWall - 2.seconds) shouldBe 4.seconds
            }

            it("is not renewed by a late message about an earlier moment") {
                val clock = clock()
                clock.confirmed(origin - 5.seconds, originWall - 5.seconds)
                clock.age(origin + 1.seconds, originWall + 1.seconds) shouldBe 1.seconds
            }
        }
    })

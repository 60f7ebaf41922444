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
            it("a request takes the route with the longest prefix, so that a route can replace part of a wider one") {
                decide("/a/b/c").shouldBeInstanceOf<AccessDecision.Allowed>().route.name shouldBe "deep"
                decide("/a/x").shouldBeInstanceOf<AccessDecision.Allowed>().route.name shouldBe "all"
            }

            it("a prefix matches whole path segments, so that a path that only begins like it is not forwarded") {
                decide("/ab") shouldBe AccessDecision.NoRoute
            }

            it("matching a route ignores the port and case of the host, and a query that looks like a path") {
                decide("/a/x", host = "SHOP.example:8080").shouldBeInstanceOf<AccessDecision.Allowed>()
                decide("/none?/a/b/") shouldBe AccessDecision.NoRoute
            }
        }

        describe("the key of a request") {
            it("a key must belong to an organisation") {
                decide("/a/x", key = "key-2") shouldBe AccessDecision.UnknownKey
                decide("/a/x", key = null) shouldBe AccessDecision.UnknownKey
            }

            it("a key is refused when the configuration is too old, as the key may have been revoked") {
                decide("/a/x", age = 4.seconds) shouldBe AccessDecision.KeysOutdated(4.seconds)
                decide("/a/x", age = Duration.INFINITE) shouldBe AccessDecision.KeysOutdated(Duration.INFINITE)
            }

            it("an anonymous route needs no key, however old the configuration is") {
                decide("/open/x", key = null, age = 60.seconds).shouldBeInstanceOf<AccessDecision.Allowed>()
            }
        }
    })

class ConfirmationClockSpec :
    DescribeSpec({
        val origin = MonotonicTime.ZERO
        val originWall = WallTime(1_000_000)

        fun clock() = ConfirmationClock().apply { recordConfirmation(origin, originWall) }

        describe("the age of a confirmation") {
            it("the age is infinite before the first confirmation, so that a process without data accepts no key") {
                ConfirmationClock().age(origin, originWall) shouldBe Duration.INFINITE
            }

            it("the age includes a suspension of the VM, which the monotonic clock does not show") {
                clock().age(origin + 1.seconds, originWall + 9.seconds) shouldBe 9.seconds
            }

            it("a wall clock that is set back does not reduce the age") {
                clock().age(origin + 4.seconds, originWall - 2.seconds) shouldBe 4.seconds
            }

            it("a late message about an earlier confirmation does not reduce the age") {
                val clock = clock()
                clock.recordConfirmation(origin - 5.seconds, originWall - 5.seconds)
                clock.age(origin + 1.seconds, originWall + 1.seconds) shouldBe 1.seconds
            }
        }
    })

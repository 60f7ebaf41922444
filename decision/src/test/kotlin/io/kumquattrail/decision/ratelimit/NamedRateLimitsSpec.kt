package io.kumquattrail.decision.ratelimit

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NamedRateLimitsSpec :
    DescribeSpec({
        val now = MonotonicTime.ZERO + 60.seconds
        val server = ServerIncarnation(ServerName("s1"), incarnation = 7)

        fun report(
            limit: Double?,
            ageMilliseconds: Int,
        ) = listOf(RateLimitReport(server, limit, ageMilliseconds.milliseconds))

        describe("the text of a limit") {
            it("is a decimal number") {
                RateLimitNotice.parse("1.8") shouldBe RateLimitNotice.Limited(1.8)
                RateLimitNotice.parse(" 0 ") shouldBe RateLimitNotice.Limited(0.0)
                RateLimitNotice.parse("123456789012345") shouldBe RateLimitNotice.Limited(123456789012345.0)
            }

            // One odd answer would make a server unusable, or lift the limit that it has.
            listOf(
                "",
                "-1",
                "abc",
                "NaN",
                "Infinity",
                "1e999",
                "0x1p3",
                "1,8",
                "1.8, 2",
                "2d",
                "1".repeat(400),
            ).forEach {
                it("is not '${it.take(20)}'") { RateLimitNotice.parse(it).shouldBeNull() }
            }
        }

        describe("a limit") {
            it("ends with an answer that names none") {
                val limits = NamedRateLimits()
                limits.recordAnswer(server, RateLimitNotice.Limited(2.0), now)
                limits.limitOf(server) shouldBe 2.0
                limits.recordAnswer(server, RateLimitNotice.Unlimited, now + 1.seconds)
                limits.limitOf(server).shouldBeNull()
                limits.hasLimits shouldBe false
            }

            it("is not brought back by a report of an earlier answer") {
                val limits = NamedRateLimits()
                limits.recordAnswer(server, RateLimitNotice.Unlimited, now)
                limits.merge(report(limit = 2.0, ageMilliseconds = 400), now + 300.milliseconds).shouldBeEmpty()
                limits.limitOf(server).shouldBeNull()
            }

            it("is not ended by a report that was on its way when the server named it") {
                val limits = NamedRateLimits()
                limits.recordAnswer(server, RateLimitNotice.Limited(2.0), now)
                limits.merge(report(limit = null, ageMilliseconds = 0), now + 300.milliseconds)
                limits.limitOf(server) shouldBe 2.0
            }

            it("does not hold for the next start of the server under its name") {
                val limits = NamedRateLimits()
                limits.recordAnswer(server, RateLimitNotice.Limited(0.0), now)
                limits.limitOf(server.copy(incarnation = 8)).shouldBeNull()
            }

            it("is known at a gateway that gets no answer from the server, and so is its end") {
                val sender = NamedRateLimits()
                val other = NamedRateLimits()
                sender.recordAnswer(server, RateLimitNotice.Limited(2.0), now)
                other.merge(sender.reports(now + 1.seconds), now + 1.seconds)
                other.limitOf(server) shouldBe 2.0
                sender.recordAnswer(server, RateLimitNotice.Unlimited, now + 2.seconds)
                other.merge(sender.reports(now + 3.seconds), now + 3.seconds)
                other.limitOf(server).shouldBeNull()
            }
        }

        describe("the reports to peers") {
            it("are empty without limits, and bounded with many") {
                val limits = NamedRateLimits()
                limits.recordAnswer(server, RateLimitNotice.Unlimited, now)
                limits.reports(now).shouldBeEmpty()
                repeat(1_000) {
                    limits.recordAnswer(
                        ServerIncarnation(ServerName("s$it"), incarnation = 1),
                        RateLimitNotice.Limited(1.0),
                        now,
                    )
                }
                limits.reports(now).size shouldBe 256
            }

            it("cease some time after a limit has ended") {
                val limits = NamedRateLimits()
                limits.recordAnswer(server, RateLimitNotice.Limited(2.0), now)
                limits.recordAnswer(server, RateLimitNotice.Unlimited, now + 1.seconds)
                limits
                    .reports(now + 2.seconds)
                    .single()
                    .requestsPerSecond
                    .shouldBeNull()
                limits.reports(now + 12.seconds).shouldBeEmpty()
            }
        }
    })

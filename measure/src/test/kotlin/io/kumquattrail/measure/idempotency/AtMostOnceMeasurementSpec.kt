package io.kumquattrail.measure.idempotency

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kumquattrail.measure.MeasurementOptions

private fun Map<String, Any?>.rows(member: String): List<Map<*, *>> =
    (this[member] as List<*>).filterIsInstance<Map<*, *>>()

private fun Map<*, *>.count(field: String): Int = this[field] as Int

class AtMostOnceMeasurementSpec :
    DescribeSpec({
        describe("keyed calls under every pair of faults at every pair of steps") {
            val result = AtMostOnceMeasurement().run(MeasurementOptions(seed = 1))

            it("run at most once and are never falsely answered `run: no` by the key table") {
                result
                    .rows("results")
                    .filter { it["policy"] == "key_table" }
                    .filter { it.count("runs_max_per_key") > 1 || it.count("false_not_run") > 0 }
                    .shouldBeEmpty()
                result["targets_met"] shouldBe true
            }

            it("run twice with each baseline, without which the measurement would show nothing") {
                result
                    .rows("totals")
                    .filter { it["policy"] != "key_table" }
                    .forEach {
                        it.count("double_runs") shouldBeGreaterThan 0
                        it.count("false_not_run") shouldBeGreaterThan 0
                    }
            }

            it("give the same figures for the same seed") {
                val product = AtMostOnceMeasurement(policies = listOf(KeyTableDelivery))
                val repeated = product.run(MeasurementOptions(seed = 1)).rows("results")
                repeated shouldBe result.rows("results").filter { it["policy"] == "key_table" }
            }
        }
    })

package io.kumquattrail.decision.idempotency

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.record.KeyOwnerGeneration
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.record.ServiceKind
import io.kumquattrail.decision.record.ServiceRecord
import kotlinx.collections.immutable.persistentListOf

private val LEDGER = ServiceName("ledger")
private val OWNER = ServerName("ledger-1")
private val FIRST = KeyOwnerGeneration(0, 10, persistentListOf(OWNER))
private val SECOND = KeyOwnerGeneration(10, 20, persistentListOf(OWNER))

private fun records(
    vararg generations: KeyOwnerGeneration,
    address: String = "127.0.0.1:1",
): RecordSet =
    RecordSet()
        .with(ServiceRecord(LEDGER, ServiceKind.PLAIN, keyOwners = persistentListOf(*generations)), revision = 1)
        .with(BackendServerRecord(OWNER, LEDGER, ZoneName("zone"), address), revision = 1)

class KeyGenerationCheckSpec :
    DescribeSpec({
        describe("a change of the owners of caller keys") {
            it("may add generations") {
                KeyGenerationCheck.violations(records(FIRST), records(FIRST, SECOND)).shouldBeEmpty()
            }

            it("must not alter a published generation, which would give its keys a second owner") {
                val altered = FIRST.copy(servers = persistentListOf(ServerName("ledger-2")))
                listOf(records(altered), records(FIRST.copy(untilMilliseconds = 9)), records(SECOND)).forEach {
                    KeyGenerationCheck.violations(records(FIRST), it) shouldBe
                        listOf(KeyGenerationViolation.Changed(LEDGER, FIRST))
                }
            }

            it("must not cover a key time twice or not at all") {
                val overlapping = SECOND.copy(fromMilliseconds = 9)
                KeyGenerationCheck.violations(RecordSet(), records(overlapping, FIRST)) shouldBe
                    listOf(KeyGenerationViolation.Overlapping(LEDGER, FIRST, overlapping))
                val empty = FIRST.copy(servers = persistentListOf())
                KeyGenerationCheck.violations(RecordSet(), records(empty)) shouldBe
                    listOf(KeyGenerationViolation.Empty(LEDGER, empty))
            }

            it("must not move an owner, whose agent at the old address may live on for stale gateways") {
                KeyGenerationCheck.violations(records(FIRST), records(FIRST, address = "127.0.0.2:1")) shouldBe
                    listOf(KeyGenerationViolation.OwnerMoved(OWNER))
            }
        }
    })

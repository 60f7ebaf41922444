package io.kumquattrail.decision.idempotency

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.record.KeyOwnerGeneration
import io.kumquattrail.decision.record.RecordSet
import io.kumquattrail.decision.record.ServiceKind
import io.kumquattrail.decision.record.ServiceRecord
import io.kumquattrail.decision.time.WallTime
import kotlinx.collections.immutable.persistentListOf

private const val UUID = "018f2c3a-7b1c-7d2e-8f00-112233445566"

private fun key(text: String): IdempotencyKey = IdempotencyKey.parse(text).getOrElse { error("$text: $it") }

private fun recordsWith(vararg generations: KeyOwnerGeneration): RecordSet =
    RecordSet().with(
        ServiceRecord(ServiceName("ledger"), ServiceKind.PLAIN, keyOwners = persistentListOf(*generations)),
        revision = 1,
    )

class IdempotencyKeySpec :
    DescribeSpec({
        val issued =
            IdempotencyKey.Issued(
                server = ServerName("ledger_1"),
                incarnation = Incarnation(high = -2, low = 3),
                number = 41,
                random = -7,
            )

        describe("parsing a key") {
            it("reads the time of a version 7 UUID, on which the owner's decision rests") {
                val key = key(UUID)
                key.shouldBeInstanceOf<IdempotencyKey.Caller>()
                key.time shouldBe WallTime(0x018f2c3a7b1c)
                key.toString() shouldBe UUID
            }

            it("takes both cases of a UUID for one key, which would otherwise run twice") {
                key(UUID.uppercase()) shouldBe key(UUID)
            }

            it("returns an issued key from its own text") {
                val named = issued.copy(server = ServerName("ledger-1"))
                IdempotencyKey.parse(named.toString()) shouldBe Ok(named)
            }

            it("refuses other spellings of an issued key, which would be a second key in the table") {
                val text = issued.copy(server = ServerName("ledger-1")).toString()
                listOf(text.replace("_41_", "_041_"), text.replace("fffe", "FFFE"), text.replace("_41_", "_+41_"))
                    .map { IdempotencyKey.parse(it) }
                    .toSet() shouldBe setOf(Err(KeyFormatError.MALFORMED_ISSUED_KEY))
            }

            it("refuses UUIDs of other versions, whose first bits are not a time") {
                IdempotencyKey.parse(UUID.replace("-7d2e", "-4d2e")) shouldBe Err(KeyFormatError.NOT_A_VERSION_7_UUID)
                IdempotencyKey.parse("order-17") shouldBe Err(KeyFormatError.NOT_A_VERSION_7_UUID)
                IdempotencyKey.parse("") shouldBe Err(KeyFormatError.EMPTY)
            }
        }

        describe("parsing a ticket") {
            it("returns the round only for the ticket's own key, so that no ticket opens another key") {
                val ticket = Ticket(key(UUID), round = 2)
                Ticket.parse(ticket.toString(), key(UUID)) shouldBe Ok(ticket)
                Ticket.parse(ticket.toString(), key(UUID.replace("66", "67"))) shouldBe Err(TicketError.OTHER_KEY)
                Ticket.parse("0.$UUID", key(UUID)) shouldBe Err(TicketError.MALFORMED)
                Ticket.parse(UUID, key(UUID)) shouldBe Err(TicketError.MALFORMED)
            }
        }

        describe("the owner of a caller key") {
            val servers = persistentListOf(ServerName("ledger-1"), ServerName("ledger-2"), ServerName("ledger-3"))
            val start = 0x018f2c3a7b1c
            val generation = KeyOwnerGeneration(start, start + 1, servers)
            val ledger = ServiceName("ledger")

            it("is the same in records that list further generations, so that stale records run no key elsewhere") {
                val later = KeyOwnerGeneration(start + 1, start + 2, persistentListOf(ServerName("ledger-9")))
                val owner = KeyOwnership(recordsWith(generation)).owner(key(UUID), ledger)
                owner.shouldBeInstanceOf<KeyOwner.Published>()
                KeyOwnership(recordsWith(later, generation)).owner(key(UUID), ledger) shouldBe owner
            }

            it("is unknown outside all generations, in two of them, and with unconfirmed records") {
                val outside = recordsWith(KeyOwnerGeneration(start - 1, start, servers))
                val overlapping =
                    recordsWith(generation, KeyOwnerGeneration(0, start + 9, persistentListOf(servers[0])))
                KeyOwnership(outside).owner(key(UUID), ledger) shouldBe KeyOwner.NoGeneration
                KeyOwnership(overlapping).owner(key(UUID), ledger) shouldBe KeyOwner.NoGeneration
                KeyOwnership(recordsWith(generation), confirmed = false).owner(key(UUID), ledger) shouldBe
                    KeyOwner.RecordsUnconfirmed
            }
        }
    })

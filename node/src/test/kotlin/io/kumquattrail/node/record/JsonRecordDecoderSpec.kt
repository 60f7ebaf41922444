package io.kumquattrail.node.record

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.record.RecordKey
import io.kumquattrail.decision.record.RecordKind
import io.kumquattrail.decision.record.RemovedRecord
import io.kumquattrail.decision.record.ServiceRecord
import io.kumquattrail.decision.record.ZoneRecord

private fun decode(json: String) = JsonRecordDecoder().decode(json.toByteArray())

class JsonRecordDecoderSpec :
    DescribeSpec({
        describe("a record of the present schema") {
            it("is decoded with its defaults") {
                val json =
                    """{"schema_version":1,"kind":"server","name":"s1","service":"drafting","zone":"a",
                    "address":"10.0.0.1:7000","weight":3}"""
                val record = decode(json).get().shouldBeInstanceOf<BackendServerRecord>()
                record.weight shouldBe 3
                record.coldConcurrency shouldBe 2
            }

            it("is rejected as a whole for one wrong field, which is named") {
                val json =
                    """{"schema_version":1,"kind":"server","name":"s1","service":"drafting","zone":"a",
                    "address":"10.0.0.1:7000","warm_concurrency":4,"cold_concurrency":5}"""
                decode(json)
                    .getError()
                    .shouldNotBeNull()
                    .single()
                    .field shouldBe "cold_concurrency"
            }

            it("names a field inside a list, so that the operator finds it") {
                val json =
                    """{"schema_version":1,"kind":"service","name":"ledger","service_kind":"plain",
                    "key_owners":[{"from_ms":5,"until_ms":5,"servers":["a"]}]}"""
                decode(json)
                    .getError()
                    .shouldNotBeNull()
                    .single()
                    .field shouldBe "key_owners[0].until_ms"
            }

            it("is rejected when two generations of key owners overlap, since a key would have two owners") {
                val json =
                    """{"schema_version":1,"kind":"service","name":"ledger","service_kind":"plain",
                    "key_owners":[{"from_ms":0,"until_ms":9,"servers":["a"]},
                    {"from_ms":8,"until_ms":12,"servers":["b"]}]}"""
                decode(json)
                    .getError()
                    .shouldNotBeNull()
                    .single()
                    .field shouldBe "key_owners"
            }
        }

        describe("a record of a newer schema") {
            it("keeps the fields that this program understands") {
                val json = """{"schema_version":7,"kind":"zone","name":"a","in_service":false,"colour":"green"}"""
                decode(json).get().shouldBeInstanceOf<ZoneRecord>().inService shouldBe false
            }

            it("is rejected as a whole when it demands a newer reader") {
                val json = """{"schema_version":7,"minimum_reader":7,"kind":"zone","name":"a"}"""
                decode(json).getError() shouldBe listOf(RecordError.TooNew(7))
            }
        }

        describe("a removal") {
            it("is a record of its own, so that an old copy cannot bring the zone back") {
                val json = """{"schema_version":1,"kind":"zone","name":"a","removed":true}"""
                decode(json).get() shouldBe RemovedRecord(RecordKey(RecordKind.ZONE, "a"))
            }
        }

        describe("operations of a service") {
            it("count as not repeatable unless they say so, because a repeated posting charges twice") {
                val json =
                    """{"schema_version":1,"kind":"service","name":"ledger","service_kind":"plain",
                    "operations":[{"method":"POST","path_prefix":"/postings"}]}"""
                val record = decode(json).get().shouldBeInstanceOf<ServiceRecord>()
                record.operations.single().repeatable shouldBe false
            }
        }

        describe("bytes that are no record") {
            it("are rejected") {
                decode("[]")
                    .getError()
                    .shouldNotBeNull()
                    .single()
                    .shouldBeInstanceOf<RecordError.Malformed>()
                decode("{")
                    .getError()
                    .shouldNotBeNull()
                    .single()
                    .shouldBeInstanceOf<RecordError.Malformed>()
                decode("""{"schema_version":1,"kind":"moon","name":"a"}""").getError() shouldBe
                    listOf(RecordError.UnknownKind("moon"))
            }
        }
    })

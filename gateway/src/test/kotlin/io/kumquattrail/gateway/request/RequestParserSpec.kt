package io.kumquattrail.gateway.request

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import kotlin.time.Duration.Companion.milliseconds

private fun request(
    path: String,
    body: String = "",
    method: String = "POST",
    headers: Map<String, String> = emptyMap(),
) = IncomingRequest(method, path, headers, body.toByteArray())

private fun refusalOf(request: IncomingRequest) = RequestParser().apply(request).getError().shouldNotBeNull()

class RequestParserSpec :
    DescribeSpec({
        describe("a completion") {
            it("is addressed to the service that the model names") {
                val body = """{"model":"drafting","prompt":"hello","max_tokens":5,"stream":true}"""
                val parsed = RequestParser().apply(request("/v1/completions", body)).get().shouldNotBeNull()
                parsed.service shouldBe ServiceName("drafting")
                parsed.stream shouldBe true
                parsed.cost.outputTokens shouldBe 5
            }

            it("is refused as not run when its body is malformed, and never forwarded") {
                listOf(
                    "{",
                    "[]",
                    """{"prompt":"x"}""",
                    """{"model":"m","prompt":[]}""",
                    """{"model":"m","prompt":"x","max_tokens":0}""",
                    """{"model":"m","prompt":"x","stream":"yes"}""",
                ).forEach { body ->
                    val refusal = refusalOf(request("/v1/completions", body))
                    refusal.reason shouldBe RefusalReason.MALFORMED_REQUEST
                    refusal.runState shouldBe RunState.NO
                }
            }
        }

        describe("a call to a plain service") {
            it("keeps method, path and query") {
                val parsed =
                    RequestParser()
                        .apply(request("/services/ledger/postings?x=1", method = "PUT"))
                        .get()
                        .shouldNotBeNull()
                parsed.service shouldBe ServiceName("ledger")
                parsed.method shouldBe "PUT"
                parsed.path shouldBe "/postings?x=1"
            }

            it("is refused when the path names no service") {
                refusalOf(request("/elsewhere")).reason shouldBe RefusalReason.UNKNOWN_SERVICE
            }
        }

        describe("a timeout") {
            it("is taken over from the caller") {
                val headers = mapOf("request-timeout" to "0.25")
                val parsed = RequestParser().apply(request("/services/ledger/x", headers = headers)).get()
                parsed.shouldNotBeNull().timeout shouldBe 250.milliseconds
            }

            it("is refused when it is absurd, since it would hold resources for ever") {
                listOf("0", "-1", "1e9", "NaN", "soon").forEach { value ->
                    val headers = mapOf("request-timeout" to value)
                    refusalOf(request("/services/ledger/x", headers = headers)).reason shouldBe
                        RefusalReason.MALFORMED_REQUEST
                }
            }
        }
    })

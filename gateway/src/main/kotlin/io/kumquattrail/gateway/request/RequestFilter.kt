package io.kumquattrail.gateway.request

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import io.kumquattrail.decision.refusal.Refusal

/** Takes a request one step further on its way to a backend server, or refuses it. */
fun interface RequestFilter<in I, out O> {
    fun apply(input: I): Result<O, Refusal>
}

/** Joins two filters to one that applies [next] to what this one lets through. */
infix fun <I, M, O> RequestFilter<I, M>.then(next: RequestFilter<M, O>): RequestFilter<I, O> =
    RequestFilter { input -> apply(input).flatMap(next::apply) }

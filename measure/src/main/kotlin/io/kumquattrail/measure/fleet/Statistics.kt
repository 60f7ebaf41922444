package io.kumquattrail.measure.fleet

import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.round

/** Returns the value below or at which the share [quantile] of [values] lies; 0 for no values. */
internal fun quantile(
    values: List<Double>,
    quantile: Double,
): Double =
    if (values.isEmpty()) 0.0 else values.sorted()[(ceil(quantile * values.size).toInt() - 1).coerceIn(values.indices)]

/** Rounds to three decimal places. */
internal fun Double.rounded(): Double = round(this * 1_000) / 1_000

/**
 * Returns the exponent with which values grow over sizes: 0 for no growth, 1 for proportional growth; `null` when a value
 * is not positive, so that there is no exponent.
 */
internal fun growthExponent(points: List<Pair<Int, Double>>): Double? {
    if (points.size < 2 || points.any { it.second <= 0 }) return null
    val x = points.map { ln(it.first.toDouble()) }
    val y = points.map { ln(it.second) }
    val spread = x.sumOf { (it - x.average()) * (it - x.average()) }
    return (x.zip(y).sumOf { (a, b) -> (a - x.average()) * (b - y.average()) } / spread).rounded()
}

/** Returns one row for each case with the exponents of [fields] over the number of processes. */
internal fun growthRows(
    rows: List<Map<String, Any?>>,
    fields: List<String>,
): List<Map<String, Any?>> =
    rows.groupBy { it["policy"] to it["case"] }.filterValues { it.size > 1 }.map { (key, sizes) ->
        mapOf("row" to "growth", "policy" to key.first, "case" to key.second) +
            fields.associate { field ->
                "${field}_exponent" to
                    growthExponent(sizes.map { it["processes"] as Int to (it[field] as Number).toDouble() })
            }
    }

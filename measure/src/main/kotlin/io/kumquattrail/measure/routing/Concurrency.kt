package io.kumquattrail.measure.routing

import java.util.concurrent.Callable
import java.util.concurrent.Executors

private const val THREADS = 4

/** Maps independent runs on a few threads; the order of the results is that of the receiver. */
internal fun <T, R> List<T>.mapConcurrently(transform: (T) -> R): List<R> {
    val executor = Executors.newFixedThreadPool(THREADS)
    try {
        return map { executor.submit(Callable { transform(it) }) }.map { it.get() }
    } finally {
        executor.shutdown()
    }
}

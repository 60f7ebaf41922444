package io.kumquattrail.node.log

import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Logs short sentences with the fixed prefix of one part of the program.
 *
 * @property prefix name of the part, such as `agent.work`.
 */
class PartLogger(
    private val prefix: String,
    private val logger: Logger = LoggerFactory.getLogger("io.kumquattrail.$prefix"),
) {
    /** Logs [sentence] and the pairs in [fields], in the form `name=value`. */
    fun info(
        sentence: String,
        vararg fields: Pair<String, Any?>,
    ) = logger.info(line(sentence, fields))

    fun warn(
        sentence: String,
        vararg fields: Pair<String, Any?>,
    ) = logger.warn(line(sentence, fields))

    fun error(
        sentence: String,
        cause: Throwable,
        vararg fields: Pair<String, Any?>,
    ) = logger.error(line(sentence, fields), cause)

    private fun line(
        sentence: String,
        fields: Array<out Pair<String, Any?>>,
    ): String = "$prefix: $sentence" + fields.joinToString("") { (name, value) -> " $name=$value" }
}

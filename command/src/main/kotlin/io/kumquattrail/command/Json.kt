package io.kumquattrail.command

import com.fasterxml.jackson.databind.ObjectMapper

private val MAPPER = ObjectMapper()

/** Renders the map as one line of JSON. */
internal fun Map<String, Any?>.toJsonLine(): String = MAPPER.writeValueAsString(this)

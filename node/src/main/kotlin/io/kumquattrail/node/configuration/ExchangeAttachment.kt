package io.kumquattrail.node.configuration

import io.kumquattrail.protocol.v1.ExchangeMessage

/** Adds data to the messages of the exchange and takes it in at the receiver. Called by many threads. */
interface ExchangeAttachment {
    fun attach(message: ExchangeMessage.Builder)

    fun receive(message: ExchangeMessage)
}

package io.kumquattrail.gateway.call

import io.grpc.ClientStreamTracer
import io.grpc.Metadata

/** Tells whether any part of a gRPC call was written to a connection, so that a failure before is known as not sent. */
internal class SendTracer : ClientStreamTracer.Factory() {
    @Volatile
    var sent: Boolean = false
        private set

    override fun newClientStreamTracer(
        info: ClientStreamTracer.StreamInfo,
        headers: Metadata,
    ): ClientStreamTracer =
        object : ClientStreamTracer() {
            override fun outboundHeaders() {
                sent = true
            }

            override fun outboundMessage(sequenceNumber: Int) {
                sent = true
            }
        }
}

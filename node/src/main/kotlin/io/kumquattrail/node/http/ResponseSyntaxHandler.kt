package io.kumquattrail.node.http

import io.kumquattrail.decision.http.ResponseSyntax
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpClientCodec
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.impl.HttpClientConnectionInternal
import java.io.IOException

/** A server has sent a response that HTTP does not allow. */
class MalformedResponseException(
    reason: String,
) : IOException(reason)

/**
 * Makes the requests on this connection of an HTTP client fail with [MalformedResponseException] when the server sends a
 * malformed response, and closes the connection. The decoder of the client accepts many of them.
 */
fun HttpConnection.rejectMalformedResponses() {
    val pipeline = (this as HttpClientConnectionInternal).channelHandlerContext().pipeline()
    pipeline.addBefore(pipeline.context(HttpClientCodec::class.java).name(), null, ResponseSyntaxHandler())
}

private class ResponseSyntaxHandler : ChannelInboundHandlerAdapter() {
    private val syntax = ResponseSyntax()

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message !is ByteBuf) return super.channelRead(context, message)
        val fault = syntax.read(message.readableBytes()) { message.getByte(message.readerIndex() + it) }
        // The bytes before the fault may complete a response.
        if (fault != null) message.writerIndex(message.readerIndex() + fault.soundBytes)
        super.channelRead(context, message)
        if (fault == null) return
        context.fireExceptionCaught(MalformedResponseException(fault.reason))
        context.close()
    }
}

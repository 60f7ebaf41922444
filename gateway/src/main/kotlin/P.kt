package io.kumquattrail.gateway

internal const val PLACEHOLDER: Int = 1

package io.kumquattrail.node

internal const val PLACEHOLDER: Int = 1

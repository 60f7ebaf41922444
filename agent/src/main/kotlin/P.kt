package io.kumquattrail.agent

internal const val PLACEHOLDER: Int = 1

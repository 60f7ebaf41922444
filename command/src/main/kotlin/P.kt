package io.kumquattrail.command

internal const val PLACEHOLDER: Int = 1

package io.kumquattrail.standin

internal const val PLACEHOLDER: Int = 1

package review;

/** Configurations of the operator. */
final class Configurations {
    /** Path prefix of the route whose requests may run only once. */
    static final String UNSAFE_PREFIX = "/post/";

    /** Path prefix of the route whose requests may run again. */
    static final String SAFE_PREFIX = "/read/";

    private Configurations() {}

    /**
     * Returns a configuration in which [service] serves both routes, and the tenant `shop` holds [keys].
     *
     * @param keys JSON array of the tenant's keys.
     */
    static String of(int version, String service, String keys, int timeoutMilliseconds) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-post", UNSAFE_PREFIX, "unsafe", service, 1, timeoutMilliseconds) + ","
                + route("r-read", SAFE_PREFIX, "safe", service, 2, timeoutMilliseconds)
                + "],\"services\":[" + service("ledger-app") + "," + service("ledger-new")
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"shop\",\"api_keys\":" + keys
                + ",\"priority\":1}]}";
    }

    private static String route(String name, String prefix, String kind, String service, int attempts, int timeout) {
        return "{\"name\":\"" + name + "\",\"host\":\"app.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":100,\"priority\":2,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts + ",\"anonymous\":false,\"sticky\":false}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\","
                + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    }
}

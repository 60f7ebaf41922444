package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/** Stand-in of a runner of a plain service: it runs each request that names its id, and answers with its stamp. */
final class Runner {
    /** A request that the runner has run. */
    static final class Run {
        final long at;
        final String requestId;
        final String tenant;

        Run(long at, String requestId, String tenant) {
            this.at = at;
            this.requestId = requestId;
            this.tenant = tenant;
        }
    }

    final String id;
    final String service;
    private final HttpServer server;
    private final Record record;
    private final long workMilliseconds;
    private final List<Run> runs = new ArrayList<>();

    Runner(Record record, String id, String service, long workMilliseconds) throws IOException {
        this.record = record;
        this.id = id;
        this.service = service;
        this.workMilliseconds = workMilliseconds;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Threads.daemons(id)));
        server.createContext("/", this::handle);
        server.start();
    }

    /** Returns the entry under which the runner registers itself in the store. */
    String registration(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getAddress().getPort()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"seq_no\":1,\"born\":1764900000000}";
    }

    /** Ends the runner: it closes its listener and all connections, also those with a request in progress. */
    void exit() {
        server.stop(0);
        record.write(id + " exits");
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(runs);
    }

    private void handle(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        exchange.getResponseHeaders().set("X-Instance-Id", id);
        if (requestId != null) exchange.getResponseHeaders().set("X-Request-Id", requestId);
        if (expected != null && !expected.equals(id)) {
            exchange.sendResponseHeaders(421, -1);
            exchange.close();
            return;
        }
        if (exchange.getRequestURI().getPath().equals("/health")) {
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
            return;
        }
        String tenant = exchange.getRequestHeaders().getFirst("X-Tenant");
        synchronized (this) {
            runs.add(new Run(record.now(), requestId, tenant));
        }
        record.write("run: " + requestId + " by " + id + " of " + service + ", tenant " + tenant);
        Threads.sleep(workMilliseconds);
        byte[] body = ("answer to " + requestId).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("X-Server-Stamp", id + "." + requestId);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}

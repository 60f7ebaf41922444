package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: items under keys, one revision counter, lists in pages and watches. */
final class Store {
    private static final int PAGE_ITEMS = 500;

    private final HttpServer server;
    private final Record record;
    private final TreeMap<String, String> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 400;
    private int cuts;

    private static final class Event {
        final long revision;
        final String key;
        final String json;

        Event(long revision, String key, String json) {
            this.revision = revision;
            this.key = key;
            this.json = json;
        }
    }

    Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Threads.daemons("store")));
        server.createContext("/api/kv-range", this::range);
        server.createContext("/api/kv-watch", this::watch);
        server.createContext("/api/kv-key", this::item);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes an item; its return is the acknowledgement. */
    synchronized void put(String key, byte[] value) {
        revision += 1;
        String json = "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                + "\",\"revision\":" + revision + ",\"created_at\":" + revision + ",\"lease\":0}";
        items.put(key, json);
        events.add(new Event(revision, key, json));
        record.write("store: " + key + " written at revision " + revision + ", " + value.length + " bytes");
        notifyAll();
    }

    synchronized void delete(String key) {
        revision += 1;
        items.remove(key);
        String json = "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}";
        events.add(new Event(revision, key, json));
        record.write("store: " + key + " deleted at revision " + revision);
        notifyAll();
    }

    /** Cuts all waiting watches: their connections are closed without an answer. */
    synchronized void cutWatches() {
        cuts += 1;
        notifyAll();
    }

    private void range(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        StringBuilder body = new StringBuilder("{\"items\":[");
        synchronized (this) {
            int count = 0;
            boolean more = false;
            for (Map.Entry<String, String> entry : items.tailMap(prefix, true).entrySet()) {
                if (!entry.getKey().startsWith(prefix)) break;
                if (entry.getKey().compareTo(after) <= 0) continue;
                if (count == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                if (count > 0) body.append(',');
                body.append(entry.getValue());
                count += 1;
            }
            body.append("],\"has_more\":").append(more).append(",\"at\":").append(revision).append('}');
        }
        answer(exchange, 200, body.toString());
    }

    private void watch(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
        String body;
        synchronized (this) {
            int cutsBefore = cuts;
            while (true) {
                StringBuilder found = new StringBuilder();
                for (Event event : events) {
                    if (event.revision <= after || !event.key.startsWith(prefix)) continue;
                    if (found.length() > 0) found.append(',');
                    found.append(event.json);
                }
                long left = (until - System.nanoTime()) / 1_000_000L;
                if (found.length() > 0 || left <= 0) {
                    body = "{\"events\":[" + found + "],\"at\":" + revision + "}";
                    break;
                }
                try {
                    wait(left);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                    exchange.close();
                    return;
                }
                if (cuts != cutsBefore) {
                    exchange.close();
                    return;
                }
            }
        }
        answer(exchange, 200, body);
    }

    private void item(HttpExchange exchange) throws IOException {
        String json;
        synchronized (this) {
            json = items.get(query(exchange).getOrDefault("key", ""));
        }
        answer(exchange, json == null ? 404 : 200, json == null ? "{}" : json);
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String query = exchange.getRequestURI().getQuery();
        if (query == null) return result;
        for (String part : query.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) result.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return result;
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}

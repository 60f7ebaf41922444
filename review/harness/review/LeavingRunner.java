package review;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner announces that it leaves, and is gone two seconds later, in the middle of streams without a length. */
final class LeavingRunner {
    private static final long NOTICE_MILLISECONDS = 2_000;
    private static final int RUNNERS = 7;
    private static final int STREAMS = 28;
    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final String SERVICE = "drafting-llm";

    private final Deployment deployment;
    private final List<Process> processes = new ArrayList<>();

    private LeavingRunner(Deployment deployment) {
        this.deployment = deployment;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    public static void main(String[] arguments) {
        Deployment.play(arguments[0], deployment -> new LeavingRunner(deployment).run());
    }

    private boolean run() throws Exception {
        deployment.store.put("op/config", configuration());
        int[] ports = new int[RUNNERS];
        for (int index = 0; index < RUNNERS; index++) {
            ports[index] = startRunner("i-llm" + (index + 1));
            register(index, ports[index], "ready");
        }
        deployment.startGateways(1);
        int frontPort = deployment.gateways.get(0).frontPort;
        Threads.sleep(4_000);

        AtomicInteger falselyComplete = new AtomicInteger();
        AtomicInteger complete = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int stream = 0; stream < STREAMS; stream++) {
            String id = deployment.nextRequestId();
            Thread thread = Threads.daemons("stream").newThread(() -> {
                String result = receive(frontPort, id, falselyComplete, complete, broken);
                deployment.record.write("answered: " + id + " " + result);
            });
            threads.add(thread);
            thread.start();
            // The last streams begin shortly before the notice, and all are in progress when the runner is gone.
            Threads.sleep(20);
        }
        register(0, ports[0], "draining");
        long noticeAt = deployment.record.now();
        deployment.record.announce("i-llm1 reports that it is draining; acknowledged at " + noticeAt);
        Threads.sleep(NOTICE_MILLISECONDS);
        if (deployment.trouble) {
            processes.get(0).destroyForcibly();
            deployment.record.announce("i-llm1 is gone, " + (deployment.record.now() - noticeAt) + " ms after its notice");
        }
        for (Thread thread : threads) thread.join();
        deployment.record.announce("streams: " + STREAMS + ", complete with all " + StreamRunner.EVENTS + " events: "
                + complete + ", ended as complete before the last event: " + falselyComplete + ", broken off: " + broken);
        return falselyComplete.get() == 0;
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\"host\":\"app.example\",\"prefix\":\"/draft/\","
                + "\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":501,\"priority\":1,\"service\":\""
                + SERVICE + "\",\"max_attempts\":2,\"anonymous\":false,\"sticky\":true,\"can_resume\":true,"
                + "\"target_gap_ms\":120}],\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"/health\","
                + "\"max_connections\":288,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"" + KEY
                + "\"],\"priority\":1}]}";
    }

    private void register(int index, int port, String state) {
        deployment.store.put("servers/i-llm" + (index + 1), "{\"service\":\"" + SERVICE + "\",\"address\":\"127.0.0.1:"
                + port + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"seq_no\":1,\"born\":1764900000000}");
    }

    private int startRunner(String id) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder(
                java, "-Xmx64m", "-cp", System.getProperty("java.class.path"), StreamRunner.class.getName(), id);
        builder.redirectErrorStream(true);
        Process process = builder.start();
        processes.add(process);
        BufferedReader output =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.ISO_8859_1));
        String first = output.readLine();
        if (first == null || !first.startsWith("port ")) throw new IOException(id + " did not start: " + first);
        Threads.daemons("output").newThread(() -> {
            try {
                for (String line = output.readLine(); line != null; line = output.readLine()) {
                    deployment.record.write(id + ": " + line);
                }
            } catch (IOException ended) {
                deployment.record.write(id + ": has ended");
            }
        }).start();
        return Integer.parseInt(first.substring(5));
    }

    /** Sends one streaming request and reads its answer, which comes in chunks; returns what the client saw. */
    private String receive(
            int port, String id, AtomicInteger falselyComplete, AtomicInteger complete, AtomicInteger broken) {
        deployment.record.write("sent: " + id + " POST /draft/1");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String stamp = "";
        String status = "no status";
        boolean ended = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(8_000);
            String head = "POST /draft/1 HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id
                    + "\r\nX-Model: m\r\nX-Token-Count: 600,96\r\nX-Prompt-Prefix: 5c1e07a2:40," + id + ":560"
                    + "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Token " + KEY + "\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = socket.getInputStream();
            status = line(input);
            for (String header = line(input); !header.isEmpty(); header = line(input)) {
                if (header.toLowerCase().startsWith("x-server-stamp:")) stamp = header.substring(15).trim();
            }
            while (true) {
                int size = Integer.parseInt(line(input), 16);
                if (size == 0) {
                    ended = true;
                    break;
                }
                body.write(input.readNBytes(size));
                line(input);
            }
        } catch (IOException | NumberFormatException failure) {
            status += ", " + failure.getMessage();
        }
        int events = body.toString(StandardCharsets.ISO_8859_1).split("\n\n", -1).length - 1;
        if (ended && events == StreamRunner.EVENTS) complete.incrementAndGet();
        else if (ended && !stamp.isEmpty()) falselyComplete.incrementAndGet();
        else broken.incrementAndGet();
        return status + ", stamp " + stamp + ", " + events + " events, " + (ended ? "ended as complete" : "broken off");
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = input.read();
            if (next < 0) throw new IOException("connection ended");
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
    }
}

package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store, runners, and gateways as separate processes. */
final class Deployment {
    /** What a case does once the deployment serves; returns whether the rule held. */
    interface Scenario {
        boolean run(Deployment deployment) throws Exception;
    }

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;
    private static final long LONGEST_RUN_MILLISECONDS = 110_000;
    private static final long START_TIMEOUT_MILLISECONDS = 20_000;

    final Record record;
    final Store store;
    final List<Gateway> gateways = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();

    /** Whether the disruption of the case happens. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private final Path folder;
    private final AtomicInteger requests = new AtomicInteger();

    private Deployment(Path caseFolder) throws IOException {
        record = new Record(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review");
        store = new Store(record);
    }

    /** Runs a case and ends the process with its exit code; all started processes have ended by then. */
    static void play(String caseFolder, Scenario scenario) {
        int code = COULD_NOT_RUN;
        System.setProperty("sun.net.httpserver.nodelay", "true");
        try {
            Deployment deployment = new Deployment(Path.of(caseFolder));
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::end));
            Threads.daemons("limit").newThread(() -> {
                Threads.sleep(LONGEST_RUN_MILLISECONDS);
                deployment.record.announce("the run took too long");
                System.exit(COULD_NOT_RUN);
            }).start();
            deployment.record.announce("disruption: " + (deployment.trouble ? "on" : "off"));
            boolean held = scenario.run(deployment);
            code = held ? HELD : BROKEN;
            deployment.record.announce(held ? "the rule held" : "the rule was broken");
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    Runner addRunner(String id, String service, long workMilliseconds) throws IOException {
        Runner runner = new Runner(record, id, service, workMilliseconds);
        runners.add(runner);
        store.put("servers/" + id, runner.registration("ready"));
        return runner;
    }

    /** Starts [count] gateways, each with all of them as seeds, and waits until they are ready. */
    void startGateways(int count) throws IOException {
        for (int index = 1; index <= count; index++) gateways.add(new Gateway("front-" + index, folder));
        for (Gateway gateway : gateways) gateway.start(store.port(), gateways);
        for (Gateway gateway : gateways) {
            if (!becomesReady(gateway, START_TIMEOUT_MILLISECONDS)) {
                throw new IOException(gateway.name + " did not become ready");
            }
        }
        record.announce(count + " gateways are ready");
    }

    boolean becomesReady(Gateway gateway, long timeoutMilliseconds) {
        long until = record.now() + timeoutMilliseconds;
        while (record.now() < until) {
            if (gateway.isReady()) return true;
            Threads.sleep(50);
        }
        return false;
    }

    /** Returns a new request id. */
    String nextRequestId() {
        return String.format("%016x", 0x5eed_0000L + requests.incrementAndGet());
    }

    private void end() {
        gateways.forEach(Gateway::kill);
        for (Gateway gateway : gateways) {
            try {
                if (gateway.process() != null) gateway.process().waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("logs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException failure) {
            failure.printStackTrace();
        }
    }
}

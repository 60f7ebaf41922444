package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** The store cuts waiting watches again and again while a runner leaves by the removal of its entry. */
final class CutWatches {
    private static final long DRAIN_MILLISECONDS = 2_000;
    private static final long CUT_INTERVAL_MILLISECONDS = 1_000;
    private static final long EXIT_AFTER_REMOVAL_MILLISECONDS = 8_000;
    private static final long WORK_MILLISECONDS = 100;
    private static final int CLIENTS_PER_GATEWAY = 4;
    private static final String KEY = "n2ctnfzs989anu6wsjnb";

    private CutWatches() {}

    public static void main(String[] arguments) {
        Deployment.play(arguments[0], CutWatches::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        deployment.store.put("op/config", Configurations.of(7, "ledger-app", "[\"" + KEY + "\"]", 800));
        for (int index = 1; index <= 3; index++) deployment.addRunner("i-app" + index, "ledger-app", WORK_MILLISECONDS);
        deployment.startGateways(3);
        Threads.sleep(4_000);

        if (deployment.trouble) {
            Threads.daemons("cuts").newThread(() -> {
                while (true) {
                    deployment.store.cutWatches();
                    deployment.record.write("store: cut the waiting watches");
                    Threads.sleep(CUT_INTERVAL_MILLISECONDS);
                }
            }).start();
        }
        Threads.sleep(500);
        Runner leaving = deployment.runners.get(2);
        deployment.store.delete("servers/" + leaving.id);
        long acknowledgedAt = deployment.record.now();
        deployment.record.announce("entry of " + leaving.id + " removed; acknowledged at " + acknowledgedAt);

        AtomicInteger sent = new AtomicInteger();
        Queue<String> notServed = new ConcurrentLinkedQueue<>();
        long until = acknowledgedAt + EXIT_AFTER_REMOVAL_MILLISECONDS;
        List<Thread> threads = new ArrayList<>();
        for (Gateway gateway : deployment.gateways) {
            for (int index = 0; index < CLIENTS_PER_GATEWAY; index++) {
                Client client = new Client(deployment.record, "client of " + gateway.name, gateway.frontPort);
                Thread thread = Threads.daemons("client").newThread(() -> {
                    while (deployment.record.now() < until + 500) {
                        String id = deployment.nextRequestId();
                        sent.incrementAndGet();
                        int status = client.send("POST", Configurations.UNSAFE_PREFIX + "1", id, KEY, new byte[600], 1_500)
                                .status;
                        if (status != 200) notServed.add(id);
                        Threads.sleep(20);
                    }
                    client.close();
                });
                threads.add(thread);
                thread.start();
            }
        }
        Threads.sleep(until - deployment.record.now());
        leaving.exit();
        for (Thread thread : threads) thread.join();
        int late = 0;
        long last = 0;
        List<Runner.Run> runs = leaving.runs();
        for (Runner.Run run : runs) {
            if (run.at > acknowledgedAt + DRAIN_MILLISECONDS) late += 1;
            last = Math.max(last, run.at - acknowledgedAt);
        }
        int lost = 0;
        for (Runner.Run run : runs) {
            if (notServed.contains(run.requestId)) lost += 1;
        }
        deployment.record.announce("sent " + sent + ", not served " + notServed.size() + "; reached " + leaving.id
                + " later than " + DRAIN_MILLISECONDS + " ms after the acknowledgement: " + late + ", the last after " + last
                + " ms; begun by it and lost with its exit: " + lost);
        return late == 0;
    }
}

package review;

import java.util.List;

/** The store cuts waiting watches again and again while a runner leaves by the removal of its entry. */
final class CutWatches {
    private static final long DRAIN_MILLISECONDS = 2_000;
    private static final long CUT_INTERVAL_MILLISECONDS = 1_000;
    private static final long SERVED_AFTER_REMOVAL_MILLISECONDS = 8_000;
    private static final String KEY = "n2ctnfzs989anu6wsjnb";

    private CutWatches() {}

    public static void main(String[] arguments) {
        Deployment.play(arguments[0], CutWatches::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        deployment.store.put("op/config", Configurations.of(7, "ledger-app", "[\"" + KEY + "\"]", 800));
        for (int index = 1; index <= 3; index++) deployment.addRunner("i-app" + index, "ledger-app", 20, 0);
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

        int sent = 0;
        int served = 0;
        while (deployment.record.now() < acknowledgedAt + SERVED_AFTER_REMOVAL_MILLISECONDS) {
            for (Gateway gateway : deployment.gateways) {
                Client client = new Client(deployment.record, "client of " + gateway.name, gateway.frontPort);
                String id = deployment.nextRequestId();
                sent += 1;
                if (client.send("POST", Configurations.UNSAFE_PREFIX + "1", id, KEY, new byte[600], 1_500).status == 200) {
                    served += 1;
                }
                client.close();
            }
            Threads.sleep(20);
        }
        int late = 0;
        long last = 0;
        List<Runner.Run> runs = leaving.runs();
        for (Runner.Run run : runs) {
            if (run.at > acknowledgedAt + DRAIN_MILLISECONDS) late += 1;
            last = Math.max(last, run.at - acknowledgedAt);
        }
        deployment.record.announce("sent " + sent + ", served " + served + "; reached " + leaving.id + " later than "
                + DRAIN_MILLISECONDS + " ms after the acknowledgement: " + late + ", the last after " + last + " ms");
        return late == 0;
    }
}

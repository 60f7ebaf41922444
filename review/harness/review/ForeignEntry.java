package review;

import java.util.List;

/**
 * Another writer puts an entry with unreadable bytes beside the runners' entries. Then the operator moves both routes to
 * another service.
 */
final class ForeignEntry {
    private static final long CONFIG_APPLY_MILLISECONDS = 2_000;
    private static final long OBSERVED_MILLISECONDS = 12_000;
    private static final String KEY = "n2ctnfzs989anu6wsjnb";

    // A record in a binary format: a length of four bytes, and a text of that length.
    private static final byte[] UNREADABLE = {0, 0, 0, 8, 'b', 'a', 't', 'c', 'h', ' ', '4', '2'};

    private ForeignEntry() {}

    public static void main(String[] arguments) {
        Deployment.play(arguments[0], ForeignEntry::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        String keys = "[\"" + KEY + "\"]";
        deployment.store.put("op/config", Configurations.of(7, "ledger-app", keys, 800));
        for (int index = 1; index <= 3; index++) deployment.addRunner("i-old" + index, "ledger-app", 20);
        for (int index = 1; index <= 3; index++) deployment.addRunner("i-new" + index, "ledger-new", 20);
        deployment.startGateways(3);
        int servedBefore = sendRound(deployment, KEY);
        deployment.record.announce("served before: " + servedBefore + " of 3");
        if (servedBefore < 3) throw new IllegalStateException("the deployment does not serve");
        Threads.sleep(4_000);

        if (deployment.trouble) deployment.store.put("servers/i-other", UNREADABLE);
        Threads.sleep(500);
        deployment.store.put("op/config", Configurations.of(9, "ledger-new", keys, 800));
        long acknowledgedAt = deployment.record.now();
        deployment.record.announce("version 9 moves both routes to ledger-new; acknowledged at " + acknowledgedAt);

        int lateSent = 0;
        int lateServed = 0;
        int lastServed = 0;
        int lateOnOldService = 0;
        while (deployment.record.now() < acknowledgedAt + OBSERVED_MILLISECONDS) {
            boolean isLate = deployment.record.now() > acknowledgedAt + CONFIG_APPLY_MILLISECONDS;
            int oldRunsBefore = runsOf(deployment, "ledger-app");
            int served = sendRound(deployment, KEY);
            if (isLate) {
                lateSent += 3;
                lateServed += served;
                lastServed = served;
                lateOnOldService += runsOf(deployment, "ledger-app") - oldRunsBefore;
            }
            Threads.sleep(100);
        }
        deployment.record.announce("sent later than " + CONFIG_APPLY_MILLISECONDS + " ms after the acknowledgement: "
                + lateSent + ", served: " + lateServed + ", run by the old service: " + lateOnOldService);
        deployment.record.announce("served in the last round: " + lastServed + " of 3");
        reportState(deployment);
        return lateOnOldService == 0;
    }

    /** Sends one request to each gateway on new connections; returns how many were answered with success. */
    private static int sendRound(Deployment deployment, String key) {
        int served = 0;
        for (Gateway gateway : deployment.gateways) {
            Client client = new Client(deployment.record, "client of " + gateway.name, gateway.frontPort);
            String id = deployment.nextRequestId();
            if (client.send("GET", Configurations.SAFE_PREFIX + "1", id, key, new byte[0], 1_500).status == 200) {
                served += 1;
            }
            client.close();
        }
        return served;
    }

    private static int runsOf(Deployment deployment, String service) {
        int count = 0;
        for (Runner runner : deployment.runners) {
            if (runner.service.equals(service)) count += runner.runs().size();
        }
        return count;
    }

    /** Reports what a restart changes; the check does not depend on it. */
    private static void reportState(Deployment deployment) throws Exception {
        for (Gateway gateway : deployment.gateways) {
            List<String> errors = gateway.logLines("internal_error");
            deployment.record.announce(gateway.name + ": ready " + gateway.isReady() + ", internal errors in its log "
                    + errors.size() + (errors.isEmpty() ? "" : ": " + errors.get(0)));
        }
        Gateway first = deployment.gateways.get(0);
        first.kill();
        first.process().waitFor();
        first.start(deployment.store.port(), deployment.gateways);
        deployment.record.announce("front-1 restarted; ready within 10 s: " + deployment.becomesReady(first, 10_000));
    }
}

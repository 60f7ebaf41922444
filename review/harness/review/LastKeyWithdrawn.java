package review;

/** The operator withdraws all keys of the only tenant, in two versions of the configuration. */
final class LastKeyWithdrawn {
    private static final long REVOKE_MILLISECONDS = 5_000;
    private static final long OBSERVED_MILLISECONDS = 9_000;
    private static final String FIRST_KEY = "n2ctnfzs989anu6wsjnb";
    private static final String SECOND_KEY = "anfqasnmgkcuyj8pjbvk";
    private static final String UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz";

    private LastKeyWithdrawn() {}

    public static void main(String[] arguments) {
        Deployment.play(arguments[0], LastKeyWithdrawn::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        String bothKeys = "[\"" + FIRST_KEY + "\",\"" + SECOND_KEY + "\"]";
        deployment.store.put("op/config", Configurations.of(7, "ledger-app", bothKeys, 800));
        for (int index = 1; index <= 3; index++) deployment.addRunner("i-app" + index, "ledger-app", 20);
        deployment.startGateways(3);
        int before = send(deployment, FIRST_KEY) + send(deployment, SECOND_KEY);
        deployment.record.announce("run with both keys before: " + before + " of 6");
        if (before < 6) throw new IllegalStateException("the deployment does not serve");
        if (send(deployment, UNKNOWN_KEY) > 0) throw new IllegalStateException("unknown keys are accepted from the start");

        // Without the disruption the operator writes the same versions, and the tenant keeps its keys.
        String oneKey = deployment.trouble ? "[\"" + SECOND_KEY + "\"]" : bothKeys;
        String lastKeys = deployment.trouble ? "[]" : bothKeys;
        deployment.store.put("op/config", Configurations.of(9, "ledger-app", oneKey, 800));
        Threads.sleep(1_500);
        deployment.store.put("op/config", Configurations.of(12, "ledger-app", lastKeys, 800));
        long acknowledgedAt = deployment.record.now();
        deployment.record.announce("version 12 acknowledged at " + acknowledgedAt + ", keys of the tenant: " + lastKeys);

        int withdrawnRun = 0;
        int unknownRun = 0;
        int withoutKeyRun = 0;
        int rounds = 0;
        Threads.sleep(acknowledgedAt + REVOKE_MILLISECONDS + 100 - deployment.record.now());
        while (deployment.record.now() < acknowledgedAt + OBSERVED_MILLISECONDS) {
            rounds += 1;
            if (deployment.trouble) withdrawnRun += send(deployment, FIRST_KEY) + send(deployment, SECOND_KEY);
            unknownRun += send(deployment, UNKNOWN_KEY);
            withoutKeyRun += send(deployment, null);
            Threads.sleep(200);
        }
        deployment.record.announce("sent later than " + REVOKE_MILLISECONDS + " ms after the acknowledgement: " + rounds
                + " rounds; run with a withdrawn key: " + withdrawnRun + " of " + (deployment.trouble ? 6 * rounds : 0)
                + ", with a key that never existed: " + unknownRun + " of " + 3 * rounds
                + ", without a key: " + withoutKeyRun + " of " + 3 * rounds);
        return withdrawnRun == 0 && unknownRun == 0 && withoutKeyRun == 0;
    }

    /** Sends one unsafe request with [key] to each gateway; returns how many of them runners have run. */
    private static int send(Deployment deployment, String key) {
        int before = runs(deployment);
        for (Gateway gateway : deployment.gateways) {
            Client client = new Client(deployment.record, "client of " + gateway.name, gateway.frontPort);
            client.send("POST", Configurations.UNSAFE_PREFIX + "1", deployment.nextRequestId(), key, new byte[600], 1_500);
            client.close();
        }
        return runs(deployment) - before;
    }

    private static int runs(Deployment deployment) {
        return deployment.runners.stream().mapToInt(runner -> runner.runs().size()).sum();
    }
}

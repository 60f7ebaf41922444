package review;

import java.util.concurrent.ThreadFactory;

/** Threads that do not keep the process alive. */
final class Threads {
    private Threads() {}

    static ThreadFactory daemons(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(Math.max(0, milliseconds));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}

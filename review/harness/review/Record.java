package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since the start in milliseconds. */
final class Record {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Returns the time since the start, in milliseconds. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void write(String line) {
        out.printf("%7d %s%n", now(), line);
    }

    /** Writes a line to the record and to standard output. */
    void announce(String line) {
        write(line);
        System.out.println(line);
    }
}

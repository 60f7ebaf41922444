package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with one kept connection to a gateway. It sends one request at a time. */
final class Client {
    /** An answer; the status is 0 when the connection ended, or the deadline passed, without a complete one. */
    static final class Answer {
        final int status;
        final int bytes;
        final String detail;

        Answer(int status, int bytes, String detail) {
            this.status = status;
            this.bytes = bytes;
            this.detail = detail;
        }
    }

    private static final int BLOCK_BYTES = 16_384;
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;

    private final Record record;
    private final String name;
    private final int port;
    private Socket socket;
    private InputStream input;

    Client(Record record, String name, int port) {
        this.record = record;
        this.name = name;
        this.port = port;
    }

    /** Sends one request and returns its answer; writes both to the record. */
    Answer send(String method, String path, String requestId, String key, byte[] body, int deadlineMilliseconds) {
        record.write("sent: " + requestId + " by " + name + ", " + method + " " + path + ", key " + key);
        Answer answer;
        try {
            answer = exchange(method, path, requestId, key, body, deadlineMilliseconds);
        } catch (IOException failure) {
            close();
            answer = new Answer(0, 0, failure.getClass().getSimpleName() + ": " + failure.getMessage());
        }
        record.write("answered: " + requestId + " " + (answer.status == 0 ? "no complete answer" : answer.status)
                + ", " + answer.bytes + " bytes" + (answer.detail.isEmpty() ? "" : ", " + answer.detail));
        return answer;
    }

    void close() {
        if (socket == null) return;
        try {
            socket.close();
        } catch (IOException ignored) {
            // The connection is given up in any case.
        }
        socket = null;
    }

    private Answer exchange(
            String method, String path, String requestId, String key, byte[] body, int deadline)
            throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLISECONDS);
            input = new BufferedInputStream(socket.getInputStream());
        }
        socket.setSoTimeout(deadline);
        StringBuilder head = new StringBuilder();
        head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: app.example\r\n");
        head.append("X-Request-Id: ").append(requestId).append("\r\n");
        head.append("X-Deadline-Ms: ").append(deadline).append("\r\n");
        if (key != null) head.append("Authorization: Token ").append(key).append("\r\n");
        if (body.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(body.length).append("\r\n");
        head.append("\r\n");
        socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
        return read();
    }

    private Answer read() throws IOException {
        String statusLine = line();
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        int length = 0;
        boolean close = false;
        while (true) {
            String header = line();
            if (header.isEmpty()) break;
            String lower = header.toLowerCase();
            if (lower.startsWith("content-length:")) length = Integer.parseInt(header.substring(15).trim());
            if (lower.equals("connection: close")) close = true;
        }
        byte[] buffer = new byte[BLOCK_BYTES];
        int received = 0;
        while (received < length) {
            int count = input.read(buffer, 0, Math.min(buffer.length, length - received));
            if (count < 0) {
                close();
                return new Answer(0, received, "connection ended after " + received + " of " + length + " bytes");
            }
            received += count;
        }
        if (close) close();
        return new Answer(status, received, "");
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) throw new IOException("connection ended before the answer");
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}

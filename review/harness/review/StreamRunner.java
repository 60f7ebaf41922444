package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Stand-in of a runner of a streaming service, as a process of its own. Its answers have neither a length nor chunks and
 * end with their connection. Prints its port, and then a line for each request that it runs.
 */
final class StreamRunner {
    static final int EVENTS = 24;
    private static final long PAUSE_MILLISECONDS = 110;

    private StreamRunner() {}

    public static void main(String[] arguments) throws IOException {
        String id = arguments[0];
        ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        System.out.println("port " + listener.getLocalPort());
        while (true) {
            Socket socket = listener.accept();
            Thread thread = new Thread(() -> serve(id, socket));
            thread.start();
        }
    }

    private static void serve(String id, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader input =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            if (input.readLine() == null) return;
            String requestId = "";
            String expected = id;
            long last = 0;
            int length = 0;
            for (String line = input.readLine(); line != null && !line.isEmpty(); line = input.readLine()) {
                String value = line.substring(line.indexOf(':') + 1).trim();
                String name = line.substring(0, line.indexOf(':')).toLowerCase();
                if (name.equals("x-request-id")) requestId = value;
                if (name.equals("x-expect-instance")) expected = value;
                if (name.equals("last-event-id")) last = Long.parseLong(value);
                if (name.equals("content-length")) length = Integer.parseInt(value);
            }
            for (int read = 0; read < length; read++) input.read();
            OutputStream output = socket.getOutputStream();
            String idHeaders = "X-Request-Id: " + requestId + "\r\nX-Instance-Id: " + id + "\r\n";
            if (!expected.equals(id)) {
                write(output, "HTTP/1.1 421 Misdirected Request\r\n" + idHeaders + "Content-Length: 0\r\n\r\n");
                return;
            }
            System.out.println("run " + requestId + " from event " + (last + 1));
            write(output, "HTTP/1.1 200 OK\r\n" + idHeaders + "X-Server-Stamp: " + id + "." + requestId
                    + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
            for (long event = last + 1; event <= EVENTS; event++) {
                Threads.sleep(PAUSE_MILLISECONDS);
                write(output, "id: " + event + "\ndata: piece " + event + " of " + requestId + "\n\n");
            }
            System.out.println("end " + requestId);
        } catch (IOException failure) {
            System.out.println("lost a connection: " + failure.getMessage());
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }
}

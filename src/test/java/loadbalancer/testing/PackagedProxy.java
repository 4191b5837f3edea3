package loadbalancer.testing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The packaged program, started in a process of its own by {@code deploy/run.sh}. */
public final class PackagedProxy implements AutoCloseable {

  private static final Pattern LISTENING =
      Pattern.compile("listening address=/127.0.0.1:(\\d+) endpoints=(\\d+)");

  private final Path log;
  private final Process process;
  private final int port;

  /**
   * Starts a proxy and waits until it is listening.
   *
   * @param folder an empty folder for the configuration and the log
   * @param config the text of the configuration
   * @param descriptors the number of file descriptors that the process may have open
   */
  public PackagedProxy(Path folder, String config, int descriptors)
      throws IOException, InterruptedException {
    this(folder, config, "ulimit -n " + descriptors + "; . deploy/run.sh");
  }

  /** Starts a proxy by a shell command. */
  public PackagedProxy(Path folder, String config, String command)
      throws IOException, InterruptedException {
    Path configFile = Files.writeString(folder.resolve("config"), config);
    log = folder.resolve("err");
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", command)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(log.toFile());
    builder.environment().put("ROUTER_CONFIG", configFile.toString());
    process = builder.start();
    port = awaitPort();
  }

  private int awaitPort() throws IOException, InterruptedException {
    while (true) {
      Matcher listening = LISTENING.matcher(log());
      if (listening.find()) {
        return Integer.parseInt(listening.group(1));
      }
      assertTrue(process.isAlive(), log());
      Thread.sleep(10);
    }
  }

  /** Returns the process. */
  public Process process() {
    return process;
  }

  /** Returns what the proxy has logged. */
  public String log() throws IOException {
    return Files.readString(log);
  }

  /** Waits until the proxy has logged a text. */
  public void awaitLog(String text) throws IOException, InterruptedException {
    while (!log().contains(text)) {
      Thread.sleep(10);
    }
  }

  /** Opens a connection to the proxy. */
  public Socket connect() throws IOException {
    Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
    client.setTcpNoDelay(true);
    client.setSoTimeout(ProxyFixture.TIMEOUT_SECONDS * 1000);
    return client;
  }

  /** Sends a text on a connection and returns the next response. */
  public static String exchange(Socket client, String text) throws IOException {
    client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return FakeServer.MessageReader.read(client.getInputStream());
  }

  /** Sends a text on a new connection and returns the response. */
  public String exchange(String text) throws IOException {
    try (Socket client = connect()) {
      return exchange(client, text);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}

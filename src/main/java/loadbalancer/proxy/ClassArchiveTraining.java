package loadbalancer.proxy;

import java.io.IOException;
import java.util.Map;
import loadbalancer.telemetry.BackgroundLogHandler;

/**
 * Starts a proxy and shuts it down again, so that the build can record the classes that a proxy
 * loads. With the class archive made from that record, a start need not read and verify each class,
 * which otherwise takes most of a process's first second.
 */
final class ClassArchiveTraining {

  private ClassArchiveTraining() {}

  /** Starts and shuts down a proxy. The only argument is the path of its configuration file. */
  public static void main(String[] args) throws IOException {
    BackgroundLogHandler.install(System.err);
    ProxyServer server =
        ProxyServer.start(ConfigurationFile.read(Map.of("ROUTER_CONFIG", args[0])));
    server.shutDownGracefully();
  }
}

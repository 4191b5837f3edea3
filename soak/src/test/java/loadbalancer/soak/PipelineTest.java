package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import loadbalancer.soak.ClientConnection.End;
import loadbalancer.soak.ClientConnection.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests pipelined requests, whose responses are sent in the order of the requests. */
class PipelineTest {

  /** Maximum time after the deadline at which a final response may arrive. */
  private static final long MAX_LATE_MILLIS = 500;

  private static final long SHORT_DEADLINE_MILLIS = 300;

  @TempDir Path folder;

  /** No endpoint responds, and the second request has the earlier deadline. */
  @Test
  void respondsInTimeToARequestBehindOneThatHangs() throws IOException, InterruptedException {
    Deployment deployment = Deployment.of(1, 2);
    try (SingleProxy proxy = new SingleProxy(folder, deployment, 0, 0).start();
        ClientConnection client = proxy.connect()) {
      proxy.upstreams.forEach(upstream -> upstream.setMode(FakeUpstream.Mode.HANGING));
      RequestKind publish = deployment.requestKind("publish");
      String first = new RequestRecord("first", publish, 0, 0, publish.deadlineMillis()).toHttp();
      long sentNanos = System.nanoTime();
      client.write(first + SingleProxy.readRequest("second", SHORT_DEADLINE_MILLIS));
      long until =
          sentNanos + TimeUnit.MILLISECONDS.toNanos(SHORT_DEADLINE_MILLIS + MAX_LATE_MILLIS);
      Response firstResponse = client.read(until);
      assertEquals(End.RESPONSE, firstResponse.end());
      assertTrue(firstResponse.status() >= 500 && firstResponse.status() != 503, "may have run");
      assertEquals(End.RESPONSE, client.read(until).end());
    }
  }
}

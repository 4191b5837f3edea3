package loadbalancer.net;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import loadbalancer.json.MalformedInputException;

/** Parses socket addresses. */
public final class SocketAddresses {

  private SocketAddresses() {}

  /**
   * Parses a numeric address such as 10.0.0.4:8000 or [::1]:8000; names are not looked up, as there is no DNS.
   *
   * @param field what error messages call the address
   * @throws MalformedInputException naming the field and the text
   */
  public static InetSocketAddress parse(String field, String text) {
    int colon = text.lastIndexOf(':');
    byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      if (host != null) {
        return new InetSocketAddress(InetAddress.getByAddress(host), Integer.parseInt(text.substring(colon + 1)));
      }
    } catch (IOException | IllegalArgumentException e) {
      // Reported below, like an address without a port.
    }
    throw new MalformedInputException("field " + field + ": expected an address and a port, got \"" + text + "\"");
  }
}

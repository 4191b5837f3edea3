package loadbalancer.telemetry;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The number of client connections, and what has happened on them in the current period, for log
 * lines. Confined to the event loop.
 */
@SuppressWarnings("EnumOrdinal") // Counted for each connection: a map would box every count.
public final class ClientActivity {

  private static final ClientCloseReason[] REASONS = ClientCloseReason.values();

  private final int[] closeCounts = new int[REASONS.length];

  /** The responses that did not come from a request handler, by status code. */
  private final Map<Integer, Integer> replyCounts = new TreeMap<>();

  private int openConnections;
  private int pausedConnections;

  /** Counts a connection as open. */
  public void opened() {
    openConnections++;
  }

  /** Counts a connection as closed. */
  public void closed(ClientCloseReason reason) {
    openConnections--;
    closeCounts[reason.ordinal()]++;
  }

  /** Counts a connection as one whose input is left unread. */
  public void readingPaused() {
    pausedConnections++;
  }

  /** Counts a connection as one whose input is read again. */
  public void readingResumed() {
    pausedConnections--;
  }

  /** Counts a response of the listener itself: an error, or the result of a health check. */
  public void replied(int status) {
    replyCounts.merge(status, 1, Integer::sum);
  }

  /** Returns whether anything has been counted in the current period. */
  boolean hasCounts() {
    return !replyCounts.isEmpty() || Arrays.stream(closeCounts).anyMatch(count -> count > 0);
  }

  /** Appends the figures as fields of a log line. */
  void appendTo(StringBuilder line) {
    line.append(" clients=").append(openConnections);
    line.append(" clients_unread=").append(pausedConnections);
    replyCounts.forEach(
        (status, count) -> line.append(" replies_").append(status).append('=').append(count));
    for (ClientCloseReason reason : REASONS) {
      int count = closeCounts[reason.ordinal()];
      if (count > 0) {
        String name = reason.name().toLowerCase(Locale.ROOT);
        line.append(" closes_").append(name).append('=').append(count);
      }
    }
  }

  /** Starts a new period. The numbers of connections stay. */
  void startPeriod() {
    replyCounts.clear();
    Arrays.fill(closeCounts, 0);
  }
}

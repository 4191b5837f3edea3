package loadbalancer.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * A proxy of the fleet with its discovery agent, through all its incarnations. One thread at a time
 * starts and ends the process; client threads only read its state.
 */
final class ProxyNode implements AutoCloseable {

  /** Time after SIGTERM during which clients open new connections. */
  private static final long CONNECT_AFTER_TERM_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Time after a reload at which the former discovery agent closes its connections. */
  private static final long FORMER_AGENT_OPEN_MILLIS = 1500;

  /** Time after a reload from which the proxy counts as notified of the agent's list. */
  private static final long RELOAD_NOTIFICATION_NANOS = TimeUnit.SECONDS.toNanos(4);

  /**
   * Time after its watches became silent from which the proxy counts as notified of the changes
   * that they missed.
   */
  private static final long SILENCE_NOTIFICATION_NANOS = TimeUnit.SECONDS.toNanos(6);

  private static final long READY_TIMEOUT_MILLIS = 30_000;

  private final int index;
  private final Deployment deployment;
  private final ProxyProcess process;
  private final EndpointCatalogue catalogue;
  private final NotificationLog notifications;
  private final EventLoop loop;
  private final ProxyEventLog eventLog;
  private DiscoveryAgent agent;
  private int deliveredRevision;
  private long earliestNotificationNanos;
  private volatile boolean accepting;
  private volatile long terminatedNanos;
  private volatile int incarnation;
  private boolean reserved;

  ProxyNode(
      int index,
      Deployment deployment,
      ProxyProcess process,
      EndpointCatalogue catalogue,
      NotificationLog notifications,
      EventLoop loop) {
    this.index = index;
    this.deployment = deployment;
    this.process = process;
    this.catalogue = catalogue;
    this.notifications = notifications;
    this.loop = loop;
    eventLog = new ProxyEventLog(index, TimeUnit.MILLISECONDS.toNanos(killAfterTermMillis()));
    agent = new DiscoveryAgent(loop, catalogue);
    earliestNotificationNanos = System.nanoTime();
    recordDelivery(catalogue.revision());
  }

  /** Returns the log of the proxy's kills, terminations, pauses, crashes and failed starts. */
  ProxyEventLog eventLog() {
    return eventLog;
  }

  int index() {
    return index;
  }

  ProxyProcess process() {
    return process;
  }

  DiscoveryAgent agent() {
    return agent;
  }

  int incarnation() {
    return incarnation;
  }

  /** Returns whether clients may open connections now. */
  boolean isConnectable() {
    long terminated = terminatedNanos;
    return accepting
        && (terminated == 0 || System.nanoTime() - terminated < CONNECT_AFTER_TERM_NANOS);
  }

  /** Returns whether the proxy is ending or down, and may close connections between requests. */
  boolean isEndingOrDown() {
    return !accepting || terminatedNanos != 0;
  }

  /** Returns whether the proxy is serving and not reserved for a restart or shutdown. */
  synchronized boolean isAvailable() {
    return accepting && !reserved;
  }

  // ---- The endpoint list -----------------------------------------------------------------------

  /** Delivers a revision of the list to the agent, unless it has that or a later one. */
  synchronized void deliver(int revision) {
    if (revision > deliveredRevision) {
      agent.advanceTo(revision);
      recordNotifications(deliveredRevision, revision);
      deliveredRevision = revision;
    }
  }

  private void recordNotifications(int since, int revision) {
    long from = Math.max(System.nanoTime(), earliestNotificationNanos);
    for (int r = Math.max(since, catalogue.firstRevision()) + 1; r <= revision; r++) {
      notifications.add(index, catalogue.change(r), from);
    }
  }

  /** Silences the open watches of the proxy. */
  synchronized void silenceWatches() {
    agent.silenceWatches();
    earliestNotificationNanos =
        Math.max(earliestNotificationNanos, System.nanoTime() + SILENCE_NOTIFICATION_NANOS);
  }

  /** Moves discovery to another address and sends SIGHUP to the process. */
  synchronized void reload() throws IOException, InterruptedException {
    DiscoveryAgent former = agent;
    agent = new DiscoveryAgent(loop, catalogue);
    earliestNotificationNanos =
        Math.max(earliestNotificationNanos, System.nanoTime() + RELOAD_NOTIFICATION_NANOS);
    recordDelivery(catalogue.revision());
    configure();
    process.sendHangUp();
    former.closeAfter(FORMER_AGENT_OPEN_MILLIS);
  }

  private void recordDelivery(int revision) {
    recordNotifications(deliveredRevision, revision);
    deliveredRevision = revision;
  }

  private void configure() throws IOException {
    ObjectNode known = catalogue.completeList(deliveredRevision, false);
    process.configure(
        deployment.configuration(
            index, process.address(), agent.address(), known, 31L * index + incarnation));
  }

  // ---- The process -----------------------------------------------------------------------------

  /** Starts the process and waits until it is ready. */
  void start() throws IOException, InterruptedException {
    synchronized (this) {
      incarnation++;
      terminatedNanos = 0;
      configure();
      process.start();
    }
    if (process.awaitReady(READY_TIMEOUT_MILLIS)) {
      accepting = true;
    } else {
      eventLog.recordViolation(
          Violation.Rule.START, "not ready in " + READY_TIMEOUT_MILLIS + " ms");
    }
  }

  /** Reserves the process for a restart or shutdown; returns false if it is reserved or down. */
  synchronized boolean tryReserve() {
    boolean isFree = accepting && !reserved;
    reserved = reserved || isFree;
    return isFree;
  }

  /** Sends SIGKILL and restarts the process after a pause. */
  void killAndRestart(long pauseMillis) throws IOException, InterruptedException {
    accepting = false;
    kill();
    Thread.sleep(pauseMillis);
    start();
    release();
  }

  private void kill() {
    long from = System.nanoTime();
    process.close();
    eventLog.recordKill(new ProxyEventLog.Interval(from, System.nanoTime()));
  }

  /** Sends SIGTERM, then SIGKILL if the process has not ended in time, and restarts it. */
  void restart(long pauseMillis) throws IOException, InterruptedException {
    terminateOrKill();
    Thread.sleep(pauseMillis);
    start();
    release();
  }

  /** Sends SIGTERM, then SIGKILL if the process has not ended in time. */
  void terminateOrKill() throws InterruptedException {
    terminatedNanos = System.nanoTime();
    eventLog.recordTermination(terminatedNanos);
    process.terminate();
    if (process.awaitExit(killAfterTermMillis())) {
      accepting = false;
      if (process.exitValue() != 0) {
        eventLog.recordViolation(
            Violation.Rule.CRASH, "exit status " + process.exitValue() + " after SIGTERM");
      }
    } else {
      accepting = false;
      kill();
    }
  }

  private long killAfterTermMillis() {
    return Math.min(3000, deployment.longestDeadlineMillis()) + 700;
  }

  private synchronized void release() {
    reserved = false;
  }

  /** Stops the process by SIGSTOP for a time. */
  void pause(long millis) throws IOException, InterruptedException {
    long from = System.nanoTime();
    process.sendSignal("STOP");
    Thread.sleep(millis);
    process.sendSignal("CONT");
    eventLog.recordPause(new ProxyEventLog.Interval(from, System.nanoTime()));
  }

  /** Records a violation if the process has ended without being terminated or killed. */
  synchronized void checkForCrash() {
    if (accepting && !reserved && !process.isAlive()) {
      accepting = false;
      eventLog.recordViolation(Violation.Rule.CRASH, "ended with status " + process.exitValue());
    }
  }

  @Override
  public void close() {
    process.close();
    agent.close();
  }
}

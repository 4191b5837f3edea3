package loadbalancer.soak;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;

/**
 * The memory-mapped control file of the library that makes system calls fail. Changes take effect
 * in the running process immediately. Its layout is {@code struct control} in {@code
 * system_call_faults.c}.
 */
public final class FaultControl {

  /** The system calls that can be made to fail, in the order of {@code enum call}. */
  public enum Call {
    /** Accepting a connection. */
    ACCEPT,
    /** Creating an Internet socket. */
    SOCKET,
    /** Binding an Internet socket. */
    BIND,
    /** Connecting an Internet socket. */
    CONNECT,
    /** Reading from an Internet socket. */
    READ,
    /** Writing to an Internet socket. */
    WRITE,
    /** Waiting for events. */
    WAIT
  }

  /** Values of {@code errno} on Linux. */
  public enum Errno {
    /** Interrupted system call. */
    EINTR(4),
    /** Too many open files in the system. */
    ENFILE(23),
    /** Too many open files in the process. */
    EMFILE(24),
    /** Address already in use. */
    EADDRINUSE(98),
    /** No address or port is available. */
    EADDRNOTAVAIL(99),
    /** The network is unreachable. */
    ENETUNREACH(101),
    /** The connection was aborted before it was accepted. */
    ECONNABORTED(103),
    /** No buffer space is available. */
    ENOBUFS(105),
    /** The connection timed out. */
    ETIMEDOUT(110),
    /** No route to the host. */
    EHOSTUNREACH(113);

    private final int value;

    Errno(int value) {
      this.value = value;
    }
  }

  private static final int RANDOM_OFFSET = 8;
  private static final int RULES_OFFSET = 16;
  private static final int RULE_BYTES = 24;
  private static final int PER_MILLION_OFFSET = 4;
  private static final int ERROR_OFFSET = 8;
  private static final int BYTES_OFFSET = 12;
  private static final int INJECTED_OFFSET = 16;
  private static final int FILE_BYTES = RULES_OFFSET + Call.values().length * RULE_BYTES;

  private final Path file;
  private final MappedByteBuffer memory;

  /** Creates the file. The seed determines which calls {@link #failSome} makes fail. */
  public FaultControl(Path file, long seed) throws IOException {
    this.file = file;
    try (FileChannel channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      memory = channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES);
    }
    memory.order(ByteOrder.nativeOrder());
    memory.putLong(RANDOM_OFFSET, seed);
  }

  /** Returns the path of the control file, which the process receives in its environment. */
  Path file() {
    return file;
  }

  /** Makes the next {@code count} calls fail. */
  public void failNext(Call call, int count, Errno error) {
    set(call, error.value, 0, 0, count);
  }

  /** Makes a random fraction of the calls fail until {@link #clear}. */
  public void failSome(Call call, int perMillion, Errno error) {
    set(call, error.value, 0, perMillion, 0);
  }

  /** Makes all calls fail until {@link #clear}. */
  public void failAll(Call call, Errno error) {
    set(call, error.value, 0, 0, -1);
  }

  /** Limits the bytes that each read or write transfers until {@link #clear}. */
  public void cutShort(Call call, int bytes) {
    set(call, 0, bytes, 0, -1);
  }

  /** Lets all further calls of a kind pass unchanged. */
  public void clear(Call call) {
    set(call, 0, 0, 0, 0);
  }

  private void set(Call call, int error, int bytes, int perMillion, int remaining) {
    int rule = ruleOffset(call);
    // The rule is disabled first and its count written last, so that no partial rule applies.
    memory.putInt(rule, 0);
    memory.putInt(rule + PER_MILLION_OFFSET, 0);
    memory.putInt(rule + ERROR_OFFSET, error);
    memory.putInt(rule + BYTES_OFFSET, bytes);
    memory.putInt(rule + PER_MILLION_OFFSET, perMillion);
    memory.putInt(rule, remaining);
  }

  /** Returns how many calls of a kind the library has made fail or limited to a number of bytes. */
  public long injected(Call call) {
    return memory.getLong(ruleOffset(call) + INJECTED_OFFSET);
  }

  /** Sets the offset of the wall clock that the process reads. Its monotonic clock is unchanged. */
  public void shiftWallClock(Duration offset) {
    memory.putLong(0, offset.toMillis());
  }

  private static int ruleOffset(Call call) {
    return RULES_OFFSET + call.ordinal() * RULE_BYTES;
  }
}

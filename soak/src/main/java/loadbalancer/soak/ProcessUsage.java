package loadbalancer.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * The resource usage of a process, from {@code /proc}.
 *
 * @param cpuSeconds the processor time, with a resolution of 0.01 s
 * @param peakMebibytes the peak resident memory
 * @param descriptors the number of open file descriptors
 */
record ProcessUsage(double cpuSeconds, double peakMebibytes, long descriptors) {

  private static final int USER_TIME_FIELD = 11;
  private static final int SYSTEM_TIME_FIELD = 12;
  private static final double TICKS_PER_SECOND = 100;
  private static final double KIBIBYTES_PER_MEBIBYTE = 1024;
  private static final String PEAK_MEMORY = "VmHWM:";

  static ProcessUsage of(long pid) throws IOException {
    Path folder = Path.of("/proc", Long.toString(pid));
    String stat = Files.readString(folder.resolve("stat"));
    // Fields are counted from the end of the process name, which may contain spaces.
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    double ticks =
        Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
    return new ProcessUsage(ticks / TICKS_PER_SECOND, peakMebibytes(folder), descriptors(folder));
  }

  private static double peakMebibytes(Path folder) throws IOException {
    for (String line : Files.readAllLines(folder.resolve("status"))) {
      if (line.startsWith(PEAK_MEMORY)) {
        String[] words = line.substring(PEAK_MEMORY.length()).trim().split(" ", -1);
        return Long.parseLong(words[0]) / KIBIBYTES_PER_MEBIBYTE;
      }
    }
    return 0;
  }

  private static long descriptors(Path folder) throws IOException {
    try (Stream<Path> open = Files.list(folder.resolve("fd"))) {
      return open.count();
    }
  }
}

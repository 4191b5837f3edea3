package loadbalancer.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Has the configuration read again when its file changes. Only for a process that was started with
 * SIGHUP ignored, as {@code nohup} does: the virtual machine leaves an ignored signal ignored, so a
 * reload would never be noticed.
 */
final class ConfigurationFileWatcher implements Runnable {

  /** What discovery has to tell counts 4 s after a change: several checks fit into that. */
  private static final long CHECK_INTERVAL_MILLIS = 500;

  private final Path file;
  private final Runnable reload;
  private Version loadedVersion;

  /** A file as it was found; null stands for one that could not be looked at. */
  private record Version(long modifiedMillis, long size) {

    static Version of(Path file) {
      try {
        return new Version(Files.getLastModifiedTime(file).toMillis(), Files.size(file));
      } catch (IOException e) {
        return null; // Between two files, say: it is looked at again.
      }
    }
  }

  /** Takes the file as it is now for known. */
  ConfigurationFileWatcher(Path file, Runnable reload) {
    this.file = file;
    this.reload = reload;
    loadedVersion = Version.of(file);
  }

  /** Checks the file on a thread of its own until the process ends. */
  void start() {
    Thread thread = new Thread(this, "configuration-file-watcher");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void run() {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS);
        check();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void check() {
    Version currentVersion = Version.of(file);
    if (currentVersion != null && !Objects.equals(currentVersion, loadedVersion)) {
      loadedVersion = currentVersion;
      reload.run();
    }
  }
}

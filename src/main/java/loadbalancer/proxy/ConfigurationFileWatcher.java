package loadbalancer.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Triggers a reload when the configuration file changes. Used only in a process that was started
 * with SIGHUP ignored, as by {@code nohup}: the virtual machine leaves an ignored signal ignored,
 * so that SIGHUP cannot trigger the reload.
 */
final class ConfigurationFileWatcher implements Runnable {

  /**
   * Updates from a new discovery address have to apply within 4 s of the change of the file;
   * several checks fit into that time.
   */
  private static final long CHECK_INTERVAL_MILLIS = 500;

  private final Path file;
  private final Runnable reload;
  private Version loadedVersion;

  /**
   * The attributes that tell versions of the file apart; null stands for a file that could not be
   * read.
   */
  private record Version(long modifiedMillis, long size) {

    static Version of(Path file) {
      try {
        return new Version(Files.getLastModifiedTime(file).toMillis(), Files.size(file));
      } catch (IOException e) {
        return null; // The file may be about to be replaced; the next check reads it again.
      }
    }
  }

  /** Creates a watcher that regards the present version of the file as loaded. */
  ConfigurationFileWatcher(Path file, Runnable reload) {
    this.file = file;
    this.reload = reload;
    loadedVersion = Version.of(file);
  }

  /** Starts a daemon thread that checks the file until the process ends. */
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

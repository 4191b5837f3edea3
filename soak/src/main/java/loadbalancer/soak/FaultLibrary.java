package loadbalancer.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Compiles the C library that is preloaded into a process to make its system calls fail. */
public final class FaultLibrary {

  private static final long BUILD_SECONDS = 60;

  private FaultLibrary() {}

  /**
   * Builds the library.
   *
   * @param proxyHome the directory of the repository
   * @param folder the output directory
   * @return the path of the library, for {@code LD_PRELOAD}
   * @throws IOException if the build fails; the message contains the compiler's output
   */
  public static Path build(Path proxyHome, Path folder) throws IOException, InterruptedException {
    Path library = folder.resolve("system_call_faults.so").toAbsolutePath();
    Path output = folder.resolve("system_call_faults.log");
    Process compiler =
        new ProcessBuilder(
                "cc",
                "-O2",
                "-Wall",
                "-fPIC",
                "-shared",
                "-o",
                library.toString(),
                proxyHome.resolve("soak/src/main/c/system_call_faults.c").toString(),
                "-ldl")
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    if (!compiler.waitFor(BUILD_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
      compiler.destroyForcibly();
      throw new IOException(
          "cannot build the system call fault library: " + Files.readString(output));
    }
    return library;
  }
}

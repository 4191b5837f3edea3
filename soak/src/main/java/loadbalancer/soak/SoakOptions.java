package loadbalancer.soak;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Command-line options of a run. */
final class SoakOptions {

  @Option(
      names = "--seed",
      description =
          "Seed of the disruptions (troubles) and of the traffic (default: ${DEFAULT-VALUE}).")
  long seed = 1;

  @Option(
      names = "--seconds",
      description = "Length of the run, 10 to 3600 (default: ${DEFAULT-VALUE}).")
  int seconds = 30;

  @Option(names = "--processes", description = "Proxies, 1 to 120 (default: ${DEFAULT-VALUE}).")
  int processes = 12;

  @Option(names = "--endpoints", description = "Upstreams, 3 to 512 (default: ${DEFAULT-VALUE}).")
  int endpoints = 12;

  @Option(
      names = "--requests-per-second",
      description =
          "Requests per second that a proxy's clients send in total (default: ${DEFAULT-VALUE}).")
  double requestsPerSecond = 25;

  @Option(
      names = "--home",
      description = "Directory of the repository, with a built jar (default: ${DEFAULT-VALUE}).")
  Path home = Path.of(".");

  @Option(
      names = "--folder",
      description = "Directory where logs and configurations go (default: a temporary one).")
  Path folder;

  @Option(
      names = "--report",
      description = "File for the report in JSON; its field troubles counts disruptions.")
  Path report;

  /** Returns an error message for the first invalid option, or null if all options are valid. */
  String validationError() {
    if (seconds < 10 || seconds > 3600) {
      return "--seconds takes 10 to 3600, got " + seconds;
    }
    if (processes < 1 || processes > 120) {
      return "--processes takes 1 to 120, got " + processes;
    }
    if (endpoints < 3 || endpoints > 512) {
      return "--endpoints takes 3 to 512, got " + endpoints;
    }
    if (!(requestsPerSecond > 0 && requestsPerSecond <= 1000)) {
      return "--requests-per-second takes more than 0 to 1000, got " + requestsPerSecond;
    }
    return null;
  }
}

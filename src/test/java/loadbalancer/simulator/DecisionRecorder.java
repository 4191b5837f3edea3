package loadbalancer.simulator;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Records the engine's decisions again. No build runs this by itself:
 *
 * <pre>
 * mvn test -Dtest=DecisionRecorder -Ddecisions.record=true
 * </pre>
 *
 * <p>A changed recording means that decisions have changed. A refactoring must not change any; the
 * commit of any other change should name the decisions that changed and why. The digests also
 * change with a scenario or with the {@link ScenarioPlayer}.
 */
class DecisionRecorder {

  @Test
  @EnabledIfSystemProperty(named = "decisions.record", matches = "true")
  void recordDecisions() throws IOException {
    Files.createDirectories(DecisionRecordings.DIRECTORY);
    for (DecisionScenario scenario : DecisionScenarios.shortScenarios()) {
      Files.write(
          DecisionRecordings.file(scenario.name()), DecisionRecordings.conversation(scenario));
    }
    List<String> digests = new ArrayList<>();
    for (DecisionScenario scenario : DecisionScenarios.longScenarios()) {
      digests.add(DecisionRecordings.digest(scenario));
    }
    Files.write(DecisionRecordings.DIGESTS, digests);
  }
}

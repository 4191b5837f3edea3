package loadbalancer.simulator;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Records the engine's decisions anew. A step of its own, which no build takes by itself:
 *
 * <pre>
 * mvn test -Dtest=DecisionRecorder -Ddecisions.record=true
 * </pre>
 *
 * <p>A recording that changes says that decisions have moved. A restructuring must not do that; any
 * other change should name in its commit the decisions that moved and why. The digests also change
 * when a scenario or its player does.
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

package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Event.TimerFired;
import org.junit.jupiter.api.Test;

/** Delivery of events to the decision engine. */
class EventQueueTest {

  /** An event that records whether it was delivered or discarded. */
  private record RecordingEvent(String name, List<String> log) implements EventQueue.PendingEvent {
    @Override
    public Event resolve() {
      log.add(name + " delivered");
      return new TimerFired(name);
    }

    @Override
    public void discard() {
      log.add(name + " discarded");
    }
  }

  /**
   * A queued event may hold the buffer of a response, which must be released because buffer memory
   * is limited.
   */
  @Test
  void discardsTheEventsThatAFailedEngineHasNotBeenGiven() {
    EmbeddedChannel channel = new EmbeddedChannel();
    List<String> log = new ArrayList<>();
    EventQueue queue = new EventQueue(channel.eventLoop());
    queue.deliverTo(event -> queue.startNextGeneration());
    queue.enqueue(new RecordingEvent("first", log));
    queue.enqueue(new RecordingEvent("second", log));
    queue.enqueue(new RecordingEvent("third", log));
    channel.runPendingTasks();
    assertEquals(List.of("first delivered", "second discarded", "third discarded"), log);
  }
}

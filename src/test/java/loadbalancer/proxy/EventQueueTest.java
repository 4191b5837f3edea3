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
  private record RecordedEvent(String name, List<String> log) implements EventQueue.PendingEvent {
    @Override
    public Event take() {
      log.add(name + " taken");
      return new TimerFired(name);
    }

    @Override
    public void discard() {
      log.add(name + " discarded");
    }
  }

  /** Queued events may hold responses of endpoints in buffers, whose memory is limited. */
  @Test
  void discardsTheEventsThatAFailedEngineHasNotBeenGiven() {
    EmbeddedChannel channel = new EmbeddedChannel();
    List<String> log = new ArrayList<>();
    EventQueue queue = new EventQueue(channel.eventLoop());
    queue.deliverTo(event -> queue.startNextGeneration());
    queue.enqueue(new RecordedEvent("first", log));
    queue.enqueue(new RecordedEvent("second", log));
    queue.enqueue(new RecordedEvent("third", log));
    channel.runPendingTasks();
    assertEquals(List.of("first taken", "second discarded", "third discarded"), log);
  }
}

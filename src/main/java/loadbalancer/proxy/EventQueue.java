package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import loadbalancer.decision.api.Event;

/**
 * The events that have not been delivered to the decision engine yet, in the order in which they
 * occurred.
 *
 * <p>Delivery starts in a later turn of the event loop, after all readable sockets have been read.
 * Thus no action is carried out on a connection whose end has already been read, and no action
 * re-enters the engine. Confined to the event loop.
 */
final class EventQueue {

  /** A queued event. */
  @FunctionalInterface
  interface PendingEvent {

    /**
     * Returns the event to deliver; null if it no longer applies. Called once, right before the
     * delivery.
     */
    Event resolve();

    /** Releases the resources of an event that will not be delivered. */
    default void discard() {}
  }

  private final EventLoop loop;
  private final ArrayDeque<PendingEvent> pending = new ArrayDeque<>();
  private final Runnable delivery = this::deliver;
  private Consumer<Event> receiver;
  private boolean isDeliveryScheduled;
  private long engineGeneration;

  EventQueue(EventLoop loop) {
    this.loop = loop;
  }

  /** Sets the receiver of all events. Must be called once, before the first delivery. */
  void deliverTo(Consumer<Event> receiver) {
    this.receiver = receiver;
  }

  /** Appends an event. */
  void enqueue(PendingEvent event) {
    pending.add(event);
    if (!isDeliveryScheduled) {
      isDeliveryScheduled = true;
      loop.execute(delivery);
    }
  }

  /** Returns the number of the engine that the queued events are meant for, counted from 0. */
  long engineGeneration() {
    return engineGeneration;
  }

  /**
   * Discards all queued events, as the engine that they were meant for has failed, and returns the
   * number of the next engine.
   */
  long startNextGeneration() {
    pending.forEach(PendingEvent::discard);
    pending.clear();
    return ++engineGeneration;
  }

  private void deliver() {
    isDeliveryScheduled = false;
    for (PendingEvent next = pending.poll(); next != null; next = pending.poll()) {
      Event event = next.resolve();
      if (event != null) {
        receiver.accept(event);
      }
    }
  }
}

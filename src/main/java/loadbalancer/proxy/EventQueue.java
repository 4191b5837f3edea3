package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import loadbalancer.decision.api.Event;

/**
 * The events that the decision engine has not been given yet, in the order in which they happened.
 *
 * <p>Delivery starts in a later turn of the event loop, once every socket with something to read
 * has been read. So no action goes to a connection whose end is known already, and no action
 * re-enters the engine. Confined to the event loop.
 */
final class EventQueue {

  /** An event whose turn has not come. */
  @FunctionalInterface
  interface PendingEvent {

    /** The event, once its turn has come; null where it no longer applies by then. */
    Event take();

    /** Its turn will not come: releases what it holds. */
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

  /**
   * Names the receiver of all events; to be called once, before the first turn of the loop that
   * delivers any.
   */
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

  /** The number of the engine that the queued events are meant for, from 0. */
  long engineGeneration() {
    return engineGeneration;
  }

  /**
   * Drops all events, which were meant for an engine that failed, and returns the number of the
   * next engine.
   */
  long startNextGeneration() {
    pending.forEach(PendingEvent::discard);
    pending.clear();
    return ++engineGeneration;
  }

  private void deliver() {
    isDeliveryScheduled = false;
    for (PendingEvent next = pending.poll(); next != null; next = pending.poll()) {
      Event event = next.take();
      if (event != null) {
        receiver.accept(event);
      }
    }
  }
}

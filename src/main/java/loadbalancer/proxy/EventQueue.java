package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.decision.api.Event;

/**
 * The events that the decision engine has not been given yet, in the order in which they happened.
 *
 * <p>Delivery starts in a later turn of the event loop, once every socket with something to read
 * has been read. So no action goes to a connection whose end is known already, and no action
 * re-enters the engine. Confined to the event loop.
 */
final class EventQueue {

  private final EventLoop loop;
  private final ArrayDeque<Supplier<Event>> pending = new ArrayDeque<>();
  private final Runnable delivery = this::deliver;
  private Consumer<Event> receiver;
  private boolean deliveryScheduled;
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

  /**
   * Appends an event.
   *
   * @param event called when the event's turn comes; returns null where it no longer applies by
   *     then
   */
  void enqueue(Supplier<Event> event) {
    pending.add(event);
    if (!deliveryScheduled) {
      deliveryScheduled = true;
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
    pending.clear();
    return ++engineGeneration;
  }

  private void deliver() {
    deliveryScheduled = false;
    for (Supplier<Event> next = pending.poll(); next != null; next = pending.poll()) {
      Event event = next.get();
      if (event != null) {
        receiver.accept(event);
      }
    }
  }
}

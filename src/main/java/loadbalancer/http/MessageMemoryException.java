package loadbalancer.http;

import io.netty.handler.codec.CodecException;

/** Thrown while a message is decoded, if no memory is left for a part of it. */
public final class MessageMemoryException extends CodecException {

  private static final long serialVersionUID = 1L;

  private final boolean isMessageComplete;

  /**
   * Creates the exception for a message whose rest has not been read.
   *
   * @param part the part of the message, such as "head"
   */
  public MessageMemoryException(String part) {
    this(part, false);
  }

  private MessageMemoryException(String part, boolean isMessageComplete) {
    super("no memory is left for the " + part + " of the message");
    this.isMessageComplete = isMessageComplete;
  }

  /** Returns an exception for a message whose body has been read to its end and dropped. */
  static MessageMemoryException forDroppedBody() {
    return new MessageMemoryException("body", true);
  }

  /** Returns whether the whole message has been read, so that another one may follow. */
  public boolean isMessageComplete() {
    return isMessageComplete;
  }
}

package loadbalancer.downstream;

import io.netty.channel.Channel;
import loadbalancer.net.PendingReads;

/**
 * How far the input of one client connection has come: read, decoded, or to be discarded. Owned by
 * its {@link ClientConnection}.
 */
final class ClientInput {

  /**
   * The most that is read in one go beyond what the event loop reads in its turn: whole requests,
   * and no more of a flood than that.
   */
  private static final int MAX_PENDING_BYTES = 1 << 18;

  private final Channel channel;
  private final RequestDecoder decoder = new RequestDecoder();
  private long bytesRead;

  /** Bytes are being decoded, which may have the connection respond. */
  private boolean decoding;

  /** A request has started to arrive and is not complete. */
  private boolean partialRequest;

  /** Further input is not decoded: it follows an error, exceeds a limit, or the client ended it. */
  private boolean discarded;

  /** How long what is being read may have waited for the connection to be accepted. */
  private long acceptDelayNanos;

  ClientInput(Channel channel) {
    this.channel = channel;
  }

  /** The handler that decodes the connection's requests. */
  RequestDecoder decoder() {
    return decoder;
  }

  boolean isDecoding() {
    return decoding;
  }

  boolean hasPartialRequest() {
    return partialRequest;
  }

  boolean isDiscarded() {
    return discarded;
  }

  long acceptDelayNanos() {
    return acceptDelayNanos;
  }

  /** From here on bytes are read, to notice a disconnect, and not decoded. */
  void discard() {
    discarded = true;
  }

  /** Bytes have been read; returns whether they are to be decoded. */
  boolean beginDecoding(int bytes) {
    bytesRead += bytes;
    decoding = !discarded;
    return decoding;
  }

  /** The bytes have been decoded: they may have completed requests, and started another. */
  void endDecoding() {
    decoding = false;
    partialRequest = decoder.hasPartialRequest();
  }

  /** The request that was arriving is complete, and about to be served. */
  void requestCompleted() {
    partialRequest = false;
  }

  /** Reads all that has arrived, in many reads if need be; that may have a request served. */
  void readPending() {
    long start = bytesRead;
    long before;
    do {
      before = bytesRead;
      PendingReads.readNow(channel);
    } while (bytesRead > before && bytesRead - start < MAX_PENDING_BYTES);
  }

  /**
   * Reads what has arrived while the connection waited to be accepted, if it did: that may have
   * waited as long. What comes later has not.
   */
  void readBacklog() {
    acceptDelayNanos = ClientChannel.acceptDelayNanos(channel);
    if (acceptDelayNanos > 0) {
      readPending();
      acceptDelayNanos = 0;
    }
  }
}

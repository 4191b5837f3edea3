package loadbalancer.downstream;

import io.netty.channel.Channel;
import loadbalancer.net.PendingReads;

/**
 * The state of the input of one client connection: whether it is being decoded, contains a partial
 * request, or is discarded. Owned by its {@link ClientConnection}.
 */
final class ClientInput {

  /**
   * Number of bytes after which {@link #readPending} stops: enough for whole requests, but bounded
   * when a client floods the connection.
   */
  private static final int MAX_PENDING_BYTES = 1 << 18;

  private final Channel channel;
  private final RequestDecoder decoder = new RequestDecoder();
  private long bytesRead;

  /** True while bytes are being decoded, which may make the connection respond. */
  private boolean decoding;

  /** True if a request has started to arrive and is not complete. */
  private boolean partialRequest;

  /**
   * True if further input is read but not decoded: after an error, an exceeded limit, the end of
   * the input or the last response.
   */
  private boolean discarded;

  /** Longest time that the input being read may have waited for the connection to be accepted. */
  private long acceptDelayNanos;

  ClientInput(Channel channel) {
    this.channel = channel;
  }

  /** Returns the handler that decodes the connection's requests. */
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

  /** Stops decoding. Bytes are still read, to notice a disconnect, and discarded. */
  void discard() {
    discarded = true;
  }

  /** Counts bytes that have been read, and returns whether they are to be decoded. */
  boolean beginDecoding(int bytes) {
    bytesRead += bytes;
    decoding = !discarded;
    return decoding;
  }

  /**
   * Updates the state after decoding, which may have completed requests and started another one.
   */
  void endDecoding() {
    decoding = false;
    partialRequest = decoder.hasPartialRequest();
  }

  /** Records that the request that was arriving is complete and about to be served. */
  void requestCompleted() {
    partialRequest = false;
  }

  /**
   * Reads all pending input, in several reads if necessary, or about {@link #MAX_PENDING_BYTES} if
   * it is more. This may start the serving of a request.
   */
  void readPending() {
    long bytesReadAtStart = bytesRead;
    long bytesReadBefore;
    do {
      bytesReadBefore = bytesRead;
      PendingReads.readNow(channel);
    } while (bytesRead > bytesReadBefore && bytesRead - bytesReadAtStart < MAX_PENDING_BYTES);
  }

  /**
   * If the connection had to wait because accepting failed, reads the input that arrived meanwhile.
   * This input may have waited as long as the connection; later input has not.
   */
  void readBacklog() {
    acceptDelayNanos = ClientChannel.acceptDelayNanos(channel);
    if (acceptDelayNanos > 0) {
      readPending();
      acceptDelayNanos = 0;
    }
  }
}

package loadbalancer.downstream;

import io.netty.channel.Channel;
import loadbalancer.http.HeadMemory;
import loadbalancer.http.MessageMemoryException;
import loadbalancer.net.PendingReads;
import loadbalancer.telemetry.ClientActivity;

/**
 * The state of the input of one client connection: whether it is being decoded, contains a partial
 * request, or is discarded. Owned by its {@link ClientConnection}.
 */
final class ClientInput {

  /**
   * Number of bytes after which {@link #readPending} stops: enough for several of the longest
   * requests, but bounded when a client floods the connection.
   */
  private static final int MAX_PENDING_BYTES = 2 << 20;

  private final Channel channel;
  private final ClientActivity activity;
  private final HeadMemory headMemory;
  private final RequestDecoder decoder;
  private long bytesRead;

  /** True while bytes are being decoded, which may make the connection respond. */
  private boolean decoding;

  /** True if the last read left more bytes unread, as far as is known. */
  private boolean mayBeMoreUnread;

  /** True if a request has started to arrive and is not complete. */
  private boolean partialRequest;

  /**
   * True if further input is read but not decoded: after an error, an exceeded limit, the end of
   * the input or the last response.
   */
  private boolean discarded;

  /** Longest time that the input being read may have waited for the connection to be accepted. */
  private long acceptDelayNanos;

  /** True if input is left unread in the socket for now. */
  private boolean paused;

  /**
   * {@code System.nanoTime} since which input may have been unread because of a pause; meaningful
   * if {@link #mayHaveBacklog}.
   */
  private long unreadSinceNanos;

  /** True if input may still be unread because of a pause. */
  private boolean mayHaveBacklog;

  /**
   * Creates the input of a connection that has not been read yet.
   *
   * @param headMemory memory for the requests' heads
   * @param activity counts the connections whose input is left unread
   */
  ClientInput(Channel channel, HeadMemory headMemory, ClientActivity activity) {
    this.channel = channel;
    this.headMemory = headMemory;
    this.activity = activity;
    decoder = new RequestDecoder(headMemory);
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

  /** Returns whether input is left unread for now. */
  boolean isPaused() {
    return paused;
  }

  /** Returns how long the input being read may have been unread for other reasons than lag. */
  long readDelayNanos() {
    long pauseNanos = mayHaveBacklog ? System.nanoTime() - unreadSinceNanos : 0;
    return Math.max(acceptDelayNanos, pauseNanos);
  }

  /** Stops decoding. Bytes are still read, to notice a disconnect, and discarded. */
  void discard() {
    discarded = true;
    setPaused(false);
  }

  /** Leaves further input unread, unless it is discarded. A disconnect is not noticed meanwhile. */
  void pause() {
    if (paused || discarded) {
      return;
    }
    if (!mayHaveBacklog) {
      mayHaveBacklog = true;
      unreadSinceNanos = System.nanoTime();
    }
    setPaused(true);
  }

  /**
   * Ends a pause, and reads what has arrived during it, up to a limit; this may lead to another
   * pause.
   */
  void resume() {
    if (!paused) {
      return;
    }
    if (decoding) {
      channel.eventLoop().execute(this::resume);
      return;
    }
    setPaused(false);
    readPending();
  }

  /** Ends a pause, if there is one, and gives all memory back, as the connection has ended. */
  void ended() {
    countPause(false);
    headMemory.close();
  }

  private void setPaused(boolean pause) {
    countPause(pause);
    channel.config().setAutoRead(!pause);
  }

  private void countPause(boolean pause) {
    if (pause && !paused) {
      activity.readingPaused();
    } else if (!pause && paused) {
      activity.readingResumed();
    }
    paused = pause;
  }

  /**
   * Counts bytes that have been read, and returns whether they are to be decoded.
   *
   * @param mayBeMore whether more may be unread, as the bytes filled the buffer they were read into
   */
  boolean beginDecoding(int bytes, boolean mayBeMore) {
    bytesRead += bytes;
    mayBeMoreUnread = mayBeMore;
    decoding = !discarded;
    return decoding;
  }

  /**
   * Updates the state after decoding, which may have completed requests and started another one.
   *
   * @throws MessageMemoryException if no memory is left for the line that has arrived in part
   */
  void endDecoding() {
    decoding = false;
    if (!mayBeMoreUnread) {
      backlogRead();
    }
    partialRequest = decoder.hasPartialRequest();
    if (!headMemory.tryReservePartialLine(decoder.undecodedBytes())) {
      throw new MessageMemoryException("head");
    }
  }

  /** Records that the request that was arriving is complete and about to be served. */
  void requestCompleted() {
    partialRequest = false;
  }

  /**
   * Reads all pending input, in several reads if necessary, or about {@link #MAX_PENDING_BYTES} if
   * it is more, and none during a pause. This may start the serving of a request.
   *
   * @return whether all of it has been read
   */
  boolean readPending() {
    long bytesReadAtStart = bytesRead;
    long bytesReadBefore;
    do {
      if (paused) {
        return false;
      }
      bytesReadBefore = bytesRead;
      PendingReads.readNow(channel);
    } while (bytesRead > bytesReadBefore && bytesRead - bytesReadAtStart < MAX_PENDING_BYTES);
    boolean allRead = bytesRead == bytesReadBefore;
    if (allRead) {
      backlogRead();
    }
    return allRead;
  }

  /** Records that nothing was unread until now; during a pause new input may arrive from now on. */
  private void backlogRead() {
    mayHaveBacklog = paused;
    unreadSinceNanos = System.nanoTime();
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

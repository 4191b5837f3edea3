package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.logging.Logger;
import loadbalancer.net.BoundedLog;
import loadbalancer.net.MemoryBudget;

/**
 * The body of a message that arrives in pieces. It copies the pieces into blocks of its own, so
 * that the buffers into which they were read, which may be many times larger, are free again. The
 * memory of the blocks stays reserved until the buffer is deallocated.
 */
final class BodyBuffer extends CompositeByteBuf {

  private static final BoundedLog FAILURES =
      new BoundedLog(Logger.getLogger(BodyBuffer.class.getName()));

  /** The size of a page of the pooled allocator: any free page fits, however scattered they are. */
  private static final int MAX_BLOCK_BYTES = 8 * 1024;

  /** The expected length up to which a body counts as short. */
  private static final int MAX_SHORT_BODY_BYTES = 2048;

  /** The share of the budget that is left to short bodies when long ones have used up the rest. */
  private static final double SHORT_BODY_SHARE = 1.0 / 16;

  private static final int MIN_BLOCK_BYTES = 64;
  private static final int MAX_BLOCKS = HttpProtocol.MAX_BODY_BYTES / MAX_BLOCK_BYTES + 1;

  private final MemoryBudget budget;
  private final long expectedBytes;
  private final BodyOverflow overflow;
  private long reservedBytes;

  /** True once there was too little memory. */
  private boolean hasFailed;

  /** The length of the body so far, if it is dropped. */
  private long droppedBytes;

  /**
   * Creates an empty body.
   *
   * @param budget memory for bodies
   * @param expectedBytes expected length of the body
   * @param overflow what happens if too little memory is left for it
   */
  BodyBuffer(
      ByteBufAllocator allocator, MemoryBudget budget, long expectedBytes, BodyOverflow overflow) {
    super(allocator, true, MAX_BLOCKS);
    this.budget = budget;
    this.expectedBytes = expectedBytes;
    this.overflow = overflow;
  }

  /** Returns whether the body has been dropped for lack of memory, so that this buffer is empty. */
  boolean isDropped() {
    return hasFailed;
  }

  /**
   * Appends a copy of a piece, and releases the piece. Netty's aggregators add pieces by this.
   *
   * @throws MessageMemoryException if too little memory is left, now or for an earlier piece, and
   *     the body is not to be read to its end; it then takes no memory
   * @throws TooLongHttpContentException if the body is dropped and has become too long
   */
  @Override
  public CompositeByteBuf addComponent(boolean increaseWriterIndex, ByteBuf piece) {
    try {
      append(piece);
    } finally {
      piece.release();
    }
    return this;
  }

  private void append(ByteBuf piece) {
    while (piece.isReadable()) {
      if (!isWritable() && !addBlock(nextBlockBytes(piece.readableBytes()))) {
        drop(piece);
        return;
      }
      writeBytes(piece, Math.min(piece.readableBytes(), writableBytes()));
    }
  }

  /**
   * Returns the size of the next block, a power of two as the allocator's sizes are: enough for the
   * rest of the body if it is short.
   */
  private int nextBlockBytes(int pieceBytes) {
    long missingBytes = Math.max(pieceBytes, expectedBytes - writerIndex());
    if (missingBytes >= MAX_BLOCK_BYTES) {
      return MAX_BLOCK_BYTES;
    }
    return Integer.highestOneBit(2 * Math.max(MIN_BLOCK_BYTES, (int) missingBytes) - 1);
  }

  /** Adds a writable block, and returns whether there was memory for it. */
  private boolean addBlock(int bytes) {
    return !hasFailed && tryAllocate(bytes);
  }

  /** Drops the rest of a piece, and with the first one all blocks. */
  private void drop(ByteBuf piece) {
    if (!hasFailed) {
      hasFailed = true;
      droppedBytes = writerIndex();
      clear();
      removeComponents(0, numComponents());
      releaseReservation();
    }
    if (overflow == BodyOverflow.FAIL_AT_ONCE) {
      throw new MessageMemoryException("body");
    }
    droppedBytes += piece.readableBytes();
    if (droppedBytes > HttpProtocol.MAX_BODY_BYTES) {
      throw new TooLongHttpContentException(
          "body larger than " + HttpProtocol.MAX_BODY_BYTES + " bytes");
    }
  }

  private boolean tryAllocate(int bytes) {
    boolean isShort = expectedBytes <= MAX_SHORT_BODY_BYTES;
    if (!budget.tryReserveLeaving(isShort ? 0 : SHORT_BODY_SHARE, bytes)) {
      return false;
    }
    reservedBytes += bytes;
    try {
      capacity(capacity() + bytes);
      return true;
    } catch (OutOfMemoryError e) {
      // Direct memory is used up. The pieces that follow must not be taken for the whole body.
      FAILURES.warn("body_allocation_failed reason=\"" + e + "\"", null);
      return false;
    }
  }

  private void releaseReservation() {
    budget.release(reservedBytes);
    reservedBytes = 0;
  }

  @Override
  protected void deallocate() {
    super.deallocate();
    releaseReservation();
  }
}

package loadbalancer.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * The header fields of a message that is being decoded. The memory of each is reserved when it is
 * added, as short fields take many times their length. It is given back when all are cleared.
 */
final class CountedHeaders extends DefaultHttpHeaders {

  /** The memory that a field takes on the heap in addition to its text, in bytes. */
  private static final long FIELD_OVERHEAD_BYTES = 136;

  /** Creates the headers of one connection's messages. */
  record Factory(HeadMemory memory) implements HttpHeadersFactory {

    @Override
    public HttpHeaders newHeaders() {
      return new CountedHeaders(memory);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return new CountedHeaders(memory);
    }
  }

  private final HeadMemory memory;
  private long reservedBytes;

  private CountedHeaders(HeadMemory memory) {
    this.memory = memory;
  }

  /**
   * Adds a field.
   *
   * @throws MessageMemoryException if no memory is left for it; all fields are removed then
   */
  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    long bytes = FIELD_OVERHEAD_BYTES + name.length() + value.toString().length();
    if (!memory.tryReserve(bytes)) {
      clear();
      throw new MessageMemoryException("head");
    }
    reservedBytes += bytes;
    return super.add(name, value);
  }

  @Override
  public HttpHeaders add(String name, Object value) {
    return add((CharSequence) name, value);
  }

  @Override
  public HttpHeaders clear() {
    memory.release(reservedBytes);
    reservedBytes = 0;
    return super.clear();
  }
}

package loadbalancer.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** The trailer fields of a message that is being decoded. None is kept, as none is passed on. */
final class DroppedTrailers extends DefaultHttpHeaders {

  /** Creates trailers. */
  record Factory() implements HttpHeadersFactory {

    @Override
    public HttpHeaders newHeaders() {
      return new DroppedTrailers();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return new DroppedTrailers();
    }
  }

  /** Checks that a field is valid, and drops it. */
  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    super.add(name, value);
    return clear();
  }

  @Override
  public HttpHeaders add(String name, Object value) {
    return add((CharSequence) name, value);
  }
}

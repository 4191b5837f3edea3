package loadbalancer.http;

/** What happens to a message for whose body no memory is left. */
public enum BodyOverflow {
  /** It fails at once, and no further message can be read from its connection. */
  FAIL_AT_ONCE,
  /**
   * The rest of its body is read and dropped, and it fails with its last byte. Further messages can
   * be read from its connection.
   */
  READ_TO_END
}

package loadbalancer.soak;

/** The kinds of disruption that a run injects into the fleet. */
enum DisruptionKind {
  /** A proxy receives SIGTERM, then SIGKILL if it has not ended in time, and is restarted. */
  RESTART,
  /** A proxy is restarted as above, and accept fails around the time its listener closes. */
  RESTART_WHILE_ACCEPTING_FAILS,
  /** A proxy receives SIGKILL and is restarted. */
  KILL,
  /** A proxy receives SIGKILL, and the first binds of its restart fail. */
  KILL_AND_FAIL_AT_START,
  /** The wall clock of a proxy is stepped, then the proxy receives SIGKILL and is restarted. */
  KILL_AND_STEP_CLOCK,
  /** The discovery address of a proxy changes, and the proxy receives SIGHUP. */
  RELOAD,
  /**
   * The discovery address of a proxy changes twice in quick succession, each time with a SIGHUP.
   */
  RELOAD_TWICE,
  /**
   * The discovery address of a proxy changes, the proxy receives SIGHUP and is restarted shortly
   * afterwards.
   */
  RELOAD_AND_RESTART,
  /** Discovery does not respond to any proxy for some time. */
  DISCOVERY_DOWN,
  /** The open watches of a proxy stay open but receive nothing any more. */
  WATCHES_SILENT,
  /** The connections of a proxy's watches are reset. */
  WATCHES_RESET,
  /**
   * The connections of a proxy's watches are reset, and new watches start with a complete list that
   * omits draining endpoints.
   */
  COMPLETE_LISTS,
  /** An endpoint is drained and removed, and a new one is added. */
  RELEASE,
  /**
   * All endpoints are drained and removed at once, and new ones are added. The watches of all
   * proxies end instead of delivering the drains, and new watches start with a complete list that
   * omits draining endpoints, which may be empty.
   */
  RELEASE_ALL,
  /** An endpoint is killed and restarted, so that it has to warm up. */
  ENDPOINT_RESTART,
  /** An endpoint responds incorrectly or not at all for some time. */
  ENDPOINT_MODE,
  /** System calls of a proxy fail or transfer fewer bytes than requested. */
  SYSTEM_CALLS,
  /** The wall clock of a running proxy is stepped. */
  WALL_CLOCK,
  /** A proxy is stopped by SIGSTOP for a short time. */
  PAUSE,
  /** Clients flood a proxy, or hold many connections to it with incomplete requests. */
  HOSTILE_CLIENTS
}

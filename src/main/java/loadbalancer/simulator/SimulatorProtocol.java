package loadbalancer.simulator;

/** The names that the simulator's protocol gives to batches, messages and their fields. */
final class SimulatorProtocol {

  /** Fields of a batch and of the groups in it. */
  static final String CLOCK = "clock-ns";

  static final String GROUPS = "groups";
  static final String BALANCER = "balancer";
  static final String MESSAGES = "msgs";
  static final String ACTIONS = "actions";

  /** Messages that start and end an instance, and their fields. */
  static final String PROVISION = "Provision";

  static final String KILL = "Kill";
  static final String SEED = "seed";
  static final String SETTINGS = "boot-info";

  /** Events. */
  static final String ENDPOINT_LIST_UPDATE = "Topology";

  static final String REQUEST_ARRIVED = "JobIn";
  static final String RESPONSE_STARTED = "First";
  static final String ATTEMPT_ENDED = "Resolved";
  static final String CLIENT_DISCONNECTED = "Aborted";
  static final String TIMER_FIRED = "Fired";
  static final String HEALTH_CHECK_RESULT = "HealthResult";
  static final String GOSSIP_RECEIVED = "Datagram";

  /** Actions. */
  static final String START_ATTEMPT = "Deliver";

  static final String CANCEL_ATTEMPT = "AbortAttempt";
  static final String REJECT_REQUEST = "Decline";
  static final String FAIL_REQUEST = "DropRequest";
  static final String SET_TIMER = "SetTimer";
  static final String WATCH_ENDPOINTS = "Observe";
  static final String FETCH_ENDPOINTS = "Resolve";
  static final String CHECK_HEALTH = "SoundOut";
  static final String CLOSE_IDLE_CONNECTIONS = "Release";
  static final String SEND_GOSSIP = "BroadcastTo";
  static final String LOG_MESSAGE = "Emit";

  /** The entry of a reply that reports an exception of the decision engine. */
  static final String FAULT = "Fault";

  /** Fields of both events and actions. */
  static final String REQUEST_ID = "rid";

  static final String ATTEMPT = "go";
  static final String ENDPOINT_ID = "upstream";
  static final String TIMER_TOKEN = "handle";
  static final String GOSSIP_DATA = "octets";
  static final String TEXT = "note-text";

  /** Fields of events. */
  static final String CLASS_NAME = "service";

  static final String TENANT = "user-group";
  static final String AFFINITY_KEY = "object";
  static final String DEADLINE = "drop-dead-ns";
  static final String WORK_HINT = "weight-hint-ns";
  static final String RETRY = "retry";
  static final String STATUS = "rc";
  static final String LATENCY = "wait-time-ns";
  static final String FINISHED = "done-flag";
  static final String LOAD_REPORT = "usage";
  static final String GOSSIP_SENDER = "neighbour";

  /** Fields of an endpoint list and of the endpoints in it. */
  static final String UPDATE_KIND = "kind";

  static final String ENDPOINTS = "entries";
  static final String ZONE = "region-part";
  static final String CELL = "pack";
  static final String STATE = "stage-state";
  static final String STARTED = "launched-ns";
  static final String WEIGHT = "capacity-hint";

  /** Fields of actions. */
  static final String TIMEOUT = "patience-ns";

  static final String RETRY_AFTER = "not-before-for-ns";
  static final String FIRE_AT = "fire-at-ns";
  static final String ENABLED = "enable";
  static final String GOSSIP_RECIPIENT = "recipient";

  private SimulatorProtocol() {}
}

package loadbalancer.decision;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Limits;

/** Manages requests from arrival to their final answer. Owns them while they are in flight. */
final class RequestLifecycle {

  // Fractions of the latency objective: the longest wait for a first attempt, so that a rejection
  // is early, and the longest Retry-After, so that a retry can still meet the objective.
  private static final double MAX_QUEUE_WAIT_FRACTION = 0.3;
  private static final double RETRY_AFTER_FRACTION = 0.1;
  private static final int MAX_FAILED_QUEUE_TRIES = 4; // limits the work if all endpoints are full

  // No attempt starts within this many sweep intervals of the deadline, when the client leaves.
  private static final int DEADLINE_MARGIN_SWEEPS = 2;

  // Requests without a final answer or with an attempt in flight, by id.
  final Map<String, InFlightRequest> inFlight = new LinkedHashMap<>();

  // Requests without an attempt in flight, the highest priority first, then the oldest.
  final TreeSet<InFlightRequest> queue =
      new TreeSet<>(
          Comparator.comparingDouble((InFlightRequest request) -> -request.priority)
              .thenComparingLong(request -> request.arrivedAt)
              .thenComparing(InFlightRequest::id));

  final RequestClassifier classifier;
  private final DecisionContext context;
  private final Limits limits;
  private final EndpointRegistry registry;
  private final AdaptiveRateLimiter rateLimiter;
  private final BoundedLoadBalancer balancer;
  private final HedgePolicy hedgePolicy;
  private final OutcomeRecorder recorder;
  private final RetryBudget retryBudget = new RetryBudget();
  private boolean sweepScheduled;

  RequestLifecycle(DecisionContext context, EndpointRegistry registry) {
    this.context = context;
    this.registry = registry;
    limits = context.settings.limits();
    classifier = new RequestClassifier(context);
    rateLimiter = new AdaptiveRateLimiter(context, registry);
    balancer = new BoundedLoadBalancer(context, registry, rateLimiter);
    hedgePolicy = new HedgePolicy(context, rateLimiter, registry.outliers);
    recorder = new OutcomeRecorder(context, rateLimiter, registry.outliers);
  }

  void onArrival(Event.RequestArrived arrival) {
    InFlightRequest request = classifier.classify(arrival);
    if (inFlight.size() >= limits.maxInFlightRequests()
        || !rateLimiter.tryAdmit(request, queue.size())) {
      context.actions.accept(rejection(request));
      return;
    }
    inFlight.put(request.id(), request);
    retryBudget.deposit();
    advance(request);
  }

  void onResponseStarted(String requestId) {
    InFlightRequest request = inFlight.get(requestId);
    if (request != null) {
      request.streaming = true;
    }
  }

  void onClientDisconnected(String requestId) {
    InFlightRequest request = inFlight.get(requestId);
    if (request != null && !request.answered) {
      release(request);
    }
  }

  void onAttemptEnded(Event.AttemptEnded end) {
    InFlightRequest request = inFlight.get(end.requestId());
    if (request == null || !request.isInFlight(end.attempt())) {
      return;
    }
    Attempt attempt = request.attempts.get(end.attempt());
    attempt.inFlight = false;
    attempt.mayHaveRun = !end.status().provesNotRun();
    attempt.mayHaveBeenSent = end.status() != AttemptStatus.NOT_SENT;
    request.attemptsInFlight--;
    registry.onAttemptEnded(attempt.endpoint, request.load);
    recorder.record(request, attempt, end);
    if (request.answered && request.attemptsInFlight == 0) {
      inFlight.remove(request.id());
    } else if (!request.answered && end.isRequestAnswered()) {
      release(request);
    } else if (!request.answered && request.attemptsInFlight == 0) {
      advance(request);
    }
    advanceQueue();
  }

  /** Rejects the queued requests if the update has left no ready endpoint. */
  void onEndpointsUpdated() {
    if (registry.ready.length == 0) {
      List.copyOf(queue).forEach(this::advance);
    }
  }

  private void advanceQueue() {
    int tries = MAX_FAILED_QUEUE_TRIES;
    InFlightRequest request = queue.isEmpty() ? null : queue.first();
    while (request != null && tries > 0) {
      tries -= advance(request) ? 0 : 1;
      request = queue.higher(request);
    }
  }

  /** Sets the timer of the next sweep if requests are in flight and it is not set yet. */
  void scheduleSweep() {
    if (!sweepScheduled && !inFlight.isEmpty()) {
      sweepScheduled = true;
      context.actions.accept(new Action.SetTimer("sweep", context.now + context.sweepNanos));
    }
  }

  /** Updates the statistics, hedges requests at silent endpoints, and advances queued requests. */
  void onSweep() {
    sweepScheduled = false;
    registry.outliers.onSweep(registry.ready);
    registry.slowStart.onSweep(registry.ready);
    rateLimiter.onSweep();
    for (InFlightRequest request : inFlight.values()) {
      recorder.recordLateAttempts(request);
      boolean singleAttempt =
          request.attemptsInFlight == 1 && !request.answered && !request.streaming;
      if (singleAttempt && hedgePolicy.shouldHedge(request) && !isOutOfAttempts(request)) {
        startAttempt(request);
      }
    }
    List.copyOf(queue).forEach(this::advance);
  }

  // Starts an attempt of a request that has none in flight, or answers the request, or queues it.
  // Returns false if the request is queued.
  private boolean advance(InFlightRequest request) {
    boolean outOfAttempts = isOutOfAttempts(request);
    if (!outOfAttempts && startAttempt(request)) {
      queue.remove(request);
    } else if (outOfAttempts || shouldStopWaiting(request)) {
      boolean canReject = IdempotencePolicy.canReject(request);
      context.actions.accept(canReject ? rejection(request) : new Action.FailRequest(request.id()));
      release(request);
    } else {
      queue.add(request);
      return false;
    }
    return true;
  }

  // Returns whether a request gets no further attempt, even if an endpoint has capacity.
  private boolean isOutOfAttempts(InFlightRequest request) {
    long lastStart = request.arrival.deadlineNanos() - DEADLINE_MARGIN_SWEEPS * context.sweepNanos;
    return request.attempts.size() >= limits.maxAttempts()
        || (request.hasSentAttempt() && retryBudget.isExhausted())
        || IdempotencePolicy.isRetryForbidden(request)
        || context.now >= lastStart;
  }

  // Returns whether a request should not stay queued: no endpoint is ready, or its wait is over.
  private boolean shouldStopWaiting(InFlightRequest request) {
    double maxWait = MAX_QUEUE_WAIT_FRACTION * request.type.latencyObjectiveNanos();
    return registry.ready.length == 0
        || (request.attempts.isEmpty() && context.now >= request.arrivedAt + maxWait);
  }

  private boolean startAttempt(InFlightRequest request) {
    TrackedEndpoint endpoint = balancer.pick(request);
    if (endpoint == null) {
      return false;
    }
    if (request.hasSentAttempt()) {
      retryBudget.withdraw();
    }
    request.attempts.add(new Attempt(endpoint, context.now));
    request.attemptsInFlight++;
    registry.onAttemptStarted(endpoint, request.load);
    long timeout = request.arrival.deadlineNanos() - context.now;
    context.actions.accept(new Action.StartAttempt(request.id(), endpoint.id, timeout));
    return true;
  }

  private Action rejection(InFlightRequest request) {
    double objectiveLimit = RETRY_AFTER_FRACTION * request.type.latencyObjectiveNanos();
    double maxRetryAfter =
        limits.retryAfter() ? Math.min((double) limits.maxRetryAfterNanos(), objectiveLimit) : 0;
    // Full jitter, so that clients that were rejected together do not retry together.
    long retryAfter = (long) (maxRetryAfter * context.random.nextDouble());
    return new Action.RejectRequest(request.id(), retryAfter);
  }

  // Marks a request as answered and removes it from the queue. Without an attempt in flight, it
  // leaves inFlight at once. Otherwise its attempts are cancelled, if the deployment permits that,
  // and it leaves inFlight when the last of them ends.
  private void release(InFlightRequest request) {
    request.answered = true;
    queue.remove(request);
    if (request.attemptsInFlight == 0) {
      inFlight.remove(request.id());
    }
    for (int i = 0; i < request.attempts.size() && limits.cancellation(); i++) {
      if (request.isInFlight(i)) {
        context.actions.accept(new Action.CancelAttempt(request.id(), i));
      }
    }
  }
}

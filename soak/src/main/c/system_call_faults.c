/*
 * Library to preload into a process under test. It makes selected system calls fail or transfer
 * fewer bytes than requested, and shifts the wall clock, as the control file specifies.
 * The creation of sockets, bind, connect, reads and writes are affected only for IPv4 and IPv6.
 *
 * The control file (environment variable FAULT_CONTROL) is mapped into memory, so that the harness
 * can change it while the process runs. Its layout is `struct control` in native byte order;
 * loadbalancer.soak.FaultControl writes it. Without the variable, no call is changed.
 *
 * A process under test is killed when the thread that started it ends, so that no process outlives
 * the harness.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { CALL_ACCEPT, CALL_SOCKET, CALL_BIND, CALL_CONNECT, CALL_READ, CALL_WRITE, CALL_WAIT, CALLS };

struct rule {
  _Atomic int32_t remaining;   /* number of further calls that fail; -1: all of them */
  _Atomic int32_t per_million; /* probability that a call fails while remaining is 0, per million */
  _Atomic int32_t error;       /* errno of a failing call; 0: limit reads and writes instead */
  _Atomic int32_t bytes;       /* maximum bytes of a limited read or write */
  _Atomic int64_t injected;    /* number of calls made to fail or limited */
};

struct control {
  _Atomic int64_t wall_offset_millis; /* added to the wall clock */
  _Atomic uint64_t random;            /* state of the random number generator */
  struct rule rules[CALLS];
};

static struct control *control;

__attribute__((constructor)) static void initialize(void) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const char *parent = getenv("FAULT_PARENT");
  if (parent != NULL && getppid() != (pid_t)atol(parent)) {
    _exit(1); /* The parent ended before the signal was requested. */
  }
  const char *path = getenv("FAULT_CONTROL");
  if (path == NULL) {
    return;
  }
  int fd = open(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) {
    return;
  }
  void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  control = mapped == MAP_FAILED ? NULL : mapped;
}

#define REAL(name) \
  static __typeof__(&name) real; \
  if (real == NULL) { \
    real = (__typeof__(&name))dlsym(RTLD_NEXT, #name); \
  }

/* Returns the next output of the SplitMix64 generator. */
static uint64_t next_random(void) {
  uint64_t z = atomic_fetch_add(&control->random, 0x9e3779b97f4a7c15u) + 0x9e3779b97f4a7c15u;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

/* Returns the rule that applies to this call and counts the call; NULL if the call is unaffected. */
static struct rule *match_rule(enum call call) {
  if (control == NULL) {
    return NULL;
  }
  struct rule *rule = &control->rules[call];
  int32_t remaining = atomic_load(&rule->remaining);
  while (remaining > 0 && !atomic_compare_exchange_weak(&rule->remaining, &remaining, remaining - 1)) {
  }
  int32_t per_million = atomic_load(&rule->per_million);
  if (remaining == 0 && (per_million == 0 || next_random() % 1000000 >= (uint64_t)per_million)) {
    return NULL;
  }
  atomic_fetch_add(&rule->injected, 1);
  return rule;
}

static int is_internet_socket(int fd) {
  int domain = 0;
  socklen_t length = sizeof domain;
  int saved = errno;
  int result = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length);
  errno = saved;
  return result == 0 && (domain == AF_INET || domain == AF_INET6);
}

/* Returns whether the call has to fail; sets errno if so. */
static int should_fail(enum call call) {
  struct rule *rule = match_rule(call);
  if (rule == NULL) {
    return 0;
  }
  errno = atomic_load(&rule->error);
  return 1;
}

/* Returns the bytes that a read or write may transfer: at most length, or -1 if it has to fail. */
static ssize_t allowed_bytes(enum call call, int fd, size_t length) {
  if (control == NULL || !is_internet_socket(fd)) {
    return (ssize_t)length;
  }
  struct rule *rule = match_rule(call);
  if (rule == NULL) {
    return (ssize_t)length;
  }
  int error = atomic_load(&rule->error);
  if (error != 0) {
    errno = error;
    return -1;
  }
  size_t bytes = (size_t)atomic_load(&rule->bytes);
  return (ssize_t)(length < bytes ? length : bytes);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
  REAL(accept)
  return should_fail(CALL_ACCEPT) ? -1 : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
  REAL(accept4)
  return should_fail(CALL_ACCEPT) ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
  REAL(socket)
  int internet = domain == AF_INET || domain == AF_INET6;
  return internet && should_fail(CALL_SOCKET) ? -1 : real(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
  REAL(bind)
  return is_internet_socket(fd) && should_fail(CALL_BIND) ? -1 : real(fd, address, length);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  REAL(connect)
  return is_internet_socket(fd) && should_fail(CALL_CONNECT) ? -1 : real(fd, address, length);
}

ssize_t read(int fd, void *buffer, size_t length) {
  REAL(read)
  ssize_t bytes = allowed_bytes(CALL_READ, fd, length);
  return bytes < 0 ? -1 : real(fd, buffer, (size_t)bytes);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
  REAL(recv)
  ssize_t bytes = allowed_bytes(CALL_READ, fd, length);
  return bytes < 0 ? -1 : real(fd, buffer, (size_t)bytes, flags);
}

ssize_t write(int fd, const void *buffer, size_t length) {
  REAL(write)
  ssize_t bytes = allowed_bytes(CALL_WRITE, fd, length);
  return bytes < 0 ? -1 : real(fd, buffer, (size_t)bytes);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
  REAL(send)
  ssize_t bytes = allowed_bytes(CALL_WRITE, fd, length);
  return bytes < 0 ? -1 : real(fd, buffer, (size_t)bytes, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
  REAL(writev)
  size_t length = count > 0 ? parts[0].iov_len : 0;
  ssize_t bytes = allowed_bytes(CALL_WRITE, fd, length);
  if (bytes < 0) {
    return -1;
  }
  if ((size_t)bytes < length) {
    struct iovec first = {parts[0].iov_base, (size_t)bytes};
    return real(fd, &first, 1);
  }
  return real(fd, parts, count);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
  REAL(epoll_wait)
  return should_fail(CALL_WAIT) ? -1 : real(fd, events, max_events, timeout);
}

static int64_t wall_offset_millis(void) {
  return control == NULL ? 0 : atomic_load(&control->wall_offset_millis);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
  REAL(clock_gettime)
  int result = real(clock, now);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    int64_t millis = wall_offset_millis();
    int64_t nanos = now->tv_nsec + millis % 1000 * 1000000;
    int64_t carry = nanos < 0 ? -1 : nanos / 1000000000;
    now->tv_nsec = nanos - carry * 1000000000;
    now->tv_sec += millis / 1000 + carry;
  }
  return result;
}

int gettimeofday(struct timeval *now, void *zone) {
  (void)zone;
  struct timespec precise;
  int result = clock_gettime(CLOCK_REALTIME, &precise);
  now->tv_sec = precise.tv_sec;
  now->tv_usec = precise.tv_nsec / 1000;
  return result;
}

time_t time(time_t *seconds) {
  struct timespec precise;
  clock_gettime(CLOCK_REALTIME, &precise);
  if (seconds != NULL) {
    *seconds = precise.tv_sec;
  }
  return precise.tv_sec;
}

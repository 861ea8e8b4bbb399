/* Event loop: h2o's event loop for sockets, JdClock for timers. */
#include <errno.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base.h"

/* Longest wait for socket events in one round. */
#define MAX_WAIT JD_US_PER_S
/* Shortest pause of the loop that is reported, and after which sockets are
 * read before timers run. */
#define MIN_PAUSE (250 * JD_US_PER_MS)
/* Rounds in which sockets are read after a pause: h2o handles 256 a round. */
#define CATCH_UP_ROUNDS 4

static uint64_t
read_monotonic(void *ctx)
{
    struct timespec ts;

    (void)ctx;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * JD_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

/* Returns the wall-clock time in us since the epoch. */
uint64_t
JdLoop_WallClock(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    return (uint64_t)ts.tv_sec * JD_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

/* Returns a time in us that never steps, and goes on while the VM is
 * suspended. */
uint64_t
JdLoop_BootClock(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_BOOTTIME, &ts);
    return (uint64_t)ts.tv_sec * JD_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

/* Returns the time in us for which this round has taken longer than its wait:
 * the process did not run, or had much to do. */
static uint64_t
measure_pause(JdLoop *lp)
{
    uint64_t took = JdClock_Now(&lp->clock) - lp->round_began_at;

    return took > lp->round_wait ? took - lp->round_wait : 0;
}

/* Callback of h2o that runs the timers that are due.  In a round with a pause
 * what arrived meanwhile has not been read: a timer that waits for it would
 * take the pause for silence. */
static void
run_due_timers(h2o_timeout_entry_t *entry)
{
    JdLoop *lp = (JdLoop *)((char *)entry - offsetof(JdLoop, timer_entry));

    if (lp->has_caught_up || measure_pause(lp) < MIN_PAUSE) {
        JdClock_RunDue(&lp->clock);
    }
}

/* Initializes a loop whose timers use the monotonic clock; ignores SIGPIPE. */
void
JdLoop_Init(JdLoop *lp)
{
    memset(lp, 0, sizeof(*lp));
    signal(SIGPIPE, SIG_IGN);
    lp->evloop = h2o_evloop_create();
    h2o_timeout_init(lp->evloop, &lp->zero_timeout, 0);
    lp->timer_entry.cb = run_due_timers;
    JdClock_Init(&lp->clock, read_monotonic, NULL);
}

/* Releases a loop.  Its sockets must be closed. */
void
JdLoop_Finish(JdLoop *lp)
{
    h2o_evloop_run(lp->evloop, 0);
    h2o_timeout_dispose(lp->evloop, &lp->zero_timeout);
    h2o_evloop_destroy(lp->evloop);
}

/* Handles the pause of a round: the next ones read sockets only. */
static void
handle_pause(JdLoop *lp)
{
    uint64_t pause = measure_pause(lp);

    if (pause < MIN_PAUSE) {
        return;
    }
    /* Otherwise timers would never run where every round takes that long. */
    if (!lp->has_caught_up) {
        lp->catch_up_rounds = CATCH_UP_ROUNDS;
    }
    if (lp->on_pause != NULL) {
        lp->on_pause(lp->pause_ctx, pause);
    }
}

/* Schedules the timers for this round if one is due. */
static void
schedule_timers(JdLoop *lp)
{
    if (lp->round_wait == 0 && lp->clock.timers.tqh_first != NULL) {
        /* The entry may still be linked: h2o's timeouts use the wall clock,
         * and if that was set back in the last round, it did not fire. */
        h2o_timeout_unlink(&lp->timer_entry);
        h2o_timeout_link(lp->evloop, &lp->zero_timeout, &lp->timer_entry);
    }
}

/*
 * Runs one round: waits up to `max_wait` us for socket events, handles them
 * and runs the timers that are due.  After a pause of the process a few rounds
 * only read what has arrived meanwhile.
 *
 * Timers run as a callback inside h2o_evloop_run.  If a timer outside of it
 * wrote to a socket and closed it, h2o would free the socket while it is still
 * in the list of pending callbacks; a new socket at the same address would
 * then make h2o loop forever.
 */
void
JdLoop_RunOnce(JdLoop *lp, uint64_t max_wait)
{
    lp->round_began_at = JdClock_Now(&lp->clock);
    lp->round_wait = JdClock_UntilNext(&lp->clock, max_wait);
    if (lp->catch_up_rounds > 0) {
        lp->catch_up_rounds--;
        lp->round_wait = 0;
        lp->has_caught_up = true;
        h2o_evloop_run(lp->evloop, 0);
        return;
    }
    schedule_timers(lp);
    /* Rounded up, since h2o waits in whole milliseconds. */
    h2o_evloop_run(lp->evloop, (int32_t)((lp->round_wait + JD_US_PER_MS - 1) /
                                         JD_US_PER_MS));
    handle_pause(lp);
    lp->has_caught_up = false;
}

/* Runs until JdLoop_Stop is called. */
void
JdLoop_Run(JdLoop *lp)
{
    /* Runs the pending callbacks of earlier writes. */
    h2o_evloop_run(lp->evloop, 0);
    while (!lp->is_stopping) {
        JdLoop_RunOnce(lp, lp->is_busy_polling ? 0 : MAX_WAIT);
    }
}

/* Makes JdLoop_Run return after the current round. */
void
JdLoop_Stop(JdLoop *lp)
{
    lp->is_stopping = true;
}

/* Passes the length in us of each long pause of the loop to `handler`. */
void
JdLoop_ReportPauses(JdLoop *lp, void (*handler)(void *ctx, uint64_t length),
                    void *ctx)
{
    lp->on_pause = handler;
    lp->pause_ctx = ctx;
}

static void
on_signal(h2o_socket_t *sock, const char *err)
{
    JdLoop *lp = sock->data;
    struct signalfd_siginfo info;

    (void)err;
    while (read(h2o_socket_get_fd(sock), &info, sizeof(info)) ==
           sizeof(info)) {
        lp->on_signal(lp->signal_ctx, (int)info.ssi_signo);
    }
}

/* Passes SIGTERM, SIGINT and SIGHUP to `handler`, which runs on the loop. */
void
JdLoop_CatchSignals(JdLoop *lp, void (*handler)(void *ctx, int signal),
                    void *ctx)
{
    h2o_socket_t *sock;
    sigset_t set;

    lp->on_signal = handler;
    lp->signal_ctx = ctx;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigprocmask(SIG_BLOCK, &set, NULL);
    sock = h2o_evloop_socket_create(
        lp->evloop, signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC),
        H2O_SOCKET_FLAG_DONT_READ);
    sock->data = lp;
    h2o_socket_read_start(sock, on_signal);
}

/* Parses "a.b.c.d:port".  Fails with JD_ERR_RANGE. */
JdStatus
JdAddress_Parse(const char *text, struct sockaddr_in *out, JdError *err)
{
    char host[JD_ADDRESS_MAX];
    const char *colon = strrchr(text, ':');
    char *end;
    long port;

    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return JdError_Set(err, JD_ERR_RANGE, "",
                           "invalid address, expected IP:PORT: %s", text);
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    port = strtol(colon + 1, &end, 10);
    if (inet_pton(AF_INET, host, &out->sin_addr) != 1 || *end != '\0' ||
        end == colon + 1 || port < 1 || port > 65535) {
        return JdError_Set(err, JD_ERR_RANGE, "",
                           "invalid address, expected IP:PORT: %s", text);
    }
    out->sin_port = htons((uint16_t)port);
    return JD_OK;
}

/* Reads from a socket that h2o does not read from by itself.  Returns the
 * number of bytes, at least 1, or a JdReadEnd. */
ssize_t
JdSocket_Read(h2o_socket_t *sock, void *buf, size_t size)
{
    ssize_t n;

    do {
        n = read(h2o_socket_get_fd(sock), buf, size);
    } while (n < 0 && errno == EINTR);
    if (n > 0) {
        return n;
    }
    if (n == 0) {
        return JD_READ_CLOSED;
    }
    return errno == EAGAIN ? JD_READ_AGAIN : JD_READ_RESET;
}

/* Limits what the kernel buffers of a connection that is not read, and so what
 * h2o reads at a time. */
void
JdSocket_LimitInput(h2o_socket_t *sock, int bytes)
{
    setsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_RCVBUF, &bytes,
               sizeof(bytes));
}

/* Frees the empty input buffer of a socket, which keeps the size that it once
 * had. */
void
JdSocket_TrimInput(h2o_socket_t *sock)
{
    if (sock->input->size == 0 && sock->input->capacity > JD_LARGE_BYTES) {
        h2o_buffer_dispose(&sock->input);
        h2o_buffer_init(&sock->input, &h2o_socket_buffer_prototype);
    }
}

/* Returns the number of bytes that were written to a socket and that the other
 * side has not received. */
size_t
JdSocket_Unacked(h2o_socket_t *sock)
{
    int n = 0;

    return ioctl(h2o_socket_get_fd(sock), SIOCOUTQ, &n) == 0 && n > 0
               ? (size_t)n
               : 0;
}

/* Returns what the kernel knows of a connection. */
static struct tcp_info
get_info(h2o_socket_t *sock)
{
    struct tcp_info info = {0};
    socklen_t len = sizeof(info);

    getsockopt(h2o_socket_get_fd(sock), IPPROTO_TCP, TCP_INFO, &info, &len);
    return info;
}

/* Returns the number of bytes of a connection that the other side has received
 * so far. */
uint64_t
JdSocket_Acked(h2o_socket_t *sock)
{
    return get_info(sock).tcpi_bytes_acked;
}

/* Returns the time in us since bytes came on a connection, or since it was
 * opened.  `is_answered` gets whether nothing has come since bytes were sent
 * on it, as where it carries no request. */
uint64_t
JdSocket_Quiet(h2o_socket_t *sock, bool *is_answered)
{
    struct tcp_info info = get_info(sock);

    *is_answered = info.tcpi_bytes_received == 0 ||
                   (info.tcpi_bytes_sent > 0 &&
                    info.tcpi_last_data_sent <= info.tcpi_last_data_recv);
    return (uint64_t)info.tcpi_last_data_recv * JD_US_PER_MS;
}

/* Opens a listening socket.  Fails with JD_ERR_RANGE or JD_ERR_SYSTEM. */
JdStatus
JdListen(const char *address, int *fd, JdError *err)
{
    struct sockaddr_in sin;
    JdStatus s = JdAddress_Parse(address, &sin, err);
    int on = 1;

    if (s != JD_OK) {
        return s;
    }
    *fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (*fd < 0 ||
        setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(*fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
        listen(*fd, SOMAXCONN) != 0) {
        s = JdError_Set(err, JD_ERR_SYSTEM, "", "cannot listen on %s: %s",
                        address, strerror(errno));
        if (*fd >= 0) {
            close(*fd);
        }
        return s;
    }
    return JD_OK;
}

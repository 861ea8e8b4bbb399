/* The loop of a program: sockets by h2o, timers by a clock of our own. */
#include <errno.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base.h"

/* Longest wait for a socket, in us. */
#define WAIT_MOST JD_US_PER_S

static uint64_t
read_monotonic(void *ctx)
{
    struct timespec ts;

    (void)ctx;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * JD_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

/* Returns the wall clock in us. */
uint64_t
JdLoop_WallClock(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    return (uint64_t)ts.tv_sec * JD_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

/* Runs the timers that are due, as a callback of the library. */
static void
on_due(h2o_timeout_entry_t *entry)
{
    JdLoop *lp = (JdLoop *)((char *)entry - offsetof(JdLoop, timer_entry));

    JdClock_RunDue(&lp->clock);
}

/* Initializes a loop on the monotonic clock. */
void
JdLoop_Init(JdLoop *lp)
{
    memset(lp, 0, sizeof(*lp));
    signal(SIGPIPE, SIG_IGN);
    lp->evloop = h2o_evloop_create();
    h2o_timeout_init(lp->evloop, &lp->zero_timeout, 0);
    lp->timer_entry.cb = on_due;
    JdClock_Init(&lp->clock, read_monotonic, NULL);
}

/* Releases a loop whose sockets are closed. */
void
JdLoop_Finish(JdLoop *lp)
{
    h2o_evloop_run(lp->evloop, 0);
    h2o_timeout_dispose(lp->evloop, &lp->zero_timeout);
    h2o_evloop_destroy(lp->evloop);
}

/*
 * Waits for sockets up to `most` us and runs what is due.  Timers run inside
 * the library's round: a socket that is written to and closed outside of it is
 * freed while it still stands in the library's list of pending callbacks, and
 * the next socket in its place sends the library around for ever.
 */
void
JdLoop_RunOnce(JdLoop *lp, uint64_t most)
{
    uint64_t wait = JdClock_UntilNext(&lp->clock, most);

    if (wait == 0 && lp->clock.timers.tqh_first != NULL) {
        /* The library goes by the time of day: where that stepped back in the
         * last round, the entry still stands there for a later time. */
        h2o_timeout_unlink(&lp->timer_entry);
        h2o_timeout_link(lp->evloop, &lp->zero_timeout, &lp->timer_entry);
    }
    /* Rounded up, since the library waits in whole milliseconds. */
    h2o_evloop_run(lp->evloop,
                   (int32_t)((wait + JD_US_PER_MS - 1) / JD_US_PER_MS));
}

/* Runs until JdLoop_Stop is called. */
void
JdLoop_Run(JdLoop *lp)
{
    /* What was written before has callbacks that wait for a round. */
    h2o_evloop_run(lp->evloop, 0);
    while (!lp->is_stopping) {
        JdLoop_RunOnce(lp, lp->is_busy_polling ? 0 : WAIT_MOST);
    }
}

/* Makes JdLoop_Run return after the present round. */
void
JdLoop_Stop(JdLoop *lp)
{
    lp->is_stopping = true;
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

/* Delivers SIGTERM, SIGINT and SIGHUP on the loop. */
void
JdLoop_CatchSignals(JdLoop *lp, void (*fn)(void *ctx, int signal), void *ctx)
{
    h2o_socket_t *sock;
    sigset_t set;

    lp->on_signal = fn;
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

/* Reads "a.b.c.d:port".  Fails with JD_ERR_RANGE. */
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
        return JdError_Set(err, JD_ERR_RANGE, "", "no IP:PORT: %s", text);
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    port = strtol(colon + 1, &end, 10);
    if (inet_pton(AF_INET, host, &out->sin_addr) != 1 || *end != '\0' ||
        end == colon + 1 || port < 1 || port > 65535) {
        return JdError_Set(err, JD_ERR_RANGE, "", "no IP:PORT: %s", text);
    }
    out->sin_port = htons((uint16_t)port);
    return JD_OK;
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
        s = JdError_Set(err, JD_ERR_SYSTEM, "", "listen on %s: %s", address,
                        strerror(errno));
        if (*fd >= 0) {
            close(*fd);
        }
        return s;
    }
    return JD_OK;
}

/*
 * Listeners that accept a limited number of connections, so that descriptors
 * remain for the others.  A listener rests while its connections are at the
 * limit or the process has no descriptor left: the kernel queues new ones
 * meanwhile.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base.h"

/* Connections that are accepted in one round of the loop. */
#define ACCEPT_BATCH 64
/* Rest of a listener that cannot accept. */
#define REST_TIME (20 * JD_US_PER_MS)
/* Bytes that the kernel may buffer in each direction of a connection: a share
 * of what all connections of a listener may, within bounds. */
#define KERNEL_BYTES (8U << 20)
#define MIN_KERNEL_BYTES (8U << 10)
#define MAX_KERNEL_BYTES (256U << 10)

/* Time without input after which a connection is shut down for a new one,
 * unless it may carry a request, and where it may. */
#define IDLE_PATIENCE (500 * JD_US_PER_MS)
#define REQUEST_PATIENCE (2 * JD_US_PER_S)

/* A connection that was accepted and is open. */
struct JdAccepted {
    TAILQ_ENTRY(JdAccepted) link;
    JdAcceptor *acceptor;
    h2o_socket_t *sock;
    bool is_shut;
};

static void on_readable(h2o_socket_t *listener, const char *err);

static void
on_rest_over(void *ctx)
{
    JdAcceptor *ac = ctx;

    if (ac->listener != NULL) {
        h2o_socket_read_start(ac->listener, on_readable);
    }
}

static void
rest(JdAcceptor *ac)
{
    ac->rest_count++;
    h2o_socket_read_stop(ac->listener);
    JdTimer_Arm(&ac->loop->clock, &ac->rest_timer, REST_TIME);
}

static void
on_closed(void *data)
{
    JdAccepted *conn = data;

    conn->acceptor->open_count--;
    TAILQ_REMOVE(&conn->acceptor->accepted_conns, conn, link);
    g_free(conn);
}

static void
track(JdAcceptor *ac, h2o_socket_t *sock)
{
    JdAccepted *conn = g_new0(JdAccepted, 1);

    conn->acceptor = ac;
    conn->sock = sock;
    TAILQ_INSERT_TAIL(&ac->accepted_conns, conn, link);
    ac->open_count++;
    sock->on_close.cb = on_closed;
    sock->on_close.data = conn;
}

static bool
is_quiet(const JdAccepted *conn)
{
    bool is_answered;
    uint64_t quiet = JdSocket_Quiet(conn->sock, &is_answered);

    return quiet >= (is_answered ? IDLE_PATIENCE : REQUEST_PATIENCE);
}

/* Shuts down the connections on which nothing comes.  Their owner reads the
 * end of each in the next round of the loop, and closes it. */
static void
shut_quiet(JdAcceptor *ac)
{
    JdAccepted *conn;

    TAILQ_FOREACH(conn, &ac->accepted_conns, link)
    {
        if (conn->is_shut || !is_quiet(conn)) {
            continue;
        }
        conn->is_shut = true;
        shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
        if (ac->shed != NULL) {
            (*ac->shed)++;
        }
    }
}

/* Returns whether a connection was closed for a new one. */
static bool
make_room(JdAcceptor *ac)
{
    if (ac->make_room != NULL) {
        return ac->make_room(ac->ctx);
    }
    shut_quiet(ac);
    return false;
}

/* Limits what the kernel buffers for a connection: the more there are, the
 * less each gets. */
static void
limit_kernel_buffers(const JdAcceptor *ac, int fd)
{
    int n = (int)CLAMP(KERNEL_BYTES / (ac->open_count + 1), MIN_KERNEL_BYTES,
                       MAX_KERNEL_BYTES);

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &n, sizeof(n));
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &n, sizeof(n));
}

static bool
has_new_connection(const JdAcceptor *ac)
{
    struct pollfd pfd = {.fd = h2o_socket_get_fd(ac->listener),
                         .events = POLLIN};

    return poll(&pfd, 1, 0) > 0;
}

/* Returns whether a new connection may be accepted, after another one was
 * closed for it if need be. */
static bool
has_room(JdAcceptor *ac)
{
    if (ac->open_count < ac->max_open) {
        return true;
    }
    if (!has_new_connection(ac)) {
        return false;
    }
    if (make_room(ac)) {
        return true;
    }
    rest(ac);
    return false;
}

/* Handles an error of accept4().  Returns whether the next connection can be
 * accepted. */
static bool
handle_accept_error(JdAcceptor *ac, int error)
{
    switch (error) {
    case ECONNABORTED:
    case EINTR:
        return true;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
        make_room(ac);
        rest(ac);
        return false;
    default:
        return false;
    }
}

/* Accepts a connection.  Returns false if there is none, or no room. */
static bool
accept_next(JdAcceptor *ac)
{
    h2o_socket_t *sock;
    int fd;

    if (!has_room(ac)) {
        return false;
    }
    fd = accept4(h2o_socket_get_fd(ac->listener), NULL, NULL,
                 SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return handle_accept_error(ac, errno);
    }
    if (ac->limits_buffers) {
        limit_kernel_buffers(ac, fd);
    }
    sock = h2o_evloop_socket_create(ac->loop->evloop, fd,
                                    H2O_SOCKET_FLAG_IS_ACCEPTED_CONNECTION);
    track(ac, sock);
    ac->accepted(ac->ctx, sock);
    return true;
}

static void
on_readable(h2o_socket_t *listener, const char *err)
{
    JdAcceptor *ac = listener->data;

    if (err != NULL) {
        return;
    }
    for (int i = 0; i < ACCEPT_BATCH; i++) {
        if (ac->listener == NULL || !accept_next(ac)) {
            return;
        }
    }
}

/*
 * Listens on an address.  `accepted` gets each new connection; `make_room`
 * closes one when there are `max_open`, and returns false if it cannot; where
 * it is NULL, those on which nothing comes are shut down.
 */
JdStatus
JdAcceptor_Init(JdAcceptor *ac, JdLoop *lp, const char *address,
                const JdAcceptorOps *ops, void *ctx, JdError *err)
{
    JdStatus s;
    int fd;

    memset(ac, 0, sizeof(*ac));
    ac->loop = lp;
    ac->accepted = ops->accepted;
    ac->make_room = ops->make_room;
    ac->limits_buffers = ops->limits_buffers;
    ac->ctx = ctx;
    ac->max_open = SIZE_MAX;
    TAILQ_INIT(&ac->accepted_conns);
    JdTimer_Init(&ac->rest_timer, on_rest_over, ac);
    s = JdListen(address, &fd, err);
    if (s != JD_OK) {
        return s;
    }
    ac->listener =
        h2o_evloop_socket_create(lp->evloop, fd, H2O_SOCKET_FLAG_DONT_READ);
    ac->listener->data = ac;
    h2o_socket_read_start(ac->listener, on_readable);
    return JD_OK;
}

/* Stops listening; accepted connections stay. */
void
JdAcceptor_Finish(JdAcceptor *ac)
{
    if (ac->listener == NULL) {
        return;
    }
    JdTimer_Cancel(&ac->loop->clock, &ac->rest_timer);
    h2o_socket_close(ac->listener);
    ac->listener = NULL;
}

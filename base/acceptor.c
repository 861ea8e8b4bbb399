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
    JdAcceptor *ac = data;

    ac->open_count--;
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
    if (ac->make_room != NULL && ac->make_room(ac->ctx)) {
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
        if (ac->make_room != NULL) {
            ac->make_room(ac->ctx);
        }
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
    ac->open_count++;
    sock->on_close.cb = on_closed;
    sock->on_close.data = ac;
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
 * Listens on an address.  `accepted` gets each new connection; `make_room`, or
 * NULL, closes one when there are `max_open`, and returns false if it cannot.
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

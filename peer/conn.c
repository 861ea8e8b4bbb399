/*
 * Connections between nodes: length-prefixed protobuf frames over TCP.  Frames
 * that are sent during a write are collected and go out with the next one.
 */
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "conn.h"

/* Size in bytes of the length in front of a frame, which is big-endian. */
#define LENGTH_SIZE 4
/* Time after the last response in which the other node closes a connection
 * that it was asked to close, if it lives. */
#define RECEIPT_TIMEOUT (3 * JD_US_PER_S)

static void on_written(h2o_socket_t *sock, const char *err);

static const char *const end_names[JD_CONN_END_MAX] = {
    [JD_CONN_OPEN] = "open",           [JD_CONN_NOT_OPENED] = "not opened",
    [JD_CONN_PEER_ENDED] = "ended",    [JD_CONN_RESET] = "reset",
    [JD_CONN_BAD_FRAME] = "bad frame", [JD_CONN_SILENT] = "silent",
    [JD_CONN_CLOSED] = "closed",
};

/* Returns the name of the way in which a connection ended. */
const char *
JdConnEnd_Name(JdConnEnd end)
{
    return end_names[end];
}

/* Initializes an empty set of connections. */
void
JdConnSet_Init(JdConnSet *cs, JdLoop *lp, JdCounters *ctr)
{
    memset(cs, 0, sizeof(*cs));
    TAILQ_INIT(&cs->conns);
    cs->loop = lp;
    cs->counters = ctr;
}

static void
free_conn(void *ctx)
{
    JdConn *conn = ctx;

    TAILQ_REMOVE(&conn->set->conns, conn, link);
    h2o_buffer_dispose(&conn->queued);
    h2o_buffer_dispose(&conn->sending);
    g_free(conn);
}

/*
 * Closes a connection without calling `closed`.  It is freed in the next
 * iteration of the event loop, as functions up the stack may still use it.
 */
void
JdConn_Close(JdConn *conn)
{
    if (conn->is_closing) {
        return;
    }
    conn->is_closing = true;
    conn->is_open = false;
    if (conn->end == JD_CONN_OPEN) {
        conn->end = JD_CONN_CLOSED;
    }
    if (conn->sock != NULL) {
        h2o_socket_close(conn->sock);
        conn->sock = NULL;
    }
    JdTimer_Arm(&conn->set->loop->clock, &conn->free_timer, 0);
}

/* Closes a connection whose other side is taken for dead: what the kernel has
 * not sent yet is dropped, so that it does not arrive when the path is back.
 */
void
JdConn_Abort(JdConn *conn)
{
    struct linger now = {.l_onoff = 1, .l_linger = 0};

    conn->end = JD_CONN_SILENT;
    if (conn->sock != NULL) {
        setsockopt(h2o_socket_get_fd(conn->sock), SOL_SOCKET, SO_LINGER, &now,
                   sizeof(now));
    }
    JdConn_Close(conn);
}

/* Closes the listener and frees all connections, without calling `closed`. */
void
JdConnSet_Finish(JdConnSet *cs)
{
    JdConn *conn;

    if (cs->listener != NULL) {
        h2o_socket_close(cs->listener);
        cs->listener = NULL;
    }
    while ((conn = TAILQ_FIRST(&cs->conns)) != NULL) {
        JdConn_Close(conn);
        JdTimer_Cancel(&cs->loop->clock, &conn->free_timer);
        free_conn(conn);
    }
}

/* Closes a connection that has failed and calls `closed`. */
static void
fail_conn(JdConn *conn, JdConnEnd end)
{
    if (conn->is_closing) {
        return;
    }
    conn->end = end;
    JdConn_Close(conn);
    conn->ops->closed(conn->ctx, conn);
}

static uint32_t
decode_length(const char *p)
{
    const uint8_t *bytes = (const uint8_t *)p;

    return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
           (uint32_t)bytes[2] << 8 | bytes[3];
}

/* Returns whether a frame belongs to the tree rather than to requests. */
static bool
is_control_frame(const Jd__Frame *frame)
{
    switch (frame->body_case) {
    case JD__FRAME__BODY_REQUEST:
    case JD__FRAME__BODY_RESPONSE:
    case JD__FRAME__BODY_CANCEL:
    case JD__FRAME__BODY_PING:
    case JD__FRAME__BODY_CHUNK:
    case JD__FRAME__BODY_FINISH:
        return false;
    default:
        return true;
    }
}

/*
 * Removes the next frame from the input and passes it to the connection's
 * user.  Returns false when the frame is incomplete, or when the connection
 * has been closed.
 */
static bool
handle_next_frame(JdConn *conn)
{
    h2o_buffer_t *in = conn->sock->input;
    Jd__Frame *frame;
    uint32_t n;

    if (in->size < LENGTH_SIZE) {
        return false;
    }
    n = decode_length(in->bytes);
    if (n > JD_FRAME_MAX) {
        conn->set->counters->value[JD_C_BAD_FRAME]++;
        fail_conn(conn, JD_CONN_BAD_FRAME);
        return false;
    }
    if (in->size < LENGTH_SIZE + n) {
        return false;
    }
    frame = jd__frame__unpack(NULL, n, (uint8_t *)in->bytes + LENGTH_SIZE);
    h2o_buffer_consume(&conn->sock->input, LENGTH_SIZE + n);
    if (frame == NULL) {
        conn->set->counters->value[JD_C_BAD_FRAME]++;
        fail_conn(conn, JD_CONN_BAD_FRAME);
        return false;
    }
    if (is_control_frame(frame)) {
        conn->set->counters->value[JD_C_CONTROL_RECEIVED] += LENGTH_SIZE + n;
    }
    conn->ops->frame(conn->ctx, conn, frame);
    jd__frame__free_unpacked(frame, NULL);
    return !conn->is_closing;
}

static void
on_read(h2o_socket_t *sock, const char *err)
{
    JdConn *conn = sock->data;

    if (err != NULL) {
        fail_conn(conn, err == h2o_socket_error_closed ? JD_CONN_PEER_ENDED
                                                       : JD_CONN_RESET);
        return;
    }
    conn->last_read_at = JdClock_Now(&conn->set->loop->clock);
    while (handle_next_frame(conn)) {
    }
}

/* Writes all queued frames, unless a write is under way. */
static void
start_write(JdConn *conn)
{
    h2o_buffer_t *spare = conn->sending;
    h2o_iovec_t iov;

    if (conn->is_writing || !conn->is_open || conn->queued->size == 0) {
        return;
    }
    conn->sending = conn->queued;
    conn->queued = spare;
    iov = h2o_iovec_init(conn->sending->bytes, conn->sending->size);
    conn->is_writing = true;
    h2o_socket_write(conn->sock, &iov, 1, on_written);
}

static void
on_written(h2o_socket_t *sock, const char *err)
{
    JdConn *conn = sock->data;

    conn->is_writing = false;
    h2o_buffer_consume(&conn->sending, conn->sending->size);
    if (err != NULL) {
        fail_conn(conn, JD_CONN_RESET);
        return;
    }
    start_write(conn);
    if (!conn->is_writing && conn->ops->drained != NULL) {
        conn->ops->drained(conn->ctx, conn);
    }
}

/* Starts reading from a connection that has been established. */
static void
mark_open(JdConn *conn)
{
    int on = 1;

    setsockopt(h2o_socket_get_fd(conn->sock), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
    conn->is_open = true;
    conn->last_read_at = JdClock_Now(&conn->set->loop->clock);
    h2o_socket_read_start(conn->sock, on_read);
}

static void
on_connect(h2o_socket_t *sock, const char *err)
{
    JdConn *conn = sock->data;

    if (err != NULL) {
        fail_conn(conn, JD_CONN_NOT_OPENED);
        return;
    }
    mark_open(conn);
    conn->ops->opened(conn->ctx, conn);
    if (!conn->is_closing) {
        start_write(conn);
    }
}

static JdConn *
new_conn(JdConnSet *cs, h2o_socket_t *sock, const JdConnOps *ops, void *ctx)
{
    JdConn *conn = g_new0(JdConn, 1);

    conn->set = cs;
    conn->sock = sock;
    conn->ops = ops;
    conn->ctx = ctx;
    conn->counters = cs->counters;
    h2o_buffer_init(&conn->queued, &h2o_socket_buffer_prototype);
    h2o_buffer_init(&conn->sending, &h2o_socket_buffer_prototype);
    JdTimer_Init(&conn->free_timer, free_conn, conn);
    sock->data = conn;
    TAILQ_INSERT_TAIL(&cs->conns, conn, link);
    return conn;
}

static void
on_accept(h2o_socket_t *listener, const char *err)
{
    JdConnSet *cs = listener->data;
    h2o_socket_t *sock;

    if (err != NULL) {
        return;
    }
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
        JdConn *conn = new_conn(cs, sock, cs->accept_ops, cs->accept_ctx);

        mark_open(conn);
        conn->ops->opened(conn->ctx, conn);
    }
}

/* Accepts connections on an address. */
JdStatus
JdConnSet_Listen(JdConnSet *cs, const char *address, const JdConnOps *ops,
                 void *ctx, JdError *err)
{
    int fd;
    JdStatus s = JdListen(address, &fd, err);

    if (s != JD_OK) {
        return s;
    }
    cs->accept_ops = ops;
    cs->accept_ctx = ctx;
    cs->listener = h2o_evloop_socket_create(cs->loop->evloop, fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
    cs->listener->data = cs;
    h2o_socket_read_start(cs->listener, on_accept);
    return JD_OK;
}

/*
 * Starts to connect to an address; `opened` or `closed` is called later.
 * Returns NULL, with no call to follow, when the address is malformed or there
 * is no socket.
 */
JdConn *
JdConn_Dial(JdConnSet *cs, const char *address, const JdConnOps *ops,
            void *ctx)
{
    struct sockaddr_in sin;
    h2o_socket_t *sock;

    if (JdAddress_Parse(address, &sin, NULL) != JD_OK) {
        return NULL;
    }
    sock = h2o_socket_connect(cs->loop->evloop, (struct sockaddr *)&sin,
                              sizeof(sin), on_connect);
    if (sock == NULL) {
        return NULL;
    }
    return new_conn(cs, sock, ops, ctx);
}

/*
 * Returns whether the other side has neither closed nor reset an open
 * connection, as far as the kernel knows.  The event loop may not have
 * reported it yet, above all when several connections are reset at the same
 * moment.
 */
bool
JdConn_IsPeerOpen(const JdConn *conn)
{
    struct pollfd pfd = {.events = POLLRDHUP};

    pfd.fd = h2o_socket_get_fd(conn->sock);
    return poll(&pfd, 1, 0) <= 0 ||
           (pfd.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

/* Returns the number of bytes that are queued or being written. */
size_t
JdConn_Backlog(const JdConn *conn)
{
    return conn->queued->size + conn->sending->size;
}

/* Asks the node at the other end to close a connection when it has received
 * what it waits for, wherever the bytes are held on the way. */
static void
send_finish(JdConn *conn)
{
    Jd__Finish msg = JD__FINISH__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (conn->is_finishing) {
        return;
    }
    conn->is_finishing = true;
    frame.body_case = JD__FRAME__BODY_FINISH;
    frame.finish = &msg;
    JdConn_Send(conn, &frame);
}

/* Returns whether a response may not have been received by the node that it
 * was sent to. */
static bool
owes_response(const JdConn *conn)
{
    uint64_t now = JdClock_Now(&conn->set->loop->clock);

    if (conn->is_closing || conn->responded_at == 0) {
        return false;
    }
    return JdConn_Backlog(conn) > 0 || JdSocket_Unacked(conn->sock) > 0 ||
           now - conn->responded_at < RECEIPT_TIMEOUT;
}

/* Has the connections on which responses were sent closed by the other nodes.
 * Requests that are on their way meanwhile are answered.  Returns whether all
 * responses have been received; to be called again until then. */
bool
JdConnSet_FinishResponses(JdConnSet *cs)
{
    bool is_finished = true;
    JdConn *conn;

    TAILQ_FOREACH(conn, &cs->conns, link)
    {
        if (owes_response(conn)) {
            send_finish(conn);
            is_finished = false;
        }
    }
    return is_finished;
}

/* Charges a frame to the bandwidth of the link. */
static void
charge_link(JdPacer *pc, const Jd__Frame *frame, size_t bytes)
{
    if (pc == NULL) {
        return;
    }
    if (frame->body_case == JD__FRAME__BODY_CHUNK) {
        JdPacer_ChargeChunk(pc, bytes);
    }
    else {
        JdPacer_ChargeSmall(pc, bytes);
    }
}

/*
 * Queues a frame, and returns its size on the wire in bytes.  On a connection
 * that is closing, the frame is dropped and 0 is returned.
 */
size_t
JdConn_Send(JdConn *conn, const Jd__Frame *frame)
{
    size_t n = jd__frame__get_packed_size(frame);
    h2o_iovec_t dest;

    if (conn->is_closing) {
        return 0;
    }
    dest = h2o_buffer_reserve(&conn->queued, LENGTH_SIZE + n);
    dest.base[0] = (char)(n >> 24);
    dest.base[1] = (char)(n >> 16);
    dest.base[2] = (char)(n >> 8);
    dest.base[3] = (char)n;
    jd__frame__pack(frame, (uint8_t *)dest.base + LENGTH_SIZE);
    conn->queued->size += LENGTH_SIZE + n;
    if (frame->body_case == JD__FRAME__BODY_RESPONSE ||
        frame->body_case == JD__FRAME__BODY_CHUNK) {
        conn->responded_at = JdClock_Now(&conn->set->loop->clock);
    }
    charge_link(conn->set->pacer, frame, LENGTH_SIZE + n);
    if (is_control_frame(frame)) {
        conn->counters->value[JD_C_CONTROL_SENT] += LENGTH_SIZE + n;
        if (conn->is_cross_region) {
            conn->counters->value[JD_C_CONTROL_REGION_SENT] += LENGTH_SIZE + n;
        }
    }
    start_write(conn);
    return LENGTH_SIZE + n;
}

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

#define LENGTH_SIZE JD_FRAME_LENGTH_SIZE
/* Bytes of one read, reads in one round of the loop, and bytes of a read of a
 * large frame. */
#define READ_BYTES (64U << 10)
#define MAX_READS 8
#define LARGE_READ_BYTES (1U << 20)
/* Time without a byte of a frame after which the other node is taken for dead.
 */
#define FRAME_STALL_TIMEOUT (10 * JD_US_PER_S)
/* Time after the last response in which the other node closes a connection
 * that it was asked to close, if it lives. */
#define RECEIPT_TIMEOUT (3 * JD_US_PER_S)
/* Time without input after which a connection that has never carried a frame
 * is closed for a new one.  Nodes send at once, or ask after each other. */
#define FIRST_FRAME_PATIENCE (2 * JD_US_PER_S)

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

/* Initializes an empty set of connections, whose frames are charged to `mm`.
 */
void
JdConnSet_Init(JdConnSet *cs, JdLoop *lp, JdMemory *mm, JdCounters *ctr)
{
    memset(cs, 0, sizeof(*cs));
    TAILQ_INIT(&cs->conns);
    cs->loop = lp;
    cs->memory = mm;
    cs->counters = ctr;
}

static void
free_conn(void *ctx)
{
    JdConn *conn = ctx;

    TAILQ_REMOVE(&conn->set->conns, conn, link);
    g_byte_array_unref(conn->input);
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
    JdOutput_Finish(&conn->output);
    JdBody_Unref(conn->large);
    conn->large = NULL;
    JdMemory_Give(conn->set->memory, conn->charged);
    conn->charged = 0;
    JdTimer_Cancel(&conn->set->loop->clock, &conn->stall_timer);
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

    JdAcceptor_Finish(&cs->acceptor);
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

static void
fail_bad_frame(JdConn *conn)
{
    conn->set->counters->value[JD_C_BAD_FRAME]++;
    fail_conn(conn, JD_CONN_BAD_FRAME);
}

/* Passes a frame of `n` bytes to the connection's user. */
static void
handle_frame(JdConn *conn, Jd__Frame *frame, size_t n)
{
    if (frame == NULL) {
        fail_bad_frame(conn);
        return;
    }
    if (is_control_frame(frame)) {
        conn->set->counters->value[JD_C_CONTROL_RECEIVED] += LENGTH_SIZE + n;
    }
    conn->has_frame = true;
    conn->ops->frame(conn->ctx, conn, frame);
    jd__frame__free_unpacked(frame, NULL);
}

/* ---- large frames ------------------------------------------------------- */

/* Returns whether the frame belongs to requests, so that others can go on
 * without it. */
static bool
may_drop(const JdFrameHead *head)
{
    return head->kind == JD__FRAME__BODY_REQUEST ||
           head->kind == JD__FRAME__BODY_RESPONSE ||
           head->kind == JD__FRAME__BODY_CHUNK;
}

/* Begins to receive a large frame of `n` bytes, of which `input` has the
 * start, or to skip it. */
static void
begin_large(JdConn *conn, const uint8_t *start, size_t len, size_t n)
{
    JdMemory *mm = conn->set->memory;
    JdBody *b = JdBody_New(mm);
    JdFrameHead head;

    JdFrameHead_Parse(start, len, &head);
    if (JdBody_Reserve(b, may_drop(&head) ? JD_MEMORY_LARGE : JD_MEMORY_FIRST,
                       n)) {
        conn->large = b;
        conn->large_len = n;
        JdBody_Append(b, start, len);
        JdTimer_Arm(&conn->set->loop->clock, &conn->stall_timer,
                    FRAME_STALL_TIMEOUT);
        return;
    }
    JdBody_Unref(b);
    conn->set->counters->value[JD_C_FRAMES_DROPPED]++;
    if (!may_drop(&head)) {
        fail_conn(conn, JD_CONN_CLOSED);
        return;
    }
    conn->skipped = n - len;
    if (conn->ops->dropped != NULL) {
        conn->ops->dropped(conn->ctx, conn, &head);
    }
}

/* A large frame is complete. */
static void
finish_large(JdConn *conn)
{
    JdBody *b = conn->large;
    Jd__Frame *frame;
    bool has_body;

    conn->large = NULL;
    JdTimer_Cancel(&conn->set->loop->clock, &conn->stall_timer);
    frame = JdFrameBody_Unpack(b, &has_body);
    conn->body = has_body ? b : NULL;
    handle_frame(conn, frame, conn->large_len);
    conn->body = NULL;
    JdBody_Unref(b);
}

static void
on_frame_stalled(void *ctx)
{
    fail_conn(ctx, JD_CONN_SILENT);
}

/* ---- input -------------------------------------------------------------- */

/* Handles the next frame in data[0..n).  Returns the number of bytes that are
 * done with; 0: the frame is incomplete. */
static size_t
handle_next_frame(JdConn *conn, const uint8_t *data, size_t n)
{
    size_t len;

    if (n < LENGTH_SIZE) {
        return 0;
    }
    len = decode_length((const char *)data);
    if (len > JD_FRAME_MAX) {
        fail_bad_frame(conn);
        return n;
    }
    data += LENGTH_SIZE;
    n -= LENGTH_SIZE;
    if (n >= len) {
        handle_frame(conn, jd__frame__unpack(NULL, len, data), len);
        return LENGTH_SIZE + len;
    }
    if (len > JD_LARGE_BYTES && n >= JD_FRAME_HEAD_MAX) {
        begin_large(conn, data, n, len);
        return LENGTH_SIZE + n;
    }
    return 0;
}

/* Handles the frames in data[0..n) and returns the number of bytes that are
 * done with. */
static size_t
handle_frames(JdConn *conn, const uint8_t *data, size_t n)
{
    size_t pos = 0;

    while (!conn->is_closing && pos < n) {
        size_t done;

        if (conn->skipped > 0) {
            done = MIN(conn->skipped, n - pos);
            conn->skipped -= done;
        }
        else {
            done = handle_next_frame(conn, data + pos, n - pos);
        }
        if (done == 0) {
            break;
        }
        pos += done;
    }
    return pos;
}

/* Takes room for the start of a frame.  A connection that has carried frames
 * gets it in any case. */
static bool
charge_input(JdConn *conn, size_t n)
{
    JdMemory *mm = conn->set->memory;

    if (n <= conn->charged) {
        JdMemory_Give(mm, conn->charged - n);
    }
    else if (conn->has_frame) {
        JdMemory_TakeAnyway(mm, n - conn->charged);
    }
    else if (!JdMemory_Take(mm, JD_MEMORY_FOLLOWING, n - conn->charged)) {
        return false;
    }
    conn->charged = n;
    return true;
}

/* Charges what is kept of an incomplete frame, and waits for the rest of it.
 */
static void
await_rest(JdConn *conn)
{
    JdClock *clk = &conn->set->loop->clock;

    if (conn->is_closing) {
        return;
    }
    if (!charge_input(conn, conn->input->len)) {
        conn->set->counters->value[JD_C_CLOSED_OTHER]++;
        fail_conn(conn, JD_CONN_CLOSED);
    }
    else if (conn->input->len > 0) {
        JdTimer_Arm(clk, &conn->stall_timer, FRAME_STALL_TIMEOUT);
    }
    else if (conn->large == NULL) {
        JdTimer_Cancel(clk, &conn->stall_timer);
    }
}

/* Handles bytes that were read, and keeps those of an incomplete frame. */
static void
take_input(JdConn *conn, const uint8_t *data, size_t n)
{
    size_t done;

    if (conn->input->len > 0) {
        g_byte_array_append(conn->input, data, (guint)n);
        done = handle_frames(conn, conn->input->data, conn->input->len);
        g_byte_array_remove_range(conn->input, 0,
                                  (guint)MIN(done, conn->input->len));
        if (conn->input->len == 0) {
            g_byte_array_unref(conn->input);
            conn->input = g_byte_array_new();
        }
    }
    else {
        done = handle_frames(conn, data, n);
        if (done < n) {
            g_byte_array_append(conn->input, data + done, (guint)(n - done));
        }
    }
    if (conn->input->len > 0 || conn->charged > 0) {
        await_rest(conn);
    }
}

/* Reads once.  Returns a negative value as JdSocket_Read does, or whether more
 * may be there to read. */
static ssize_t
read_once(JdConn *conn)
{
    static uint8_t buf[READ_BYTES];
    JdBody *b = conn->large;
    size_t size = sizeof(buf);
    uint8_t *to = buf;
    ssize_t n;

    if (b != NULL) {
        to = b->data + b->len;
        size = MIN(conn->large_len - b->len, LARGE_READ_BYTES);
    }
    n = JdSocket_Read(conn->sock, to, size);
    if (n < 0) {
        return n;
    }
    conn->last_read_at = JdClock_Now(&conn->set->loop->clock);
    if (b == NULL) {
        take_input(conn, buf, (size_t)n);
        return (size_t)n == size;
    }
    b->len += (size_t)n;
    JdTimer_Arm(&conn->set->loop->clock, &conn->stall_timer,
                FRAME_STALL_TIMEOUT);
    if (b->len == conn->large_len) {
        finish_large(conn);
    }
    return 1;
}

static void
on_read(h2o_socket_t *sock, const char *err)
{
    JdConn *conn = sock->data;

    (void)err;
    for (int i = 0; i < MAX_READS && !conn->is_closing; i++) {
        ssize_t n = read_once(conn);

        if (n == JD_READ_CLOSED || n == JD_READ_RESET) {
            fail_conn(conn, n == JD_READ_CLOSED ? JD_CONN_PEER_ENDED
                                                : JD_CONN_RESET);
            return;
        }
        if (n <= 0) {
            return;
        }
    }
}

/* ---- output ------------------------------------------------------------- */

/* Writes all queued frames, unless a write is under way. */
static void
start_write(JdConn *conn)
{
    if (conn->is_open) {
        JdOutput_Write(&conn->output, conn->sock, on_written);
    }
}

static void
on_written(h2o_socket_t *sock, const char *err)
{
    JdConn *conn = sock->data;

    JdOutput_Written(&conn->output);
    if (err != NULL) {
        fail_conn(conn, JD_CONN_RESET);
        return;
    }
    start_write(conn);
    if (conn->output.size == 0 && conn->ops->drained != NULL) {
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
    h2o_socket_dont_read(conn->sock, 1);
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
    JdOutput_Init(&conn->output, cs->memory);
    conn->input = g_byte_array_new();
    JdTimer_Init(&conn->free_timer, free_conn, conn);
    JdTimer_Init(&conn->stall_timer, on_frame_stalled, conn);
    sock->data = conn;
    TAILQ_INSERT_TAIL(&cs->conns, conn, link);
    return conn;
}

static void
on_accepted(void *ctx, h2o_socket_t *sock)
{
    JdConnSet *cs = ctx;
    JdConn *conn = new_conn(cs, sock, cs->accept_ops, cs->accept_ctx);

    conn->is_accepted = true;
    mark_open(conn);
    conn->ops->opened(conn->ctx, conn);
}

/* Returns whether nothing shows that a node is at the other end. */
static bool
may_be_no_node(const JdConn *conn)
{
    uint64_t now = JdClock_Now(&conn->set->loop->clock);

    return conn->is_open && !conn->has_frame && conn->large == NULL &&
           now - conn->last_read_at >= FIRST_FRAME_PATIENCE;
}

/* Closes a connection that was accepted and on which no frame has come.
 * Returns false if there is none. */
static bool
make_room(void *ctx)
{
    JdConnSet *cs = ctx;
    JdConn *conn;

    TAILQ_FOREACH(conn, &cs->conns, link)
    {
        if (conn->is_accepted && may_be_no_node(conn)) {
            cs->counters->value[JD_C_CLOSED_OTHER]++;
            fail_conn(conn, JD_CONN_SILENT);
            return true;
        }
    }
    return false;
}

static const JdAcceptorOps acceptor_ops = {.accepted = on_accepted,
                                           .make_room = make_room};

/* Accepts connections on an address. */
JdStatus
JdConnSet_Listen(JdConnSet *cs, const char *address, const JdConnOps *ops,
                 void *ctx, JdError *err)
{
    cs->accept_ops = ops;
    cs->accept_ctx = ctx;
    return JdAcceptor_Init(&cs->acceptor, cs->loop, address, &acceptor_ops, cs,
                           err);
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
    return conn->output.size;
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

/* Records that a frame of `n` bytes was queued, and has it written. */
static void
finish_send(JdConn *conn, const Jd__Frame *frame, size_t n)
{
    if (frame->body_case == JD__FRAME__BODY_RESPONSE ||
        frame->body_case == JD__FRAME__BODY_CHUNK) {
        conn->responded_at = JdClock_Now(&conn->set->loop->clock);
    }
    charge_link(conn->set->pacer, frame, n);
    if (is_control_frame(frame)) {
        conn->counters->value[JD_C_CONTROL_SENT] += n;
        if (conn->is_cross_region) {
            conn->counters->value[JD_C_CONTROL_REGION_SENT] += n;
        }
    }
    start_write(conn);
}

/*
 * Queues a frame, and returns its size on the wire in bytes.  On a connection
 * that is closing, the frame is dropped and 0 is returned.
 */
size_t
JdConn_Send(JdConn *conn, const Jd__Frame *frame)
{
    size_t n = jd__frame__get_packed_size(frame);
    uint8_t *buf;

    if (conn->is_closing) {
        return 0;
    }
    buf = g_malloc(LENGTH_SIZE + n);
    JdFrame_PutLength(buf, n);
    jd__frame__pack(frame, buf + LENGTH_SIZE);
    JdOutput_Append(&conn->output, buf, LENGTH_SIZE + n);
    g_free(buf);
    finish_send(conn, frame, LENGTH_SIZE + n);
    return LENGTH_SIZE + n;
}

/* The same for a frame with a request or response, whose body is `body`.  A
 * large one is not copied, and gets a reference. */
size_t
JdConn_SendBody(JdConn *conn, const Jd__Frame *frame, JdBody *body)
{
    GByteArray *head;
    size_t n;

    if (body == NULL || body->len <= JD_LARGE_BYTES) {
        return JdConn_Send(conn, frame);
    }
    if (conn->is_closing) {
        return 0;
    }
    head = JdFrameBody_Pack(frame, body->len);
    n = head->len + body->len;
    JdOutput_Append(&conn->output, head->data, head->len);
    JdOutput_AppendBody(&conn->output, body);
    g_byte_array_unref(head);
    finish_send(conn, frame, n);
    return n;
}

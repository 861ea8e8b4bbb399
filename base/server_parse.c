/*
 * Requests of callers: reads and parses them.  A connection is not read while
 * it has many unanswered requests, or much that its caller does not take.  One
 * that sends on behind requests that are refused gets fewer taken, so that it
 * does not crowd out those that wait for their answers.
 */
#include <string.h>

#include <glib.h>

#include "server_conn.h"

/* Limit of the target and headers of a request, in bytes. */
#define MAX_HEAD_BYTES 65536
/* Room that a request takes beside its head and body: what the process holds
 * until it is answered. */
#define EXCHANGE_BYTES (8U << 10)
/* Room for a head is taken in steps of this size. */
#define HEAD_STEP_BYTES (4U << 10)
/* Bytes of one read, and reads of a connection in one round of the loop. */
#define READ_BYTES (32U << 10)
#define MAX_READS 8
/* Pause of a connection that sends on behind a refused request. */
#define REFUSAL_PAUSE (100 * JD_US_PER_MS)
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503
/* Bytes that are read and discarded on a connection that takes no more
 * requests. */
#define MAX_DISCARDED (1U << 20)

static JdServerExchange *
partial_exchange(http_parser *hp)
{
    return ((JdServerConn *)hp->data)->partial;
}

/* Marks the request that is being received as not taken, and ends parsing. */
static int
refuse(http_parser *hp, JdServerRejection why)
{
    partial_exchange(hp)->rejection = why;
    return -1;
}

/* ---- head -------------------------------------------------------------- */

JdServerExchange *
JdServerConn_StartExchange(JdServerConn *cn)
{
    JdServerExchange *ex = g_new0(JdServerExchange, 1);

    ex->conn = cn;
    ex->began_at = JdClock_Now(&cn->server->loop->clock);
    ex->charged = EXCHANGE_BYTES;
    JdMemory_TakeAnyway(cn->server->memory, ex->charged);
    JdHeaders_Init(&ex->headers);
    ex->request.body = JdBody_New(cn->server->memory);
    cn->partial = ex;
    return ex;
}

static JdMemoryClass
class_of_conn(const JdServerConn *cn)
{
    return cn->pending_count > 0 ? JD_MEMORY_FOLLOWING : JD_MEMORY_FIRST;
}

static int
begin_message(http_parser *hp)
{
    JdServerConn *cn = hp->data;
    bool has_room =
        JdServerRoom_Take(cn->server, class_of_conn(cn), EXCHANGE_BYTES);

    if (has_room) {
        JdMemory_Give(cn->server->memory, EXCHANGE_BYTES);
    }
    JdServerConn_StartExchange(cn);
    return has_room ? 0 : refuse(hp, JD_SERVER_NO_ROOM);
}

/* Takes room for `n` more bytes of a head.  Returns 0, or -1 if the request is
 * not taken. */
static int
grow_head(http_parser *hp, size_t n)
{
    JdServerExchange *ex = partial_exchange(hp);
    size_t len = ex->headers.buffer->len + n;

    if (len > MAX_HEAD_BYTES) {
        return refuse(hp, JD_SERVER_TOO_LARGE);
    }
    while (ex->charged < EXCHANGE_BYTES + len) {
        if (!JdServerRoom_Take(ex->conn->server, class_of_conn(ex->conn),
                               HEAD_STEP_BYTES)) {
            return refuse(hp, JD_SERVER_NO_ROOM);
        }
        ex->charged += HEAD_STEP_BYTES;
    }
    return 0;
}

static int
on_url(http_parser *hp, const char *data, size_t n)
{
    JdServerExchange *ex = partial_exchange(hp);

    if (grow_head(hp, n) != 0) {
        return -1;
    }
    ex->url_len += n;
    g_byte_array_append(ex->headers.buffer, (const guint8 *)data, (guint)n);
    return 0;
}

static int
append_header_name(http_parser *hp, const char *data, size_t n)
{
    JdServerExchange *ex = partial_exchange(hp);

    if (grow_head(hp, n) != 0) {
        return -1;
    }
    if (!JdHeaders_AppendName(&ex->headers, data, n)) {
        return refuse(hp, JD_SERVER_TOO_LARGE);
    }
    return 0;
}

static int
append_header_value(http_parser *hp, const char *data, size_t n)
{
    if (grow_head(hp, n) != 0) {
        return -1;
    }
    JdHeaders_AppendValue(&partial_exchange(hp)->headers, data, n);
    return 0;
}

/* Takes room for a body whose length is known, before any of it is read. */
static int
reserve_body(http_parser *hp)
{
    JdServerExchange *ex = partial_exchange(hp);
    JdServer *sv = ex->conn->server;
    uint64_t n = hp->content_length;

    if (n == ULLONG_MAX || n == 0) {
        return 0;
    }
    if (n > sv->max_body ||
        n > JdMemory_ClassLimit(sv->memory, JdMemory_ClassOf((size_t)n))) {
        return refuse(hp, JD_SERVER_TOO_LARGE);
    }
    if (!JdServerRoom_ReserveBody(sv, ex, (size_t)n)) {
        return refuse(hp, JD_SERVER_NO_ROOM);
    }
    return 0;
}

/* Tells a caller that waits for it to send the body. */
static void
expect_body(JdServerExchange *ex)
{
    static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

    if (JdServer_FindHeader(&ex->request, "expect") != NULL &&
        ex->conn->pending_count == 0) {
        JdOutput_Append(&ex->conn->output, text, sizeof(text) - 1);
        JdServerConn_SendResponses(ex->conn);
    }
}

static bool
may_be_large(const http_parser *hp)
{
    return (hp->flags & F_CHUNKED) != 0 ||
           (hp->content_length != ULLONG_MAX &&
            hp->content_length > JD_LARGE_BYTES);
}

/* Sets the pointers into the header buffer, which no longer changes. */
static int
finish_headers(http_parser *hp)
{
    JdServerExchange *ex = partial_exchange(hp);
    JdServer *sv = ex->conn->server;

    ex->has_head = true;
    ex->request.method = http_method_str((enum http_method)hp->method);
    ex->request.path = (const char *)ex->headers.buffer->data;
    ex->request.path_len = ex->url_len;
    ex->request.header_count =
        JdHeaders_Complete(&ex->headers, ex->request.header);
    if (!JdHttpHeader_AreValid(ex->request.header, ex->request.header_count)) {
        return refuse(hp, JD_SERVER_MALFORMED);
    }
    if (sv->ops->time_limit != NULL && may_be_large(hp)) {
        ex->useful_until =
            ex->began_at + sv->ops->time_limit(sv->ctx, &ex->request);
    }
    if (reserve_body(hp) != 0) {
        return -1;
    }
    expect_body(ex);
    return 0;
}

/* ---- body -------------------------------------------------------------- */

static int
on_body(http_parser *hp, const char *data, size_t n)
{
    JdServerExchange *ex = partial_exchange(hp);
    JdServer *sv = ex->conn->server;
    size_t len = ex->request.body->len + n;

    if (len > sv->max_body ||
        len > JdMemory_ClassLimit(sv->memory, JdMemory_ClassOf(len))) {
        return refuse(hp, JD_SERVER_TOO_LARGE);
    }
    if (!JdBody_Append(ex->request.body, data, n) &&
        (!JdServerRoom_ReserveBody(sv, ex, len) ||
         !JdBody_Append(ex->request.body, data, n))) {
        return refuse(hp, JD_SERVER_NO_ROOM);
    }
    return 0;
}

static int
finish_message(http_parser *hp)
{
    JdServerExchange *ex = partial_exchange(hp);

    ex->keeps_alive = http_should_keep_alive(hp) != 0;
    ex->is_complete = true;
    /* parse() dispatches it, since the handler may reply at once and the
     * parser must not be reentered. */
    http_parser_pause(hp, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = begin_message,
    .on_url = on_url,
    .on_header_field = append_header_name,
    .on_header_value = append_header_value,
    .on_headers_complete = finish_headers,
    .on_body = on_body,
    .on_message_complete = finish_message,
};

void
JdServerConn_InitParser(JdServerConn *cn)
{
    http_parser_init(&cn->parser, HTTP_REQUEST);
    cn->parser.data = cn;
    cn->window = MAX_PENDING;
}

/* ---- input ------------------------------------------------------------- */

static void
dispatch_request(JdServerConn *cn)
{
    JdServer *sv = cn->server;
    JdServerExchange *ex = cn->partial;

    cn->partial = NULL;
    TAILQ_INSERT_TAIL(&cn->pending, ex, link);
    cn->pending_count++;
    if (!ex->keeps_alive) {
        JdServerConn_StopTakingRequests(cn);
    }
    sv->ops->request(sv->ctx, &ex->request);
}

/* Adapts the number of a connection's requests that are taken to the status of
 * a response: one at a time, after a pause, where a request was refused and
 * others wait behind it, and twice as many after each answer. */
void
JdServerConn_AdaptWindow(JdServerConn *cn, int status)
{
    bool is_refusal =
        status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS;

    if (!is_refusal) {
        cn->window = MIN(cn->window * 2, MAX_PENDING);
        return;
    }
    if (cn->pending_count > 1 || cn->input != NULL || cn->is_paused) {
        cn->window = 1;
        cn->held_until = JdClock_Now(&cn->server->loop->clock) + REFUSAL_PAUSE;
    }
}

/* Returns whether more of a connection's requests are taken now.  If not, one
 * of its responses, or that its caller takes them, changes that. */
static bool
takes_more(const JdServerConn *cn)
{
    if (cn->pending_count >= cn->window || cn->output.size >= MAX_OUTPUT) {
        return false;
    }
    if (cn->held_until > JdClock_Now(&cn->server->loop->clock)) {
        return false;
    }
    return cn->partial != NULL || cn->pending_count == 0 ||
           JdMemory_Room(cn->server->memory, JD_MEMORY_FOLLOWING) >=
               EXCHANGE_BYTES;
}

/* Parses bytes and dispatches the requests.  Returns the number of bytes that
 * are done with. */
static size_t
parse(JdServerConn *cn, const char *data, size_t n)
{
    size_t pos = 0;

    cn->is_parsing = true;
    while (cn->state == CONN_OPEN && pos < n && takes_more(cn)) {
        pos += http_parser_execute(&cn->parser, &parser_settings, data + pos,
                                   n - pos);
        if (cn->partial != NULL && cn->partial->is_complete) {
            http_parser_pause(&cn->parser, 0);
            dispatch_request(cn);
        }
        else if (cn->partial != NULL &&
                 cn->partial->rejection != JD_SERVER_NOT_REJECTED) {
            JdServerConn_Reject(cn, cn->partial->rejection);
        }
        else if (HTTP_PARSER_ERRNO(&cn->parser) != HPE_OK) {
            JdServerConn_Reject(cn, JD_SERVER_MALFORMED);
        }
    }
    cn->is_parsing = false;
    return cn->state == CONN_OPEN ? pos : n;
}

/* Keeps bytes that are not parsed yet.  Without room for them the connection
 * takes no more requests: the caller sends them again on another one. */
static void
keep_input(JdServerConn *cn, const char *data, size_t n)
{
    if (!JdMemory_Take(cn->server->memory, JD_MEMORY_FOLLOWING, n)) {
        JdServer_CountShed(cn->server, JD_SERVER_SHED_FOLLOWING);
        JdServerConn_StopTakingRequests(cn);
        return;
    }
    cn->input = g_byte_array_new();
    g_byte_array_append(cn->input, (const guint8 *)data, (guint)n);
}

static void
take_input(JdServerConn *cn, const char *data, size_t n)
{
    size_t done;

    cn->read_at = JdClock_Now(&cn->server->loop->clock);
    TAILQ_REMOVE(&cn->server->conns, cn, link);
    TAILQ_INSERT_TAIL(&cn->server->conns, cn, link);
    if (cn->state != CONN_OPEN) {
        cn->discarded += n;
        return;
    }
    done = parse(cn, data, n);
    if (done < n) {
        keep_input(cn, data + done, n - done);
    }
}

/* Goes on with what was kept, where a connection takes requests again. */
void
JdServerConn_Resume(JdServerConn *cn)
{
    if (cn->is_parsing || cn->state == CONN_CLOSED) {
        return;
    }
    if (cn->input != NULL && cn->state == CONN_OPEN && takes_more(cn)) {
        GByteArray *input = cn->input;
        size_t done;

        cn->input = NULL;
        JdMemory_Give(cn->server->memory, input->len);
        done = parse(cn, (const char *)input->data, input->len);
        if (done < input->len) {
            keep_input(cn, (const char *)input->data + done,
                       input->len - done);
        }
        g_byte_array_unref(input);
    }
    if (cn->state == CONN_FLUSHING) {
        JdServerConn_SendResponses(cn);
    }
    JdServerConn_UpdateReading(cn);
    JdServerConn_ArmTimer(cn);
}

static void
on_read(h2o_socket_t *sock, const char *err)
{
    static char buf[READ_BYTES];
    JdServerConn *cn = sock->data;

    for (int i = 0; i < MAX_READS; i++) {
        ssize_t n = JdSocket_Read(sock, buf, sizeof(buf));

        if (n == JD_READ_AGAIN) {
            break;
        }
        if (n < 0 || err != NULL) {
            /* A caller that closes only its sending side counts as
             * disconnected too. */
            JdServerConn_Close(cn);
            return;
        }
        take_input(cn, buf, (size_t)n);
        JdServerConn_UpdateReading(cn);
        if (cn->state == CONN_CLOSED || cn->is_paused ||
            (size_t)n < sizeof(buf)) {
            break;
        }
    }
    JdServerConn_Resume(cn);
}

static bool
wants_input(const JdServerConn *cn)
{
    return cn->state == CONN_OPEN ? cn->input == NULL && takes_more(cn)
                                  : cn->discarded <= MAX_DISCARDED;
}

/* Reads from a connection, or not.  While it is not read it is watched, so
 * that a caller that leaves is noticed. */
void
JdServerConn_UpdateReading(JdServerConn *cn)
{
    bool pauses;

    if (cn->state == CONN_CLOSED) {
        return;
    }
    pauses = !wants_input(cn);
    if (pauses == cn->is_paused) {
        return;
    }
    cn->is_paused = pauses;
    if (pauses) {
        h2o_socket_read_stop(cn->sock);
        JdServerRoom_Watch(cn);
    }
    else {
        JdServerRoom_Unwatch(cn);
        h2o_socket_read_start(cn->sock, on_read);
    }
}

/* Starts to read from a new connection. */
void
JdServerConn_StartReading(JdServerConn *cn)
{
    h2o_socket_dont_read(cn->sock, 1);
    h2o_socket_read_start(cn->sock, on_read);
}

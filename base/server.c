/*
 * HTTP/1.1 server for callers.  Pipelined requests are passed to the handler
 * as they arrive, and the responses are sent in the order of the requests.
 * The server keeps reading while requests are pending, so that it notices when
 * a caller disconnects before its requests are answered.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "base.h"

/* Limit of unanswered requests per connection. */
#define MAX_PENDING 64
/* Limit of the target and headers of a request, in bytes. */
#define MAX_HEAD_BYTES 65536
/* Idle connections are closed after this time, which is longer than callers
 * keep theirs. */
#define IDLE_TIMEOUT (75 * JD_US_PER_S)
/* Time that a caller has to close after the last response was sent. */
#define LINGER_TIMEOUT JD_US_PER_S
/* Time in which a caller has to take bytes of a response that it has not
 * received. */
#define STALL_TIMEOUT (5 * JD_US_PER_S)

typedef enum ConnState {
    CONN_OPEN,
    CONN_FLUSHING, /* takes no more requests, sends pending responses */
    CONN_LINGER,   /* all is sent; waits for the caller to close */
    CONN_CLOSED,   /* freed in the next round of the loop */
    CONN_STATE_MAX
} ConnState;

struct JdServerConn {
    TAILQ_ENTRY(JdServerConn) link;
    JdServer *server;
    h2o_socket_t *sock;
    http_parser parser;
    JdServerExchange *partial; /* request being received, or NULL */
    /* Complete requests in order of arrival. */
    TAILQ_HEAD(PendingHead, JdServerExchange) pending;
    unsigned pending_count;
    ConnState state;
    h2o_buffer_t *queued;  /* to be written after `sending` */
    h2o_buffer_t *sending; /* write in progress */
    bool is_writing;
    bool owes_tail;  /* lingers, and the caller had not received all then */
    uint64_t taken;  /* bytes that it had received at the last timeout */
    bool is_parsing; /* parse_input is running; guards against recursion */
    JdTimer timer;   /* idle timeout, linger timeout, or free_conn */
};

/* A request and its response. */
struct JdServerExchange {
    TAILQ_ENTRY(JdServerExchange) link;
    JdServerConn *conn;
    JdHeaders headers; /* its buffer begins with the request target */
    size_t url_len;
    bool is_too_large;
    bool is_complete;
    bool keeps_alive;
    GByteArray *response;    /* headers and body; NULL: not answered yet */
    JdServerRequest request; /* what the handler sees */
};

static void send_responses(JdServerConn *cn);
static void parse_input(JdServerConn *cn);

/* ---- cleanup ----------------------------------------------------------- */

static void
free_exchange(JdServerExchange *ex)
{
    JdHeaders_Finish(&ex->headers);
    g_byte_array_unref(ex->request.body);
    if (ex->response != NULL) {
        g_byte_array_unref(ex->response);
    }
    g_free(ex);
}

static void
free_conn(void *ctx)
{
    JdServerConn *cn = ctx;

    TAILQ_REMOVE(&cn->server->conns, cn, link);
    h2o_buffer_dispose(&cn->queued);
    h2o_buffer_dispose(&cn->sending);
    g_free(cn);
}

/*
 * Closes a connection and reports to the handler of each unanswered request
 * that the caller disconnected.  The memory is freed in the next round of the
 * loop, since functions up the call stack may still use it.
 */
static void
close_conn(JdServerConn *cn)
{
    JdServer *sv = cn->server;
    JdServerExchange *ex;

    if (cn->state == CONN_CLOSED) {
        return;
    }
    cn->state = CONN_CLOSED;
    h2o_socket_close(cn->sock);
    cn->sock = NULL;
    if (cn->partial != NULL) {
        free_exchange(cn->partial);
        cn->partial = NULL;
    }
    while ((ex = TAILQ_FIRST(&cn->pending)) != NULL) {
        TAILQ_REMOVE(&cn->pending, ex, link);
        if (ex->response == NULL) {
            sv->ops->disconnected(sv->ctx, &ex->request);
        }
        free_exchange(ex);
    }
    cn->pending_count = 0;
    cn->timer.fire = free_conn;
    JdTimer_Arm(&sv->loop->clock, &cn->timer, 0);
}

/* Returns whether bytes of responses are still on their way to the caller. */
static bool
owes_bytes(const JdServerConn *cn)
{
    switch (cn->state) {
    case CONN_CLOSED:
        return false;
    case CONN_LINGER:
        return cn->owes_tail && JdSocket_Unacked(cn->sock) > 0;
    default:
        return cn->pending_count > 0 || cn->queued->size > 0 ||
               cn->is_writing || JdSocket_Unacked(cn->sock) > 0;
    }
}

/* Returns whether the caller has received bytes since this was asked last. */
static bool
has_taken_bytes(JdServerConn *cn)
{
    uint64_t taken = JdSocket_Acked(cn->sock);
    bool has_taken = taken != cn->taken;

    cn->taken = taken;
    return has_taken;
}

/* Closes the connection, unless a request waits for its response or the caller
 * is still receiving one. */
static void
on_timeout(void *ctx)
{
    JdServerConn *cn = ctx;
    uint64_t timeout = cn->state == CONN_LINGER ? STALL_TIMEOUT : IDLE_TIMEOUT;

    if (cn->pending_count > 0 || (owes_bytes(cn) && has_taken_bytes(cn))) {
        JdTimer_Arm(&cn->server->loop->clock, &cn->timer, timeout);
        return;
    }
    close_conn(cn);
}

/* ---- responses --------------------------------------------------------- */

/*
 * Closes the sending side after the last response and waits for the caller to
 * close.  Closing with unread bytes in the socket would reset the connection,
 * and the caller could lose responses that are still in transit.
 */
static void
start_linger(JdServerConn *cn)
{
    cn->owes_tail = JdSocket_Unacked(cn->sock) > 0;
    cn->state = CONN_LINGER;
    shutdown(h2o_socket_get_fd(cn->sock), SHUT_WR);
    JdTimer_Arm(&cn->server->loop->clock, &cn->timer, LINGER_TIMEOUT);
}

static void
on_written(h2o_socket_t *sock, const char *err)
{
    JdServerConn *cn = sock->data;

    cn->is_writing = false;
    h2o_buffer_consume(&cn->sending, cn->sending->size);
    if (err != NULL) {
        close_conn(cn);
        return;
    }
    send_responses(cn);
}

static void
start_write(JdServerConn *cn)
{
    h2o_buffer_t *b = cn->sending;
    h2o_iovec_t iov;

    cn->sending = cn->queued;
    cn->queued = b;
    iov = h2o_iovec_init(cn->sending->bytes, cn->sending->size);
    cn->is_writing = true;
    h2o_socket_write(cn->sock, &iov, 1, on_written);
}

static void
queue_output(JdServerConn *cn, const void *data, size_t n)
{
    h2o_iovec_t room = h2o_buffer_reserve(&cn->queued, n);

    memcpy(room.base, data, n);
    cn->queued->size += n;
}

/* Sends responses up to the first request that is not answered yet. */
static void
send_responses(JdServerConn *cn)
{
    JdServerExchange *ex;

    if (cn->state == CONN_CLOSED || cn->state == CONN_LINGER) {
        return;
    }
    while ((ex = TAILQ_FIRST(&cn->pending)) != NULL && ex->response != NULL) {
        queue_output(cn, ex->response->data, ex->response->len);
        TAILQ_REMOVE(&cn->pending, ex, link);
        cn->pending_count--;
        free_exchange(ex);
    }
    if (cn->is_writing) {
        return;
    }
    if (cn->queued->size > 0) {
        start_write(cn);
    }
    else if (cn->state == CONN_FLUSHING && cn->pending_count == 0) {
        start_linger(cn);
    }
}

static const char *
reason_phrase(int status)
{
    switch (status) {
#define PHRASE(num, name, text)                                               \
    case num:                                                                 \
        return #text;
        HTTP_STATUS_MAP(PHRASE)
#undef PHRASE
    default:
        return "Unknown";
    }
}

/* Takes no more requests.  The connection closes once the pending ones are
 * answered. */
static void
stop_taking_requests(JdServerConn *cn)
{
    if (cn->state != CONN_OPEN) {
        return;
    }
    cn->state = CONN_FLUSHING;
    if (cn->partial != NULL) {
        free_exchange(cn->partial);
        cn->partial = NULL;
    }
}

/* Returns whether no response follows this one on its connection. */
static bool
is_last_response(const JdServerExchange *ex)
{
    return ex->conn->state == CONN_FLUSHING && TAILQ_NEXT(ex, link) == NULL;
}

/*
 * Answers a request.  `headers` is NULL or complete lines that end in CRLF.
 * The handler must not use the request afterwards.
 */
void
JdServer_Reply(JdServerRequest *rq, int status, const char *headers,
               const void *body, size_t len)
{
    JdServerExchange *ex =
        (JdServerExchange *)((char *)rq - offsetof(JdServerExchange, request));
    JdServerConn *cn = ex->conn;
    GString *head = g_string_new(NULL);

    if (cn->server->closes_after_response) {
        stop_taking_requests(cn);
    }
    g_string_printf(head, "HTTP/1.1 %d %s\r\n%scontent-length: %zu\r\n%s\r\n",
                    status, reason_phrase(status),
                    is_last_response(ex) ? "connection: close\r\n" : "", len,
                    headers == NULL ? "" : headers);
    ex->response = g_byte_array_sized_new((guint)(head->len + len));
    g_byte_array_append(ex->response, (guint8 *)head->str, (guint)head->len);
    if (len > 0 && strcmp(rq->method, "HEAD") != 0) {
        g_byte_array_append(ex->response, body, (guint)len);
    }
    g_string_free(head, TRUE);
    send_responses(cn);
    parse_input(cn);
}

/* ---- requests ---------------------------------------------------------- */

static JdServerExchange *
partial_exchange(http_parser *hp)
{
    return ((JdServerConn *)hp->data)->partial;
}

static JdServerExchange *
start_exchange(JdServerConn *cn)
{
    JdServerExchange *ex = g_new0(JdServerExchange, 1);

    ex->conn = cn;
    JdHeaders_Init(&ex->headers);
    ex->request.body = g_byte_array_new();
    cn->partial = ex;
    return ex;
}

static int
begin_message(http_parser *hp)
{
    start_exchange(hp->data);
    return 0;
}

/* Returns whether the target and headers may grow by `n` bytes; marks the
 * request as too large if not. */
static bool
check_head_size(JdServerExchange *ex, size_t n)
{
    if (ex->headers.buffer->len + n > MAX_HEAD_BYTES) {
        ex->is_too_large = true;
    }
    return !ex->is_too_large;
}

static int
on_url(http_parser *hp, const char *data, size_t n)
{
    JdServerExchange *ex = partial_exchange(hp);

    if (!check_head_size(ex, n)) {
        return 1;
    }
    ex->url_len += n;
    g_byte_array_append(ex->headers.buffer, (const guint8 *)data, (guint)n);
    return 0;
}

static int
append_header_name(http_parser *hp, const char *data, size_t n)
{
    JdServerExchange *ex = partial_exchange(hp);

    if (!check_head_size(ex, n) ||
        !JdHeaders_AppendName(&ex->headers, data, n)) {
        ex->is_too_large = true;
        return 1;
    }
    return 0;
}

static int
append_header_value(http_parser *hp, const char *data, size_t n)
{
    JdServerExchange *ex = partial_exchange(hp);

    if (!check_head_size(ex, n)) {
        return 1;
    }
    JdHeaders_AppendValue(&ex->headers, data, n);
    return 0;
}

/* Sets the pointers into the header buffer, which no longer changes. */
static int
finish_headers(http_parser *hp)
{
    JdServerExchange *ex = partial_exchange(hp);
    const JdHttpHeader *h;

    ex->request.method = http_method_str((enum http_method)hp->method);
    ex->request.path = (const char *)ex->headers.buffer->data;
    ex->request.path_len = ex->url_len;
    ex->request.header_count =
        JdHeaders_Complete(&ex->headers, ex->request.header);
    h = JdServer_FindHeader(&ex->request, "expect");
    if (h != NULL && ex->conn->pending_count == 0) {
        static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

        queue_output(ex->conn, text, sizeof(text) - 1);
        send_responses(ex->conn);
    }
    return 0;
}

static int
on_body(http_parser *hp, const char *data, size_t n)
{
    JdServerExchange *ex = partial_exchange(hp);

    if (ex->request.body->len + n > ex->conn->server->max_body) {
        ex->is_too_large = true;
        return 1;
    }
    g_byte_array_append(ex->request.body, (const guint8 *)data, (guint)n);
    return 0;
}

static int
finish_message(http_parser *hp)
{
    JdServerExchange *ex = partial_exchange(hp);

    ex->keeps_alive = http_should_keep_alive(hp) != 0;
    ex->is_complete = true;
    /* parse_input dispatches it, since the handler may reply at once and the
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

/* Returns the first header of that name in a request, or NULL. */
const JdHttpHeader *
JdServer_FindHeader(const JdServerRequest *rq, const char *name)
{
    return JdHttpHeader_Find(rq->header, rq->header_count, name);
}

/* Returns whether a request came from the host of an address. */
bool
JdServer_IsFrom(const JdServerRequest *rq, const struct sockaddr_in *address)
{
    const JdServerExchange *ex =
        (const JdServerExchange *)((const char *)rq -
                                   offsetof(JdServerExchange, request));
    struct sockaddr_in from;

    return h2o_socket_getpeername(ex->conn->sock, (struct sockaddr *)&from) ==
               sizeof(from) &&
           from.sin_family == AF_INET &&
           from.sin_addr.s_addr == address->sin_addr.s_addr;
}

static void
enqueue(JdServerConn *cn, JdServerExchange *ex)
{
    cn->partial = NULL;
    TAILQ_INSERT_TAIL(&cn->pending, ex, link);
    cn->pending_count++;
}

static void
dispatch_request(JdServerConn *cn)
{
    JdServer *sv = cn->server;
    JdServerExchange *ex = cn->partial;

    enqueue(cn, ex);
    if (!ex->keeps_alive) {
        stop_taking_requests(cn);
    }
    sv->ops->request(sv->ctx, &ex->request);
}

/* Answers a malformed or too large request with 400 or 413 and ends the
 * connection after the responses before it. */
static void
reject_unparsable(JdServerConn *cn)
{
    JdServerExchange *ex = cn->partial;

    if (ex == NULL) {
        ex = start_exchange(cn);
    }
    if (ex->request.method == NULL) {
        ex->request.method = "";
    }
    enqueue(cn, ex);
    stop_taking_requests(cn);
    JdServer_Reply(&ex->request, ex->is_too_large ? 413 : 400, NULL, NULL, 0);
}

static void
parse_input(JdServerConn *cn)
{
    if (cn->is_parsing) {
        return;
    }
    cn->is_parsing = true;
    while (cn->state == CONN_OPEN && cn->sock->input->size > 0 &&
           cn->pending_count < MAX_PENDING) {
        size_t n =
            http_parser_execute(&cn->parser, &parser_settings,
                                cn->sock->input->bytes, cn->sock->input->size);

        h2o_buffer_consume(&cn->sock->input, n);
        if (cn->partial != NULL && cn->partial->is_complete) {
            http_parser_pause(&cn->parser, 0);
            dispatch_request(cn);
        }
        else if (HTTP_PARSER_ERRNO(&cn->parser) != HPE_OK) {
            reject_unparsable(cn);
        }
    }
    cn->is_parsing = false;
}

static void
on_read(h2o_socket_t *sock, const char *err)
{
    JdServerConn *cn = sock->data;

    if (err != NULL) {
        /* A caller that closes only its sending side counts as disconnected
         * too. */
        close_conn(cn);
        return;
    }
    if (cn->state != CONN_OPEN) {
        /* Discarded: the connection closes after the pending responses. */
        h2o_buffer_consume(&sock->input, sock->input->size);
        return;
    }
    if (cn->pending_count == 0) {
        JdTimer_Arm(&cn->server->loop->clock, &cn->timer, IDLE_TIMEOUT);
    }
    parse_input(cn);
}

/* ---- server ------------------------------------------------------------ */

static void
add_conn(JdServer *sv, h2o_socket_t *sock)
{
    JdServerConn *cn = g_new0(JdServerConn, 1);

    cn->server = sv;
    cn->sock = sock;
    sock->data = cn;
    TAILQ_INIT(&cn->pending);
    h2o_buffer_init(&cn->queued, &h2o_socket_buffer_prototype);
    h2o_buffer_init(&cn->sending, &h2o_socket_buffer_prototype);
    http_parser_init(&cn->parser, HTTP_REQUEST);
    cn->parser.data = cn;
    JdTimer_Init(&cn->timer, on_timeout, cn);
    JdTimer_Arm(&sv->loop->clock, &cn->timer, IDLE_TIMEOUT);
    TAILQ_INSERT_TAIL(&sv->conns, cn, link);
    h2o_socket_read_start(sock, on_read);
}

static void
on_accept(h2o_socket_t *listener, const char *err)
{
    JdServer *sv = listener->data;
    h2o_socket_t *sock;

    if (err != NULL) {
        return;
    }
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
        add_conn(sv, sock);
    }
}

/* Starts a server on an address.  Requests with a body above `max_body` bytes
 * are answered with 413. */
JdStatus
JdServer_Init(JdServer *sv, JdLoop *lp, const char *address, size_t max_body,
              const JdServerOps *ops, void *ctx, JdError *err)
{
    JdStatus s;
    int fd;

    memset(sv, 0, sizeof(*sv));
    TAILQ_INIT(&sv->conns);
    sv->loop = lp;
    sv->max_body = max_body;
    sv->ops = ops;
    sv->ctx = ctx;
    s = JdListen(address, &fd, err);
    if (s != JD_OK) {
        return s;
    }
    sv->listener =
        h2o_evloop_socket_create(lp->evloop, fd, H2O_SOCKET_FLAG_DONT_READ);
    sv->listener->data = sv;
    h2o_socket_read_start(sv->listener, on_accept);
    return JD_OK;
}

/* Makes each connection take no more requests from its next response on and
 * close once its pending requests are answered. */
void
JdServer_CloseAfterResponse(JdServer *sv)
{
    sv->closes_after_response = true;
}

/* Takes no new connections and no more requests on the open ones, which close
 * once their pending requests are answered. */
void
JdServer_StopAccepting(JdServer *sv)
{
    JdServerConn *cn, *next;

    if (sv->listener == NULL) {
        return;
    }
    h2o_socket_close(sv->listener);
    sv->listener = NULL;
    sv->closes_after_response = true;
    for (cn = TAILQ_FIRST(&sv->conns); cn != NULL; cn = next) {
        next = TAILQ_NEXT(cn, link);
        stop_taking_requests(cn);
        send_responses(cn);
    }
}

/* Returns whether a caller has not received all of its responses.  Without
 * this process they might be cut. */
bool
JdServer_OwesBytes(const JdServer *sv)
{
    const JdServerConn *cn;

    TAILQ_FOREACH(cn, &sv->conns, link)
    {
        if (owes_bytes(cn)) {
            return true;
        }
    }
    return false;
}

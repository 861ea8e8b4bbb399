/*
 * HTTP client of one server.  Each call ends exactly once, through its
 * callback or by JdHttpc_Cancel.  The callback learns whether the server may
 * have processed the request.
 *
 * http_parser parses the responses.  This file manages the connections itself,
 * because their state decides what is known about a request: a response
 * without a length is complete only if the server closed the connection
 * without a reset, a response to another request is skipped, and a connection
 * is reused only if no unread bytes are left on it.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base.h"

/* How long an idle connection is kept, unless the server asks for less. */
#define MAX_IDLE_TIME (5 * JD_US_PER_S)
/* An idle connection is not reused in this last part of the server's own
 * timeout, so that no request is sent while the server closes it. */
#define IDLE_MARGIN (500 * JD_US_PER_MS)
#define STATUS_INFORMATIONAL_MIN 100
#define STATUS_SWITCHING_PROTOCOLS 101
/* Arriving bytes extend the timeout of a call by at most this many times its
 * read timeout, so that an endless response is given up. */
#define MAX_READ_TIMEOUTS 10
/* Bytes that may arrive for one call, and of the bodies of all calls at a
 * time, unless the user of the client sets other limits. */
#define MAX_RESPONSE (64U << 20)
#define MAX_BUFFERED (64U << 20)
/* Bytes that the kernel buffers of a connection, where room is limited. */
#define INPUT_BYTES (256 << 10)

/* A connection, which carries one call at a time. */
typedef struct Conn {
    TAILQ_ENTRY(Conn) link;
    JdHttpc *httpc;
    h2o_socket_t *sock;
    JdHttpCall *call; /* NULL: idle */
    http_parser parser;
    uint64_t idle_until;
    bool is_idle; /* in the list of idle connections */
} Conn;

struct JdHttpCall {
    TAILQ_ENTRY(JdHttpCall) link; /* in JdHttpc.waiting */
    JdHttpc *httpc;
    Conn *conn;
    uint64_t read_timeout; /* see JdHttpRequest */
    uint64_t extend_until; /* received bytes extend the timeout until then */
    JdTimer timer;
    JdHttpCallback callback;
    void *ctx;
    GByteArray *request; /* its head, and a small body */
    JdBody *content;     /* further body of the request, or NULL */
    const char *echo_header;
    char *echo_value; /* value required in the response, or NULL */
    JdHeaders headers;
    size_t received; /* bytes, of skipped responses as well */
    JdBody *body;
    JdHttpResponse response;
    bool is_waiting;
    bool is_sent;
    bool is_head_request;
    bool is_complete;
    bool lacks_room; /* there is no room for the response */
};

static void start_waiting_calls(JdHttpc *hc);
static void on_check_timeout(void *ctx);

/* Initializes a client that opens at most `max_connections` at a time. */
JdStatus
JdHttpc_Init(JdHttpc *hc, JdLoop *lp, const char *address,
             size_t max_connections, JdError *err)
{
    JdStatus s;

    memset(hc, 0, sizeof(*hc));
    s = JdAddress_Parse(address, &hc->address, err);
    if (s != JD_OK) {
        return s;
    }
    hc->loop = lp;
    hc->max_connections = max_connections;
    hc->max_idle_time = MAX_IDLE_TIME;
    hc->max_response = MAX_RESPONSE;
    hc->max_buffered = MAX_BUFFERED;
    TAILQ_INIT(&hc->idle);
    TAILQ_INIT(&hc->waiting);
    JdTimer_Init(&hc->check_timer, on_check_timeout, hc);
    g_strlcpy(hc->host, address, sizeof(hc->host));
    return JD_OK;
}

/* ---- connections ------------------------------------------------------- */

static void
close_conn(Conn *cn)
{
    JdHttpc *hc = cn->httpc;

    if (cn->is_idle) {
        TAILQ_REMOVE(&hc->idle, cn, link);
    }
    hc->open_count--;
    h2o_socket_close(cn->sock);
    g_free(cn);
}

/* Ends the check under way, whose connection is no longer its own. */
static void
finish_check(JdHttpc *hc, JdHttpCheck result)
{
    JdHttpCheckCallback callback = hc->check_callback;

    JdTimer_Cancel(&hc->loop->clock, &hc->check_timer);
    hc->check_conn = NULL;
    hc->check_callback = NULL;
    callback(hc->check_ctx, result);
}

/* Gives up the check under way. */
static void
on_check_timeout(void *ctx)
{
    JdHttpc *hc = ctx;

    if (hc->check_conn != NULL) {
        close_conn(hc->check_conn);
    }
    finish_check(hc, JD_HTTP_UNDECIDED);
}

/* Closes the idle connections and ends a check.  No call may be in progress.
 */
void
JdHttpc_Finish(JdHttpc *hc)
{
    Conn *cn;

    if (hc->check_callback != NULL) {
        on_check_timeout(hc);
    }
    while ((cn = TAILQ_FIRST(&hc->idle)) != NULL) {
        close_conn(cn);
    }
}

/* Sends later calls to another server; calls in progress continue. */
JdStatus
JdHttpc_SetAddress(JdHttpc *hc, const char *address, JdError *err)
{
    struct sockaddr_in sin;
    JdStatus s = JdAddress_Parse(address, &sin, err);

    if (s == JD_OK) {
        JdHttpc_Finish(hc);
        hc->address = sin;
        g_strlcpy(hc->host, address, sizeof(hc->host));
    }
    return s;
}

static void
free_call(JdHttpCall *call)
{
    JdHttpc *hc = call->httpc;

    JdTimer_Cancel(&hc->loop->clock, &call->timer);
    if (call->is_waiting) {
        TAILQ_REMOVE(&hc->waiting, call, link);
    }
    hc->buffered -= call->body->len;
    g_byte_array_unref(call->request);
    JdBody_Unref(call->content);
    JdBody_Unref(call->body);
    JdHeaders_Finish(&call->headers);
    g_free(call->echo_value);
    g_free(call);
}

/* Reports the result of a call, which must have given up its connection. */
static void
finish_call(JdHttpCall *call, JdHttpResult result)
{
    JdHttpc *hc = call->httpc;

    call->response.result = result;
    call->response.body = (const char *)call->body->data;
    call->response.body_len = call->body->len;
    call->response.content = call->body;
    call->callback(call->ctx, &call->response);
    free_call(call);
    start_waiting_calls(hc);
}

/* Closes the connection of a call, if it has one. */
static void
close_call_conn(JdHttpCall *call)
{
    if (call->conn != NULL) {
        close_conn(call->conn);
        call->conn = NULL;
    }
}

/* Returns how far a call in progress has come. */
JdHttpCallState
JdHttpc_CallState(const JdHttpCall *call)
{
    if (call->is_sent) {
        return JD_HTTP_CALL_SENT;
    }
    return call->is_waiting ? JD_HTTP_CALL_WAITING : JD_HTTP_CALL_CONNECTING;
}

/* Ends a call without its callback.  Unless it was not sent, the server may
 * still process it. */
void
JdHttpc_Cancel(JdHttpCall *call)
{
    JdHttpc *hc = call->httpc;
    bool frees_connection = call->conn != NULL;

    close_call_conn(call);
    free_call(call);
    if (frees_connection) {
        start_waiting_calls(hc);
    }
}

static void
on_timeout(void *ctx)
{
    JdHttpCall *call = ctx;

    close_call_conn(call);
    finish_call(call, call->is_sent ? JD_HTTP_TIMED_OUT : JD_HTTP_NOT_SENT);
}

/* Returns whether more has arrived for a call than there is room for. */
static bool
is_too_large(const JdHttpCall *call)
{
    const JdHttpc *hc = call->httpc;

    return call->lacks_room || call->received > hc->max_response ||
           hc->buffered > hc->max_buffered;
}

/* Ends a call whose connection failed before the response was complete. */
static void
fail_call(JdHttpCall *call)
{
    close_call_conn(call);
    finish_call(call, call->is_sent ? JD_HTTP_DISCONNECTED : JD_HTTP_NOT_SENT);
}

/* ---- responses --------------------------------------------------------- */

static void
reset_response(JdHttpCall *call)
{
    memset(&call->response, 0, sizeof(call->response));
    JdHeaders_Reset(&call->headers);
    call->httpc->buffered -= call->body->len;
    JdBody_Clear(call->body);
    call->is_complete = false;
}

static int
append_header_name(http_parser *hp, const char *data, size_t n)
{
    JdHttpCall *call = ((Conn *)hp->data)->call;

    return JdHeaders_AppendName(&call->headers, data, n) ? 0 : 1;
}

static int
append_header_value(http_parser *hp, const char *data, size_t n)
{
    JdHttpCall *call = ((Conn *)hp->data)->call;

    JdHeaders_AppendValue(&call->headers, data, n);
    return 0;
}

/* Returns whether a response may have this status.  No request asks for
 * another protocol. */
static bool
is_status(unsigned status)
{
    return status >= STATUS_INFORMATIONAL_MIN &&
           status <= JD_HTTP_STATUS_MAX &&
           status != STATUS_SWITCHING_PROTOCOLS;
}

static int
finish_headers(http_parser *hp)
{
    JdHttpCall *call = ((Conn *)hp->data)->call;

    if (!is_status(hp->status_code)) {
        return -1;
    }

    call->response.status = (int)hp->status_code;
    call->response.header_count =
        JdHeaders_Complete(&call->headers, call->response.header);
    if (!JdHttpHeader_AreValid(call->response.header,
                               call->response.header_count)) {
        return -1;
    }
    /* 1: no body follows.  A response to HEAD has none, whatever its headers
     * say. */
    return call->is_head_request ? 1 : 0;
}

static int
on_body(http_parser *hp, const char *data, size_t n)
{
    JdHttpCall *call = ((Conn *)hp->data)->call;

    if (!JdBody_Append(call->body, data, n)) {
        call->lacks_room = true;
        return 1;
    }
    call->httpc->buffered += n;
    return 0;
}

static int
finish_message(http_parser *hp)
{
    ((Conn *)hp->data)->call->is_complete = true;
    /* Leave the bytes after this response in the input. */
    http_parser_pause(hp, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = append_header_name,
    .on_header_value = append_header_value,
    .on_headers_complete = finish_headers,
    .on_body = on_body,
    .on_message_complete = finish_message,
};

static bool
matches_request(const JdHttpCall *call)
{
    const JdHttpHeader *h;

    if (call->echo_value == NULL) {
        return true;
    }
    h = JdHttpResponse_FindHeader(&call->response, call->echo_header);
    return h != NULL && h->value_len == strlen(call->echo_value) &&
           memcmp(h->value, call->echo_value, h->value_len) == 0;
}

/* Returns how long the connection may stay idle: "keep-alive: timeout=N" of
 * the server, less a margin, if that is below the client's own limit. */
static uint64_t
idle_time_limit(const JdHttpCall *call)
{
    const JdHttpHeader *h =
        JdHttpResponse_FindHeader(&call->response, "keep-alive");
    uint64_t limit = call->httpc->max_idle_time;
    const char *p;
    uint64_t server_limit;

    if (h == NULL) {
        return limit;
    }
    p = g_strstr_len(h->value, (gssize)h->value_len, "timeout=");
    if (p == NULL) {
        return limit;
    }
    server_limit = strtoull(p + strlen("timeout="), NULL, 10) * JD_US_PER_S;
    server_limit = server_limit > IDLE_MARGIN ? server_limit - IDLE_MARGIN : 0;
    return server_limit < limit ? server_limit : limit;
}

/* Keeps a connection that carries no call for later ones. */
static void
keep_idle(Conn *cn, uint64_t limit)
{
    JdHttpc *hc = cn->httpc;

    cn->call = NULL;
    cn->is_idle = true;
    cn->idle_until = JdClock_Now(&hc->loop->clock) + limit;
    TAILQ_INSERT_HEAD(&hc->idle, cn, link);
}

/*
 * Ends a call with its response.  The connection is kept only if it is clean:
 * the whole request was written and no input is left.
 */
static void
accept_response(JdHttpCall *call)
{
    Conn *cn = call->conn;
    bool is_clean =
        cn->sock->input->size == 0 && !h2o_socket_is_writing(cn->sock);
    uint64_t idle_limit = idle_time_limit(call);

    if (!is_clean || idle_limit == 0 || !http_should_keep_alive(&cn->parser)) {
        close_call_conn(call);
    }
    else {
        call->conn = NULL;
        keep_idle(cn, idle_limit);
    }
    finish_call(call, JD_HTTP_COMPLETED);
}

/*
 * Discards a complete response that is informational (1xx) or belongs to
 * another request, and prepares for the next one.  Returns false if the
 * response ends the call: it is the right one, or the connection cannot carry
 * another.
 */
static bool
skip_response(Conn *cn)
{
    JdHttpCall *call = cn->call;

    if (call->response.status >= JD_HTTP_STATUS_MIN && matches_request(call)) {
        return false;
    }
    if (!http_should_keep_alive(&cn->parser)) {
        return false;
    }
    reset_response(call);
    http_parser_init(&cn->parser, HTTP_RESPONSE);
    return true;
}

/* Ends a call whose response is complete.  An informational one is none: its
 * connection cannot carry another. */
static void
handle_response(JdHttpCall *call)
{
    if (call->response.status < JD_HTTP_STATUS_MIN) {
        fail_call(call);
        return;
    }
    if (matches_request(call)) {
        accept_response(call);
        return;
    }
    close_call_conn(call);
    finish_call(call, JD_HTTP_MISMATCHED);
}

static void
parse_input(Conn *cn)
{
    JdHttpCall *call = cn->call;

    while (cn->sock->input->size > 0) {
        size_t n =
            http_parser_execute(&cn->parser, &parser_settings,
                                cn->sock->input->bytes, cn->sock->input->size);

        h2o_buffer_consume(&cn->sock->input, n);
        JdSocket_TrimInput(cn->sock);
        call->received += n;
        if (is_too_large(call)) {
            close_call_conn(call);
            finish_call(call, JD_HTTP_TOO_LARGE);
            return;
        }
        if (call->is_complete) {
            if (!skip_response(cn)) {
                handle_response(call);
                return;
            }
        }
        else if (HTTP_PARSER_ERRNO(&cn->parser) != HPE_OK) {
            fail_call(call);
            return;
        }
    }
}

/* The server closed the connection, which ends a response without a length. */
static void
handle_eof(JdHttpCall *call)
{
    http_parser_execute(&call->conn->parser, &parser_settings, NULL, 0);
    if (call->is_complete && call->response.status != 0) {
        handle_response(call);
    }
    else {
        fail_call(call);
    }
}

/* Extends the timeout after bytes arrived, if the request allows that. */
static void
extend_timeout(JdHttpCall *call)
{
    JdClock *clk = &call->httpc->loop->clock;

    if (call->read_timeout > 0 && JdClock_Now(clk) < call->extend_until) {
        JdTimer_Arm(clk, &call->timer, call->read_timeout);
    }
}

static void
on_read(h2o_socket_t *sock, const char *err)
{
    Conn *cn = sock->data;

    if (cn->call == NULL) {
        /* Idle: the server closed it or sent bytes that no request awaits. */
        close_conn(cn);
        return;
    }
    if (err == NULL) {
        extend_timeout(cn->call);
        parse_input(cn);
    }
    else if (err == h2o_socket_error_closed) {
        handle_eof(cn->call);
    }
    else {
        fail_call(cn->call);
    }
}

/* ---- requests ---------------------------------------------------------- */

static void
on_written(h2o_socket_t *sock, const char *err)
{
    Conn *cn = sock->data;

    if (err != NULL && cn->call != NULL) {
        fail_call(cn->call);
    }
}

static void
write_request(Conn *cn)
{
    JdHttpCall *call = cn->call;
    h2o_iovec_t iov[2] = {
        h2o_iovec_init(call->request->data, call->request->len)};
    size_t n = 1;

    reset_response(call);
    http_parser_init(&cn->parser, HTTP_RESPONSE);
    cn->parser.data = cn;
    call->is_sent = true;
    if (call->content != NULL && call->content->len > 0) {
        iov[n++] = h2o_iovec_init(call->content->data, call->content->len);
    }
    h2o_socket_write(cn->sock, iov, n, on_written);
}

static void
on_connect(h2o_socket_t *sock, const char *err)
{
    Conn *cn = sock->data;

    if (err != NULL) {
        fail_call(cn->call);
        return;
    }
    if (cn->httpc->memory != NULL) {
        JdSocket_LimitInput(sock, INPUT_BYTES);
    }
    h2o_socket_read_start(sock, on_read);
    write_request(cn);
}

/* The connection of a check was accepted, and is kept, or refused. */
static void
on_check_connect(h2o_socket_t *sock, const char *err)
{
    Conn *cn = sock->data;
    JdHttpc *hc = cn->httpc;

    if (err != NULL) {
        close_conn(cn);
        finish_check(hc, JD_HTTP_REFUSED);
        return;
    }
    h2o_socket_read_start(sock, on_read);
    keep_idle(cn, hc->max_idle_time);
    finish_check(hc, JD_HTTP_ACCEPTED);
    start_waiting_calls(hc);
}

/* Opens a connection for `call`, or for the check if that is NULL.  Returns
 * NULL if there are no more file descriptors. */
static Conn *
open_conn(JdHttpc *hc, JdHttpCall *call)
{
    h2o_socket_t *sock = h2o_socket_connect(
        hc->loop->evloop, (struct sockaddr *)&hc->address, sizeof(hc->address),
        call == NULL ? on_check_connect : on_connect);
    Conn *cn;

    if (sock == NULL) {
        return NULL;
    }
    cn = g_new0(Conn, 1);
    cn->httpc = hc;
    cn->call = call;
    cn->sock = sock;
    sock->data = cn;
    hc->open_count++;
    return cn;
}

/*
 * Checks whether the server accepts connections.  The callback runs within
 * `timeout`, but never before this function returns.  While a check is under
 * way, another one is not started and its callback never runs.
 */
void
JdHttpc_Check(JdHttpc *hc, uint64_t timeout, JdHttpCheckCallback callback,
              void *ctx)
{
    if (hc->check_callback != NULL) {
        return;
    }
    hc->check_callback = callback;
    hc->check_ctx = ctx;
    if (hc->open_count < hc->max_connections) {
        hc->check_conn = open_conn(hc, NULL);
    }
    JdTimer_Arm(&hc->loop->clock, &hc->check_timer,
                hc->check_conn == NULL ? 0 : timeout);
}

static Conn *
take_idle_conn(JdHttpc *hc)
{
    uint64_t now = JdClock_Now(&hc->loop->clock);
    Conn *cn, *next;

    for (cn = TAILQ_FIRST(&hc->idle); cn != NULL; cn = next) {
        next = TAILQ_NEXT(cn, link);
        if (cn->idle_until <= now) {
            close_conn(cn);
            continue;
        }
        TAILQ_REMOVE(&hc->idle, cn, link);
        cn->is_idle = false;
        return cn;
    }
    return NULL;
}

static void
start_call(JdHttpCall *call)
{
    JdHttpc *hc = call->httpc;
    Conn *cn = take_idle_conn(hc);

    if (cn != NULL) {
        cn->call = call;
        call->conn = cn;
        write_request(cn);
        return;
    }
    call->conn = open_conn(hc, call);
    if (call->conn == NULL) {
        /* The callback must not run before JdHttpc_Send returned the call. */
        JdTimer_Arm(&hc->loop->clock, &call->timer, 0);
    }
}

/* Starts waiting calls while connections are available. */
static void
start_waiting_calls(JdHttpc *hc)
{
    JdHttpCall *call;

    while ((call = TAILQ_FIRST(&hc->waiting)) != NULL &&
           (hc->open_count < hc->max_connections || !TAILQ_EMPTY(&hc->idle))) {
        TAILQ_REMOVE(&hc->waiting, call, link);
        call->is_waiting = false;
        start_call(call);
    }
}

static GByteArray *
format_request(const JdHttpc *hc, const JdHttpRequest *rq)
{
    size_t len = rq->content != NULL ? rq->content->len : rq->body_len;
    bool sends_length = len > 0 || (strcmp(rq->method, "GET") != 0 &&
                                    strcmp(rq->method, "HEAD") != 0);
    GString *head = g_string_new(NULL);
    GByteArray *out = g_byte_array_new();

    g_string_printf(head, "%s %s HTTP/1.1\r\nhost: %s\r\n", rq->method,
                    rq->path, rq->host == NULL ? hc->host : rq->host);
    if (sends_length) {
        g_string_append_printf(head, "content-length: %zu\r\n", len);
    }
    g_string_append(head, rq->headers == NULL ? "" : rq->headers);
    g_string_append(head, "\r\n");
    g_byte_array_append(out, (guint8 *)head->str, (guint)head->len);
    if (rq->content == NULL && rq->body_len > 0) {
        g_byte_array_append(out, rq->body, (guint)rq->body_len);
    }
    g_string_free(head, TRUE);
    return out;
}

/*
 * Sends a request.  The callback runs within the request's timeout, as
 * extended by `read_timeout`, but never before this function returns.
 */
JdHttpCall *
JdHttpc_Send(JdHttpc *hc, const JdHttpRequest *rq, JdHttpCallback callback,
             void *ctx)
{
    JdHttpCall *call = g_new0(JdHttpCall, 1);

    call->httpc = hc;
    call->callback = callback;
    call->ctx = ctx;
    call->is_head_request = strcmp(rq->method, "HEAD") == 0;
    call->request = format_request(hc, rq);
    call->content = rq->content == NULL ? NULL : JdBody_Ref(rq->content);
    JdHeaders_Init(&call->headers);
    call->body = JdBody_New(hc->memory);
    if (rq->echo_value != NULL) {
        call->echo_header = rq->echo_header;
        call->echo_value = g_strdup(rq->echo_value);
    }
    JdTimer_Init(&call->timer, on_timeout, call);
    JdTimer_Arm(&hc->loop->clock, &call->timer, rq->timeout);
    call->read_timeout = rq->read_timeout;
    call->extend_until = JdClock_Now(&hc->loop->clock) + rq->timeout +
                         rq->read_timeout * MAX_READ_TIMEOUTS;
    if (hc->open_count >= hc->max_connections && TAILQ_EMPTY(&hc->idle)) {
        call->is_waiting = true;
        TAILQ_INSERT_TAIL(&hc->waiting, call, link);
    }
    else {
        start_call(call);
    }
    return call;
}

/* Sends a GET request without body or extra headers. */
JdHttpCall *
JdHttpc_Get(JdHttpc *hc, const char *path, uint64_t timeout,
            JdHttpCallback callback, void *ctx)
{
    JdHttpRequest rq = {.method = "GET", .path = path, .timeout = timeout};

    return JdHttpc_Send(hc, &rq, callback, ctx);
}

/* Returns the first header of that name in a response, or NULL. */
const JdHttpHeader *
JdHttpResponse_FindHeader(const JdHttpResponse *resp, const char *name)
{
    return JdHttpHeader_Find(resp->header, resp->header_count, name);
}

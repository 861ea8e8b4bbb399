/*
 * HTTP client of one server.  Each call ends exactly once, through its
 * callback or by JdHttpc_Cancel, and says what is known of its effect.
 *
 * Parsing is http_parser's; connections are kept here, because what may be
 * read from a connection decides what may be said of a request: an answer
 * without a length is whole only if its connection was closed in order, an
 * answer to another request is passed over, and a connection is used again
 * only if nothing was left on it.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base.h"

/* Time for which an idle connection is kept, unless the server says less. */
#define IDLE_MOST (5 * JD_US_PER_S)
/* Time before the server's own limit at which a connection is given up. */
#define IDLE_MARGIN (500 * JD_US_PER_MS)
#define STATUS_INFORMATIONAL_MOST 199
/* An answer that goes on for more than this many times the quiet time that its
 * request allows is given up. */
#define QUIET_TIMES 10

/* One connection; it carries one call at a time. */
typedef struct Conn {
    TAILQ_ENTRY(Conn) link;
    JdHttpc *httpc;
    h2o_socket_t *sock;
    JdHttpCall *call; /* NULL: idle */
    http_parser parser;
    uint64_t idle_until;
    bool is_kept; /* stands in the list of idle connections */
} Conn;

struct JdHttpCall {
    TAILQ_ENTRY(JdHttpCall) link; /* waits for a connection */
    JdHttpc *httpc;
    Conn *conn;
    uint64_t quiet; /* as in the request */
    uint64_t until; /* time after which progress no longer counts */
    JdTimer timer;
    JdHttpCallback done;
    void *ctx;
    GByteArray *request;
    const char *echo_name;
    char *echo; /* what the answer has to repeat, or NULL */
    JdHeaders headers;
    GByteArray *body;
    JdHttpResponse answer;
    bool is_waiting;
    bool is_sent;
    bool is_head;
    bool is_complete;
};

static void start_waiting(JdHttpc *hc);

/* Initializes a client that keeps up to `connections` open. */
JdStatus
JdHttpc_Init(JdHttpc *hc, JdLoop *lp, const char *address, size_t connections,
             JdError *err)
{
    JdStatus s;

    memset(hc, 0, sizeof(*hc));
    s = JdAddress_Parse(address, &hc->address, err);
    if (s != JD_OK) {
        return s;
    }
    hc->loop = lp;
    hc->max_connections = connections;
    hc->max_idle_time = IDLE_MOST;
    TAILQ_INIT(&hc->idle);
    TAILQ_INIT(&hc->waiting);
    g_strlcpy(hc->host, address, sizeof(hc->host));
    return JD_OK;
}

/* ---- connections ------------------------------------------------------- */

static void
close_conn(Conn *cn)
{
    JdHttpc *hc = cn->httpc;

    if (cn->is_kept) {
        TAILQ_REMOVE(&hc->idle, cn, link);
    }
    hc->open_count--;
    h2o_socket_close(cn->sock);
    g_free(cn);
}

/* Closes idle connections.  No call may be open. */
void
JdHttpc_Finish(JdHttpc *hc)
{
    Conn *cn;

    while ((cn = TAILQ_FIRST(&hc->idle)) != NULL) {
        close_conn(cn);
    }
}

/* Sends what follows to another server; calls under way go on. */
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
    g_byte_array_unref(call->request);
    g_byte_array_unref(call->body);
    JdHeaders_Finish(&call->headers);
    g_free(call->echo);
    g_free(call);
}

/* Ends a call; its connection must be off it already. */
static void
finish(JdHttpCall *call, JdHttpResult end)
{
    JdHttpc *hc = call->httpc;

    call->answer.result = end;
    call->answer.body = (const char *)call->body->data;
    call->answer.body_len = call->body->len;
    call->done(call->ctx, &call->answer);
    free_call(call);
    start_waiting(hc);
}

/* Takes a call off its connection, which is closed. */
static void
drop_conn(JdHttpCall *call)
{
    if (call->conn != NULL) {
        close_conn(call->conn);
        call->conn = NULL;
    }
}

/* Ends a call without its callback.  What was sent may still take effect. */
void
JdHttpc_Cancel(JdHttpCall *call)
{
    JdHttpc *hc = call->httpc;

    drop_conn(call);
    free_call(call);
    start_waiting(hc);
}

static void
on_timeout(void *ctx)
{
    JdHttpCall *call = ctx;

    drop_conn(call);
    finish(call, call->is_sent ? JD_HTTP_TIMED_OUT : JD_HTTP_NOT_SENT);
}

/* The connection of a call ended before its answer was whole. */
static void
fail(JdHttpCall *call)
{
    drop_conn(call);
    finish(call, call->is_sent ? JD_HTTP_DISCONNECTED : JD_HTTP_NOT_SENT);
}

/* ---- answers ----------------------------------------------------------- */

static void
reset_answer(JdHttpCall *call)
{
    memset(&call->answer, 0, sizeof(call->answer));
    JdHeaders_Reset(&call->headers);
    g_byte_array_set_size(call->body, 0);
    call->is_complete = false;
}

static int
on_name(http_parser *hp, const char *at, size_t n)
{
    JdHttpCall *call = ((Conn *)hp->data)->call;

    return JdHeaders_AppendName(&call->headers, at, n) ? 0 : 1;
}

static int
on_value(http_parser *hp, const char *at, size_t n)
{
    JdHttpCall *call = ((Conn *)hp->data)->call;

    JdHeaders_AppendValue(&call->headers, at, n);
    return 0;
}

static int
on_headers(http_parser *hp)
{
    JdHttpCall *call = ((Conn *)hp->data)->call;

    call->answer.status = (int)hp->status_code;
    call->answer.header_count =
        JdHeaders_Complete(&call->headers, call->answer.header);
    /* 1: an answer to HEAD has no body, whatever its headers say. */
    return call->is_head ? 1 : 0;
}

static int
on_body(http_parser *hp, const char *at, size_t n)
{
    JdHttpCall *call = ((Conn *)hp->data)->call;

    g_byte_array_append(call->body, (const guint8 *)at, (guint)n);
    return 0;
}

static int
on_complete(http_parser *hp)
{
    ((Conn *)hp->data)->call->is_complete = true;
    /* What follows is not part of this answer. */
    http_parser_pause(hp, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static bool
is_own(const JdHttpCall *call)
{
    const JdHttpHeader *h;

    if (call->echo == NULL) {
        return true;
    }
    h = JdHttpResponse_FindHeader(&call->answer, call->echo_name);
    return h != NULL && h->value_len == strlen(call->echo) &&
           memcmp(h->value, call->echo, h->value_len) == 0;
}

/* Returns how long the server keeps an idle connection. */
static uint64_t
idle_time(const JdHttpCall *call)
{
    const JdHttpHeader *h =
        JdHttpResponse_FindHeader(&call->answer, "keep-alive");
    uint64_t most = call->httpc->max_idle_time;
    const char *p;
    uint64_t told;

    if (h == NULL) {
        return most;
    }
    p = g_strstr_len(h->value, (gssize)h->value_len, "timeout=");
    if (p == NULL) {
        return most;
    }
    told = strtoull(p + strlen("timeout="), NULL, 10) * JD_US_PER_S;
    told = told > IDLE_MARGIN ? told - IDLE_MARGIN : 0;
    return told < most ? told : most;
}

/* The answer is there: keeps its connection only if nothing is left on it. */
static void
finish_answer(JdHttpCall *call)
{
    Conn *cn = call->conn;
    JdHttpc *hc = call->httpc;
    bool is_clean =
        cn->sock->input->size == 0 && !h2o_socket_is_writing(cn->sock);
    uint64_t wait = idle_time(call);

    if (!is_clean || wait == 0 || !http_should_keep_alive(&cn->parser)) {
        drop_conn(call);
    }
    else {
        call->conn = NULL;
        cn->call = NULL;
        cn->is_kept = true;
        cn->idle_until = JdClock_Now(&hc->loop->clock) + wait;
        TAILQ_INSERT_HEAD(&hc->idle, cn, link);
    }
    finish(call, JD_HTTP_COMPLETED);
}

/*
 * An answer is complete.  Returns whether it was passed over, since it is
 * informational or belongs to another request, and the next one is awaited.
 */
static bool
pass_over(Conn *cn)
{
    JdHttpCall *call = cn->call;

    if (call->answer.status > STATUS_INFORMATIONAL_MOST && is_own(call)) {
        return false;
    }
    if (!http_should_keep_alive(&cn->parser)) {
        return false;
    }
    reset_answer(call);
    http_parser_init(&cn->parser, HTTP_RESPONSE);
    return true;
}

/* Ends a call whose answer is complete. */
static void
settle(JdHttpCall *call)
{
    if (is_own(call)) {
        finish_answer(call);
        return;
    }
    drop_conn(call);
    finish(call, JD_HTTP_MISMATCHED);
}

static void
take_input(Conn *cn)
{
    JdHttpCall *call = cn->call;

    while (cn->sock->input->size > 0) {
        size_t n =
            http_parser_execute(&cn->parser, &parser_settings,
                                cn->sock->input->bytes, cn->sock->input->size);

        h2o_buffer_consume(&cn->sock->input, n);
        if (call->is_complete) {
            if (!pass_over(cn)) {
                settle(call);
                return;
            }
        }
        else if (HTTP_PARSER_ERRNO(&cn->parser) != HPE_OK) {
            fail(call);
            return;
        }
    }
}

/* The server closed in order, which can be the end of an answer. */
static void
take_end(JdHttpCall *call)
{
    http_parser_execute(&call->conn->parser, &parser_settings, NULL, 0);
    if (call->is_complete && call->answer.status != 0) {
        settle(call);
    }
    else {
        fail(call);
    }
}

/* Bytes of an answer came: it has more time where the request allows that. */
static void
note_progress(JdHttpCall *call)
{
    JdClock *clk = &call->httpc->loop->clock;

    if (call->quiet > 0 && JdClock_Now(clk) < call->until) {
        JdTimer_Arm(clk, &call->timer, call->quiet);
    }
}

static void
on_read(h2o_socket_t *sock, const char *err)
{
    Conn *cn = sock->data;

    if (cn->call == NULL) {
        /* Nothing is expected on an idle connection. */
        close_conn(cn);
        return;
    }
    if (err == NULL) {
        note_progress(cn->call);
        take_input(cn);
    }
    else if (err == h2o_socket_error_closed) {
        take_end(cn->call);
    }
    else {
        fail(cn->call);
    }
}

/* ---- requests ---------------------------------------------------------- */

static void
on_written(h2o_socket_t *sock, const char *err)
{
    Conn *cn = sock->data;

    if (err != NULL && cn->call != NULL) {
        fail(cn->call);
    }
}

static void
write_request(Conn *cn)
{
    JdHttpCall *call = cn->call;
    h2o_iovec_t iov = h2o_iovec_init(call->request->data, call->request->len);

    reset_answer(call);
    http_parser_init(&cn->parser, HTTP_RESPONSE);
    cn->parser.data = cn;
    call->is_sent = true;
    h2o_socket_write(cn->sock, &iov, 1, on_written);
}

static void
on_connect(h2o_socket_t *sock, const char *err)
{
    Conn *cn = sock->data;

    if (err != NULL) {
        fail(cn->call);
        return;
    }
    h2o_socket_read_start(sock, on_read);
    write_request(cn);
}

static Conn *
take_idle(JdHttpc *hc)
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
        cn->is_kept = false;
        return cn;
    }
    return NULL;
}

static void
start_call(JdHttpCall *call)
{
    JdHttpc *hc = call->httpc;
    Conn *cn = take_idle(hc);

    if (cn != NULL) {
        cn->call = call;
        call->conn = cn;
        write_request(cn);
        return;
    }
    cn = g_new0(Conn, 1);
    cn->httpc = hc;
    cn->call = call;
    cn->sock =
        h2o_socket_connect(hc->loop->evloop, (struct sockaddr *)&hc->address,
                           sizeof(hc->address), on_connect);
    if (cn->sock == NULL) {
        g_free(cn);
        /* Deferred, since the call has not been returned yet. */
        JdTimer_Arm(&hc->loop->clock, &call->timer, 0);
        return;
    }
    cn->sock->data = cn;
    call->conn = cn;
    hc->open_count++;
}

/* Starts the calls that waited for a connection. */
static void
start_waiting(JdHttpc *hc)
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
    bool has_length = rq->body_len > 0 || (strcmp(rq->method, "GET") != 0 &&
                                           strcmp(rq->method, "HEAD") != 0);
    GString *head = g_string_new(NULL);
    GByteArray *out = g_byte_array_new();

    g_string_printf(head, "%s %s HTTP/1.1\r\nhost: %s\r\n", rq->method,
                    rq->path, rq->host == NULL ? hc->host : rq->host);
    if (has_length) {
        g_string_append_printf(head, "content-length: %zu\r\n", rq->body_len);
    }
    g_string_append(head, rq->headers == NULL ? "" : rq->headers);
    g_string_append(head, "\r\n");
    g_byte_array_append(out, (guint8 *)head->str, (guint)head->len);
    if (rq->body_len > 0) {
        g_byte_array_append(out, rq->body, (guint)rq->body_len);
    }
    g_string_free(head, TRUE);
    return out;
}

/*
 * Sends a request.  The callback comes within the request's timeout, never
 * before this call returns.
 */
JdHttpCall *
JdHttpc_Send(JdHttpc *hc, const JdHttpRequest *rq, JdHttpCallback done,
             void *ctx)
{
    JdHttpCall *call = g_new0(JdHttpCall, 1);

    call->httpc = hc;
    call->done = done;
    call->ctx = ctx;
    call->is_head = strcmp(rq->method, "HEAD") == 0;
    call->request = format_request(hc, rq);
    JdHeaders_Init(&call->headers);
    call->body = g_byte_array_new();
    if (rq->echo_value != NULL) {
        call->echo_name = rq->echo_header;
        call->echo = g_strdup(rq->echo_value);
    }
    JdTimer_Init(&call->timer, on_timeout, call);
    JdTimer_Arm(&hc->loop->clock, &call->timer, rq->timeout);
    call->quiet = rq->read_timeout;
    call->until = JdClock_Now(&hc->loop->clock) + rq->timeout +
                  rq->read_timeout * QUIET_TIMES;
    if (hc->open_count >= hc->max_connections && TAILQ_EMPTY(&hc->idle)) {
        call->is_waiting = true;
        TAILQ_INSERT_TAIL(&hc->waiting, call, link);
    }
    else {
        start_call(call);
    }
    return call;
}

/* Sends a plain GET. */
JdHttpCall *
JdHttpc_Get(JdHttpc *hc, const char *path, uint64_t timeout,
            JdHttpCallback done, void *ctx)
{
    JdHttpRequest rq = {.method = "GET", .path = path, .timeout = timeout};

    return JdHttpc_Send(hc, &rq, done, ctx);
}

/* Returns the first header of that name in an answer, or NULL. */
const JdHttpHeader *
JdHttpResponse_FindHeader(const JdHttpResponse *ans, const char *name)
{
    return JdHttpHeader_Find(ans->header, ans->header_count, name);
}

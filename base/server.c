/*
 * HTTP/1.1 server for callers.  Requests that a caller sends before the first
 * one is answered are handed over at once; answers go back in the order of the
 * requests.  Reading goes on while requests wait, so a caller that leaves is
 * noticed, also behind requests that were not answered.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "base.h"

/* Requests of one connection that may wait for their answers. */
#define PENDING_MOST 64
/* Bytes of the headers of one request. */
#define HEAD_MOST 65536
/* Time for which a connection may be idle, above that of callers. */
#define IDLE_TIME (75 * JD_US_PER_S)
/* Time for a caller to close after the last answer was sent. */
#define LINGER_TIME JD_US_PER_S

typedef enum ConnState {
    CONN_OPEN,
    CONN_LAST,    /* nothing is read any more; the last answers go out */
    CONN_LINGER,  /* all is sent; waits for the caller's end */
    CONN_CLOSING, /* freed on the next round of the loop */
    CONN_STATE_MAX
} ConnState;

struct JdServerConn {
    TAILQ_ENTRY(JdServerConn) link;
    JdServer *server;
    h2o_socket_t *sock;
    http_parser parser;
    JdServerExchange *reading; /* the request that is not whole yet */
    TAILQ_HEAD(PendingHead, JdServerExchange) pending;
    unsigned pending_count;
    ConnState state;
    h2o_buffer_t *out; /* waits for the write under way */
    h2o_buffer_t *sending;
    bool is_writing;
    bool is_taking; /* requests are being taken from the input */
    JdTimer timer;  /* idle, linger, or the end */
};

struct JdServerExchange {
    TAILQ_ENTRY(JdServerExchange) link;
    JdServerConn *conn;
    JdHeaders headers; /* its texts begin with the target */
    size_t url_len;
    bool is_too_large;
    bool is_whole;
    bool keeps_alive;
    GByteArray *answer; /* NULL: not answered yet */
    JdServerRequest pub;
};

static void flush(JdServerConn *cn);
static void take_input(JdServerConn *cn);

/* ---- ends -------------------------------------------------------------- */

static void
free_req(JdServerExchange *rq)
{
    JdHeaders_Finish(&rq->headers);
    g_byte_array_unref(rq->pub.body);
    if (rq->answer != NULL) {
        g_byte_array_unref(rq->answer);
    }
    g_free(rq);
}

static void
on_reap(void *ctx)
{
    JdServerConn *cn = ctx;

    TAILQ_REMOVE(&cn->server->conns, cn, link);
    h2o_buffer_dispose(&cn->out);
    h2o_buffer_dispose(&cn->sending);
    g_free(cn);
}

/*
 * Closes a connection; the requests that wait on it are told that their caller
 * is gone.  Its memory stays until the next round of the loop.
 */
static void
close_conn(JdServerConn *cn)
{
    JdServer *sv = cn->server;
    JdServerExchange *rq;

    if (cn->state == CONN_CLOSING) {
        return;
    }
    cn->state = CONN_CLOSING;
    h2o_socket_close(cn->sock);
    cn->sock = NULL;
    if (cn->reading != NULL) {
        free_req(cn->reading);
        cn->reading = NULL;
    }
    while ((rq = TAILQ_FIRST(&cn->pending)) != NULL) {
        TAILQ_REMOVE(&cn->pending, rq, link);
        if (rq->answer == NULL) {
            sv->ops->disconnected(sv->ctx, &rq->pub);
        }
        free_req(rq);
    }
    cn->pending_count = 0;
    cn->timer.fire = on_reap;
    JdTimer_Arm(&sv->loop->clock, &cn->timer, 0);
}

static void
on_idle(void *ctx)
{
    JdServerConn *cn = ctx;

    if (cn->state == CONN_OPEN && cn->pending_count > 0) {
        JdTimer_Arm(&cn->server->loop->clock, &cn->timer, IDLE_TIME);
        return;
    }
    close_conn(cn);
}

/* ---- answers ----------------------------------------------------------- */

/* All is sent: a close with unread bytes would reset what is on its way. */
static void
linger(JdServerConn *cn)
{
    cn->state = CONN_LINGER;
    shutdown(h2o_socket_get_fd(cn->sock), SHUT_WR);
    JdTimer_Arm(&cn->server->loop->clock, &cn->timer, LINGER_TIME);
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
    flush(cn);
}

static void
start_write(JdServerConn *cn)
{
    h2o_buffer_t *b = cn->sending;
    h2o_iovec_t iov;

    cn->sending = cn->out;
    cn->out = b;
    iov = h2o_iovec_init(cn->sending->bytes, cn->sending->size);
    cn->is_writing = true;
    h2o_socket_write(cn->sock, &iov, 1, on_written);
}

static void
append(JdServerConn *cn, const void *data, size_t n)
{
    h2o_iovec_t at = h2o_buffer_reserve(&cn->out, n);

    memcpy(at.base, data, n);
    cn->out->size += n;
}

/* Sends the answers that are next in order. */
static void
flush(JdServerConn *cn)
{
    JdServerExchange *rq;

    if (cn->state == CONN_CLOSING || cn->state == CONN_LINGER) {
        return;
    }
    while ((rq = TAILQ_FIRST(&cn->pending)) != NULL && rq->answer != NULL) {
        append(cn, rq->answer->data, rq->answer->len);
        TAILQ_REMOVE(&cn->pending, rq, link);
        cn->pending_count--;
        free_req(rq);
    }
    if (cn->is_writing) {
        return;
    }
    if (cn->out->size > 0) {
        start_write(cn);
    }
    else if (cn->state == CONN_LAST && cn->pending_count == 0) {
        linger(cn);
    }
}

static const char *
phrase_of(int status)
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

/* Takes no more requests; those that wait are answered, then it ends. */
static void
stop_reading(JdServerConn *cn)
{
    if (cn->state != CONN_OPEN) {
        return;
    }
    cn->state = CONN_LAST;
    if (cn->reading != NULL) {
        free_req(cn->reading);
        cn->reading = NULL;
    }
}

/* Whether this answer is the last one on its connection. */
static bool
is_last(const JdServerExchange *rq)
{
    return rq->conn->state == CONN_LAST && TAILQ_NEXT(rq, link) == NULL;
}

/*
 * Answers a request.  `headers` is NULL or complete lines that end in CRLF.
 * The request is no longer the caller's to use.
 */
void
JdServer_Reply(JdServerRequest *pub, int status, const char *headers,
               const void *body, size_t len)
{
    JdServerExchange *rq =
        (JdServerExchange *)((char *)pub - offsetof(JdServerExchange, pub));
    JdServerConn *cn = rq->conn;
    GString *head = g_string_new(NULL);

    if (cn->server->closes_after_response) {
        stop_reading(cn);
    }
    g_string_printf(head, "HTTP/1.1 %d %s\r\n%scontent-length: %zu\r\n%s\r\n",
                    status, phrase_of(status),
                    is_last(rq) ? "connection: close\r\n" : "", len,
                    headers == NULL ? "" : headers);
    rq->answer = g_byte_array_sized_new((guint)(head->len + len));
    g_byte_array_append(rq->answer, (guint8 *)head->str, (guint)head->len);
    if (len > 0 && strcmp(pub->method, "HEAD") != 0) {
        g_byte_array_append(rq->answer, body, (guint)len);
    }
    g_string_free(head, TRUE);
    flush(cn);
    take_input(cn);
}

/* ---- requests ---------------------------------------------------------- */

static JdServerExchange *
reading_of(http_parser *hp)
{
    return ((JdServerConn *)hp->data)->reading;
}

static JdServerExchange *
add_reading(JdServerConn *cn)
{
    JdServerExchange *rq = g_new0(JdServerExchange, 1);

    rq->conn = cn;
    JdHeaders_Init(&rq->headers);
    rq->pub.body = g_byte_array_new();
    cn->reading = rq;
    return rq;
}

static int
on_begin(http_parser *hp)
{
    add_reading(hp->data);
    return 0;
}

/* Whether the head of a request may grow by `n` bytes. */
static bool
has_room(JdServerExchange *rq, size_t n)
{
    if (rq->headers.buffer->len + n > HEAD_MOST) {
        rq->is_too_large = true;
    }
    return !rq->is_too_large;
}

static int
on_url(http_parser *hp, const char *at, size_t n)
{
    JdServerExchange *rq = reading_of(hp);

    if (!has_room(rq, n)) {
        return 1;
    }
    rq->url_len += n;
    g_byte_array_append(rq->headers.buffer, (const guint8 *)at, (guint)n);
    return 0;
}

static int
on_name(http_parser *hp, const char *at, size_t n)
{
    JdServerExchange *rq = reading_of(hp);

    if (!has_room(rq, n) || !JdHeaders_AppendName(&rq->headers, at, n)) {
        rq->is_too_large = true;
        return 1;
    }
    return 0;
}

static int
on_value(http_parser *hp, const char *at, size_t n)
{
    JdServerExchange *rq = reading_of(hp);

    if (!has_room(rq, n)) {
        return 1;
    }
    JdHeaders_AppendValue(&rq->headers, at, n);
    return 0;
}

/* Points what the request says at its texts, which no longer move. */
static int
on_headers(http_parser *hp)
{
    JdServerExchange *rq = reading_of(hp);
    const JdHttpHeader *h;

    rq->pub.method = http_method_str((enum http_method)hp->method);
    rq->pub.path = (const char *)rq->headers.buffer->data;
    rq->pub.path_len = rq->url_len;
    rq->pub.header_count = JdHeaders_Complete(&rq->headers, rq->pub.header);
    h = JdServer_FindHeader(&rq->pub, "expect");
    if (h != NULL && rq->conn->pending_count == 0) {
        static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

        append(rq->conn, text, sizeof(text) - 1);
        flush(rq->conn);
    }
    return 0;
}

static int
on_body(http_parser *hp, const char *at, size_t n)
{
    JdServerExchange *rq = reading_of(hp);

    if (rq->pub.body->len + n > rq->conn->server->max_body) {
        rq->is_too_large = true;
        return 1;
    }
    g_byte_array_append(rq->pub.body, (const guint8 *)at, (guint)n);
    return 0;
}

static int
on_complete(http_parser *hp)
{
    JdServerExchange *rq = reading_of(hp);

    rq->keeps_alive = http_should_keep_alive(hp) != 0;
    rq->is_whole = true;
    /* It is handed over outside the parser, which must not be reentered. */
    http_parser_pause(hp, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/* Returns the first header of that name in a request, or NULL. */
const JdHttpHeader *
JdServer_FindHeader(const JdServerRequest *pub, const char *name)
{
    return JdHttpHeader_Find(pub->header, pub->header_count, name);
}

static void
enqueue(JdServerConn *cn, JdServerExchange *rq)
{
    cn->reading = NULL;
    TAILQ_INSERT_TAIL(&cn->pending, rq, link);
    cn->pending_count++;
}

static void
hand_over(JdServerConn *cn)
{
    JdServer *sv = cn->server;
    JdServerExchange *rq = cn->reading;

    enqueue(cn, rq);
    if (!rq->keeps_alive) {
        stop_reading(cn);
    }
    sv->ops->request(sv->ctx, &rq->pub);
}

/* What cannot be read ends the connection, after the answers before it. */
static void
refuse_unreadable(JdServerConn *cn)
{
    JdServerExchange *rq = cn->reading;

    if (rq == NULL) {
        rq = add_reading(cn);
    }
    if (rq->pub.method == NULL) {
        rq->pub.method = "";
    }
    enqueue(cn, rq);
    stop_reading(cn);
    JdServer_Reply(&rq->pub, rq->is_too_large ? 413 : 400, NULL, NULL, 0);
}

static void
take_input(JdServerConn *cn)
{
    if (cn->is_taking) {
        return;
    }
    cn->is_taking = true;
    while (cn->state == CONN_OPEN && cn->sock->input->size > 0 &&
           cn->pending_count < PENDING_MOST) {
        size_t n =
            http_parser_execute(&cn->parser, &parser_settings,
                                cn->sock->input->bytes, cn->sock->input->size);

        h2o_buffer_consume(&cn->sock->input, n);
        if (cn->reading != NULL && cn->reading->is_whole) {
            http_parser_pause(&cn->parser, 0);
            hand_over(cn);
        }
        else if (HTTP_PARSER_ERRNO(&cn->parser) != HPE_OK) {
            refuse_unreadable(cn);
        }
    }
    cn->is_taking = false;
}

static void
on_read(h2o_socket_t *sock, const char *err)
{
    JdServerConn *cn = sock->data;

    if (err != NULL) {
        /* Also one that closes only its sending side counts as gone. */
        close_conn(cn);
        return;
    }
    if (cn->state != CONN_OPEN) {
        /* Not read: the answers before it end the connection. */
        h2o_buffer_consume(&sock->input, sock->input->size);
        return;
    }
    if (cn->pending_count == 0) {
        JdTimer_Arm(&cn->server->loop->clock, &cn->timer, IDLE_TIME);
    }
    take_input(cn);
}

/* ---- the server -------------------------------------------------------- */

static void
add_conn(JdServer *sv, h2o_socket_t *sock)
{
    JdServerConn *cn = g_new0(JdServerConn, 1);

    cn->server = sv;
    cn->sock = sock;
    sock->data = cn;
    TAILQ_INIT(&cn->pending);
    h2o_buffer_init(&cn->out, &h2o_socket_buffer_prototype);
    h2o_buffer_init(&cn->sending, &h2o_socket_buffer_prototype);
    http_parser_init(&cn->parser, HTTP_REQUEST);
    cn->parser.data = cn;
    JdTimer_Init(&cn->timer, on_idle, cn);
    JdTimer_Arm(&sv->loop->clock, &cn->timer, IDLE_TIME);
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

/* Starts a server on an address; bodies above `body_most` bytes get 413. */
JdStatus
JdServer_Init(JdServer *sv, JdLoop *lp, const char *address, size_t body_most,
              const JdServerOps *ops, void *ctx, JdError *err)
{
    JdStatus s;
    int fd;

    memset(sv, 0, sizeof(*sv));
    TAILQ_INIT(&sv->conns);
    sv->loop = lp;
    sv->max_body = body_most;
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

/* From now on each connection ends with its next answer, and those that wait
 * with it. */
void
JdServer_CloseAfterResponse(JdServer *sv)
{
    sv->closes_after_response = true;
}

/* Takes no new connections and no more requests on the open ones. */
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
        stop_reading(cn);
        flush(cn);
    }
}

/*
 * HTTP/1.1 server for callers.  Pipelined requests are passed to the handler
 * as they arrive, and the responses are sent in the order of the requests.
 * Requests are parsed in server_parse.c; server_room.c finds room for them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "server_conn.h"

/* Idle connections are closed after this time, which is longer than callers
 * keep theirs. */
#define IDLE_TIMEOUT (75 * JD_US_PER_S)
/* Time that a caller has to close after the last response was sent. */
#define LINGER_TIMEOUT JD_US_PER_S
/* Time in which a caller has to take bytes of a response that it has not
 * received, once the connection lingers. */
#define LINGER_STALL_TIMEOUT (5 * JD_US_PER_S)
/* The same before that. */
#define STALL_TIMEOUT (30 * JD_US_PER_S)
/* Time for the head of a request, for a whole request, and without any of its
 * bytes. */
#define HEAD_TIMEOUT (15 * JD_US_PER_S)
#define REQUEST_TIMEOUT (60 * JD_US_PER_S)
#define INPUT_STALL_TIMEOUT (10 * JD_US_PER_S)

/* Status of a rejected request where the handler does not answer it. */
static const int rejection_status[JD_SERVER_REJECTION_MAX] = {
    [JD_SERVER_MALFORMED] = 400,
    [JD_SERVER_TOO_LARGE] = 413,
    [JD_SERVER_NO_ROOM] = 503,
    [JD_SERVER_TOO_SLOW] = 408,
};

/* ---- cleanup ----------------------------------------------------------- */

void
JdServerExchange_Free(JdServerExchange *ex)
{
    JdMemory_Give(ex->conn->server->memory, ex->charged);
    JdHeaders_Finish(&ex->headers);
    JdBody_Unref(ex->request.body);
    JdBody_Unref(ex->response_body);
    if (ex->response != NULL) {
        g_byte_array_unref(ex->response);
    }
    g_free(ex);
}

static void
drop_input(JdServerConn *cn)
{
    if (cn->input != NULL) {
        JdMemory_Give(cn->server->memory, cn->input->len);
        g_byte_array_unref(cn->input);
        cn->input = NULL;
    }
}

static void
drop_partial(JdServerConn *cn)
{
    if (cn->partial != NULL) {
        JdServerExchange_Free(cn->partial);
        cn->partial = NULL;
    }
}

static void
free_conn(void *ctx)
{
    JdServerConn *cn = ctx;

    TAILQ_REMOVE(&cn->server->conns, cn, link);
    g_free(cn);
}

/*
 * Closes a connection and reports to the handler of each unanswered request
 * that the caller disconnected.  The memory is freed in the next round of the
 * loop, since functions up the call stack may still use it.
 */
void
JdServerConn_Close(JdServerConn *cn)
{
    JdServer *sv = cn->server;
    JdServerExchange *ex;

    if (cn->state == CONN_CLOSED) {
        return;
    }
    cn->state = CONN_CLOSED;
    JdServerRoom_Unwatch(cn);
    h2o_socket_close(cn->sock);
    cn->sock = NULL;
    JdOutput_Finish(&cn->output);
    drop_partial(cn);
    drop_input(cn);
    while ((ex = TAILQ_FIRST(&cn->pending)) != NULL) {
        TAILQ_REMOVE(&cn->pending, ex, link);
        if (ex->response == NULL) {
            sv->ops->disconnected(sv->ctx, &ex->request);
        }
        JdServerExchange_Free(ex);
    }
    cn->pending_count = 0;
    cn->timer.fire = free_conn;
    JdTimer_Arm(&sv->loop->clock, &cn->timer, 0);
}

/* ---- time limits ------------------------------------------------------- */

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
        return cn->pending_count > 0 || cn->output.size > 0 ||
               JdSocket_Unacked(cn->sock) > 0;
    }
}

/* Returns whether the caller has received bytes since this was asked last. */
static bool
has_taken_bytes(JdServerConn *cn)
{
    uint64_t taken = JdSocket_Acked(cn->sock);
    bool has_taken = taken != cn->taken;

    if (has_taken) {
        cn->taken = taken;
        cn->taken_at = JdClock_Now(&cn->server->loop->clock);
    }
    return has_taken;
}

/* Returns the time at which a request that is being received is given up. */
static uint64_t
partial_due(const JdServerConn *cn)
{
    uint64_t began_at = cn->partial->began_at;
    uint64_t stalled_at = cn->read_at + INPUT_STALL_TIMEOUT;

    if (!cn->partial->has_head) {
        return began_at + HEAD_TIMEOUT;
    }
    return MIN(began_at + REQUEST_TIMEOUT, stalled_at);
}

/* Returns the time at which the limits of a connection are checked next. */
static uint64_t
next_due(const JdServerConn *cn)
{
    uint64_t due = cn->read_at + IDLE_TIMEOUT;
    uint64_t now = JdClock_Now(&cn->server->loop->clock);

    if (due <= now) {
        due = now + IDLE_TIMEOUT;
    }
    if (cn->output.size > 0 && cn->taken_at + STALL_TIMEOUT < due) {
        due = cn->taken_at + STALL_TIMEOUT;
    }
    if (cn->partial != NULL && partial_due(cn) < due) {
        due = partial_due(cn);
    }
    return due;
}

/* Arms the timer if a limit comes sooner than what it is armed for. */
void
JdServerConn_ArmTimer(JdServerConn *cn)
{
    uint64_t now = JdClock_Now(&cn->server->loop->clock);
    uint64_t due;

    if (cn->state == CONN_CLOSED || cn->state == CONN_LINGER) {
        return;
    }
    due = next_due(cn);
    if (cn->due > now && cn->due <= due) {
        return;
    }
    cn->due = due;
    JdTimer_Arm(&cn->server->loop->clock, &cn->timer,
                due > now ? due - now : 0);
}

/* The caller closes, or still receives, or is given up. */
static void
check_linger(JdServerConn *cn)
{
    if (owes_bytes(cn) && has_taken_bytes(cn)) {
        JdTimer_Arm(&cn->server->loop->clock, &cn->timer,
                    LINGER_STALL_TIMEOUT);
        return;
    }
    JdServerConn_Close(cn);
}

/* Returns whether a connection that carries no request is to be closed. */
static bool
is_idle_too_long(JdServerConn *cn, uint64_t now)
{
    if (cn->pending_count > 0 || cn->output.size > 0 || cn->partial != NULL ||
        now - cn->read_at < IDLE_TIMEOUT) {
        return false;
    }
    return !owes_bytes(cn) || !has_taken_bytes(cn);
}

/* Returns whether the caller has not taken a byte of its responses for
 * `patience` us. */
bool
JdServerConn_IsStalled(JdServerConn *cn, uint64_t patience)
{
    uint64_t now = JdClock_Now(&cn->server->loop->clock);

    return cn->output.size > 0 && now - cn->taken_at >= patience &&
           !has_taken_bytes(cn);
}

/* Returns whether the caller has taken fewer than `bytes` of its responses in
 * `time` us.  It is watched from the first call on. */
bool
JdServerConn_IsSlower(JdServerConn *cn, uint64_t bytes, uint64_t time)
{
    uint64_t now = JdClock_Now(&cn->server->loop->clock);
    uint64_t taken = JdSocket_Acked(cn->sock);

    if (cn->paced_at == 0 || taken - cn->paced >= bytes) {
        cn->paced = taken;
        cn->paced_at = now;
    }
    return now - cn->paced_at >= time;
}

static void
on_timeout(void *ctx)
{
    JdServerConn *cn = ctx;
    JdServer *sv = cn->server;
    uint64_t now = JdClock_Now(&sv->loop->clock);

    cn->due = 0;
    if (cn->state == CONN_LINGER) {
        check_linger(cn);
        return;
    }
    if (cn->partial != NULL && now >= partial_due(cn)) {
        JdServerConn_Reject(cn, JD_SERVER_TOO_SLOW);
    }
    else if (JdServerConn_IsStalled(cn, STALL_TIMEOUT)) {
        JdServer_CountShed(sv, JD_SERVER_SHED_STALLED);
        JdServerConn_Close(cn);
    }
    else if (is_idle_too_long(cn, now)) {
        JdServerConn_Close(cn);
    }
    JdServerConn_ArmTimer(cn);
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
    JdServerConn_UpdateReading(cn);
}

static void
on_written(h2o_socket_t *sock, const char *err)
{
    JdServerConn *cn = sock->data;

    JdOutput_Written(&cn->output);
    if (err != NULL) {
        JdServerConn_Close(cn);
        return;
    }
    cn->taken_at = JdClock_Now(&cn->server->loop->clock);
    JdServerConn_SendResponses(cn);
    JdServerConn_Resume(cn);
}

/* Moves the responses up to the first request that is not answered yet to the
 * output. */
static void
collect_responses(JdServerConn *cn)
{
    JdServerExchange *ex;

    while ((ex = TAILQ_FIRST(&cn->pending)) != NULL && ex->response != NULL) {
        if (cn->output.size == 0) {
            cn->taken_at = JdClock_Now(&cn->server->loop->clock);
            cn->paced_at = 0;
        }
        JdOutput_Append(&cn->output, ex->response->data, ex->response->len);
        if (ex->response_body != NULL) {
            JdOutput_AppendBody(&cn->output, ex->response_body);
        }
        TAILQ_REMOVE(&cn->pending, ex, link);
        cn->pending_count--;
        JdServerExchange_Free(ex);
    }
}

/* Sends responses up to the first request that is not answered yet. */
void
JdServerConn_SendResponses(JdServerConn *cn)
{
    if (cn->state == CONN_CLOSED || cn->state == CONN_LINGER) {
        return;
    }
    collect_responses(cn);
    if (!JdOutput_Write(&cn->output, cn->sock, on_written) &&
        cn->state == CONN_FLUSHING && cn->pending_count == 0) {
        start_linger(cn);
        return;
    }
    JdServerConn_ArmTimer(cn);
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
void
JdServerConn_StopTakingRequests(JdServerConn *cn)
{
    if (cn->state != CONN_OPEN) {
        return;
    }
    cn->state = CONN_FLUSHING;
    drop_partial(cn);
    drop_input(cn);
}

/* Returns whether no response follows this one on its connection. */
static bool
is_last_response(const JdServerExchange *ex)
{
    return ex->conn->state == CONN_FLUSHING && TAILQ_NEXT(ex, link) == NULL;
}

static JdServerExchange *
exchange_of(JdServerRequest *rq)
{
    return (JdServerExchange *)((char *)rq -
                                offsetof(JdServerExchange, request));
}

/*
 * Answers a request.  `headers` is NULL or complete lines that end in CRLF;
 * `body` is NULL, or gets a reference.  The handler must not use the request
 * afterwards.
 */
void
JdServer_ReplyBody(JdServerRequest *rq, int status, const char *headers,
                   JdBody *body)
{
    JdServerExchange *ex = exchange_of(rq);
    JdServerConn *cn = ex->conn;
    size_t len = body == NULL ? 0 : body->len;
    GString *head = g_string_new(NULL);

    if (cn->server->closes_after_response) {
        JdServerConn_StopTakingRequests(cn);
    }
    g_string_printf(head, "HTTP/1.1 %d %s\r\n%scontent-length: %zu\r\n%s\r\n",
                    status, reason_phrase(status),
                    is_last_response(ex) ? "connection: close\r\n" : "", len,
                    headers == NULL ? "" : headers);
    ex->response = g_byte_array_sized_new((guint)head->len);
    g_byte_array_append(ex->response, (guint8 *)head->str, (guint)head->len);
    if (len > 0 && strcmp(rq->method, "HEAD") != 0) {
        ex->response_body = JdBody_Ref(body);
    }
    g_string_free(head, TRUE);
    JdServerConn_AdaptWindow(cn, status);
    JdServerConn_SendResponses(cn);
    JdServerConn_Resume(cn);
}

/* Answers a request with a copy of a body, which is small. */
void
JdServer_Reply(JdServerRequest *rq, int status, const char *headers,
               const void *body, size_t len)
{
    JdBody *b = JdBody_Own(exchange_of(rq)->conn->server->memory,
                           g_memdup2(body, len), len);

    JdServer_ReplyBody(rq, status, headers, b);
    JdBody_Unref(b);
}

/* ---- requests ---------------------------------------------------------- */

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

/* Answers a request that is not taken, and ends its connection after the
 * responses before it.  What has arrived of its body is dropped. */
void
JdServerConn_Reject(JdServerConn *cn, JdServerRejection why)
{
    JdServer *sv = cn->server;
    JdServerExchange *ex = cn->partial;

    if (ex == NULL) {
        ex = JdServerConn_StartExchange(cn);
    }
    if (ex->request.method == NULL) {
        ex->request.method = "";
    }
    JdBody_Clear(ex->request.body);
    cn->partial = NULL;
    TAILQ_INSERT_TAIL(&cn->pending, ex, link);
    cn->pending_count++;
    JdServerConn_StopTakingRequests(cn);
    if (sv->ops->reject != NULL) {
        sv->ops->reject(sv->ctx, &ex->request, why);
        return;
    }
    JdServer_Reply(&ex->request, rejection_status[why], NULL, NULL, 0);
}

/* ---- server ------------------------------------------------------------ */

/* Reports that a connection was closed, or takes no more requests. */
void
JdServer_CountShed(JdServer *sv, JdServerShed what)
{
    if (sv->ops->shed != NULL) {
        sv->ops->shed(sv->ctx, what);
    }
}

static void
add_conn(void *ctx, h2o_socket_t *sock)
{
    JdServer *sv = ctx;
    JdServerConn *cn = g_new0(JdServerConn, 1);

    cn->server = sv;
    cn->sock = sock;
    sock->data = cn;
    cn->read_at = JdClock_Now(&sv->loop->clock);
    TAILQ_INIT(&cn->pending);
    JdOutput_Init(&cn->output, sv->memory);
    JdServerConn_InitParser(cn);
    JdTimer_Init(&cn->timer, on_timeout, cn);
    TAILQ_INSERT_TAIL(&sv->conns, cn, link);
    JdServerConn_ArmTimer(cn);
    JdServerConn_StartReading(cn);
}

static const JdAcceptorOps acceptor_ops = {
    .accepted = add_conn,
    .make_room = JdServerRoom_FreeDescriptor,
    .limits_buffers = true,
};

/* Starts a server on an address.  Requests with a body above `max_body` bytes
 * are answered with 413. */
JdStatus
JdServer_Init(JdServer *sv, JdLoop *lp, const char *address, size_t max_body,
              const JdServerOps *ops, void *ctx, JdError *err)
{
    memset(sv, 0, sizeof(*sv));
    TAILQ_INIT(&sv->conns);
    sv->loop = lp;
    sv->max_body = max_body;
    sv->ops = ops;
    sv->ctx = ctx;
    JdServerRoom_Init(sv);
    return JdAcceptor_Init(&sv->acceptor, lp, address, &acceptor_ops, sv, err);
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

    if (sv->acceptor.listener == NULL) {
        return;
    }
    JdAcceptor_Finish(&sv->acceptor);
    JdServerRoom_Stop(sv);
    sv->closes_after_response = true;
    for (cn = TAILQ_FIRST(&sv->conns); cn != NULL; cn = next) {
        next = TAILQ_NEXT(cn, link);
        JdServerConn_StopTakingRequests(cn);
        JdServerConn_SendResponses(cn);
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

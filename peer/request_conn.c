/* Connections to other nodes that carry requests. */
#include <string.h>

#include "forward.h"

/* Time without input after which a connection is pinged. */
#define PING_DELAY (250 * JD_US_PER_MS)
/* Time without input after a ping, at which the other node is taken for
 * silent: it gets nothing new, and what can be done elsewhere is. */
#define PING_TIMEOUT (750 * JD_US_PER_MS)
/* Time in which a connection has to open. */
#define OPEN_TIMEOUT (1000 * JD_US_PER_MS)
/* Time without requests after which an idle connection is closed.  Pings keep
 * it usable until then, so a node should not keep one to each node that it has
 * ever sent a request to. */
#define IDLE_TIMEOUT (5 * JD_US_PER_S)
/* Time without input after which a connection is replaced before it carries a
 * request that must not run twice: on a dead connection its outcome would stay
 * unknown, so that it could not be retried. */
#define FRESH_TIMEOUT (1000 * JD_US_PER_MS)

/* Bytes in a connection whose other side does not take them, from which on
 * requests wait outside of it. */
#define REQUEST_BACKLOG_MAX 16384U

/* Removes an attempt from the connection that carries it, if any. */
void
JdRequestConn_RemoveAttempt(JdAttempt *att)
{
    if (att->request_conn != NULL) {
        TAILQ_REMOVE(&att->request_conn->attempts, att, conn_link);
        att->request_conn->outstanding--;
        att->request_conn->unsent -= !att->is_sent;
        att->request_conn = NULL;
    }
}

/* Lets new requests to the node go over another connection. */
static void
retire(JdNode *nd, JdRequestConn *rconn)
{
    JdRequestConn *current =
        g_hash_table_lookup(nd->request_conns, rconn->address);

    if (current == rconn) {
        g_hash_table_remove(nd->request_conns, rconn->address);
    }
}

static void
free_request_conn(JdNode *nd, JdRequestConn *rconn)
{
    retire(nd, rconn);
    g_free(rconn);
}

/* Logs the end of a connection that has failed. */
static void
log_end(JdNode *nd, const JdRequestConn *rconn, bool was_open)
{
    uint64_t heard_at =
        was_open ? rconn->conn->last_read_at : rconn->opened_at;

    JD_LOG(JD_EVENT_LANE, JD_TEXT("address", rconn->address),
           JD_TEXT("outcome", was_open ? "broken" : "not opened"),
           JD_TEXT("end", JdConnEnd_Name(rconn->conn->end)),
           JD_NUMBER("silent_ms",
                     (JdClock_Now(&nd->loop.clock) - heard_at) / JD_US_PER_MS),
           JD_NUMBER("tries", rconn->outstanding));
}

/* Fails an attempt whose connection has failed. */
static void
fail_attempt(JdAttempt *att, bool was_open)
{
    bool was_sent = was_open && att->is_sent;
    JdAttemptFailure failure = {.reason = was_sent ? JD_REASON_BROKEN
                                                   : JD_REASON_TARGET_DOWN,
                                .was_sent = was_sent};

    if (was_sent) {
        JdLostAttempt_Add(att);
    }
    JdForward_AttemptFailed(att, &failure);
}

/*
 * Frees a connection that has failed, and fails its attempts.  If it was never
 * open, the requests were not sent and cannot have run.
 */
static void
fail_request_conn(JdNode *nd, JdRequestConn *rconn, bool was_open)
{
    JdAttempt *att;

    retire(nd, rconn);
    log_end(nd, rconn, was_open);
    while ((att = TAILQ_FIRST(&rconn->attempts)) != NULL) {
        fail_attempt(att, was_open);
    }
    g_free(rconn);
}

/* Returns whether a request that is sent now would stay in this process. */
static bool
is_choked(const JdRequestConn *rconn)
{
    return !rconn->conn->is_open || rconn->is_probe ||
           JdConn_Backlog(rconn->conn) > REQUEST_BACKLOG_MAX;
}

/* Sends the attempts that wait, the oldest first, while bytes are taken. */
static void
send_waiting(JdRequestConn *rconn)
{
    JdAttempt *att;

    TAILQ_FOREACH(att, &rconn->attempts, conn_link)
    {
        if (rconn->unsent == 0 || is_choked(rconn)) {
            return;
        }
        if (!att->is_sent) {
            rconn->unsent--;
            JdForward_SendAttempt(att);
        }
    }
}

static void
send_ping(JdNode *nd, JdRequestConn *rconn)
{
    Jd__Ping msg = JD__PING__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    rconn->last_pinged_at = JdClock_Now(&nd->loop.clock);
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_PING;
    frame.ping = &msg;
    JdConn_Send(rconn->conn, &frame);
}

static void
on_opened(void *ctx, JdConn *conn)
{
    JdRequestConn *rconn = conn->user;

    rconn->last_used_at = conn->last_read_at;
    if (rconn->is_probe) {
        send_ping(ctx, rconn);
        return;
    }
    send_waiting(rconn);
}

/* The other node lives: requests are sent to it again. */
static void
end_silence(JdNode *nd, JdRequestConn *rconn)
{
    g_hash_table_remove(nd->silent_nodes, rconn->address);
    rconn->is_probe = false;
    if (rconn->is_silent) {
        rconn->is_silent = false;
        JD_LOG(JD_EVENT_LANE, JD_TEXT("address", rconn->address),
               JD_TEXT("outcome", "heard again"),
               JD_NUMBER("tries", rconn->outstanding));
    }
    send_waiting(rconn);
}

static void
on_drained(void *ctx, JdConn *conn)
{
    (void)ctx;
    send_waiting(conn->user);
}

/* Closes a connection to a node that is about to end, if nothing is owed. */
static bool
close_finished(JdNode *nd, JdRequestConn *rconn)
{
    if (!rconn->is_finishing || rconn->outstanding > 0) {
        return false;
    }
    JdConn_Close(rconn->conn);
    free_request_conn(nd, rconn);
    return true;
}

/* The other node is about to end: what it was sent will be answered, the rest
 * is sent elsewhere. */
static void
on_finish(JdNode *nd, JdRequestConn *rconn)
{
    JdAttemptFailure failure = {.reason = JD_REASON_DRAINING};

    retire(nd, rconn);
    rconn->is_finishing = true;
    while (rconn->unsent > 0) {
        JdForward_AttemptFailed(
            TAILQ_LAST(&rconn->attempts, RequestConnAttempts), &failure);
    }
}

static void
on_frame(void *ctx, JdConn *conn, Jd__Frame *frame)
{
    JdRequestConn *rconn = conn->user;

    if (rconn->is_silent || rconn->is_probe) {
        end_silence(ctx, rconn);
    }
    if (frame->body_case == JD__FRAME__BODY_RESPONSE) {
        JdAnswer_OnResponse(ctx, frame->response, conn->body);
    }
    else if (frame->body_case == JD__FRAME__BODY_CHUNK) {
        JdAnswer_OnChunk(ctx, frame->chunk);
    }
    else if (frame->body_case == JD__FRAME__BODY_FINISH) {
        on_finish(ctx, rconn);
    }
    else {
        JdAccounts_OnFrame(ctx, conn, frame);
    }
    /* It may have been replaced and freed meanwhile. */
    if (!conn->is_closing) {
        close_finished(ctx, rconn);
    }
}

static void
on_closed(void *ctx, JdConn *conn)
{
    /* Opening sets last_read_at, so 0 means that it was never open. */
    fail_request_conn(ctx, conn->user, conn->last_read_at != 0);
}

/* There is no room for an answer. */
static void
on_dropped(void *ctx, JdConn *conn, const JdFrameHead *head)
{
    JdRequestConn *rconn = conn->user;

    JdLimits_LogShortage(ctx, "answer");
    if (rconn->is_silent || rconn->is_probe) {
        end_silence(ctx, rconn);
    }
    JdAnswer_OnDropped(ctx, head->id);
}

static const JdConnOps conn_ops = {on_opened, on_frame, on_closed, on_drained,
                                   on_dropped};

static JdRequestConn *
open_request_conn(JdNode *nd, const JdMember *mb)
{
    char dial_address[JD_ADDRESS_MAX];
    JdRequestConn *rconn;
    JdConn *conn;

    JdAddress_Translate(nd->settings.translation_rules, mb->peer_address,
                        dial_address, sizeof(dial_address));
    conn = JdConn_Dial(&nd->conns, dial_address, &conn_ops, nd);
    if (conn == NULL) {
        return NULL;
    }
    rconn = g_new0(JdRequestConn, 1);
    g_strlcpy(rconn->address, mb->peer_address, sizeof(rconn->address));
    g_strlcpy(rconn->member, mb->id, sizeof(rconn->member));
    rconn->conn = conn;
    rconn->opened_at = JdClock_Now(&nd->loop.clock);
    rconn->last_used_at = rconn->opened_at;
    rconn->is_probe = g_hash_table_contains(nd->silent_nodes, rconn->address);
    TAILQ_INIT(&rconn->attempts);
    conn->user = rconn;
    conn->carries_requests = true;
    conn->is_cross_region = strcmp(mb->region, nd->settings.region) != 0;
    g_hash_table_replace(nd->request_conns, rconn->address, rconn);
    return rconn;
}

/* Returns whether a request may be sent on a connection.  With `needs_fresh`,
 * an open connection without recent input is not used. */
static bool
is_usable(const JdRequestConn *rconn, bool needs_fresh, uint64_t now)
{
    const JdConn *conn = rconn->conn;

    if (!conn->is_open) {
        return !conn->is_closing;
    }
    return JdConn_IsPeerOpen(conn) &&
           !(needs_fresh && now - conn->last_read_at > FRESH_TIMEOUT);
}

/*
 * Returns the connection to a member, or NULL when it cannot be opened.  One
 * that is not usable any more is replaced.
 */
JdRequestConn *
JdRequestConn_Get(JdNode *nd, const JdMember *mb, bool needs_fresh)
{
    JdRequestConn *rconn =
        g_hash_table_lookup(nd->request_conns, mb->peer_address);
    uint64_t now = JdClock_Now(&nd->loop.clock);

    if (rconn != NULL && !is_usable(rconn, needs_fresh, now)) {
        /* The old connection stays until its attempts have ended. */
        g_hash_table_remove(nd->request_conns, mb->peer_address);
        if (rconn->outstanding == 0) {
            JdConn_Close(rconn->conn);
            g_free(rconn);
        }
        rconn = NULL;
    }
    return rconn != NULL ? rconn : open_request_conn(nd, mb);
}

/* Returns whether a silent node may still answer an attempt. */
static bool
may_be_answered(const JdAttempt *att)
{
    return att->is_sent && !JdLostAttempt_IsFinal(att);
}

/* Returns an attempt that need not wait for a silent node, or NULL. */
static JdAttempt *
find_hopeless(const JdRequestConn *rconn)
{
    JdAttempt *att;

    TAILQ_FOREACH(att, &rconn->attempts, conn_link)
    {
        if (!may_be_answered(att)) {
            return att;
        }
    }
    return NULL;
}

/* Fails what need not wait for a silent node.  Closes the connection when
 * nothing is left that does, and frees it. */
static void
reduce_silent(JdNode *nd, JdRequestConn *rconn)
{
    JdAttempt *att;

    while ((att = find_hopeless(rconn)) != NULL) {
        JdForward_SendCancel(att);
        fail_attempt(att, true);
    }
    if (rconn->outstanding == 0) {
        JdConn_Abort(rconn->conn);
        free_request_conn(nd, rconn);
    }
}

/* Makes the attempts that wait for a silent node elsewhere as well, where that
 * is allowed. */
static void
hedge_waiting(JdRequestConn *rconn)
{
    JdAttempt *att, *next;

    for (att = TAILQ_FIRST(&rconn->attempts); att != NULL; att = next) {
        next = TAILQ_NEXT(att, conn_link);
        if (may_be_answered(att) && att->call->active_count == 1) {
            JdForward_Hedge(att->call);
        }
    }
}

/*
 * The other node does not answer: it has ended, is cut off, or stands still
 * and will go on.  It gets no new requests until it answers on some
 * connection.
 */
static void
begin_silence(JdNode *nd, JdRequestConn *rconn)
{
    rconn->is_silent = true;
    rconn->conn->end = JD_CONN_SILENT;
    g_hash_table_add(nd->silent_nodes, g_strdup(rconn->address));
    retire(nd, rconn);
    log_end(nd, rconn, true);
    JdBalancer_RecordSilence(&nd->balancer, rconn->member);
    hedge_waiting(rconn);
    reduce_silent(nd, rconn);
}

/* Gives up a connection that does not open, or on which the other node gives
 * no sign of life in time. */
static bool
check_opening(JdNode *nd, JdRequestConn *rconn, uint64_t now)
{
    JdConn *conn = rconn->conn;

    if ((conn->is_open && !rconn->is_probe) ||
        now - rconn->opened_at <= OPEN_TIMEOUT) {
        return false;
    }
    JdConn_Close(conn);
    fail_request_conn(nd, rconn, false);
    return true;
}

static bool
is_unanswered(const JdRequestConn *rconn, uint64_t now)
{
    return rconn->last_pinged_at > rconn->conn->last_read_at &&
           now - rconn->last_pinged_at > PING_TIMEOUT;
}

/* Pings a connection without recent input.  One that has not been used for
 * long is closed, and so is one to a silent node, unless it may still bring an
 * answer. */
static void
check_request_conn(JdNode *nd, JdConn *conn)
{
    JdRequestConn *rconn = conn->user;
    uint64_t now = JdClock_Now(&nd->loop.clock);

    if (rconn->is_silent) {
        reduce_silent(nd, rconn);
        return;
    }
    if (close_finished(nd, rconn)) {
        return;
    }
    if (rconn->outstanding == 0 && now - rconn->last_used_at > IDLE_TIMEOUT) {
        JdConn_Close(conn);
        free_request_conn(nd, rconn);
        return;
    }
    if (check_opening(nd, rconn, now)) {
        return;
    }
    if (is_unanswered(rconn, now) && !rconn->is_probe) {
        begin_silence(nd, rconn);
    }
    else if (conn->is_open && now - conn->last_read_at >= PING_DELAY &&
             rconn->last_pinged_at <= conn->last_read_at) {
        send_ping(nd, rconn);
    }
}

/* Adds an attempt to the connection that carries its request, and sends the
 * request unless it would wait in this process: there it can be cancelled. */
void
JdRequestConn_AddAttempt(JdRequestConn *rconn, JdAttempt *att)
{
    att->request_conn = rconn;
    TAILQ_INSERT_TAIL(&rconn->attempts, att, conn_link);
    rconn->outstanding++;
    rconn->last_used_at = JdClock_Now(&att->call->node->loop.clock);
    if (rconn->unsent > 0 || is_choked(rconn)) {
        rconn->unsent++;
        return;
    }
    JdForward_SendAttempt(att);
}

/* Checks all connections that carry requests; to be called regularly. */
void
JdRequestConn_CheckAll(JdNode *nd)
{
    JdConn *conn, *next;

    for (conn = TAILQ_FIRST(&nd->conns.conns); conn != NULL; conn = next) {
        next = TAILQ_NEXT(conn, link);
        if (conn->carries_requests && !conn->is_closing) {
            check_request_conn(nd, conn);
        }
    }
}

/* Initializes a node without request connections. */
void
JdRequestConn_Init(JdNode *nd)
{
    nd->request_conns = g_hash_table_new(g_str_hash, g_str_equal);
    nd->silent_nodes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

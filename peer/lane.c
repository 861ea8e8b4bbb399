/* Connections to other nodes that carry requests. */
#include <string.h>

#include "forward.h"

/* Idle time after which a connection is pinged. */
#define PING_AFTER (250 * JD_US_PER_MS)
/* Silence with calls outstanding after which a connection is dead. */
#define DEAD_AFTER (1000 * JD_US_PER_MS)
/* Idle time after which a connection is closed. */
#define CLOSE_AFTER (30 * JD_US_PER_S)
/* Age of the last word above which work that must not run twice is sent over
 * a new connection. */
#define PROVED_WITHIN (1000 * JD_US_PER_MS)

/* Takes a try off its connection, if it is on one. */
void
JdRequestConn_RemoveAttempt(JdAttempt *tr)
{
    if (tr->request_conn != NULL) {
        TAILQ_REMOVE(&tr->request_conn->attempts, tr, conn_link);
        tr->request_conn->outstanding--;
        tr->request_conn = NULL;
    }
}

static void
free_lane(JdNode *nd, JdRequestConn *lane)
{
    JdRequestConn *known =
        g_hash_table_lookup(nd->request_conns, lane->address);

    if (known == lane) {
        g_hash_table_remove(nd->request_conns, lane->address);
    }
    g_free(lane);
}

/* All tries on a lane fail; those that were not sent certainly did not run. */
static void
fail_lane(JdNode *nd, JdRequestConn *lane, bool was_open)
{
    JdRequestConn *known =
        g_hash_table_lookup(nd->request_conns, lane->address);
    JdAttemptFailure why = {.reason = was_open ? JD_REASON_BROKEN
                                               : JD_REASON_TARGET_DOWN,
                            .was_sent = was_open};
    JdAttempt *tr;

    if (known == lane) {
        g_hash_table_remove(nd->request_conns, lane->address);
    }
    JD_LOG(JD_EVENT_LANE, JD_TEXT("address", lane->address),
           JD_TEXT("outcome", was_open ? "broken" : "not opened"),
           JD_NUMBER("tries", lane->outstanding));
    while ((tr = TAILQ_FIRST(&lane->attempts)) != NULL) {
        JdForward_AttemptFailed(tr, &why);
    }
    g_free(lane);
}

static void
on_opened(void *ctx, JdConn *conn)
{
    (void)ctx;
    ((JdRequestConn *)conn->user)->last_used_at = conn->last_read_at;
}

static void
on_frame(void *ctx, JdConn *conn, Jd__Frame *frame)
{
    (void)conn;
    if (frame->body_case == JD__FRAME__BODY_RESPONSE) {
        JdForward_OnResponse(ctx, frame->response);
    }
}

static void
on_closed(void *ctx, JdConn *conn)
{
    /* A connection that was never heard of was never open. */
    fail_lane(ctx, conn->user, conn->last_read_at != 0);
}

static const JdConnOps lane_ops = {on_opened, on_frame, on_closed};

static JdRequestConn *
open_lane(JdNode *nd, const JdMember *mb)
{
    char to[JD_ADDRESS_MAX];
    JdRequestConn *lane;
    JdConn *conn;

    JdAddress_Translate(nd->settings.translation_rules, mb->peer, to,
                        sizeof(to));
    conn = JdConn_Dial(&nd->conns, to, &lane_ops, nd);
    if (conn == NULL) {
        return NULL;
    }
    lane = g_new0(JdRequestConn, 1);
    g_strlcpy(lane->address, mb->peer, sizeof(lane->address));
    lane->conn = conn;
    lane->last_used_at = JdClock_Now(&nd->loop.clock);
    TAILQ_INIT(&lane->attempts);
    conn->user = lane;
    conn->carries_requests = true;
    conn->is_cross_region = strcmp(mb->region, nd->settings.region) != 0;
    g_hash_table_replace(nd->request_conns, lane->address, lane);
    return lane;
}

/*
 * Returns the lane to a member.  Work that must not run twice gets a lane
 * that was proved to work a moment ago, or a new one.
 */
JdRequestConn *
JdRequestConn_Get(JdNode *nd, const JdMember *mb, bool needs_proof)
{
    JdRequestConn *lane = g_hash_table_lookup(nd->request_conns, mb->peer);
    uint64_t now = JdClock_Now(&nd->loop.clock);

    if (lane != NULL && needs_proof && lane->conn->is_open &&
        now - lane->conn->last_read_at > PROVED_WITHIN) {
        /* The old lane ends when its calls have. */
        g_hash_table_remove(nd->request_conns, mb->peer);
        if (lane->outstanding == 0) {
            JdConn_Close(lane->conn);
            g_free(lane);
        }
        lane = NULL;
    }
    return lane != NULL ? lane : open_lane(nd, mb);
}

static void
ping(JdNode *nd, JdRequestConn *lane)
{
    Jd__Ping msg = JD__PING__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    lane->last_pinged_at = JdClock_Now(&nd->loop.clock);
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_PING;
    frame.ping = &msg;
    JdConn_Send(lane->conn, &frame);
}

/* Pings an idle lane, and closes one that is silent or unused. */
static void
tend_lane(JdNode *nd, JdConn *conn)
{
    JdRequestConn *lane = conn->user;
    uint64_t now = JdClock_Now(&nd->loop.clock);
    uint64_t since = conn->last_read_at > lane->last_used_at
                         ? conn->last_read_at
                         : lane->last_used_at;

    if (lane->outstanding == 0 && now - lane->last_used_at > CLOSE_AFTER) {
        JdConn_Close(conn);
        free_lane(nd, lane);
        return;
    }
    if (lane->last_pinged_at > conn->last_read_at &&
        now - since > DEAD_AFTER) {
        JdConn_Close(conn);
        fail_lane(nd, lane, conn->last_read_at != 0);
        return;
    }
    if (conn->is_open && now - conn->last_read_at >= PING_AFTER &&
        lane->last_pinged_at <= conn->last_read_at) {
        ping(nd, lane);
    }
    else if (!conn->is_open && now - since > DEAD_AFTER) {
        JdConn_Close(conn);
        fail_lane(nd, lane, false);
    }
}

/* Puts a try on a connection. */
void
JdRequestConn_AddAttempt(JdRequestConn *lane, JdAttempt *tr)
{
    tr->request_conn = lane;
    TAILQ_INSERT_TAIL(&lane->attempts, tr, conn_link);
    lane->outstanding++;
    lane->last_used_at = JdClock_Now(&tr->call->node->loop.clock);
}

/* Looks after all connections that carry requests. */
void
JdRequestConn_CheckAll(JdNode *nd)
{
    JdConn *conn, *next;

    for (conn = TAILQ_FIRST(&nd->conns.conns); conn != NULL; conn = next) {
        next = TAILQ_NEXT(conn, link);
        if (conn->carries_requests && !conn->is_closing) {
            tend_lane(nd, conn);
        }
    }
}

/* Initializes a node without such connections. */
void
JdRequestConn_Init(JdNode *nd)
{
    nd->request_conns = g_hash_table_new(g_str_hash, g_str_equal);
}

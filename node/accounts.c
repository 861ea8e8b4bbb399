/*
 * Connects the quotas of client accounts to the node: passes them the frames
 * of its connections, and implements the callbacks through which they send
 * frames, read the configuration and report changes.
 */
#include <string.h>

#include "../peer/forward.h"

static uint64_t
read_clock(void *ctx)
{
    (void)ctx;
    return JdLoop_BootClock();
}

static bool
get_account(void *ctx, const char *name, JdAccount *out)
{
    const JdNode *nd = ctx;

    return JdConfig_GetAccount(nd->store.config, name, out);
}

static void
send_to_member(void *ctx, const JdMember *mb, Jd__Frame *frame)
{
    JdNode *nd = ctx;
    JdRequestConn *rconn = JdRequestConn_Get(nd, mb, false);

    if (rconn != NULL) {
        rconn->last_used_at = JdClock_Now(&nd->loop.clock);
        frame->version = nd->store.config->version;
        JdConn_Send(rconn->conn, frame);
    }
}

static void
send_to_peer(void *ctx, void *peer, Jd__Frame *frame)
{
    const JdNode *nd = ctx;

    frame->version = nd->store.config->version;
    JdConn_Send(peer, frame);
}

static void
on_changed(void *ctx, JdQuotaEvent event, unsigned shard, const char *name)
{
    static const char *const outcomes[JD_QUOTA_EVENT_MAX] = {
        [JD_QUOTA_ENROLLED] = "enrolled",
        [JD_QUOTA_UNLENT] = "own part",
        [JD_QUOTA_EXHAUSTED] = "exhausted",
        [JD_QUOTA_HAS_ROOM] = "has room",
    };
    bool is_account =
        event == JD_QUOTA_EXHAUSTED || event == JD_QUOTA_HAS_ROOM;

    (void)ctx;
    JD_LOG(JD_EVENT_QUOTA, JD_TEXT("outcome", outcomes[event]),
           JD_NUMBER("shard", shard),
           JD_TEXT(is_account ? "account" : "allocator", name));
}

static const JdQuotaOps quota_ops = {
    .read_clock = read_clock,
    .get_account = get_account,
    .send_to_member = send_to_member,
    .send_to_peer = send_to_peer,
    .changed = on_changed,
};

/* Handles a frame that concerns quotas.  Returns false for others. */
bool
JdAccounts_OnFrame(JdNode *nd, JdConn *conn, const Jd__Frame *frame)
{
    switch (frame->body_case) {
    case JD__FRAME__BODY_QUOTA_REPORT:
        JdQuota_HandleReport(&nd->quota, conn, frame->quota_report);
        return true;
    case JD__FRAME__BODY_QUOTA_ASK:
        JdQuota_HandleAsk(&nd->quota, conn, frame->quota_ask);
        return true;
    case JD__FRAME__BODY_QUOTA_GRANT:
        JdQuota_HandleGrant(&nd->quota, frame->quota_grant);
        return true;
    default:
        return false;
    }
}

/* Handles a new version in force, or a change of readiness. */
void
JdAccounts_OnStatusChanged(JdNode *nd)
{
    JdQuota_SetActive(&nd->quota, nd->tree.is_ready &&
                                      JdConfig_HasRates(nd->store.config));
}

/* Initializes the quotas, once the tree is. */
void
JdAccounts_Init(JdNode *nd)
{
    JdQuota_Init(&nd->quota, &quota_ops, nd, &nd->loop.clock, &nd->tree.random,
                 &nd->counters, &nd->tree.members, nd->settings.node);
    TAILQ_INIT(&nd->quota_requests);
}

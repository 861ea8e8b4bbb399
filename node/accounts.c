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

/* Logs that an account at this allocator has no more tokens, or has again. */
static void
log_account(const JdNode *nd, const char *outcome, const char *name)
{
    JdAccount account = {.rate = 0};

    JdConfig_GetAccount(nd->store.config, name, &account);
    JD_LOG(JD_EVENT_QUOTA, JD_TEXT("outcome", outcome),
           JD_TEXT("account", name), JD_NUMBER("rate_per_1000s", account.rate),
           JD_NUMBER("burst", account.burst),
           JD_NUMBER("version", nd->store.config->version));
}

static void
on_changed(void *ctx, JdQuotaEvent event, unsigned shard, const char *name)
{
    switch (event) {
    case JD_QUOTA_EXHAUSTED:
        log_account(ctx, "exhausted", name);
        break;
    case JD_QUOTA_HAS_ROOM:
        log_account(ctx, "has room", name);
        break;
    default:
        JD_LOG(JD_EVENT_QUOTA,
               JD_TEXT("outcome",
                       event == JD_QUOTA_ENROLLED ? "enrolled" : "own part"),
               JD_TEXT("allocator", name), JD_NUMBER("shard", shard));
        break;
    }
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

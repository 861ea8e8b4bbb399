/*
 * Connects the distribution tree to the node: passes it the frames of its
 * connections, and implements the callbacks through which it opens
 * connections, uses the node's configuration source and reports changes.
 */
#include <string.h>

#include "../node/node.h"

static void
on_opened(void *ctx, JdConn *conn)
{
    JdNode *nd = ctx;

    JdTree_Connected(&nd->tree, conn);
}

static void
submit_request(JdNode *nd, JdConn *conn, Jd__Frame *frame)
{
    Jd__Request *msg = frame->request;
    JdBody *body = conn->body;

    /* The target owns the message from here on. */
    frame->request = NULL;
    frame->body_case = JD__FRAME__BODY__NOT_SET;
    body = body != NULL
               ? JdBody_Ref(body)
               : JdBody_Own(&nd->memory, msg->body.data, msg->body.len);
    JdRequest_SetBody(msg, body);
    nd->target_ops->submit(nd->target_ctx, msg, body, conn);
}

/* Refuses a request that this node has no room for. */
static void
on_dropped(void *ctx, JdConn *conn, const JdFrameHead *head)
{
    JdNode *nd = ctx;
    Jd__Request msg = JD__REQUEST__INIT;
    JdTargetRefusal refusal = {JD_REASON_NO_MEMORY, false, 0};

    JdLimits_LogShortage(nd, "request of a node");
    if (head->kind == JD__FRAME__BODY_REQUEST) {
        msg.id = head->id;
        JdTargetResponse_Refuse(nd, &msg, conn, &refusal);
    }
}

static void
reply_to_ping(JdNode *nd, JdConn *conn, const Jd__Ping *msg)
{
    Jd__Ping pong = JD__PING__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (msg->answer) {
        return;
    }
    pong.answer = true;
    frame.version = nd->store.config->version;
    frame.body_case = JD__FRAME__BODY_PING;
    frame.ping = &pong;
    JdConn_Send(conn, &frame);
}

/* Handles a frame on a connection that was accepted, or opened by the tree. */
static void
on_frame(void *ctx, JdConn *conn, Jd__Frame *frame)
{
    JdNode *nd = ctx;

    if (JdAccounts_OnFrame(nd, conn, frame)) {
        return;
    }
    switch (frame->body_case) {
    case JD__FRAME__BODY_REQUEST:
        submit_request(nd, conn, frame);
        break;
    case JD__FRAME__BODY_CANCEL:
        nd->target_ops->cancel(nd->target_ctx, frame->cancel->id, conn);
        JdBulk_Cancel(nd, frame->cancel->id, conn);
        break;
    case JD__FRAME__BODY_PING:
        reply_to_ping(nd, conn, frame->ping);
        break;
    case JD__FRAME__BODY_JOIN:
        conn->is_cross_region =
            strcmp(frame->join->region, nd->settings.region) != 0;
        JdTree_HandleFrame(&nd->tree, conn, frame);
        break;
    default:
        JdTree_HandleFrame(&nd->tree, conn, frame);
        break;
    }
}

static void
on_closed(void *ctx, JdConn *conn)
{
    JdNode *nd = ctx;

    nd->target_ops->conn_closed(nd->target_ctx, conn);
    JdQuota_PeerClosed(&nd->quota, conn);
    JdBulk_ConnClosed(nd, conn);
    JdTree_Closed(&nd->tree, conn);
}

static const JdConnOps conn_ops = {.opened = on_opened,
                                   .frame = on_frame,
                                   .closed = on_closed,
                                   .dropped = on_dropped};

/* Returns whether the node with a peer address is known to be in another
 * region, as a member or from the directory. */
static bool
is_in_other_region(const JdNode *nd, const char *address)
{
    const JdMember *mb;

    TAILQ_FOREACH(mb, &nd->tree.members.all, link)
    {
        if (strcmp(mb->peer_address, address) == 0) {
            return strcmp(mb->region, nd->settings.region) != 0;
        }
    }
    for (unsigned i = 0; i < nd->tree.directory_len; i++) {
        const JdDirectoryEntry *entry = &nd->tree.directory[i];

        if (strcmp(entry->address, address) == 0) {
            return strcmp(entry->region, nd->settings.region) != 0;
        }
    }
    return false;
}

static void *
dial(void *ctx, const char *address)
{
    JdNode *nd = ctx;
    char dial_address[JD_ADDRESS_MAX];
    JdConn *conn;

    JdAddress_Translate(nd->settings.translation_rules, address, dial_address,
                        sizeof(dial_address));
    conn = JdConn_Dial(&nd->conns, dial_address, &conn_ops, nd);
    if (conn != NULL) {
        conn->is_cross_region = is_in_other_region(nd, address);
    }
    return conn;
}

static void
send_frame(void *ctx, void *peer, Jd__Frame *frame)
{
    (void)ctx;
    JdConn_Send(peer, frame);
}

static void
close_conn(void *ctx, void *peer)
{
    (void)ctx;
    JdConn_Close(peer);
}

static size_t
backlog(void *ctx, void *peer)
{
    (void)ctx;
    return JdConn_Backlog(peer);
}

/* Appends the version in force to the ring of applied versions, unless it is
 * the last entry. */
static void
record_applied_version(JdNode *nd)
{
    uint64_t version = nd->store.config->version;
    unsigned last = (nd->applied_count + JD_APPLIED_MAX - 1) % JD_APPLIED_MAX;
    JdAppliedVersion *entry;

    if (nd->applied_count > 0 && nd->applied[last].version == version) {
        return;
    }
    entry = &nd->applied[nd->applied_count % JD_APPLIED_MAX];
    JD_LOG(JD_EVENT_VERSION, JD_NUMBER("version", version),
           JD_NUMBER("source_age_ms",
                     JdTree_SourceAge(&nd->tree) / JD_US_PER_MS));
    entry->version = version;
    entry->applied_at = JdLoop_WallClock();
    nd->applied_count++;
}

/* Handles a new version in force, or a change of readiness. */
static void
on_status_changed(void *ctx)
{
    JdNode *nd = ctx;
    bool is_starting = nd->tree.state == JD_MEMBER_STARTING;

    record_applied_version(nd);
    JdAccounts_OnStatusChanged(nd);
    nd->is_shortage_asked = JdConfig_AsksForShares(nd->store.config);
    if (nd->config_source->status_changed != NULL) {
        nd->config_source->status_changed(nd);
    }
    if (nd->tree.is_ready && is_starting) {
        JD_LOG(JD_EVENT_READY,
               JD_NUMBER("version", nd->store.config->version));
        JdDeparture_OnNodeReady(nd);
        nd->target_ops->node_ready(nd->target_ctx);
    }
}

static void
on_parent_changed(void *ctx, const char *id)
{
    const JdNode *nd = ctx;

    JD_LOG(JD_EVENT_PARENT, JD_TEXT("outcome", id == NULL ? "lost" : "joined"),
           JD_TEXT("parent", nd->tree.parent.id),
           JD_NUMBER("version", nd->store.config->version),
           JD_NUMBER("members", nd->tree.members.count));
}

static void
on_member_changed(void *ctx, const JdMember *mb, JdMemberState old)
{
    (void)ctx;
    JD_LOG(
        JD_EVENT_MEMBER, JD_TEXT("member", mb->id),
        JD_TEXT("state", JdMemberState_Name(mb->state)),
        JD_TEXT("was", JdMemberState_Name(old)), JD_TEXT("via", mb->parent_id),
        JD_NUMBER("incarnation", mb->incarnation), JD_NUMBER("seq", mb->seq));
}

static void
on_target_replaced(void *ctx, const JdMember *mb, uint64_t started)
{
    JdLostAttempt_OnTargetReplaced(ctx, mb, started);
}

static void
on_target_left_learned(void *ctx)
{
    JdDeparture_OnTold(ctx);
}

static void
read_directory(void *ctx)
{
    ((JdNode *)ctx)->config_source->read_directory(ctx);
}

static void
register_head(void *ctx)
{
    ((JdNode *)ctx)->config_source->register_head(ctx);
}

static void
deregister_head(void *ctx, const char *id)
{
    JdNode *nd = ctx;

    JD_LOG(JD_EVENT_HEAD, JD_TEXT("outcome", "withdrawn"),
           JD_TEXT("head", id));
    if (nd->config_source->deregister_head != NULL) {
        nd->config_source->deregister_head(nd, id);
    }
}

static void
read_log(void *ctx, bool on)
{
    JdNode *nd = ctx;

    nd->config_source->read_log(nd, on);
    JdCrashStore_SetReader(nd, on);
}

static void
on_crashes_changed(void *ctx)
{
    JdCrashStore_OnChanged(ctx);
}

static void
on_rollout_changed(void *ctx, JdRollout *ro)
{
    JdRolloutNode_OnChanged(ctx, ro);
}

static unsigned
count_old_running(void *ctx, const JdRollout *ro)
{
    return JdForward_CountOldRunning(ctx, ro);
}

/* What this node keeps at the source may be gone, whoever told of it. */
static void
on_epoch_changed(void *ctx)
{
    JdCrashStore_OnChanged(ctx);
    JdDeparture_OnEpochChanged(ctx);
}

static const JdTreeOps tree_ops = {
    .dial = dial,
    .send = send_frame,
    .close = close_conn,
    .backlog = backlog,
    .read_directory = read_directory,
    .register_head = register_head,
    .deregister_head = deregister_head,
    .read_log = read_log,
    .status_changed = on_status_changed,
    .parent_changed = on_parent_changed,
    .member_changed = on_member_changed,
    .target_replaced = on_target_replaced,
    .target_left_learned = on_target_left_learned,
    .epoch_changed = on_epoch_changed,
    .crashes_changed = on_crashes_changed,
    .rollout_changed = on_rollout_changed,
    .count_old_running = count_old_running,
};

/* Copies this node's identity from its settings. */
static void
fill_identity(const JdNode *nd, JdTreeIdentity *id)
{
    const JdSettings *s = &nd->settings;

    memset(id, 0, sizeof(*id));
    id->incarnation = JdLoop_WallClock();
    g_strlcpy(id->id, s->node, sizeof(id->id));
    g_strlcpy(id->region, s->region, sizeof(id->region));
    g_strlcpy(id->domain, s->failure_domain, sizeof(id->domain));
    g_strlcpy(id->peer_address, s->peer_address, sizeof(id->peer_address));
    g_strlcpy(id->admin_address, s->admin_address, sizeof(id->admin_address));
    id->link_kbps = (unsigned)s->link_kbps;
    g_strlcpy(id->log_region, s->log_region, sizeof(id->log_region));
    g_strlcpy(id->service, s->service, sizeof(id->service));
    g_strlcpy(id->endpoint_set, s->endpoint_set, sizeof(id->endpoint_set));
    id->slots = (unsigned)s->slots;
}

/* Initializes the tree and accepts connections of other nodes. */
JdStatus
JdTreeLink_Init(JdNode *nd, JdError *err)
{
    JdTreeIdentity id;

    fill_identity(nd, &id);
    JdTree_Init(&nd->tree, &id, JdPreset_Tuning(nd->settings.preset),
                &nd->store, &nd->loop.clock, &nd->counters, &tree_ops, nd);
    JdAccounts_Init(nd);
    JdCrashStore_Init(nd);
    JdRolloutNode_Init(nd);
    JdConnSet_Init(&nd->conns, &nd->loop, &nd->memory, &nd->counters);
    return JdConnSet_Listen(&nd->conns, nd->settings.peer_address, &conn_ops,
                            nd, err);
}

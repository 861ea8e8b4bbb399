/*
 * Distribution tree, over which configuration versions and member updates
 * travel.
 *
 * Each node has one parent.  Each failure domain has a few head nodes, ranked
 * by the offset of their record in the directory stream.  A head joins a head
 * of its region with a lower rank; the lowest-ranked head of a region joins a
 * head of the log's region, and the lowest-ranked head there is the root,
 * which reads the log.  Other nodes join a head of their domain, which
 * redirects them to its children once it has enough.
 *
 * A head that finds no parent becomes a root too.  Several roots cost traffic
 * but not correctness: the log alone decides on versions, and no node applies
 * a version that is not newer than its own.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"
#include "libtree.h"

/* A child with more queued bytes than this is sent no new delta. */
#define BACKLOG_LIMIT (256U << 10)
/* Time for which the parent may stay ahead before the node pulls from it. */
#define PULL_DELAY (2 * JD_US_PER_S)
/* Minimum time between two pulls from peers other than the parent. */
#define PULL_INTERVAL (20 * JD_US_PER_MS)
/* Time for which lost and departed members stay in the table. */
#define MEMBER_RETENTION (3600 * JD_US_PER_S)

static void on_heartbeat_timer(void *ctx);
static void on_push_timer(void *ctx);

/* Initializes a tree, which does nothing until JdTree_Start. */
void
JdTree_Init(JdTree *tr, const JdTreeIdentity *self, const JdTreeTuning *tuning,
            JdStore *st, JdClock *clk, JdCounters *ctr, const JdTreeOps *ops,
            void *ctx)
{
    memset(tr, 0, sizeof(*tr));
    tr->self = *self;
    tr->tuning = *tuning;
    tr->store = st;
    tr->clock = clk;
    tr->counters = ctr;
    tr->ops = ops;
    tr->ctx = ctx;
    tr->state = JD_MEMBER_STARTING;
    TAILQ_INIT(&tr->children);
    JdMembers_Init(&tr->members, clk, ctr);
    tr->members.self_id = tr->self.id;
    tr->members.state_changed = ops->member_changed;
    tr->members.target_replaced = ops->target_replaced;
    tr->members.ctx = ctx;
    JdRandom_Init(&tr->random, _Jd_HashText(self->id, self->incarnation));
    JdTimer_Init(&tr->heartbeat_timer, on_heartbeat_timer, tr);
    JdTimer_Init(&tr->push_timer, on_push_timer, tr);
    _JdTree_InitUplinks(tr);
    _JdTree_InitHeads(tr);
    _JdTree_InitUpdates(tr);
    _JdTree_InitCrashes(tr);
    _JdTree_InitRollouts(tr);
}

/* Frees a tree; its connections stay with the embedding program. */
void
JdTree_Finish(JdTree *tr)
{
    JdChild *ch;

    JdTimer_Cancel(tr->clock, &tr->heartbeat_timer);
    JdTimer_Cancel(tr->clock, &tr->search_timer);
    JdTimer_Cancel(tr->clock, &tr->push_timer);
    JdTimer_Cancel(tr->clock, &tr->update_timer);
    JdTimer_Cancel(tr->clock, &tr->promotion_timer);
    JdTimer_Cancel(tr->clock, &tr->join_timer);
    JdTimer_Cancel(tr->clock, &tr->crash_timer);
    while ((ch = TAILQ_FIRST(&tr->children)) != NULL) {
        TAILQ_REMOVE(&tr->children, ch, link);
        g_free(ch);
    }
    _JdTree_FinishRollouts(tr);
    JdMembers_Finish(&tr->members);
    JdCrashTable_Finish(&tr->crashes);
}

/* Starts the search for a parent. */
void
JdTree_Start(JdTree *tr)
{
    _JdTree_AnnounceSelf(tr);
    JdTimer_Arm(tr->clock, &tr->heartbeat_timer,
                tr->tuning.heartbeat_interval);
    tr->ops->read_directory(tr->ctx);
}

/* Returns the id of the link that a peer is on, 0: of none. */
uint64_t
_JdTree_LinkId(const JdTree *tr, const void *peer)
{
    const JdChild *ch = _JdTree_FindChild(tr, peer);

    if (ch != NULL) {
        return ch->link_id;
    }
    return peer == tr->parent.peer ? tr->parent.link_id : 0;
}

/* Sends a frame that carries the configuration version of this node. */
void
_JdTree_Send(JdTree *tr, void *peer, Jd__Frame *frame)
{
    frame->version = tr->store->config->version;
    tr->ops->send(tr->ctx, peer, frame);
}

/* ---- readiness --------------------------------------------------------- */

static void
set_ready(JdTree *tr)
{
    if (tr->is_ready) {
        return;
    }
    tr->is_ready = true;
    tr->ops->status_changed(tr->ctx);
    /* Lets the children become ready without waiting for a heartbeat. */
    _JdTree_SendPathToChildren(tr);
}

/* Marks this node ready once it has the version of a ready parent. */
void
_JdTree_CheckReady(JdTree *tr)
{
    if (tr->parent.state == JD_LINK_ATTACHED && tr->parent.is_ready &&
        tr->store->config->version >= tr->parent.version) {
        set_ready(tr);
    }
}

/*
 * Returns the time in us since the log's last answer to this node or, as the
 * parent reports, to a node above it.
 */
uint64_t
JdTree_SourceAge(const JdTree *tr)
{
    uint64_t last = tr->log_answered_at;

    if (tr->parent.state == JD_LINK_ATTACHED &&
        tr->parent.source_heard_at > last) {
        last = tr->parent.source_heard_at;
    }
    return JdClock_Now(tr->clock) - last;
}

/* Records an answer of the log to this node's own reader. */
void
JdTree_LogAnswered(JdTree *tr, bool caught_up)
{
    tr->log_answered_at = JdClock_Now(tr->clock);
    if (caught_up && tr->is_root) {
        set_ready(tr);
    }
}

/*
 * Starts or stops reading the log.  Roots read it, and so do heads if the last
 * answer of the log that the parent reports is older than max_source_age.
 */
void
_JdTree_UpdateLogReading(JdTree *tr)
{
    bool is_stale = tr->head_rank != 0 &&
                    tr->parent.state == JD_LINK_ATTACHED &&
                    JdClock_Now(tr->clock) - tr->parent.source_heard_at >
                        tr->tuning.max_source_age;
    bool want = (tr->is_root || is_stale) && !tr->is_leaving;

    if (want != tr->is_reading_log) {
        tr->is_reading_log = want;
        tr->ops->read_log(tr->ctx, want);
    }
}

/* ---- versions ---------------------------------------------------------- */

static void
send_delta(JdTree *tr, void *peer, const JdDelta *dlt)
{
    Jd__Delta msg = JD__DELTA__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    uint64_t digest[JD_DIGEST_WORDS];

    memcpy(digest, dlt->digest.word, sizeof(digest));
    msg.from = dlt->from;
    msg.to = dlt->to;
    msg.next_offset = dlt->next_offset;
    msg.rules = dlt->rules_version;
    msg.n_digest = JD_DIGEST_WORDS;
    msg.digest = digest;
    msg.body.data = (uint8_t *)dlt->body;
    msg.body.len = dlt->body_len;
    msg.raw_len = dlt->raw_len;
    frame.body_case = JD__FRAME__BODY_DELTA;
    frame.delta = &msg;
    _JdTree_Send(tr, peer, &frame);
    tr->counters
        ->value[dlt->from == 0 ? JD_C_SNAPSHOTS_SENT : JD_C_DELTAS_SENT]++;
}

/* Sends a child the versions that it lacks, unless its queue is too long. */
void
_JdTree_PushDelta(JdTree *tr, JdChild *ch)
{
    JdDelta dlt;

    if (tr->ops->backlog(tr->ctx, ch->peer) > BACKLOG_LIMIT) {
        return;
    }
    if (JdStore_MakeDelta(tr->store, ch->sent_version, &dlt) == JD_OK) {
        send_delta(tr, ch->peer, &dlt);
        ch->sent_version = dlt.to;
    }
}

static void
push_to_children(JdTree *tr)
{
    JdChild *ch;

    TAILQ_FOREACH(ch, &tr->children, link)
    {
        _JdTree_PushDelta(tr, ch);
    }
}

static void
on_push_timer(void *ctx)
{
    JdTree *tr = ctx;

    tr->pushed_at = JdClock_Now(tr->clock);
    push_to_children(tr);
}

/*
 * Forwards a version that was applied.  A root waits for push_interval between
 * pushes, so that the versions in between travel down the whole tree as one
 * delta; other nodes push at once.
 */
void
JdTree_VersionApplied(JdTree *tr)
{
    uint64_t now = JdClock_Now(tr->clock);
    uint64_t due = tr->pushed_at + tr->tuning.push_interval;

    _JdTree_CheckReady(tr);
    tr->ops->status_changed(tr->ctx);
    if (!tr->is_root || due <= now) {
        on_push_timer(tr);
    }
    else if (!tr->push_timer.is_armed) {
        JdTimer_Arm(tr->clock, &tr->push_timer, due - now);
    }
}

static void
send_pull(JdTree *tr, void *peer, uint64_t have)
{
    Jd__Pull msg = JD__PULL__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    msg.have = have;
    frame.body_case = JD__FRAME__BODY_PULL;
    frame.pull = &msg;
    _JdTree_Send(tr, peer, &frame);
    tr->counters->value[JD_C_PULLS]++;
}

static void
on_pull(JdTree *tr, void *peer, const Jd__Pull *msg)
{
    JdChild *ch = _JdTree_FindChild(tr, peer);
    JdDelta dlt;

    if (JdStore_MakeDelta(tr->store, msg->have, &dlt) != JD_OK) {
        return;
    }
    send_delta(tr, peer, &dlt);
    if (ch != NULL) {
        ch->sent_version = dlt.to;
    }
}

static void
on_delta(JdTree *tr, void *peer, const Jd__Delta *msg)
{
    JdDelta dlt = {0};
    JdError err;
    JdStatus s;

    if (msg->n_digest != JD_DIGEST_WORDS) {
        tr->counters->value[JD_C_BAD_FRAME]++;
        return;
    }
    dlt.from = msg->from;
    dlt.to = msg->to;
    dlt.next_offset = msg->next_offset;
    dlt.rules_version = msg->rules;
    memcpy(dlt.digest.word, msg->digest, sizeof(dlt.digest.word));
    dlt.body = msg->body.data;
    dlt.body_len = msg->body.len;
    dlt.raw_len = msg->raw_len;
    s = JdStore_ApplyDelta(tr->store, &dlt, &err);
    if (s == JD_OK) {
        JdTree_VersionApplied(tr);
    }
    else if (s != JD_ERR_OLDER_VERSION && s != JD_ERR_RULES_UNKNOWN &&
             dlt.from != 0) {
        /* The delta does not apply: asks for the whole configuration. */
        send_pull(tr, peer, 0);
    }
}

/*
 * Compares the version that a frame carries with the node's own.  A node that
 * is behind a peer other than its parent pulls, at most once per
 * PULL_INTERVAL.  The parent pushes unasked, so the node pulls from it only
 * after PULL_DELAY.
 */
static void
check_version(JdTree *tr, void *peer, uint64_t version)
{
    uint64_t now = JdClock_Now(tr->clock);
    uint64_t own = tr->store->config->version;

    if (peer != tr->parent.peer) {
        if (version > own && now >= tr->next_pull_at) {
            tr->next_pull_at = now + PULL_INTERVAL;
            send_pull(tr, peer, own);
        }
        return;
    }
    if (version > tr->parent.version) {
        tr->parent.version = version;
    }
    if (version <= own) {
        tr->parent.behind_since = 0;
    }
    else if (tr->parent.behind_since == 0) {
        tr->parent.behind_since = now;
    }
    else if (now - tr->parent.behind_since > PULL_DELAY) {
        tr->parent.behind_since = now;
        send_pull(tr, peer, own);
    }
}

/* ---- heartbeats -------------------------------------------------------- */

static void
on_heartbeat_timer(void *ctx)
{
    JdTree *tr = ctx;

    JdTimer_Arm(tr->clock, &tr->heartbeat_timer,
                tr->tuning.heartbeat_interval);
    _JdTree_CheckChildren(tr);
    if (tr->parent.state == JD_LINK_ATTACHED) {
        _JdTree_SendParentHeartbeat(tr);
    }
    JdMembers_Expire(&tr->members, tr->tuning.link_timeout);
    JdMembers_Prune(&tr->members, MEMBER_RETENTION);
    JdCrashTable_Prune(&tr->crashes);
    _JdTree_CheckUplink(tr);
    _JdTree_UpdateLogReading(tr);
    _JdTree_CheckHeads(tr);
    _JdTree_SendInvites(tr);
    _JdTree_FlushUpdates(tr);
}

/* ---- frames ------------------------------------------------------------ */

static void
dispatch(JdTree *tr, void *peer, JdChild *ch, const Jd__Frame *frame)
{
    switch (frame->body_case) {
    case JD__FRAME__BODY_JOIN:
        _JdTree_OnJoin(tr, peer, frame->join);
        break;
    case JD__FRAME__BODY_ACCEPT:
        _JdTree_OnAccept(tr, peer, frame->accept);
        break;
    case JD__FRAME__BODY_REDIRECT:
        _JdTree_OnRedirect(tr, peer, frame->redirect);
        break;
    case JD__FRAME__BODY_BEAT:
        if (ch != NULL && frame->beat->moving) {
            /* Not suspected: its new parent monitors it. */
            _JdTree_RemoveChild(tr, ch);
        }
        else if (ch != NULL) {
            _JdTree_OnChildHeartbeat(ch, frame->beat);
        }
        else {
            _JdTree_OnParentHeartbeat(tr, peer, frame->beat);
        }
        break;
    case JD__FRAME__BODY_DELTA:
        on_delta(tr, peer, frame->delta);
        break;
    case JD__FRAME__BODY_PULL:
        on_pull(tr, peer, frame->pull);
        break;
    case JD__FRAME__BODY_MEMBERS:
        _JdTree_OnMembers(tr, peer, frame->members);
        break;
    case JD__FRAME__BODY_CRASHES:
        _JdTree_OnCrashes(tr, peer, frame->crashes);
        break;
    case JD__FRAME__BODY_ROLLOUTS:
        _JdTree_OnRollouts(tr, peer, frame->rollouts);
        break;
    case JD__FRAME__BODY_ROLLOUT_COUNTS:
        _JdTree_OnRolloutCounts(tr, frame->rollout_counts);
        break;
    case JD__FRAME__BODY_PROMOTE:
        _JdTree_OnPromote(tr);
        break;
    case JD__FRAME__BODY_INVITE:
        _JdTree_OnInvite(tr, frame->invite);
        break;
    default:
        tr->counters->value[JD_C_BAD_FRAME]++;
        break;
    }
}

/* Handles a frame of the tree from a connection. */
void
JdTree_HandleFrame(JdTree *tr, void *peer, const Jd__Frame *frame)
{
    JdChild *ch = _JdTree_FindChild(tr, peer);

    if (ch != NULL) {
        ch->heard_at = JdClock_Now(tr->clock);
    }
    if (tr->parent.peer == peer) {
        tr->parent.heard_at = JdClock_Now(tr->clock);
    }
    dispatch(tr, peer, ch, frame);
    check_version(tr, peer, frame->version);
    _JdTree_CheckReady(tr);
}

/* Handles a closed connection or a failed dial. */
void
JdTree_Closed(JdTree *tr, void *peer)
{
    JdChild *ch = _JdTree_FindChild(tr, peer);

    if (ch != NULL) {
        _JdTree_LoseChild(tr, ch);
        return;
    }
    _JdTree_InviteClosed(tr, peer);
    _JdTree_UplinkClosed(tr, peer);
}

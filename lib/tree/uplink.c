/*
 * The link to the parent: searching for a parent, joining it and losing it.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"
#include "libtree.h"

/* Maximum number of redirects that one search for a parent follows. */
#define MAX_REDIRECTS 8
/* Backoff between the searches of a node that has no parent. */
#define SEARCH_WAIT_MIN (50 * JD_US_PER_MS)
#define SEARCH_WAIT_MAX (1000 * JD_US_PER_MS)
/* Number of failed searches after which the directory is read again. */
#define SEARCHES_PER_DIRECTORY_READ 3

static void try_next_candidate(JdTree *tr);

static void
notify_parent_changed(const JdTree *tr, const char *id)
{
    if (tr->ops->parent_changed != NULL) {
        tr->ops->parent_changed(tr->ctx, id);
    }
}

/* ---- joining ----------------------------------------------------------- */

static void
end_join(JdTree *tr)
{
    JdTimer_Cancel(tr->clock, &tr->join_timer);
    tr->join_attempt.state = JD_LINK_NONE;
    tr->join_attempt.peer = NULL;
}

void
_JdTree_AbortJoin(JdTree *tr)
{
    void *peer = tr->join_attempt.peer;

    end_join(tr);
    if (peer != NULL) {
        tr->ops->close(tr->ctx, peer);
    }
}

static void
on_join_timer(void *ctx)
{
    JdTree *tr = ctx;

    _JdTree_AbortJoin(tr);
    try_next_candidate(tr);
}

/* Schedules the next search with exponential backoff and jitter. */
static void
schedule_search(JdTree *tr)
{
    uint64_t wait = SEARCH_WAIT_MIN
                    << (tr->failed_searches < 5 ? tr->failed_searches : 5);

    if (wait > SEARCH_WAIT_MAX) {
        wait = SEARCH_WAIT_MAX;
    }
    tr->failed_searches++;
    JdTimer_Arm(tr->clock, &tr->search_timer,
                wait / 2 + JdRandom_Below(&tr->random, wait));
}

static void
start_join(JdTree *tr, const JdCandidate *c)
{
    JdUplink *up = &tr->join_attempt;

    up->state = JD_LINK_DIALING;
    _Jd_CopyText(up->id, sizeof(up->id), c->id);
    JdTimer_Arm(tr->clock, &tr->join_timer, tr->tuning.join_timeout);
    up->peer = tr->ops->dial(tr->ctx, c->address);
    if (up->peer == NULL) {
        end_join(tr);
        try_next_candidate(tr);
    }
}

/* Makes this node a root, since it knows of no node that can be its parent. */
void
_JdTree_BecomeRoot(JdTree *tr)
{
    if (tr->is_root) {
        return;
    }
    tr->is_root = true;
    tr->root_since = JdClock_Now(tr->clock);
    tr->path_len = 0;
    /* Nodes that start together may all become roots: searches again soon. */
    tr->reparent_wait = tr->tuning.promotion_delay / 4;
    tr->next_reparent_at = JdClock_Now(tr->clock) + tr->reparent_wait;
    _JdTree_UpdateLogReading(tr);
    _JdTree_SendPathToChildren(tr);
    _JdTree_AnnounceSelf(tr);
}

/* No head of this node's domain accepted it: the domain needs another head. */
static void
on_no_domain_head(JdTree *tr)
{
    tr->failed_domain_rank = tr->search_domain_rank;
    _JdTree_SchedulePromotion(tr);
}

/* No candidate accepted this node. */
static void
on_no_candidate(JdTree *tr)
{
    if (tr->is_reparenting) {
        tr->is_reparenting = false;
        return;
    }
    if (tr->head_rank != 0) {
        _JdTree_BecomeRoot(tr);
        return;
    }
    on_no_domain_head(tr);
    schedule_search(tr);
}

static void
try_next_candidate(JdTree *tr)
{
    const JdCandidate *c;

    if (tr->join_attempt.state != JD_LINK_NONE || tr->is_leaving) {
        return;
    }
    if (tr->next_candidate >= tr->candidate_count) {
        on_no_candidate(tr);
        return;
    }
    c = &tr->candidate[tr->next_candidate++];
    if (tr->parent.state == JD_LINK_ATTACHED &&
        strcmp(c->id, tr->parent.id) == 0) {
        /* The candidates that follow are no better than the parent. */
        tr->is_reparenting = false;
        return;
    }
    if (c->is_remote_domain && tr->head_rank == 0 && !tr->is_reparenting) {
        /* Waiting for remote heads must not delay the promotion. */
        on_no_domain_head(tr);
    }
    start_join(tr, c);
}

/*
 * Starts a search for a parent.  An attached node or a root stays as it is if
 * the search finds no better parent.
 */
void
_JdTree_SearchParent(JdTree *tr)
{
    if (tr->join_attempt.state != JD_LINK_NONE || tr->is_leaving) {
        return;
    }
    tr->is_reparenting = tr->parent.state == JD_LINK_ATTACHED || tr->is_root;
    tr->redirect_count = 0;
    tr->reparent_wait *= 2;
    if (tr->reparent_wait > tr->tuning.reparent_interval ||
        tr->reparent_wait == 0) {
        tr->reparent_wait = tr->tuning.reparent_interval;
    }
    tr->next_reparent_at = JdClock_Now(tr->clock) + tr->reparent_wait +
                           JdRandom_Below(&tr->random, tr->reparent_wait);
    _JdTree_BuildCandidates(tr);
    try_next_candidate(tr);
}

static void
on_search_timer(void *ctx)
{
    JdTree *tr = ctx;

    if (tr->parent.state == JD_LINK_ATTACHED) {
        return;
    }
    if (tr->failed_searches % SEARCHES_PER_DIRECTORY_READ == 0) {
        tr->ops->read_directory(tr->ctx);
    }
    else {
        _JdTree_SearchParent(tr);
    }
}

void
_JdTree_InitUplinks(JdTree *tr)
{
    JdTimer_Init(&tr->search_timer, on_search_timer, tr);
    JdTimer_Init(&tr->join_timer, on_join_timer, tr);
}

/* Sends a join on a connection that was dialed and is now open. */
void
JdTree_Connected(JdTree *tr, void *peer)
{
    Jd__Join msg = JD__JOIN__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (_JdTree_InviteConnected(tr, peer) || tr->join_attempt.peer != peer) {
        return;
    }
    tr->join_attempt.state = JD_LINK_JOINING;
    msg.id = tr->self.id;
    msg.incarnation = tr->self.incarnation;
    msg.region = tr->self.region;
    msg.domain = tr->self.domain;
    msg.head = tr->head_rank != 0;
    msg.version = tr->store->config->version;
    msg.n_bucket = JD_MEMBER_BUCKETS;
    msg.bucket = tr->members.bucket_digest;
    msg.link_kbps = tr->self.link_kbps;
    frame.body_case = JD__FRAME__BODY_JOIN;
    frame.join = &msg;
    _JdTree_Send(tr, peer, &frame);
}

/* Stores the path from the root; rejects a path that contains this node. */
static bool
set_path(JdTree *tr, char **path, size_t n, const char *root)
{
    if (n == 0 || n > JD_TREE_PATH_MAX) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        if (strcmp(path[i], tr->self.id) == 0) {
            tr->counters->value[JD_C_CYCLES]++;
            return false;
        }
    }
    for (size_t i = 0; i < n; i++) {
        _Jd_CopyText(tr->path[i], JD_NAME_MAX, path[i]);
    }
    tr->path_len = (unsigned)n;
    _Jd_CopyText(tr->root_admin, sizeof(tr->root_admin), root);
    return true;
}

static void
record_source_age(JdTree *tr, uint32_t age_ms)
{
    uint64_t now = JdClock_Now(tr->clock);
    uint64_t age = age_ms * JD_US_PER_MS;

    tr->parent.source_heard_at = age < now ? now - age : 0;
}

/* Makes the node that accepted the join the parent. */
static void
attach(JdTree *tr)
{
    void *old = tr->parent.state == JD_LINK_ATTACHED ? tr->parent.peer : NULL;

    JdTimer_Cancel(tr->clock, &tr->join_timer);
    tr->parent = tr->join_attempt;
    tr->parent.state = JD_LINK_ATTACHED;
    tr->parent.link_id = ++tr->last_link_id;
    tr->parent.heard_at = JdClock_Now(tr->clock);
    tr->parent.behind_since = 0;
    tr->parent.version = 0;
    end_join(tr);
    tr->is_root = false;
    tr->is_reparenting = false;
    tr->failed_searches = 0;
    JdTimer_Cancel(tr->clock, &tr->search_timer);
    if (old != NULL) {
        _JdTree_SendMoving(tr, old);
        tr->ops->close(tr->ctx, old);
    }
}

/*
 * Whether a node that accepted the join can be the parent.  A root that is not
 * ready does not attach to a node that is not ready either, but goes on
 * reading the log: otherwise roots that start together would wait for each
 * other.
 */
static bool
is_usable(const JdTree *tr, const Jd__Accept *msg)
{
    return msg->ready || tr->is_ready || !tr->is_root;
}

void
_JdTree_OnAccept(JdTree *tr, void *peer, const Jd__Accept *msg)
{
    if (tr->join_attempt.peer != peer ||
        tr->join_attempt.state != JD_LINK_JOINING) {
        return;
    }
    if (!is_usable(tr, msg) ||
        !set_path(tr, msg->path, msg->n_path, msg->root_admin)) {
        _JdTree_AbortJoin(tr);
        try_next_candidate(tr);
        return;
    }
    attach(tr);
    _Jd_CopyText(tr->parent.id, JD_NAME_MAX, msg->id);
    _Jd_CopyText(tr->parent.domain, JD_NAME_MAX, msg->domain);
    tr->parent.is_ready = msg->ready;
    notify_parent_changed(tr, tr->parent.id);
    record_source_age(tr, msg->source_age_ms);
    JdTree_SourceEpoch(tr, msg->source_epoch);
    if (strcmp(msg->domain, tr->self.domain) == 0) {
        JdTimer_Cancel(tr->clock, &tr->promotion_timer);
    }
    else if (tr->head_rank == 0) {
        _JdTree_SchedulePromotion(tr);
    }
    _JdTree_UpdateLogReading(tr);
    _JdTree_SendCrashes(tr, peer);
    _JdTree_SendRollouts(tr, peer);
    _JdTree_ResendReports(tr);
    _JdTree_SendMembers(tr, peer, msg->bucket, msg->n_bucket);
    _JdTree_AnnounceSelf(tr);
    _JdTree_SendPathToChildren(tr);
}

void
_JdTree_OnRedirect(JdTree *tr, void *peer, const Jd__Redirect *msg)
{
    if (tr->join_attempt.peer != peer) {
        return;
    }
    if (tr->redirect_count < MAX_REDIRECTS) {
        tr->redirect_count++;
        _JdTree_InsertCandidates(tr, msg);
    }
    _JdTree_AbortJoin(tr);
    try_next_candidate(tr);
}

/* Handles the offer of a node to be the parent.  Follows it if this node has
 * no parent and is not joining one. */
void
_JdTree_OnInvite(JdTree *tr, const Jd__Invite *msg)
{
    Jd__Redirect list = JD__REDIRECT__INIT;
    Jd__Candidate *candidate = msg->candidate;

    if (candidate == NULL || tr->is_root || tr->is_leaving ||
        tr->parent.state == JD_LINK_ATTACHED ||
        tr->join_attempt.state != JD_LINK_NONE) {
        return;
    }
    JdTimer_Cancel(tr->clock, &tr->search_timer);
    tr->is_reparenting = false;
    tr->redirect_count = 0;
    list.n_candidate = 1;
    list.candidate = &candidate;
    _JdTree_BuildCandidates(tr);
    _JdTree_InsertCandidates(tr, &list);
    try_next_candidate(tr);
}

void
_JdTree_OnParentHeartbeat(JdTree *tr, void *peer, const Jd__Beat *msg)
{
    if (tr->parent.peer != peer || tr->parent.state != JD_LINK_ATTACHED) {
        return;
    }
    tr->parent.is_ready = msg->ready;
    record_source_age(tr, msg->source_age_ms);
    JdTree_SourceEpoch(tr, msg->source_epoch);
    if (!msg->has_path) {
        return;
    }
    if (!set_path(tr, msg->path, msg->n_path, msg->root_admin)) {
        tr->ops->close(tr->ctx, peer);
        _JdTree_UplinkClosed(tr, peer);
        return;
    }
    _JdTree_SendPathToChildren(tr);
}

static void
lose_parent(JdTree *tr)
{
    JdMember *mb = JdMembers_Find(&tr->members, tr->parent.id);

    tr->counters->value[JD_C_PARENT_LOST]++;
    notify_parent_changed(tr, NULL);
    tr->parent.state = JD_LINK_NONE;
    tr->parent.peer = NULL;
    if (mb != NULL) {
        JdMembers_Suspect(&tr->members, mb, tr->tuning.link_timeout);
    }
    if (tr->join_attempt.state == JD_LINK_NONE) {
        _JdTree_SearchParent(tr);
    }
    else {
        tr->is_reparenting = false;
    }
}

void
_JdTree_UplinkClosed(JdTree *tr, void *peer)
{
    if (tr->parent.peer == peer && tr->parent.state == JD_LINK_ATTACHED) {
        lose_parent(tr);
    }
    else if (tr->join_attempt.peer == peer &&
             tr->join_attempt.state != JD_LINK_NONE) {
        end_join(tr);
        try_next_candidate(tr);
    }
}

/* Drops a parent that timed out; searches for a better parent at intervals. */
void
_JdTree_CheckUplink(JdTree *tr)
{
    uint64_t now = JdClock_Now(tr->clock);

    if (tr->parent.state == JD_LINK_ATTACHED &&
        now - tr->parent.heard_at > tr->tuning.link_timeout) {
        tr->ops->close(tr->ctx, tr->parent.peer);
        lose_parent(tr);
        return;
    }
    if (now < tr->next_reparent_at || !tr->is_directory_read) {
        return;
    }
    if (tr->is_root) {
        /* Member updates do not cross trees, so the directory is read. */
        tr->next_reparent_at = now + tr->tuning.reparent_interval;
        tr->ops->read_directory(tr->ctx);
        return;
    }
    /* A head that registered since may be a better parent. */
    if (tr->parent.state == JD_LINK_ATTACHED &&
        (tr->head_rank != 0 ||
         strcmp(tr->parent.domain, tr->self.domain) != 0)) {
        _JdTree_SearchParent(tr);
    }
    if (tr->parent.state == JD_LINK_ATTACHED && tr->head_rank == 0 &&
        strcmp(tr->parent.domain, tr->self.domain) != 0) {
        tr->failed_domain_rank = _JdTree_NewestDomainRank(tr);
        _JdTree_SchedulePromotion(tr);
    }
}

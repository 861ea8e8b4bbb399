/*
 * The link upwards: trials of candidates, the parent and its silence.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"
#include "libtree.h"

/* Redirects that one search for a parent follows. */
#define REDIRECTS_MOST 8
/* First and longest wait before a node without a parent searches again. */
#define SEEK_FIRST (50 * JD_US_PER_MS)
#define SEEK_MOST (1000 * JD_US_PER_MS)
/* Searches in vain after which the directory is read again. */
#define SEEKS_PER_READ 3

static void try_next(JdTree *tr);

static void
tell_parent(const JdTree *tr, const char *id)
{
    if (tr->ops->parent_changed != NULL) {
        tr->ops->parent_changed(tr->ctx, id);
    }
}

/* ---- trials ------------------------------------------------------------ */

static void
end_trial(JdTree *tr)
{
    JdTimer_Cancel(tr->clock, &tr->join_timer);
    tr->join_attempt.state = JD_LINK_NONE;
    tr->join_attempt.peer = NULL;
}

void
_JdTree_AbortJoin(JdTree *tr)
{
    void *peer = tr->join_attempt.peer;

    end_trial(tr);
    if (peer != NULL) {
        tr->ops->close(tr->ctx, peer);
    }
}

static void
on_trial_timeout(void *ctx)
{
    JdTree *tr = ctx;

    _JdTree_AbortJoin(tr);
    try_next(tr);
}

/* Searches again after a wait that doubles, with jitter. */
static void
arm_seek(JdTree *tr)
{
    uint64_t wait = SEEK_FIRST
                    << (tr->failed_searches < 5 ? tr->failed_searches : 5);

    if (wait > SEEK_MOST) {
        wait = SEEK_MOST;
    }
    tr->failed_searches++;
    JdTimer_Arm(tr->clock, &tr->search_timer,
                wait / 2 + JdRandom_Below(&tr->random, wait));
}

static void
start_trial(JdTree *tr, const JdCandidate *c)
{
    JdUplink *up = &tr->join_attempt;

    up->state = JD_LINK_DIALING;
    _Jd_CopyText(up->id, sizeof(up->id), c->id);
    JdTimer_Arm(tr->clock, &tr->join_timer, tr->tuning.join_timeout);
    up->peer = tr->ops->dial(tr->ctx, c->address);
    if (up->peer == NULL) {
        end_trial(tr);
        try_next(tr);
    }
}

/* Becomes a leader: there is nobody above this node, so far as it knows. */
void
_JdTree_BecomeRoot(JdTree *tr)
{
    if (tr->is_root) {
        return;
    }
    tr->is_root = true;
    tr->root_since = JdClock_Now(tr->clock);
    tr->path_len = 0;
    /* Others may be leading for want of each other: looks again soon. */
    tr->reparent_wait = tr->tuning.promotion_delay / 4;
    tr->next_reparent_at = JdClock_Now(tr->clock) + tr->reparent_wait;
    _JdTree_UpdateLogReading(tr);
    _JdTree_SendPathToChildren(tr);
    _JdTree_AnnounceSelf(tr);
}

/* No head of the own failure domain took this node: it needs a new one. */
static void
on_no_head_at_home(JdTree *tr)
{
    tr->failed_domain_rank = tr->search_domain_rank;
    _JdTree_SchedulePromotion(tr);
}

/* No candidate took this node. */
static void
on_exhausted(JdTree *tr)
{
    if (tr->is_reparenting) {
        tr->is_reparenting = false;
        return;
    }
    if (tr->head_rank != 0) {
        _JdTree_BecomeRoot(tr);
        return;
    }
    on_no_head_at_home(tr);
    arm_seek(tr);
}

static void
try_next(JdTree *tr)
{
    const JdCandidate *c;

    if (tr->join_attempt.state != JD_LINK_NONE || tr->is_leaving) {
        return;
    }
    if (tr->next_candidate >= tr->candidate_count) {
        on_exhausted(tr);
        return;
    }
    c = &tr->candidate[tr->next_candidate++];
    if (tr->parent.state == JD_LINK_ATTACHED &&
        strcmp(c->id, tr->parent.id) == 0) {
        /* Those that follow are no better than the present parent. */
        tr->is_reparenting = false;
        return;
    }
    if (c->is_remote_domain && tr->head_rank == 0 && !tr->is_reparenting) {
        /* The wait for far heads must not delay a new one at home. */
        on_no_head_at_home(tr);
    }
    start_trial(tr, c);
}

/* Begins a search for a parent, or for a better one. */
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
    try_next(tr);
}

static void
on_seek(void *ctx)
{
    JdTree *tr = ctx;

    if (tr->parent.state == JD_LINK_ATTACHED) {
        return;
    }
    if (tr->failed_searches % SEEKS_PER_READ == 0) {
        tr->ops->read_directory(tr->ctx);
    }
    else {
        _JdTree_SearchParent(tr);
    }
}

void
_JdTree_InitUplinks(JdTree *tr)
{
    JdTimer_Init(&tr->search_timer, on_seek, tr);
    JdTimer_Init(&tr->join_timer, on_trial_timeout, tr);
}

/* A dialled connection is open: asks to join. */
void
JdTree_Connected(JdTree *tr, void *peer)
{
    Jd__Join msg = JD__JOIN__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (tr->join_attempt.peer != peer) {
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

static bool
take_path(JdTree *tr, char **path, size_t n, const char *root)
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
note_source_age(JdTree *tr, uint32_t age_ms)
{
    uint64_t now = JdClock_Now(tr->clock);
    uint64_t age = age_ms * JD_US_PER_MS;

    tr->parent.source_heard_at = age < now ? now - age : 0;
}

/* Makes the trial the parent. */
static void
adopt_trial(JdTree *tr)
{
    void *old = tr->parent.state == JD_LINK_ATTACHED ? tr->parent.peer : NULL;

    JdTimer_Cancel(tr->clock, &tr->join_timer);
    tr->parent = tr->join_attempt;
    tr->parent.state = JD_LINK_ATTACHED;
    tr->parent.link_id = ++tr->last_link_id;
    tr->parent.heard_at = JdClock_Now(tr->clock);
    tr->parent.behind_since = 0;
    tr->parent.version = 0;
    end_trial(tr);
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
 * Whether a node that accepted this one is of use.  A leader that has no
 * version yet goes on reading for one, unless the other has it already: else
 * leaders that start together would wait for each other.
 */
static bool
is_wanted(const JdTree *tr, const Jd__Accept *msg)
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
    if (!is_wanted(tr, msg) ||
        !take_path(tr, msg->path, msg->n_path, msg->root_admin)) {
        _JdTree_AbortJoin(tr);
        try_next(tr);
        return;
    }
    adopt_trial(tr);
    _Jd_CopyText(tr->parent.id, JD_NAME_MAX, msg->id);
    _Jd_CopyText(tr->parent.domain, JD_NAME_MAX, msg->domain);
    tr->parent.is_ready = msg->ready;
    tell_parent(tr, tr->parent.id);
    note_source_age(tr, msg->source_age_ms);
    if (strcmp(msg->domain, tr->self.domain) == 0) {
        JdTimer_Cancel(tr->clock, &tr->promotion_timer);
    }
    else if (tr->head_rank == 0) {
        _JdTree_SchedulePromotion(tr);
    }
    _JdTree_UpdateLogReading(tr);
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
    if (tr->redirect_count < REDIRECTS_MOST) {
        tr->redirect_count++;
        _JdTree_InsertCandidates(tr, msg);
    }
    _JdTree_AbortJoin(tr);
    try_next(tr);
}

void
_JdTree_OnParentHeartbeat(JdTree *tr, void *peer, const Jd__Beat *msg)
{
    if (tr->parent.peer != peer || tr->parent.state != JD_LINK_ATTACHED) {
        return;
    }
    tr->parent.is_ready = msg->ready;
    note_source_age(tr, msg->source_age_ms);
    if (!msg->has_path) {
        return;
    }
    if (!take_path(tr, msg->path, msg->n_path, msg->root_admin)) {
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
    tell_parent(tr, NULL);
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
        end_trial(tr);
        try_next(tr);
    }
}

/* Gives up a silent parent, and looks for a better one now and then. */
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
        /* No news comes from other trees, so the directory is read. */
        tr->next_reparent_at = now + tr->tuning.reparent_interval;
        tr->ops->read_directory(tr->ctx);
        return;
    }
    /* A head may have come that is better than the present parent. */
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

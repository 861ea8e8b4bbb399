/* Member updates: announcing this node, and forwarding changes of others. */
#include <string.h>

#include <glib.h>

#include "libjd.h"
#include "libtree.h"

/* Maximum number of members in one frame. */
#define MEMBERS_PER_FRAME 256

static void
on_update_timer(void *ctx)
{
    _JdTree_FlushUpdates(ctx);
}

void
_JdTree_InitUpdates(JdTree *tr)
{
    JdTimer_Init(&tr->update_timer, on_update_timer, tr);
}

static void
schedule_updates(JdTree *tr)
{
    if (!tr->update_timer.is_armed) {
        JdTimer_Arm(tr->clock, &tr->update_timer, tr->tuning.update_delay);
    }
}

/* Announces this node and its target with a new sequence number. */
void
_JdTree_AnnounceSelf(JdTree *tr)
{
    Jd__Member msg = JD__MEMBER__INIT;

    tr->seq++;
    msg.id = tr->self.id;
    msg.incarnation = tr->self.incarnation;
    msg.seq = tr->seq;
    msg.state = tr->state;
    msg.region = tr->self.region;
    msg.domain = tr->self.domain;
    msg.peer = tr->self.peer_address;
    msg.admin = tr->self.admin_address;
    msg.via = tr->parent.state == JD_LINK_ATTACHED ? tr->parent.id : "";
    msg.head_rank = tr->head_rank;
    msg.service = tr->self.service;
    msg.endpoint_set = tr->self.endpoint_set;
    msg.slots = tr->self.slots;
    msg.target_started = tr->self.target_started;
    msg.target_left = tr->self.target_left;
    msg.version = tr->self.version;
    JdMembers_Update(&tr->members, &msg, 0);
    schedule_updates(tr);
}

/* Members collected for the next frame on one link. */
typedef struct MemberBatch {
    Jd__Member member[MEMBERS_PER_FRAME];
    Jd__Member *list[MEMBERS_PER_FRAME];
    size_t count;
} MemberBatch;

static void
send_batch(JdTree *tr, void *peer, MemberBatch *b)
{
    Jd__Members msg = JD__MEMBERS__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (b->count == 0) {
        return;
    }
    msg.n_member = b->count;
    msg.member = b->list;
    frame.body_case = JD__FRAME__BODY_MEMBERS;
    frame.members = &msg;
    _JdTree_Send(tr, peer, &frame);
    b->count = 0;
}

static void
add_to_batch(JdTree *tr, void *peer, MemberBatch *b, const JdMember *mb)
{
    JdMembers_Encode(mb, &b->member[b->count]);
    b->list[b->count] = &b->member[b->count];
    b->count++;
    if (b->count == MEMBERS_PER_FRAME) {
        send_batch(tr, peer, b);
    }
}

/*
 * Sends a peer the members of all buckets whose digests differ between the
 * peer and this node, or of all buckets if the peer sent no digests.
 */
void
_JdTree_SendMembers(JdTree *tr, void *peer, const uint64_t *bucket,
                    size_t n_bucket)
{
    MemberBatch *b = g_new0(MemberBatch, 1);
    const JdMember *mb;

    TAILQ_FOREACH(mb, &tr->members.all, link)
    {
        size_t i = JdMembers_BucketOf(mb->id);

        if (n_bucket != JD_MEMBER_BUCKETS ||
            bucket[i] != tr->members.bucket_digest[i]) {
            add_to_batch(tr, peer, b, mb);
        }
    }
    send_batch(tr, peer, b);
    g_free(b);
}

/*
 * Handles an update about this node that another node sent.  If the update
 * says that this node is lost, or has a higher sequence number, announces this
 * node again with a number above that of the update.
 */
static void
refute(JdTree *tr, const Jd__Member *msg)
{
    if (msg->incarnation != tr->self.incarnation) {
        return;
    }
    if (msg->seq > tr->seq ||
        (msg->seq == tr->seq && msg->state == JD_MEMBER_LOST &&
         tr->state != JD_MEMBER_LOST)) {
        tr->seq = msg->seq;
        _JdTree_AnnounceSelf(tr);
        _JdTree_RenewRegistration(tr);
    }
}

/* Learns from another node which process of the target has left, if this node
 * has restarted and does not know it. */
static void
learn_target_left(JdTree *tr, const Jd__Member *msg)
{
    bool is_news = msg->target_left > tr->self.target_left;
    bool is_before_start = msg->incarnation != tr->self.incarnation;

    if (is_news) {
        tr->self.target_left = msg->target_left;
        _JdTree_AnnounceSelf(tr);
    }
    if ((is_news || is_before_start) && tr->ops->target_left_learned != NULL) {
        tr->ops->target_left_learned(tr->ctx);
    }
}

void
_JdTree_OnMembers(JdTree *tr, void *peer, const Jd__Members *msg)
{
    uint64_t link_id = _JdTree_LinkId(tr, peer);

    for (size_t i = 0; i < msg->n_member; i++) {
        if (strcmp(msg->member[i]->id, tr->self.id) == 0) {
            learn_target_left(tr, msg->member[i]);
            refute(tr, msg->member[i]);
            continue;
        }
        if (JdMembers_Update(&tr->members, msg->member[i], link_id) != NULL) {
            schedule_updates(tr);
        }
    }
}

static void
send_updates(JdTree *tr, void *peer, uint64_t link_id, MemberBatch *b)
{
    const JdMember *mb;

    TAILQ_FOREACH(mb, &tr->members.pending, pending_link)
    {
        if (mb->source_link != link_id) {
            add_to_batch(tr, peer, b, mb);
        }
    }
    send_batch(tr, peer, b);
}

/* Sends each pending update on all links but the one that it came over. */
void
_JdTree_FlushUpdates(JdTree *tr)
{
    MemberBatch *b;
    JdMember *mb;
    JdChild *ch;

    JdTimer_Cancel(tr->clock, &tr->update_timer);
    if (TAILQ_EMPTY(&tr->members.pending)) {
        return;
    }
    b = g_new0(MemberBatch, 1);
    if (tr->parent.state == JD_LINK_ATTACHED) {
        send_updates(tr, tr->parent.peer, tr->parent.link_id, b);
    }
    TAILQ_FOREACH(ch, &tr->children, link)
    {
        send_updates(tr, ch->peer, ch->link_id, b);
    }
    g_free(b);
    while ((mb = TAILQ_FIRST(&tr->members.pending)) != NULL) {
        JdMembers_ClearPending(&tr->members, mb);
    }
}

/* Announces that this node leaves; it accepts no more children. */
void
JdTree_Leave(JdTree *tr)
{
    tr->is_leaving = true;
    tr->state = JD_MEMBER_LEFT;
    _JdTree_AnnounceSelf(tr);
    _JdTree_FlushUpdates(tr);
    _JdTree_UpdateLogReading(tr);
}

/*
 * Changes the service of this node and announces it.  The state stays until
 * the caller sets it.
 */
void
JdTree_SetService(JdTree *tr, const char *service, const char *endpoint_set)
{
    _Jd_CopyText(tr->self.service, sizeof(tr->self.service), service);
    _Jd_CopyText(tr->self.endpoint_set, sizeof(tr->self.endpoint_set),
                 endpoint_set);
    if (!tr->is_leaving) {
        _JdTree_AnnounceSelf(tr);
    }
}

/* Records that the target's process that started at `started` leaves.  The
 * next announcement of this node says so. */
void
JdTree_SetTargetLeft(JdTree *tr, uint64_t started)
{
    if (started > tr->self.target_left) {
        tr->self.target_left = started;
    }
}

/* Sets the version of the target's software.  The next announcement of this
 * node names it. */
void
JdTree_SetVersion(JdTree *tr, const char *version)
{
    _Jd_CopyText(tr->self.version, sizeof(tr->self.version), version);
}

/* Sets the target beside this node; announces it if anything changed. */
void
JdTree_SetTarget(JdTree *tr, uint64_t started, unsigned slots,
                 JdMemberState state)
{
    bool is_same = tr->self.target_started == started &&
                   tr->self.slots == slots && tr->state == state;

    if (is_same || tr->is_leaving) {
        return;
    }
    tr->self.target_started = started;
    tr->self.slots = slots;
    tr->state = state;
    _JdTree_AnnounceSelf(tr);
}

/* Sets the state of this node and its target; announces it if it changed. */
void
JdTree_SetState(JdTree *tr, JdMemberState state)
{
    if (tr->state == state || tr->is_leaving) {
        return;
    }
    tr->state = state;
    _JdTree_AnnounceSelf(tr);
}

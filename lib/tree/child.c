/*
 * Links to children: joins, redirects once there are enough children,
 * heartbeats and timeouts.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"
#include "libtree.h"

/* Returns the child on a connection, or NULL. */
JdChild *
_JdTree_FindChild(const JdTree *tr, const void *peer)
{
    JdChild *ch;

    TAILQ_FOREACH(ch, &tr->children, link)
    {
        if (ch->peer == peer) {
            return ch;
        }
    }
    return NULL;
}

/* Removes a child.  A child that moved or reconnected is not suspected. */
void
_JdTree_RemoveChild(JdTree *tr, JdChild *ch)
{
    TAILQ_REMOVE(&tr->children, ch, link);
    tr->child_count--;
    g_free(ch);
}

/*
 * Removes a child that timed out or closed its connection.  Suspects it unless
 * it has announced another parent.
 */
void
_JdTree_LoseChild(JdTree *tr, JdChild *ch)
{
    JdMember *mb = JdMembers_Find(&tr->members, ch->id);

    tr->counters->value[JD_C_CHILD_LOST]++;
    if (mb != NULL && strcmp(mb->parent_id, tr->self.id) == 0) {
        JdMembers_Suspect(&tr->members, mb, tr->tuning.link_timeout);
    }
    _JdTree_RemoveChild(tr, ch);
}

static void
send_redirect(JdTree *tr, void *peer)
{
    Jd__Candidate cand[JD_CANDIDATES_MAX];
    Jd__Candidate *list[JD_CANDIDATES_MAX];
    Jd__Redirect msg = JD__REDIRECT__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    JdChild *ch;

    TAILQ_FOREACH(ch, &tr->children, link)
    {
        const JdMember *mb = JdMembers_Find(&tr->members, ch->id);

        if (ch->is_head || mb == NULL ||
            msg.n_candidate == JD_CANDIDATES_MAX) {
            continue;
        }
        jd__candidate__init(&cand[msg.n_candidate]);
        cand[msg.n_candidate].id = ch->id;
        cand[msg.n_candidate].peer = (char *)mb->peer_address;
        list[msg.n_candidate] = &cand[msg.n_candidate];
        msg.n_candidate++;
    }
    msg.candidate = list;
    frame.body_case = JD__FRAME__BODY_REDIRECT;
    frame.redirect = &msg;
    _JdTree_Send(tr, peer, &frame);
    tr->counters->value[JD_C_REDIRECTS]++;
}

static void
send_accept(JdTree *tr, JdChild *ch)
{
    Jd__Accept msg = JD__ACCEPT__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    char *path[JD_TREE_PATH_MAX + 1];

    msg.id = tr->self.id;
    msg.domain = tr->self.domain;
    msg.n_path = _JdTree_GetPath(tr, path);
    msg.path = path;
    msg.n_bucket = JD_MEMBER_BUCKETS;
    msg.bucket = tr->members.bucket_digest;
    msg.ready = tr->is_ready;
    msg.source_age_ms = (uint32_t)(JdTree_SourceAge(tr) / JD_US_PER_MS);
    msg.source_epoch = tr->source_epoch;
    msg.root_admin = (char *)_JdTree_RootAdmin(tr);
    frame.body_case = JD__FRAME__BODY_ACCEPT;
    frame.accept = &msg;
    _JdTree_Send(tr, ch->peer, &frame);
}

static bool
is_self_or_ancestor(const JdTree *tr, const char *id)
{
    for (unsigned i = 0; i < tr->path_len; i++) {
        if (strcmp(tr->path[i], id) == 0) {
            return true;
        }
    }
    return strcmp(tr->self.id, id) == 0;
}

/*
 * Whether this node may accept a child.  It has to be a root or attached, and
 * the child must not be on its path to the root: that would form a cycle.
 */
static bool
can_accept(const JdTree *tr, const Jd__Join *msg)
{
    bool is_attached = tr->is_root || tr->parent.state == JD_LINK_ATTACHED;

    return is_attached && !tr->is_leaving &&
           tr->path_len + 1 < JD_TREE_PATH_MAX &&
           !is_self_or_ancestor(tr, msg->id);
}

static void
add_child(JdTree *tr, void *peer, const Jd__Join *msg)
{
    JdChild *ch = g_new0(JdChild, 1);

    ch->peer = peer;
    ch->link_id = ++tr->last_link_id;
    _Jd_CopyText(ch->id, sizeof(ch->id), msg->id);
    ch->is_head = msg->head;
    ch->link_kbps = msg->link_kbps;
    ch->sent_version = msg->version;
    ch->heard_at = JdClock_Now(tr->clock);
    ch->subtree_count = 1;
    ch->min_version = msg->version;
    if (ch->is_head) {
        /* Heads are served first: they have more nodes below them. */
        TAILQ_INSERT_HEAD(&tr->children, ch, link);
    }
    else {
        TAILQ_INSERT_TAIL(&tr->children, ch, link);
    }
    tr->child_count++;
    send_accept(tr, ch);
    _JdTree_SendCrashes(tr, peer);
    _JdTree_SendRollouts(tr, peer);
    _JdTree_SendMembers(tr, peer, msg->bucket, msg->n_bucket);
    _JdTree_PushDelta(tr, ch);
}

/*
 * Accepts a node as a child, redirects it to this node's children if there are
 * enough, or refuses it with an empty redirect.
 */
void
_JdTree_OnJoin(JdTree *tr, void *peer, const Jd__Join *msg)
{
    JdChild *ch;

    if (!can_accept(tr, msg)) {
        Jd__Redirect empty = JD__REDIRECT__INIT;
        Jd__Frame frame = JD__FRAME__INIT;

        frame.body_case = JD__FRAME__BODY_REDIRECT;
        frame.redirect = &empty;
        _JdTree_Send(tr, peer, &frame);
        return;
    }
    TAILQ_FOREACH(ch, &tr->children, link)
    {
        /* The node has reconnected, so its old connection is dead. */
        if (strcmp(ch->id, msg->id) == 0) {
            tr->ops->close(tr->ctx, ch->peer);
            _JdTree_RemoveChild(tr, ch);
            break;
        }
    }
    if (!msg->head && tr->child_count >= tr->tuning.fan_out) {
        send_redirect(tr, peer);
        return;
    }
    add_child(tr, peer, msg);
}

/*
 * Removes children that timed out.  Sends the others a heartbeat, and a delta
 * if an earlier push did not bring them up to date.
 */
void
_JdTree_CheckChildren(JdTree *tr)
{
    uint64_t now = JdClock_Now(tr->clock);
    JdChild *ch, *next;

    for (ch = TAILQ_FIRST(&tr->children); ch != NULL; ch = next) {
        next = TAILQ_NEXT(ch, link);
        if (now - ch->heard_at > tr->tuning.link_timeout) {
            tr->ops->close(tr->ctx, ch->peer);
            _JdTree_LoseChild(tr, ch);
            continue;
        }
        if (ch->sent_version < tr->store->config->version &&
            !tr->push_timer.is_armed) {
            _JdTree_PushDelta(tr, ch);
        }
        _JdTree_SendChildHeartbeat(tr, ch, false);
    }
}

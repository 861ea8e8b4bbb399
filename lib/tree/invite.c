/*
 * Invitations.  A node that has restarted finds the others in the directory.
 * While the source does not answer it, it cannot, although its target may be
 * running.  A head that has known the node as a member therefore connects to
 * it and names itself as a parent.
 */
#include <string.h>

#include "libjd.h"
#include "libtree.h"

/* Time from a node's departure to the first invitation: most nodes that
 * restart have joined by then. */
#define INVITE_DELAY (1000 * JD_US_PER_MS)
/* Interval between two invitations of a node. */
#define INVITE_INTERVAL (1500 * JD_US_PER_MS)
/* Time for which a lost or departed node is invited. */
#define INVITE_WINDOW (10 * JD_US_PER_S)
/* Time after which the connection is closed, whether it opened or not. */
#define INVITE_TIMEOUT (500 * JD_US_PER_MS)

static JdInvite *
find_invite(JdTree *tr, const void *peer)
{
    for (unsigned i = 0; i < JD_INVITES_MAX; i++) {
        if (tr->invite[i].peer == peer) {
            return &tr->invite[i];
        }
    }
    return NULL;
}

/* Closes connections that are older than INVITE_TIMEOUT. */
static void
expire_invites(JdTree *tr)
{
    uint64_t now = JdClock_Now(tr->clock);

    for (unsigned i = 0; i < JD_INVITES_MAX; i++) {
        JdInvite *in = &tr->invite[i];

        if (in->peer != NULL && now - in->dialed_at > INVITE_TIMEOUT) {
            tr->ops->close(tr->ctx, in->peer);
            in->peer = NULL;
        }
    }
}

/*
 * Returns whether this node has to invite a member: the head of its domain
 * with the lowest rank does, and the root, since a domain may have no head
 * left.
 */
static bool
is_responsible(const JdTree *tr, const JdMember *mb, bool is_lowest_head)
{
    return tr->is_root ||
           (is_lowest_head && strcmp(mb->domain, tr->self.domain) == 0);
}

/* Returns whether a member may have restarted without having joined again. */
static bool
is_invitable(const JdTree *tr, const JdMember *mb)
{
    uint64_t now = JdClock_Now(tr->clock);

    if ((mb->state != JD_MEMBER_LOST && mb->state != JD_MEMBER_LEFT) ||
        now - mb->changed_at < INVITE_DELAY ||
        now - mb->changed_at > INVITE_WINDOW || now < mb->next_invite_at) {
        return false;
    }
    return mb->peer_address[0] != '\0' && strcmp(mb->id, tr->self.id) != 0;
}

/* Invites members that may have restarted; to be called regularly. */
void
_JdTree_SendInvites(JdTree *tr)
{
    bool is_attached = tr->is_root || tr->parent.state == JD_LINK_ATTACHED;
    bool is_lowest_head;
    JdMember *mb;

    expire_invites(tr);
    if (tr->head_rank == 0 || !is_attached || !tr->is_ready ||
        tr->is_leaving) {
        return;
    }
    is_lowest_head = _JdTree_IsLowestDomainHead(tr);
    if (!tr->is_root && !is_lowest_head) {
        return;
    }
    TAILQ_FOREACH(mb, &tr->members.all, link)
    {
        JdInvite *in;

        if (!is_responsible(tr, mb, is_lowest_head) || !is_invitable(tr, mb)) {
            continue;
        }
        in = find_invite(tr, NULL);
        if (in == NULL) {
            return;
        }
        mb->next_invite_at = JdClock_Now(tr->clock) + INVITE_INTERVAL;
        in->dialed_at = JdClock_Now(tr->clock);
        in->peer = tr->ops->dial(tr->ctx, mb->peer_address);
    }
}

/* Sends the invitation on a connection that was dialed for one and is now
 * open.  Returns false if it was dialed for something else. */
bool
_JdTree_InviteConnected(JdTree *tr, void *peer)
{
    JdInvite *in = find_invite(tr, peer);
    Jd__Candidate self = JD__CANDIDATE__INIT;
    Jd__Invite msg = JD__INVITE__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (in == NULL) {
        return false;
    }
    self.id = tr->self.id;
    self.peer = tr->self.peer_address;
    msg.candidate = &self;
    frame.body_case = JD__FRAME__BODY_INVITE;
    frame.invite = &msg;
    _JdTree_Send(tr, peer, &frame);
    return true;
}

/* Handles the end of a connection that may have been dialed for an invitation.
 */
void
_JdTree_InviteClosed(JdTree *tr, void *peer)
{
    JdInvite *in = find_invite(tr, peer);

    if (in != NULL) {
        in->peer = NULL;
    }
}

/* Heartbeats, and the subtree reports and paths that they carry. */
#include <string.h>

#include "libjd.h"
#include "libtree.h"

/* Lists the ids from the root to this node; returns their number. */
size_t
_JdTree_GetPath(JdTree *tr, char **out)
{
    for (unsigned i = 0; i < tr->path_len; i++) {
        out[i] = tr->path[i];
    }
    out[tr->path_len] = tr->self.id;
    return tr->path_len + 1;
}

/* Returns the admin address of the root, which may be this node. */
const char *
_JdTree_RootAdmin(const JdTree *tr)
{
    return tr->path_len == 0 ? tr->self.admin_address : tr->root_admin;
}

static void
add_laggard(JdTreeReport *out, const char *id)
{
    if (out->laggard_count < JD_LAGGARDS_MAX) {
        _Jd_CopyText(out->laggard[out->laggard_count], JD_NAME_MAX, id);
        out->laggard_count++;
    }
}

/* Summarizes the subtree of this node, itself included. */
void
JdTree_Report(const JdTree *tr, JdTreeReport *out)
{
    uint64_t own = tr->store->config->version;
    const JdChild *ch;

    memset(out, 0, sizeof(*out));
    out->node_count = 1;
    out->min_version = own;
    TAILQ_FOREACH(ch, &tr->children, link)
    {
        out->node_count += ch->subtree_count;
        if (ch->min_version < out->min_version) {
            out->min_version = ch->min_version;
        }
        if (ch->laggard_count == 0 && ch->min_version < own) {
            add_laggard(out, ch->id);
        }
        for (unsigned i = 0; i < ch->laggard_count; i++) {
            add_laggard(out, ch->laggard[i]);
        }
    }
}

/* Sends the parent a heartbeat with the report of this subtree. */
void
_JdTree_SendParentHeartbeat(JdTree *tr)
{
    Jd__Beat msg = JD__BEAT__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    char *list[JD_LAGGARDS_MAX];
    JdTreeReport rep;

    JdTree_Report(tr, &rep);
    for (unsigned i = 0; i < rep.laggard_count; i++) {
        list[i] = rep.laggard[i];
    }
    msg.count = rep.node_count;
    msg.min_version = rep.min_version;
    msg.n_laggard = rep.laggard_count;
    msg.laggard = list;
    frame.body_case = JD__FRAME__BODY_BEAT;
    frame.beat = &msg;
    _JdTree_Send(tr, tr->parent.peer, &frame);
}

/* Tells a former parent that this node is alive and has another parent. */
void
_JdTree_SendMoving(JdTree *tr, void *peer)
{
    Jd__Beat msg = JD__BEAT__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    msg.moving = true;
    frame.body_case = JD__FRAME__BODY_BEAT;
    frame.beat = &msg;
    _JdTree_Send(tr, peer, &frame);
}

/* Sends a child a heartbeat, with the path from the root if `with_path`. */
void
_JdTree_SendChildHeartbeat(JdTree *tr, JdChild *ch, bool with_path)
{
    Jd__Beat msg = JD__BEAT__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    char *path[JD_TREE_PATH_MAX + 1];

    msg.ready = tr->is_ready;
    msg.source_age_ms = (uint32_t)(JdTree_SourceAge(tr) / JD_US_PER_MS);
    msg.source_epoch = tr->source_epoch;
    if (with_path) {
        msg.has_path = true;
        msg.n_path = _JdTree_GetPath(tr, path);
        msg.path = path;
        msg.root_admin = (char *)_JdTree_RootAdmin(tr);
    }
    frame.body_case = JD__FRAME__BODY_BEAT;
    frame.beat = &msg;
    _JdTree_Send(tr, ch->peer, &frame);
}

/* Sends all children a heartbeat with the path from the root. */
void
_JdTree_SendPathToChildren(JdTree *tr)
{
    JdChild *ch;

    TAILQ_FOREACH(ch, &tr->children, link)
    {
        _JdTree_SendChildHeartbeat(tr, ch, true);
    }
}

/* Stores the report of a child's subtree. */
void
_JdTree_OnChildHeartbeat(JdChild *ch, const Jd__Beat *msg)
{
    ch->subtree_count = msg->count;
    ch->min_version = msg->min_version;
    ch->laggard_count = 0;
    for (size_t i = 0; i < msg->n_laggard && i < JD_LAGGARDS_MAX; i++) {
        _Jd_CopyText(ch->laggard[ch->laggard_count], JD_NAME_MAX,
                     msg->laggard[i]);
        ch->laggard_count++;
    }
}

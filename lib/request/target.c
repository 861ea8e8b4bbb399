/*
 * The target beside a node, as it describes itself.  A process of a target is
 * known by its id and its start; its sequence orders what it says.  Leaving is
 * final for a process, and a late word of an ended one changes nothing.
 */
#include <string.h>

#include "libjd.h"

static bool
has_left(const JdTarget *tg, const char *id, uint64_t started)
{
    for (unsigned i = 0; i < JD_DEPARTED_TARGETS_MAX; i++) {
        const JdDepartedTarget *gone = &tg->departed[i];

        if (strcmp(gone->id, id) == 0 && started <= gone->started) {
            return true;
        }
    }
    return false;
}

static bool
is_current(const JdTarget *tg, const JdHeartbeat *hb)
{
    return strcmp(tg->id, hb->id) == 0 && tg->started == hb->started;
}

static void
begin_process(JdTarget *tg, const JdHeartbeat *hb)
{
    _Jd_CopyText(tg->id, sizeof(tg->id), hb->id);
    tg->started = hb->started;
    tg->seq = 0;
    tg->is_draining = false;
}

/* Takes a heartbeat.  Only JD_BEAT_NEWS and JD_BEAT_SAME changed anything. */
JdHeartbeatResult
JdTarget_Heartbeat(JdTarget *tg, const JdHeartbeat *hb, uint64_t now)
{
    bool was_known = tg->is_alive;
    bool was_draining = tg->is_draining;

    if (has_left(tg, hb->id, hb->started)) {
        return JD_HEARTBEAT_STALE;
    }
    if (tg->id[0] != '\0' && hb->started < tg->started) {
        return JD_HEARTBEAT_STALE;
    }
    if (!is_current(tg, hb)) {
        begin_process(tg, hb);
        was_known = false;
    }
    else if (hb->seq <= tg->seq) {
        return JD_HEARTBEAT_STALE;
    }
    tg->is_alive = true;
    tg->seq = hb->seq;
    tg->last_heartbeat = now;
    tg->slots = hb->slots;
    /* A process that began to drain does not go back. */
    tg->is_draining = tg->is_draining || hb->is_draining;
    return was_known && was_draining == tg->is_draining
               ? JD_HEARTBEAT_UNCHANGED
               : JD_HEARTBEAT_CHANGED;
}

/*
 * The target says that a process leaves; `started` is 0 when it does not tell:
 * then it is the one that is known by that id, or any that started before
 * `wall`, in ms since 1970.  Returns whether it is the one that this node
 * sends to.
 */
bool
JdTarget_Deregister(JdTarget *tg, const char *id, uint64_t started,
                    uint64_t wall)
{
    JdDepartedTarget *gone =
        &tg->departed[tg->next_departed++ % JD_DEPARTED_TARGETS_MAX];
    bool is_own =
        strcmp(tg->id, id) == 0 && (started == 0 || started >= tg->started);

    _Jd_CopyText(gone->id, sizeof(gone->id), id);
    gone->started = started;
    if (started == 0) {
        gone->started = is_own ? tg->started : wall;
    }
    if (is_own) {
        tg->is_alive = false;
    }
    return is_own;
}

/* The target does not accept connections: it is unknown until it is heard. */
void
JdTarget_MarkDown(JdTarget *tg)
{
    tg->is_alive = false;
}

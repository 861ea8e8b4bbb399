/*
 * State of the target next to a node, from its heartbeats.  A target process
 * is identified by its id and its start time, and a sequence number orders its
 * heartbeats.  A process that has departed does not come back: its late
 * heartbeats are ignored, and so are those of a process that a newer one has
 * replaced.
 */
#include <string.h>

#include "libjd.h"

static bool
has_departed(const JdTarget *tg, const char *id, uint64_t started)
{
    for (unsigned i = 0; i < JD_DEPARTED_TARGETS_MAX; i++) {
        const JdDepartedTarget *dep = &tg->departed[i];

        if (strcmp(dep->id, id) == 0 && started <= dep->started) {
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

/* Forgets what the process said in its answers. */
void
JdTarget_ForgetNotices(JdTarget *tg)
{
    tg->rate_limit = 0;
    tg->limit_sent_at = 0;
    tg->has_answered = false;
}

static void
set_process(JdTarget *tg, const JdHeartbeat *hb)
{
    _Jd_CopyText(tg->id, sizeof(tg->id), hb->id);
    tg->started = hb->started;
    tg->seq = 0;
    tg->is_draining = false;
    JdTarget_ForgetNotices(tg);
}

/* Returns whether a heartbeat is the first one of a process that takes the
 * place of the known one. */
bool
JdTarget_IsReplacedBy(const JdTarget *tg, const JdHeartbeat *hb)
{
    return tg->id[0] != '\0' && hb->started > tg->started &&
           !has_departed(tg, hb->id, hb->started);
}

/* Handles a heartbeat.  A stale heartbeat changes nothing. */
JdHeartbeatResult
JdTarget_Heartbeat(JdTarget *tg, const JdHeartbeat *hb, uint64_t now)
{
    bool was_alive = tg->is_alive;
    bool was_draining = tg->is_draining;

    if (has_departed(tg, hb->id, hb->started)) {
        return JD_HEARTBEAT_STALE;
    }
    if (tg->id[0] != '\0' && hb->started < tg->started) {
        return JD_HEARTBEAT_STALE;
    }
    if (!is_current(tg, hb)) {
        set_process(tg, hb);
        was_alive = false;
    }
    else if (hb->seq <= tg->seq) {
        return JD_HEARTBEAT_STALE;
    }
    tg->is_alive = true;
    tg->seq = hb->seq;
    tg->last_heartbeat = now;
    tg->slots = hb->slots;
    /* Draining cannot be undone. */
    tg->is_draining = tg->is_draining || hb->is_draining;
    return was_alive && was_draining == tg->is_draining
               ? JD_HEARTBEAT_UNCHANGED
               : JD_HEARTBEAT_CHANGED;
}

/*
 * Records that the target process `id` departs.  `started` is its start time,
 * or 0 if unknown.  If it is unknown, the current process departs if it has
 * this id; otherwise every process with this id departs that started no later
 * than `wall_ms`, the current time in ms since 1970.  Returns whether it
 * is the current process, to which this node sends requests.
 */
bool
JdTarget_Deregister(JdTarget *tg, const char *id, uint64_t started,
                    uint64_t wall_ms)
{
    JdDepartedTarget *dep =
        &tg->departed[tg->next_departed++ % JD_DEPARTED_TARGETS_MAX];
    bool is_current_process =
        strcmp(tg->id, id) == 0 && (started == 0 || started >= tg->started);

    _Jd_CopyText(dep->id, sizeof(dep->id), id);
    dep->started = started;
    if (started == 0) {
        dep->started = is_current_process ? tg->started : wall_ms;
    }
    if (is_current_process) {
        tg->is_alive = false;
        tg->is_draining = true;
    }
    return is_current_process;
}

/* Marks the target down because it does not accept connections.  The next
 * heartbeat marks it alive again. */
void
JdTarget_MarkDown(JdTarget *tg)
{
    tg->is_alive = false;
}

/* Records that an answer said that the target leaves, which cannot be undone.
 * Returns whether this was not known. */
bool
JdTarget_SetLeaving(JdTarget *tg)
{
    bool is_changed = !tg->is_draining;

    tg->is_draining = true;
    return is_changed;
}

/* Returns whether limit `a` allows more than limit `b`; 0 is none. */
static bool
allows_more(unsigned a, unsigned b)
{
    return b != 0 && (a == 0 || a > b);
}

/*
 * Records the limit that an answer named, in requests per 1000 s, 0: none.
 * `sent_at` is the time at which its request was sent.  An answer that took
 * long and is overtaken by that to a later request does not raise the limit.
 * Returns whether it changed.
 */
bool
JdTarget_SetRateLimit(JdTarget *tg, unsigned rate, uint64_t sent_at)
{
    bool is_overtaken = sent_at < tg->limit_sent_at;
    bool is_changed = rate != tg->rate_limit;

    tg->has_answered = true;
    if (is_overtaken && allows_more(rate, tg->rate_limit)) {
        return false;
    }
    tg->rate_limit = rate;
    if (!is_overtaken) {
        tg->limit_sent_at = sent_at;
    }
    return is_changed;
}

/*
 * Learns the limit from another node to which the process that started at
 * `started` named it.  The lowest one holds until the first answer, for a node
 * that has restarted and forgotten what the target said.  Returns whether the
 * limit changed.
 */
bool
JdTarget_AdoptRateLimit(JdTarget *tg, uint64_t started, unsigned rate)
{
    if (tg->has_answered || started != tg->started || rate == 0 ||
        !allows_more(tg->rate_limit, rate)) {
        return false;
    }
    tg->rate_limit = rate;
    return true;
}

/*
 * Keeps at the source of configuration which process of the local target has
 * said that it leaves, so that it is not used again after all nodes were
 * killed.  The departure is acknowledged to the target once it is kept there,
 * and a node that starts does not use its target before it has read it.  It is
 * removed once the next process has taken the place of the one that left.
 */
#include "../node/node.h"

/* Pause after a call to the source that failed. */
#define RETRY_INTERVAL (500 * JD_US_PER_MS)
/* Time after which the target is used although the source could not be asked,
 * from the moment at which this node has a configuration: a source that
 * supplied it may have answered since. */
#define READ_TIMEOUT (2 * JD_US_PER_S)

static bool
is_supported(const JdNode *nd)
{
    return nd->has_target && nd->config_source->read_departure != NULL;
}

/* Returns the process whose departure the source has to hold, 0 for none. */
static uint64_t
get_wanted(const JdNode *nd)
{
    uint64_t left = nd->tree.self.target_left;

    return nd->target_process.started > left ? 0 : left;
}

/* Makes the next call to the source, if one is due. */
static void
continue_keeping(JdNode *nd)
{
    JdDeparture *dep = &nd->departure;

    if (!is_supported(nd) || dep->is_busy || dep->timer.is_armed) {
        return;
    }
    if (!dep->is_read) {
        dep->is_busy = true;
        nd->config_source->read_departure(nd);
    }
    else if (dep->stored != get_wanted(nd)) {
        dep->is_busy = true;
        dep->written = get_wanted(nd);
        nd->config_source->put_departure(nd, dep->written);
    }
}

static void
on_retry(void *ctx)
{
    continue_keeping(ctx);
}

static void
log_call(const JdNode *nd, const char *outcome, JdStatus status)
{
    JD_LOG(JD_EVENT_TARGET, JD_TEXT("outcome", outcome),
           JD_TEXT("status", JdStatus_Name(status)),
           JD_NUMBER("left", nd->tree.self.target_left),
           JD_NUMBER("stored", nd->departure.stored));
}

/* A call has ended: makes the next one, after a pause if it failed. */
static void
finish_call(JdNode *nd, bool is_ok)
{
    nd->departure.is_busy = false;
    if (!is_ok) {
        JdTimer_Arm(&nd->loop.clock, &nd->departure.timer, RETRY_INTERVAL);
    }
    continue_keeping(nd);
}

/* Returns whether it is known, as far as it can be, which process of the
 * target had left before this node started. */
bool
JdDeparture_IsKnown(const JdNode *nd)
{
    return !is_supported(nd) || nd->departure.is_known;
}

/* Returns whether the source holds the last departure of the target. */
bool
JdDeparture_IsKept(const JdNode *nd)
{
    return !is_supported(nd) || nd->departure.stored >= get_wanted(nd);
}

/* A process of the target may have left. */
void
JdDeparture_OnChanged(JdNode *nd)
{
    continue_keeping(nd);
}

/* The source was restored from an older copy, which may lack the record. */
void
JdDeparture_OnEpochChanged(JdNode *nd)
{
    nd->departure.stored = 0;
    continue_keeping(nd);
}

/* Another node has told what it knew of the target before this node started.
 */
void
JdDeparture_OnTold(JdNode *nd)
{
    nd->departure.is_known = true;
    JdTargetHealth_OnLeftLearned(nd);
}

/* This node has a configuration. */
void
JdDeparture_OnNodeReady(JdNode *nd)
{
    nd->departure.ready_at = JdClock_Now(&nd->loop.clock);
}

/* Returns whether the source has had its time to answer. */
static bool
has_timed_out(JdNode *nd)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);

    return nd->tree.is_ready && nd->departure.ready_at != 0 &&
           now - nd->departure.ready_at > READ_TIMEOUT;
}

/* The read has ended; `started` is 0 where the source holds no departure. */
void
JdDeparture_OnRead(JdNode *nd, JdStatus status, uint64_t started)
{
    JdDeparture *dep = &nd->departure;

    if (status == JD_OK) {
        dep->is_read = true;
        dep->stored = started;
        JdTree_SetTargetLeft(&nd->tree, started);
    }
    if (!dep->is_known && (status == JD_OK || has_timed_out(nd))) {
        dep->is_known = true;
        log_call(nd, "departure-read", status);
        JdTargetHealth_OnLeftLearned(nd);
    }
    finish_call(nd, status == JD_OK);
}

/* A write has ended. */
void
JdDeparture_OnPut(JdNode *nd, JdStatus status)
{
    if (status == JD_OK) {
        nd->departure.stored = nd->departure.written;
    }
    log_call(nd, "departure-stored", status);
    finish_call(nd, status == JD_OK);
}

/* Starts to read what the source holds. */
void
JdDeparture_Init(JdNode *nd)
{
    JdTimer_Init(&nd->departure.timer, on_retry, nd);
    continue_keeping(nd);
}

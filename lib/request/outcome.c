/*
 * Statistics of the load balancer: answers, load reports and failures.  A
 * target is ejected for a while after several consecutive failures, which a
 * target that fails a large share of its requests soon has.  At most half of
 * an endpoint set is ejected at a time.
 */
#include "libjd.h"

/* Consecutive failures after which a target is ejected.  A target that is down
 * or draining is ejected at its first failure. */
#define EJECTION_FAILURES 3
/* Bounds on the duration of an ejection.  The duration doubles with each
 * further ejection until the target answers a request. */
#define EJECTION_TIME_MIN (500 * JD_US_PER_MS)
#define EJECTION_TIME_MAX (10 * JD_US_PER_S)

/* Records that a request is sent to a member. */
void
JdBalancer_RecordSend(const JdBalancer *lb, JdMember *mb)
{
    JdTargetStats *ts = _JdBalancer_TargetStats(lb, mb);

    if (ts->outstanding == 0) {
        ts->progress_at = JdClock_Now(lb->clock);
    }
    ts->outstanding++;
    ts->sent_since_report++;
    ts->large_since_report += lb->counts_link;
    ts->view.outstanding++;
    ts->view.sent++;
}

/* Records that a part of a large response has arrived. */
void
JdBalancer_RecordProgress(const JdBalancer *lb, const char *id)
{
    JdMember *mb = JdMembers_Find(lb->members, id);

    if (mb != NULL) {
        _JdBalancer_TargetStats(lb, mb)->progress_at = JdClock_Now(lb->clock);
    }
}

/* Decrements the number of outstanding requests of a member.  Returns NULL if
 * the member is no longer known. */
static JdTargetStats *
finish_attempt(const JdBalancer *lb, const char *id, JdMember **mb)
{
    JdTargetStats *ts;

    *mb = JdMembers_Find(lb->members, id);
    if (*mb == NULL) {
        return NULL;
    }
    ts = _JdBalancer_TargetStats(lb, *mb);
    if (ts->outstanding > 0) {
        ts->outstanding--;
        ts->view.outstanding--;
    }
    return ts;
}

/* Records what the target's node tells of its link. */
static void
record_link(const JdBalancer *lb, JdTargetStats *ts, const JdLoadReport *rep)
{
    if (rep->link_wait == 0) {
        return;
    }
    ts->link_wait = rep->link_wait;
    ts->link_wait_at = JdClock_Now(lb->clock);
    ts->large_since_report = 0;
    if (ts->link_unit == 0 || rep->link_wait < ts->link_unit) {
        ts->link_unit = rep->link_wait;
    }
}

static void
record_report(const JdBalancer *lb, JdTargetStats *ts, const JdLoadReport *rep)
{
    ts->reported_load = rep->load;
    ts->sent_since_report = 0;
    if (rep->service_time != 0) {
        ts->service_time = rep->service_time;
        ts->service_time_at = JdClock_Now(lb->clock);
    }
    ts->load_reported_at = JdClock_Now(lb->clock);
    record_link(lb, ts, rep);
}

/* Records the report of the target's work, if it has one.  The request took
 * `took` us, 0: it did not run. */
static void
record_work(const JdBalancer *lb, const JdMember *mb, JdTargetStats *ts,
            const JdWorkReport *rep, uint64_t took)
{
    if (lb->placing != NULL && rep->route != NULL && rep->route_time != 0) {
        _JdPlacing_Record(lb->placing, mb->endpoint_set, &ts->view,
                          _JdBalancer_TierOf(lb, mb), rep, took,
                          JdClock_Now(lb->clock));
    }
}

/* Records what the target says of itself, as reported by its node. */
static void
record_notices(const JdBalancer *lb, JdMember *mb, JdTargetStats *ts,
               const JdLoadReport *rep)
{
    if (!rep->has_notices) {
        return;
    }
    if (rep->is_leaving) {
        JdMember_SetTargetLeft(mb, rep->process);
    }
    ts->cutoff.rank = rep->cutoff_rank;
    ts->cutoff.until =
        rep->cutoff_wait == 0 ? 0 : JdClock_Now(lb->clock) + rep->cutoff_wait;
    ts->limited_process = rep->process;
    ts->rate_limit = rep->rate_limit;
    ts->limited_until = JdClock_Now(lb->clock) + rep->limit_wait;
}

/* Returns whether the target of a member has answered a request after the time
 * `since`.  One that has is at work: a request that it has not answered yet
 * waits there, or runs for long. */
bool
JdBalancer_HasAnsweredSince(const JdBalancer *lb, const char *id,
                            uint64_t since)
{
    JdMember *mb = JdMembers_Find(lb->members, id);

    return mb != NULL && _JdBalancer_TargetStats(lb, mb)->answered_at > since;
}

/* Records an answer that took `took` us. */
void
JdBalancer_RecordAnswer(const JdBalancer *lb, const char *id, uint64_t took,
                        const JdLoadReport *rep)
{
    JdMember *mb;
    JdTargetStats *ts = finish_attempt(lb, id, &mb);

    if (ts == NULL) {
        return;
    }
    ts->progress_at = JdClock_Now(lb->clock);
    ts->answered_at = ts->progress_at;
    ts->consecutive_failures = 0;
    ts->consecutive_ejections = 0;
    ts->mean_latency =
        ts->mean_latency == 0 ? took : (ts->mean_latency * 7 + took) / 8;
    record_report(lb, ts, rep);
    record_work(lb, mb, ts, &rep->work, took);
    record_notices(lb, mb, ts, rep);
}

/* Returns whether one more member of the endpoint set of `mb` may be ejected.
 * At most half of a set is ejected at a time. */
static bool
can_eject(const JdBalancer *lb, const JdMember *mb)
{
    unsigned n = 0;
    JdMember *m;

    if (mb->set == NULL) {
        return false;
    }
    TAILQ_FOREACH(m, &mb->set->members, set_link)
    {
        if (_JdBalancer_IsEjected(lb, _JdBalancer_TargetStats(lb, m))) {
            n++;
        }
    }
    return (n + 1) * 2 <= mb->set->count;
}

static void
eject(const JdBalancer *lb, JdTargetStats *ts)
{
    uint64_t duration = EJECTION_TIME_MIN << (ts->consecutive_ejections < 5
                                                  ? ts->consecutive_ejections
                                                  : 5);

    if (duration > EJECTION_TIME_MAX) {
        duration = EJECTION_TIME_MAX;
    }
    ts->ejected_until = JdClock_Now(lb->clock) + duration;
    ts->slow_start_at = ts->ejected_until;
    ts->consecutive_ejections++;
    ts->consecutive_failures = 0;
    lb->counters->value[JD_C_TARGETS_EJECTED]++;
}

/* Records a failed attempt.  `rep` is the load report of the target's node.
 * If this node aborted the attempt, `rep` has the run time up to then as the
 * service time. */
void
JdBalancer_RecordFailure(const JdBalancer *lb, const char *id, JdReason reason,
                         const JdLoadReport *rep)
{
    JdMember *mb;
    JdTargetStats *ts = finish_attempt(lb, id, &mb);

    if (ts == NULL) {
        return;
    }
    record_notices(lb, mb, ts, rep);
    switch (reason) {
    case JD_REASON_QUEUE_FULL:
    case JD_REASON_TOO_LATE:
    case JD_REASON_RATE_LIMITED:
        /* The target's node responded, so this is not a failure: the target is
         * busy. */
        ts->progress_at = JdClock_Now(lb->clock);
        ts->last_full_at = ts->progress_at;
        record_report(lb, ts, rep);
        record_work(lb, mb, ts, &rep->work, 0);
        return;
    case JD_REASON_NO_LINK_ROOM:
        ts->progress_at = JdClock_Now(lb->clock);
        record_report(lb, ts, rep);
        return;
    case JD_REASON_CRASHES:
    case JD_REASON_ISOLATED:
    case JD_REASON_COPY_RUNS:
        ts->progress_at = JdClock_Now(lb->clock);
        return;
    case JD_REASON_CANCELLED:
        return;
    default:
        break;
    }
    /* The reported time may be a lower bound, so it counts only if it is
     * higher than the known one. */
    if (rep->service_time > ts->service_time) {
        ts->service_time = rep->service_time;
        ts->service_time_at = JdClock_Now(lb->clock);
    }
    ts->consecutive_failures++;
    if ((ts->consecutive_failures >= EJECTION_FAILURES ||
         reason == JD_REASON_TARGET_DOWN || reason == JD_REASON_DRAINING) &&
        can_eject(lb, mb)) {
        eject(lb, ts);
    }
}

/* Records that the node of a target does not answer, whatever it was asked:
 * the target is ejected, while attempts there may still be outstanding. */
void
JdBalancer_RecordSilence(const JdBalancer *lb, const char *id)
{
    JdMember *mb = JdMembers_Find(lb->members, id);
    JdTargetStats *ts;

    if (mb == NULL) {
        return;
    }
    ts = _JdBalancer_TargetStats(lb, mb);
    if (!_JdBalancer_IsEjected(lb, ts) && can_eject(lb, mb)) {
        eject(lb, ts);
    }
}

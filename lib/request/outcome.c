/*
 * What the choice of targets learns from requests: answers, reports of load,
 * and failures, after which a target is ejected for a while.  The load that it
 * answers is one of which some targets fail a large share: they are found by
 * their outcomes, and half of a set at the most is left out at a time.
 */
#include "libjd.h"

/* Failures in a row after which a target is ejected. */
#define EJECT_AFTER 3
/* First and longest ejection. */
#define EJECT_FIRST (500 * JD_US_PER_MS)
#define EJECT_MOST (10 * JD_US_PER_S)

/* A request goes to a member. */
void
JdBalancer_RecordSend(const JdBalancer *ch, JdMember *mb)
{
    JdTargetStats *ts = _JdBalancer_TargetStats(ch, mb);

    if (ts->outstanding == 0) {
        ts->progress_at = JdClock_Now(ch->clock);
    }
    ts->outstanding++;
    ts->sent_since_report++;
}

/* A try at a member is over; returns NULL when it is no longer known. */
static JdTargetStats *
take_back(const JdBalancer *ch, const char *id, JdMember **mb)
{
    JdTargetStats *ts;

    *mb = JdMembers_Find(ch->members, id);
    if (*mb == NULL) {
        return NULL;
    }
    ts = _JdBalancer_TargetStats(ch, *mb);
    if (ts->outstanding > 0) {
        ts->outstanding--;
    }
    return ts;
}

static void
note_report(const JdBalancer *ch, JdTargetStats *ts, const JdLoadReport *rep)
{
    ts->reported_load = rep->load;
    ts->sent_since_report = 0;
    if (rep->service_time != 0) {
        ts->service_time = rep->service_time;
        ts->service_time_at = JdClock_Now(ch->clock);
    }
    ts->load_reported_at = JdClock_Now(ch->clock);
}

/* A target answered after `took` us. */
void
JdBalancer_RecordAnswer(const JdBalancer *ch, const char *id, uint64_t took,
                        const JdLoadReport *rep)
{
    JdMember *mb;
    JdTargetStats *ts = take_back(ch, id, &mb);

    if (ts == NULL) {
        return;
    }
    ts->progress_at = JdClock_Now(ch->clock);
    ts->consecutive_failures = 0;
    ts->consecutive_ejections = 0;
    ts->mean_latency =
        ts->mean_latency == 0 ? took : (ts->mean_latency * 7 + took) / 8;
    note_report(ch, ts, rep);
}

/* Half of a set at the most may be ejected. */
static bool
may_eject(const JdBalancer *ch, const JdMember *mb)
{
    unsigned n = 0;
    JdMember *m;

    if (mb->set == NULL) {
        return false;
    }
    TAILQ_FOREACH(m, &mb->set->members, set_link)
    {
        if (_JdBalancer_IsEjected(ch, _JdBalancer_TargetStats(ch, m))) {
            n++;
        }
    }
    return (n + 1) * 2 <= mb->set->count;
}

static void
eject(const JdBalancer *ch, JdTargetStats *ts)
{
    uint64_t wait = EJECT_FIRST << (ts->consecutive_ejections < 5
                                        ? ts->consecutive_ejections
                                        : 5);

    if (wait > EJECT_MOST) {
        wait = EJECT_MOST;
    }
    ts->ejected_until = JdClock_Now(ch->clock) + wait;
    ts->slow_start_at = ts->ejected_until;
    ts->consecutive_ejections++;
    ts->consecutive_failures = 0;
    ch->counters->value[JD_C_TARGETS_EJECTED]++;
}

/* A try at a member failed; `rep` is what its node told. */
void
JdBalancer_RecordFailure(const JdBalancer *ch, const char *id, JdReason reason,
                         const JdLoadReport *rep)
{
    JdMember *mb;
    JdTargetStats *ts = take_back(ch, id, &mb);

    if (ts == NULL) {
        return;
    }
    switch (reason) {
    case JD_REASON_QUEUE_FULL:
    case JD_REASON_TOO_LATE:
        /* The node is well and says that its target has enough to do. */
        ts->progress_at = JdClock_Now(ch->clock);
        ts->last_full_at = ts->progress_at;
        note_report(ch, ts, rep);
        return;
    case JD_REASON_CANCELLED:
        return;
    default:
        break;
    }
    if (rep->service_time > ts->service_time) {
        ts->service_time = rep->service_time;
        ts->service_time_at = JdClock_Now(ch->clock);
    }
    ts->consecutive_failures++;
    if ((ts->consecutive_failures >= EJECT_AFTER ||
         reason == JD_REASON_TARGET_DOWN || reason == JD_REASON_DRAINING) &&
        may_eject(ch, mb)) {
        eject(ch, ts);
    }
}

/*
 * The queue of admission: its order, and the work in it that is late or can no
 * longer end in time.
 */
#include "libjd.h"

/* Returns whether `a` is served before `b`. */
bool
_JdAdmission_Precedes(const JdWork *a, const JdWork *b)
{
    if (a->rank != b->rank) {
        return a->rank < b->rank;
    }
    if (a->is_late != b->is_late) {
        return b->is_late;
    }
    if (a->tag < b->tag || a->tag > b->tag) {
        return a->tag < b->tag;
    }
    if (!a->is_late && a->soft_deadline != b->soft_deadline) {
        return a->soft_deadline < b->soft_deadline;
    }
    return a->deadline < b->deadline;
}

/* Returns the total expected time, in us, of queued work that is served before
 * `work`. */
uint64_t
_JdAdmission_QueuedBefore(const JdAdmission *ad, const JdWork *work)
{
    const JdWork *w;
    uint64_t sum = 0;

    TAILQ_FOREACH(w, &ad->queue, link)
    {
        if (w == work || _JdAdmission_Precedes(work, w)) {
            break;
        }
        sum += _JdAdmission_ExpectedTime(ad, w);
    }
    return sum;
}

/* Puts work in its place in the queue. */
void
_JdAdmission_Enqueue(JdAdmission *ad, JdWork *work)
{
    JdWork *w;

    work->is_queued = true;
    ad->queued++;
    JdBacklog_Add(&ad->backlog, work->rank, JdClock_Now(ad->clock));
    TAILQ_FOREACH(w, &ad->queue, link)
    {
        if (_JdAdmission_Precedes(work, w)) {
            TAILQ_INSERT_BEFORE(w, work, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&ad->queue, work, link);
}

/* Takes work out of the queue. */
void
_JdAdmission_Dequeue(JdAdmission *ad, JdWork *work)
{
    TAILQ_REMOVE(&ad->queue, work, link);
    work->is_queued = false;
    ad->queued--;
    JdBacklog_Remove(&ad->backlog, work->rank);
}

/*
 * Moves queued work that can no longer finish by its soft deadline behind the
 * work that still can.  If it were served first, the other work would be late
 * as well.
 */
void
_JdAdmission_DemoteLate(JdAdmission *ad)
{
    JdWork *w, *next;

    for (w = TAILQ_FIRST(&ad->queue); w != NULL; w = next) {
        next = TAILQ_NEXT(w, link);
        if (!w->is_late &&
            !_JdAdmission_FinishesBy(ad, w, 0, w->soft_deadline)) {
            _JdAdmission_Dequeue(ad, w);
            w->is_late = true;
            _JdAdmission_Enqueue(ad, w);
        }
    }
}

/* Returns queued work that can no longer finish by its deadline, or NULL. */
JdWork *
_JdAdmission_FindInfeasible(JdAdmission *ad)
{
    uint64_t ahead = 0;
    JdWork *w;

    TAILQ_FOREACH(w, &ad->queue, link)
    {
        if (!_JdAdmission_FinishesBy(
                ad, w, _JdAdmission_EstimateWait(ad, ahead, w->rank),
                w->deadline)) {
            return w;
        }
        ahead += _JdAdmission_ExpectedTime(ad, w);
    }
    return NULL;
}

/* Returns whether at most half of the queued work of a rank precedes new work
 * of that rank: others of its rank would not do better. */
bool
_JdAdmission_IsTypicalOfRank(const JdAdmission *ad, const JdWork *work)
{
    unsigned before = 0, count = 0;
    const JdWork *w;

    TAILQ_FOREACH(w, &ad->queue, link)
    {
        if (w->rank == work->rank) {
            count++;
            before += !_JdAdmission_Precedes(work, w);
        }
    }
    return before * 2 <= count;
}

/*
 * Admission control for one target: a limit on concurrent work and a short
 * priority queue.  Only the target's own node runs admission for it, so the
 * limit on running work is exact.
 *
 * Work is served by rank, then by the client accounts' fair shares.
 *
 * The policy is made for an offered load above the target's capacity.  A queue
 * ordered by deadline alone would then finish all work just before its
 * deadline and none by its soft deadline.  Work is therefore queued only if it
 * is expected to finish by its soft deadline.  Work that would miss its soft
 * deadline on an idle target as well is queued behind the other work of its
 * rank, and work that cannot finish by its deadline is refused as soon as
 * this is known.  Where work waits all the time, only a short queue is kept
 * (lib/admission/backlog.c).
 */
#include <string.h>

#include "libjd.h"

/* Bounds on the retry-after time of refused work. */
#define RETRY_AFTER_MIN (50 * JD_US_PER_MS)
#define RETRY_AFTER_MAX (2000 * JD_US_PER_MS)

static void on_deadline(void *ctx);

/* Initializes admission control with an empty queue and no running work. */
void
JdAdmission_Init(JdAdmission *ad, unsigned slots, unsigned queue_limit,
                 JdClock *clk, const JdAdmissionOps *ops, void *ctx)
{
    memset(ad, 0, sizeof(*ad));
    ad->slots = slots;
    ad->queue_limit = queue_limit;
    ad->clock = clk;
    ad->ops = ops;
    ad->ctx = ctx;
    JdShares_Init(&ad->shares);
    TAILQ_INIT(&ad->queue);
    JdTimer_Init(&ad->deadline_timer, on_deadline, ad);
}

/* Cancels the timer.  The work items belong to the caller. */
void
JdAdmission_Finish(JdAdmission *ad)
{
    JdTimer_Cancel(ad->clock, &ad->deadline_timer);
    JdShares_Finish(&ad->shares);
}

/* Returns what work claims of its account's share. */
static JdShareClaim
share_claim(const JdAdmission *ad, const JdWork *work)
{
    JdShareClaim cl = {.account = work->account,
                       .rank = work->rank,
                       .rate = work->rate,
                       .cost = _JdAdmission_ExpectedTime(ad, work)};

    return cl;
}

/* Takes work that will not be started out of the queue. */
static void
dequeue_unserved(JdAdmission *ad, JdWork *work)
{
    JdShareClaim cl = share_claim(ad, work);

    JdShares_Refund(&ad->shares, &cl);
    _JdAdmission_Dequeue(ad, work);
}

static void
start_work(JdAdmission *ad, JdWork *work)
{
    work->is_running = true;
    work->started_at = JdClock_Now(ad->clock);
    _JdAdmission_RecordStart(ad, work);
    ad->running++;
    JdShares_Start(&ad->shares, work->rank, work->tag);
    JdRateLimit_Take(&ad->rate_limit, work->started_at);
    ad->ops->start(ad->ctx, work);
}

/* Returns the time at which queued work is given back if no slot becomes free
 * before: half of its time.  What is in the slots hangs, or takes longer than
 * the other half, while another target may still do the work. */
static uint64_t
stuck_at(const JdAdmission *ad, const JdWork *work)
{
    uint64_t since =
        work->queued_at > ad->freed_at ? work->queued_at : ad->freed_at;

    return since + (work->deadline - work->queued_at) / 2;
}

/* Returns the time at which queued work is refused.  With ranks, that is when
 * it can no longer end in time, so that its caller knows before its own
 * deadline that it has not run; in any case when it is stuck. */
static uint64_t
latest_start(const JdAdmission *ad, const JdWork *work)
{
    uint64_t expected =
        ad->has_ranks ? _JdAdmission_ExpectedTime(ad, work) : 0;
    uint64_t latest =
        work->deadline > expected ? work->deadline - expected : 0;
    uint64_t stuck = stuck_at(ad, work);

    return stuck < latest ? stuck : latest;
}

/* Arms the timer for the earliest time at which queued work is refused. */
static void
arm_deadline_timer(JdAdmission *ad)
{
    uint64_t now = JdClock_Now(ad->clock);
    uint64_t first = UINT64_MAX;
    const JdWork *w;

    TAILQ_FOREACH(w, &ad->queue, link)
    {
        if (latest_start(ad, w) < first) {
            first = latest_start(ad, w);
        }
    }
    if (first == UINT64_MAX) {
        JdTimer_Cancel(ad->clock, &ad->deadline_timer);
        return;
    }
    JdTimer_Arm(ad->clock, &ad->deadline_timer, first > now ? first - now : 0);
}

/* Refuses queued work.  The caller that is told may have sent others behind
 * it, which are offered at once: the queue may be another one afterwards. */
static void
refuse_queued(JdAdmission *ad, JdWork *work, JdReason reason)
{
    dequeue_unserved(ad, work);
    ad->ops->refuse(ad->ctx, work, reason);
}

/* Returns queued work whose time to start has passed, or NULL. */
static JdWork *
find_expired(const JdAdmission *ad)
{
    JdWork *w;

    TAILQ_FOREACH(w, &ad->queue, link)
    {
        if (latest_start(ad, w) <= JdClock_Now(ad->clock)) {
            return w;
        }
    }
    return NULL;
}

static void
on_deadline(void *ctx)
{
    JdAdmission *ad = ctx;
    JdWork *w;

    while ((w = find_expired(ad)) != NULL) {
        refuse_queued(ad, w, JD_REASON_TOO_LATE);
    }
    arm_deadline_timer(ad);
}

static void
refuse_infeasible(JdAdmission *ad)
{
    JdWork *w;

    while ((w = _JdAdmission_FindInfeasible(ad)) != NULL) {
        refuse_queued(ad, w, JD_REASON_TOO_LATE);
    }
}

static void
start_queued(JdAdmission *ad)
{
    JdWork *w;

    _JdAdmission_DemoteLate(ad);
    while (ad->running < ad->slots && (w = TAILQ_FIRST(&ad->queue)) != NULL) {
        if (!_JdAdmission_FinishesBy(ad, w, 0, w->deadline)) {
            refuse_queued(ad, w, JD_REASON_TOO_LATE);
        }
        else if (JdAdmission_IsRateLimited(ad, w->priority)) {
            refuse_queued(ad, w, JD_REASON_RATE_LIMITED);
        }
        else {
            _JdAdmission_Dequeue(ad, w);
            start_work(ad, w);
        }
    }
    refuse_infeasible(ad);
    arm_deadline_timer(ad);
}

/* Makes room for `work` by refusing the last work in the queue.  Returns false
 * if that is not of a lower rank.  With ranks, it may be of the same one and
 * late, or of an account further ahead of its share. */
static bool
evict_last(JdAdmission *ad, const JdWork *work)
{
    JdWork *last = TAILQ_LAST(&ad->queue, JdWorkHead);

    if (last == NULL || (!ad->has_ranks && last->rank <= work->rank) ||
        !_JdAdmission_Precedes(work, last)) {
        return false;
    }
    refuse_queued(ad, last, JD_REASON_QUEUE_FULL);
    return true;
}

/* Notes for the nodes that send that work of this rank is refused for `time`
 * us.  Work of an account ahead of its share tells nothing of others. */
static void
note_cutoff(JdAdmission *ad, const JdWork *work, uint64_t time)
{
    uint64_t now = JdClock_Now(ad->clock);

    if (ad->has_ranks && (work->account == NULL || work->account[0] == '\0' ||
                          _JdAdmission_IsTypicalOfRank(ad, work))) {
        JdCutoff_Note(&ad->cutoff, work->rank, now + time, now);
    }
}

/* Decides whether work that finds no free slot may be queued. */
static JdReason
check_queueing(JdAdmission *ad, JdWork *work)
{
    uint64_t now = JdClock_Now(ad->clock);
    uint64_t longest = JdBacklog_LongestWait(&ad->backlog, work->rank,
                                             ad->service_time.mean, now);
    uint64_t end;
    uint64_t wait;

    if (work->soft_deadline == 0) {
        work->soft_deadline = work->deadline;
    }
    /* Such work would be late on an idle target as well. */
    work->is_late = !_JdAdmission_FinishesBy(
        ad, work, _JdAdmission_TimeMargin(ad, work), work->soft_deadline);
    wait = _JdAdmission_EstimateWait(ad, _JdAdmission_QueuedBefore(ad, work),
                                     work->rank);
    if (!_JdAdmission_FinishesBy(ad, work, wait, work->deadline)) {
        return JD_REASON_TOO_LATE;
    }
    if (wait > longest) {
        note_cutoff(ad, work, wait - longest);
        return JD_REASON_TOO_LATE;
    }
    if (!work->is_late &&
        !_JdAdmission_FinishesBy(ad, work,
                                 wait + _JdAdmission_TimeMargin(ad, work),
                                 work->soft_deadline)) {
        end = now + wait + _JdAdmission_TimeMargin(ad, work) +
              _JdAdmission_ExpectedTime(ad, work);
        note_cutoff(ad, work, end - work->soft_deadline);
        return JD_REASON_TOO_LATE;
    }
    return JD_REASON_NONE;
}

/*
 * Starts work in a free slot if it can finish by its deadline.  An idle target
 * gets any work whose deadline has not passed, as the estimate may be
 * outdated.
 */
static JdReason
start_now(JdAdmission *ad, JdWork *work)
{
    bool is_idle = ad->running == 0 && work->deadline > JdClock_Now(ad->clock);

    if (!is_idle && !_JdAdmission_FinishesBy(ad, work, 0, work->deadline)) {
        return JD_REASON_TOO_LATE;
    }
    start_work(ad, work);
    return JD_REASON_NONE;
}

/*
 * Offers work to the target.  Returns JD_REASON_NONE if the work was started
 * or queued; `start` may already have been called.  Any other reason is a
 * refusal, and the work did not run.
 */
JdReason
JdAdmission_Offer(JdAdmission *ad, JdWork *work)
{
    JdShareClaim cl;
    JdReason reason;

    if (!ad->has_ranks) {
        work->rank = JdRank_Make(0, work->priority, false);
        work->account = NULL;
    }
    cl = share_claim(ad, work);
    work->tag = JdShares_Tag(&ad->shares, &cl);
    work->is_queued = false;
    work->is_running = false;
    if (!JdAdmission_TakesWork(ad)) {
        return JD_REASON_DRAINING;
    }
    if (JdAdmission_IsRateLimited(ad, work->priority)) {
        return JD_REASON_RATE_LIMITED;
    }
    if (JdAdmission_HasFreeSlot(ad)) {
        reason = start_now(ad, work);
        if (reason == JD_REASON_NONE) {
            JdShares_Charge(&ad->shares, &cl, work->tag);
        }
        return reason;
    }
    reason = check_queueing(ad, work);
    if (reason != JD_REASON_NONE) {
        return reason;
    }
    if (ad->queued >= ad->queue_limit && !evict_last(ad, work)) {
        note_cutoff(ad, work, ad->service_time.mean / ad->slots);
        return JD_REASON_QUEUE_FULL;
    }
    JdShares_Charge(&ad->shares, &cl, work->tag);
    work->queued_at = JdClock_Now(ad->clock);
    _JdAdmission_Enqueue(ad, work);
    arm_deadline_timer(ad);
    return JD_REASON_NONE;
}

/*
 * Frees the slot of work that has ended and starts queued work.  `is_typical`
 * says that the work ran to its end, so that its run time counts in the mean
 * service time.
 */
void
JdAdmission_FreeSlot(JdAdmission *ad, JdWork *work, bool is_typical)
{
    uint64_t took = JdClock_Now(ad->clock) - work->started_at;

    work->is_running = false;
    ad->running--;
    ad->freed_at = JdClock_Now(ad->clock);
    if (is_typical) {
        JdServiceTime_Add(&ad->service_time, took);
    }
    start_queued(ad);
}

/*
 * Records that running work is aborted.  Its run time so far is a lower bound
 * of its service time.  Without this, a target that became too slow to finish
 * any work in time would keep its old, lower estimate.  The slot stays in use
 * until JdAdmission_FreeSlot().
 */
void
JdAdmission_RecordAbort(JdAdmission *ad, const JdWork *work)
{
    JdServiceTime_AddLowerBound(&ad->service_time,
                                JdClock_Now(ad->clock) - work->started_at);
}

/* Cancels work whose caller has gone: removes it from the queue or frees its
 * slot. */
void
JdAdmission_Cancel(JdAdmission *ad, JdWork *work)
{
    if (work->is_queued) {
        dequeue_unserved(ad, work);
        arm_deadline_timer(ad);
    }
    else if (work->is_running) {
        JdAdmission_FreeSlot(ad, work, false);
    }
}

/* Sets the number of slots.  Running work above the new limit continues. */
void
JdAdmission_SetSlots(JdAdmission *ad, unsigned slots)
{
    if (slots == 0 || slots == ad->slots) {
        return;
    }
    ad->slots = slots;
    start_queued(ad);
}

/* Sets the rate at which work may be started, in requests per 1000 s; 0 lifts
 * the limit.  Queued work that finds no credit is refused when its turn comes.
 */
void
JdAdmission_SetRateLimit(JdAdmission *ad, unsigned rate)
{
    if (rate != ad->rate_limit.rate) {
        JdRateLimit_Set(&ad->rate_limit, rate, JdClock_Now(ad->clock));
    }
}

/* Returns whether the rate limit forbids work of this priority now. */
bool
JdAdmission_IsRateLimited(JdAdmission *ad, unsigned priority)
{
    return !JdRateLimit_HasCredit(&ad->rate_limit, priority,
                                  JdClock_Now(ad->clock));
}

/* Returns the time in us until the rate limit allows work of this priority. */
uint64_t
JdAdmission_RateLimitWait(JdAdmission *ad, unsigned priority)
{
    return JdRateLimit_Wait(&ad->rate_limit, priority, JdClock_Now(ad->clock));
}

/* Returns the time in us after which work that is refused now is expected to
 * find a free slot. */
uint64_t
JdAdmission_RetryAfter(const JdAdmission *ad)
{
    uint64_t wait = ad->service_time.mean * (ad->queued + 1) / ad->slots;

    if (wait < RETRY_AFTER_MIN) {
        return RETRY_AFTER_MIN;
    }
    return wait < RETRY_AFTER_MAX ? wait : RETRY_AFTER_MAX;
}

/* Refuses new work from now on.  Queued and running work continues. */
void
JdAdmission_Close(JdAdmission *ad)
{
    ad->is_closed = true;
}

/* The target leaves: no work is started any more.  Queued work is refused, so
 * that it can run at another target; running work continues. */
void
JdAdmission_Halt(JdAdmission *ad)
{
    JdWork *w;

    ad->is_halted = true;
    while ((w = TAILQ_FIRST(&ad->queue)) != NULL) {
        refuse_queued(ad, w, JD_REASON_DRAINING);
    }
    arm_deadline_timer(ad);
}

/* Another target has taken the place of the one that left. */
void
JdAdmission_Resume(JdAdmission *ad)
{
    ad->is_halted = false;
}

/* Returns whether new work may be started or queued. */
bool
JdAdmission_TakesWork(const JdAdmission *ad)
{
    return !ad->is_closed && !ad->is_halted;
}

/* Returns the number of running and queued work items in percent of the slots.
 */
unsigned
JdAdmission_Load(const JdAdmission *ad)
{
    return (ad->running + ad->queued) * 100 / ad->slots;
}

/* Returns whether all slots and all places in the queue are taken.  Work of a
 * higher priority can still replace queued work. */
bool
JdAdmission_IsFull(const JdAdmission *ad)
{
    return ad->running >= ad->slots && ad->queued >= ad->queue_limit;
}

/* Returns whether a slot is free and the queue is empty. */
bool
JdAdmission_HasFreeSlot(const JdAdmission *ad)
{
    return ad->running < ad->slots && ad->queued == 0;
}

/*
 * Admission in front of one target.  The target's own node is the only place
 * that runs this part for it, so its limit on running work is exact.
 *
 * The load that it answers is one above the target's capacity.  A queue in
 * order of deadlines would then serve everything just before its deadline,
 * and nothing when it is wanted.  So work is queued only where it can be
 * answered in the time wanted; what comes too late for that anyhow is served
 * after it, in gaps; and what cannot end by its deadline is refused as soon
 * as that is known.
 */
#include <math.h>
#include <string.h>

#include "libjd.h"

/* Samples over which the moving average runs. */
#define AVERAGE_OF 8
/* Spread of the time of work, in percent of its mean. */
#define SPREAD_SHARE 70
/* Time over which the load by priority is measured, in us. */
#define RECENT_TIME 1e6
/* The most of the slots that higher priorities are thought to take. */
#define SHARE_MOST 0.9
/* Bounds on the wait that refused work is told. */
#define RETRY_LEAST (50 * JD_US_PER_MS)
#define RETRY_MOST (2000 * JD_US_PER_MS)

static void on_expire(void *ctx);

/* Initializes admission with nothing running. */
void
JdAdmission_Init(JdAdmission *ad, unsigned slots, unsigned queue_most,
                 JdClock *clk, const JdAdmissionOps *ops, void *ctx)
{
    memset(ad, 0, sizeof(*ad));
    ad->slots = slots;
    ad->queue_limit = queue_most;
    ad->clock = clk;
    ad->ops = ops;
    ad->ctx = ctx;
    TAILQ_INIT(&ad->queue);
    JdTimer_Init(&ad->deadline_timer, on_expire, ad);
}

/* Releases the timer; the work belongs to the caller. */
void
JdAdmission_Finish(JdAdmission *ad)
{
    JdTimer_Cancel(ad->clock, &ad->deadline_timer);
}

/* Adds one more measurement. */
void
JdServiceTime_Add(JdServiceTime *est, uint64_t took)
{
    if (est->mean == 0) {
        est->mean = took;
    }
    else {
        est->mean += took / AVERAGE_OF - est->mean / AVERAGE_OF;
    }
}

/* Adds a measurement that was ended early: it counts only where it raises
 * the estimate. */
void
JdServiceTime_AddLowerBound(JdServiceTime *est, uint64_t took)
{
    if (took > est->mean) {
        JdServiceTime_Add(est, took);
    }
}

/* Lowers an estimate by which work was refused though there was room for it,
 * so that after some refusals it is measured again. */
void
JdServiceTime_Decay(JdServiceTime *est)
{
    est->mean -= est->mean / AVERAGE_OF;
}

static uint64_t
expected(const JdAdmission *ad, const JdWork *work)
{
    return work->expected_time != 0 ? work->expected_time
                                    : ad->service_time.mean;
}

static bool
goes_before(const JdWork *a, const JdWork *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    if (a->is_late != b->is_late) {
        return b->is_late;
    }
    if (!a->is_late && a->soft_deadline != b->soft_deadline) {
        return a->soft_deadline < b->soft_deadline;
    }
    return a->deadline < b->deadline;
}

/* Lets the measure of started work fade with the time since the last look. */
static void
fade_recent(JdAdmission *ad)
{
    uint64_t now = JdClock_Now(ad->clock);
    double keep = exp(-(double)(now - ad->recent_load_at) / RECENT_TIME);

    for (int p = 0; p < JD_PRIORITIES; p++) {
        ad->recent_load[p] *= keep;
    }
    ad->recent_load_at = now;
}

/* Returns the share of the slots that work of higher priorities takes. */
static double
share_above(JdAdmission *ad, unsigned priority)
{
    double sum = 0;

    fade_recent(ad);
    for (unsigned p = 0; p < priority && p < JD_PRIORITIES; p++) {
        sum += ad->recent_load[p];
    }
    sum /= RECENT_TIME * ad->slots;
    return sum < SHARE_MOST ? sum : SHARE_MOST;
}

/*
 * Returns the us until a slot is free for work behind `ahead` us of others.
 * Work of higher priorities that comes meanwhile goes first: only what it
 * leaves of the slots serves those that wait.
 */
static uint64_t
wait_behind(JdAdmission *ad, uint64_t ahead, unsigned priority)
{
    double left = ad->slots * (1 - share_above(ad, priority));

    return (uint64_t)((double)(ahead + ad->service_time.mean) / left);
}

/* Returns the us that queued work which is served before this one will run. */
static uint64_t
sum_ahead(const JdAdmission *ad, const JdWork *work)
{
    const JdWork *w;
    uint64_t sum = 0;

    TAILQ_FOREACH(w, &ad->queue, link)
    {
        if (w == work || goes_before(work, w)) {
            break;
        }
        sum += expected(ad, w);
    }
    return sum;
}

/* Time beyond the usual one that work may take: the mean is not enough for
 * most of it to be in time. */
static uint64_t
spread(const JdAdmission *ad, const JdWork *work)
{
    return expected(ad, work) * SPREAD_SHARE / 100;
}

static bool
ends_by(const JdAdmission *ad, const JdWork *work, uint64_t wait, uint64_t by)
{
    uint64_t now = JdClock_Now(ad->clock);

    return by > now && now + wait + expected(ad, work) <= by;
}

static void
enqueue(JdAdmission *ad, JdWork *work)
{
    JdWork *w;

    work->is_queued = true;
    ad->queued++;
    TAILQ_FOREACH(w, &ad->queue, link)
    {
        if (goes_before(work, w)) {
            TAILQ_INSERT_BEFORE(w, work, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&ad->queue, work, link);
}

static void
dequeue(JdAdmission *ad, JdWork *work)
{
    TAILQ_REMOVE(&ad->queue, work, link);
    work->is_queued = false;
    ad->queued--;
}

static void
run(JdAdmission *ad, JdWork *work)
{
    work->is_running = true;
    work->started_at = JdClock_Now(ad->clock);
    fade_recent(ad);
    ad->recent_load[work->priority] += (double)expected(ad, work);
    ad->running++;
    ad->ops->start(ad->ctx, work);
}

/* Arms the timer for the first deadline in the queue. */
static void
arm_expire(JdAdmission *ad)
{
    uint64_t now = JdClock_Now(ad->clock);
    uint64_t first = UINT64_MAX;
    const JdWork *w;

    TAILQ_FOREACH(w, &ad->queue, link)
    {
        if (w->deadline < first) {
            first = w->deadline;
        }
    }
    if (first == UINT64_MAX) {
        JdTimer_Cancel(ad->clock, &ad->deadline_timer);
        return;
    }
    JdTimer_Arm(ad->clock, &ad->deadline_timer, first > now ? first - now : 0);
}

static void
on_expire(void *ctx)
{
    JdAdmission *ad = ctx;
    JdWork *w, *next;

    for (w = TAILQ_FIRST(&ad->queue); w != NULL; w = next) {
        next = TAILQ_NEXT(w, link);
        if (w->deadline <= JdClock_Now(ad->clock)) {
            dequeue(ad, w);
            ad->ops->refuse(ad->ctx, w, JD_REASON_TOO_LATE);
        }
    }
    arm_expire(ad);
}

/*
 * Puts work that waited too long to be answered in time behind the work that
 * can be: serving it first would make that late as well.
 */
static void
demote_late(JdAdmission *ad)
{
    JdWork *w, *next;

    for (w = TAILQ_FIRST(&ad->queue); w != NULL; w = next) {
        next = TAILQ_NEXT(w, link);
        if (!w->is_late && !ends_by(ad, w, 0, w->soft_deadline)) {
            dequeue(ad, w);
            w->is_late = true;
            enqueue(ad, w);
        }
    }
}

/* Refuses queued work that can no longer end by its deadline. */
static void
refuse_hopeless(JdAdmission *ad)
{
    uint64_t ahead = 0;
    JdWork *w, *next;

    for (w = TAILQ_FIRST(&ad->queue); w != NULL; w = next) {
        next = TAILQ_NEXT(w, link);
        if (ends_by(ad, w, wait_behind(ad, ahead, w->priority), w->deadline)) {
            ahead += expected(ad, w);
            continue;
        }
        dequeue(ad, w);
        ad->ops->refuse(ad->ctx, w, JD_REASON_TOO_LATE);
    }
}

static void
start_queued(JdAdmission *ad)
{
    JdWork *w;

    demote_late(ad);
    while (ad->running < ad->slots && (w = TAILQ_FIRST(&ad->queue)) != NULL) {
        dequeue(ad, w);
        if (ends_by(ad, w, 0, w->deadline)) {
            run(ad, w);
        }
        else {
            ad->ops->refuse(ad->ctx, w, JD_REASON_TOO_LATE);
        }
    }
    refuse_hopeless(ad);
    arm_expire(ad);
}

/* Makes room for work of a higher priority by refusing the last in line. */
static bool
displace(JdAdmission *ad, const JdWork *work)
{
    JdWork *last = TAILQ_LAST(&ad->queue, JdWorkHead);

    if (last == NULL || last->priority <= work->priority) {
        return false;
    }
    dequeue(ad, last);
    ad->ops->refuse(ad->ctx, last, JD_REASON_QUEUE_FULL);
    return true;
}

/* Whether work that would have to wait may do so. */
static JdReason
check_queue(JdAdmission *ad, JdWork *work)
{
    uint64_t wait;

    if (work->soft_deadline == 0) {
        work->soft_deadline = work->deadline;
    }
    /* Late for any target, however idle. */
    work->is_late = !ends_by(ad, work, spread(ad, work), work->soft_deadline);
    wait = wait_behind(ad, sum_ahead(ad, work), work->priority);
    if (!ends_by(ad, work, wait, work->deadline)) {
        return JD_REASON_TOO_LATE;
    }
    if (!work->is_late &&
        !ends_by(ad, work, wait + spread(ad, work), work->soft_deadline)) {
        return JD_REASON_TOO_LATE;
    }
    return JD_REASON_NONE;
}

/*
 * Starts work that finds a free slot, if it can end in time.  What a target
 * was last seen to need may be long past: an idle one is tried all the same.
 */
static JdReason
start_at_once(JdAdmission *ad, JdWork *work)
{
    bool is_idle = ad->running == 0 && work->deadline > JdClock_Now(ad->clock);

    if (!is_idle && !ends_by(ad, work, 0, work->deadline)) {
        return JD_REASON_TOO_LATE;
    }
    run(ad, work);
    return JD_REASON_NONE;
}

/*
 * Offers work.  Returns JD_REASON_NONE when it was started or queued; `start`
 * may have been called already.  Any other reason is a refusal, and the work
 * did not run.
 */
JdReason
JdAdmission_Offer(JdAdmission *ad, JdWork *work)
{
    JdReason reason;

    work->is_queued = false;
    work->is_running = false;
    if (ad->is_closed) {
        return JD_REASON_DRAINING;
    }
    if (JdAdmission_HasFreeSlot(ad)) {
        return start_at_once(ad, work);
    }
    reason = check_queue(ad, work);
    if (reason != JD_REASON_NONE) {
        return reason;
    }
    if (ad->queued >= ad->queue_limit && !displace(ad, work)) {
        return JD_REASON_QUEUE_FULL;
    }
    enqueue(ad, work);
    arm_expire(ad);
    return JD_REASON_NONE;
}

/*
 * Running work has ended and its slot is free.  `is_whole` says that it ran
 * to its end, so that its time may serve as an estimate for others.
 */
void
JdAdmission_FreeSlot(JdAdmission *ad, JdWork *work, bool is_whole)
{
    uint64_t took = JdClock_Now(ad->clock) - work->started_at;

    work->is_running = false;
    ad->running--;
    if (is_whole) {
        JdServiceTime_Add(&ad->service_time, took);
    }
    start_queued(ad);
}

/*
 * Running work is cut off.  It takes at least as long as it has run so far;
 * without this a target that turned too slow to end anything in time would
 * keep the estimate of its better days.
 */
void
JdAdmission_RecordAbort(JdAdmission *ad, const JdWork *work)
{
    JdServiceTime_AddLowerBound(&ad->service_time,
                                JdClock_Now(ad->clock) - work->started_at);
}

/* The caller left: takes work out of the queue or frees its slot. */
void
JdAdmission_Cancel(JdAdmission *ad, JdWork *work)
{
    if (work->is_queued) {
        dequeue(ad, work);
        arm_expire(ad);
    }
    else if (work->is_running) {
        JdAdmission_FreeSlot(ad, work, false);
    }
}

/* Sets the number of slots; work that runs above it goes on. */
void
JdAdmission_SetSlots(JdAdmission *ad, unsigned slots)
{
    if (slots == 0 || slots == ad->slots) {
        return;
    }
    ad->slots = slots;
    start_queued(ad);
}

/* Returns the us after which work that is refused now would find a slot. */
uint64_t
JdAdmission_RetryAfter(const JdAdmission *ad)
{
    uint64_t wait = ad->service_time.mean * (ad->queued + 1) / ad->slots;

    if (wait < RETRY_LEAST) {
        return RETRY_LEAST;
    }
    return wait < RETRY_MOST ? wait : RETRY_MOST;
}

/* Refuses new work from now on; what is queued or runs goes on. */
void
JdAdmission_Close(JdAdmission *ad)
{
    ad->is_closed = true;
}

/* Returns running and queued work in percent of the slots. */
unsigned
JdAdmission_Load(const JdAdmission *ad)
{
    return (ad->running + ad->queued) * 100 / ad->slots;
}

/* Returns whether work of the lowest priority would find no place now. */
bool
JdAdmission_IsFull(const JdAdmission *ad)
{
    return ad->running >= ad->slots && ad->queued >= ad->queue_limit;
}

/* Returns whether a slot is free and nothing waits for it. */
bool
JdAdmission_HasFreeSlot(const JdAdmission *ad)
{
    return ad->running < ad->slots && ad->queued == 0;
}

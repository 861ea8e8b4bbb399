/*
 * Decisions when callers ask for more than the targets can do: who is served,
 * who waits and who is refused.  Loads are played on a paused clock.
 */
#include <math.h>
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

/* ---- requests that use their time on the way --------------------------- */

/* The delay is measured against the fastest message, whatever the clocks of
 * the two nodes say. */
static void
test_transit(void)
{
    const uint64_t at[] = {1000, 4294967000, 17179869000};
    JdTransit tr;

    for (size_t i = 0; i < G_N_ELEMENTS(at); i++) {
        uint64_t sent = 5000 * JD_US_PER_MS, here = at[i] * JD_US_PER_MS;

        memset(&tr, 0, sizeof(tr));
        JdTransit_Record(&tr, JdTransit_Stamp(sent), here);
        /* 20 ms less on the way: this one was not delayed. */
        CU_ASSERT(JdTransit_Record(&tr, JdTransit_Stamp(sent + 100000),
                                   here + 80000) == 0);
        CU_ASSERT(JdTransit_Record(&tr, JdTransit_Stamp(sent + 200000),
                                   here + 580000) == 400000);
        CU_ASSERT(JdTransit_Record(&tr, 0, here + 900000) == 0);
    }
}

/* Clocks drift apart on a connection that stays open for a day: no request
 * counts as delayed for it, and one that is delayed still does. */
static void
test_transit_drift(void)
{
    const uint64_t day = UINT64_C(86400) * JD_US_PER_S;
    uint64_t most = 0, delay;
    JdTransit tr;

    memset(&tr, 0, sizeof(tr));
    for (uint64_t now = JD_US_PER_S; now < day; now += JD_US_PER_S) {
        uint64_t sent = now - now / 20000; /* 50 ppm slower */

        delay = JdTransit_Record(&tr, JdTransit_Stamp(sent), now);
        most = delay > most ? delay : most;
    }
    CU_ASSERT_TRUE(most <= 2 * JD_US_PER_MS);
    delay = JdTransit_Record(&tr, JdTransit_Stamp(day - day / 20000),
                             day + 400 * JD_US_PER_MS);
    CU_ASSERT_TRUE(delay >= 399 * JD_US_PER_MS && delay <= 402 * JD_US_PER_MS);
}

typedef struct Refusal {
    JdClock *clock;
    uint64_t at;
    JdReason reason;
} Refusal;

static void
ignore_start(void *ctx, JdWork *work)
{
}

static void
note_refusal(void *ctx, JdWork *work, JdReason reason)
{
    Refusal *rf = ctx;

    rf->at = JdClock_Now(rf->clock);
    rf->reason = reason;
}

/* A target whose slots hang, or all but one. */
typedef struct HangingTarget {
    JdClock clock;
    JdAdmission admission;
    JdWork running[2];
    Refusal refusal;
} HangingTarget;

static const JdAdmissionOps hanging_ops = {ignore_start, note_refusal};

/* Starts a target with two slots, in which work runs on and on. */
static void
start_hanging(HangingTarget *ht)
{
    memset(ht, 0, sizeof(*ht));
    JdClock_Init(&ht->clock, NULL, NULL);
    ht->refusal.clock = &ht->clock;
    JdAdmission_Init(&ht->admission, 2, 8, &ht->clock, &hanging_ops,
                     &ht->refusal);
    for (int i = 0; i < 2; i++) {
        ht->running[i].deadline = 9 * JD_US_PER_S;
        ht->running[i].expected_time = 300 * JD_US_PER_MS;
        CU_ASSERT(JdAdmission_Offer(&ht->admission, &ht->running[i]) ==
                  JD_REASON_NONE);
    }
}

/* One request runs on and on, another one waits behind it: it is refused once
 * it cannot end in time, so that the refusal reaches its caller before the
 * caller's own deadline, when it could only say that the outcome is unknown.
 * The other slot becomes free meanwhile, for more urgent work.
 */
static void
test_refused_before_deadline(void)
{
    JdWork waiting = {.deadline = 1500 * JD_US_PER_MS,
                      .expected_time = 200 * JD_US_PER_MS,
                      .rank = 3};
    JdWork urgent = {.deadline = 9 * JD_US_PER_S,
                     .expected_time = 300 * JD_US_PER_MS};
    HangingTarget ht;

    start_hanging(&ht);
    ht.admission.has_ranks = true;
    CU_ASSERT(JdAdmission_Offer(&ht.admission, &waiting) == JD_REASON_NONE);
    CU_ASSERT(JdAdmission_Offer(&ht.admission, &urgent) == JD_REASON_NONE);
    JdClock_Advance(&ht.clock, 700 * JD_US_PER_MS);
    JdAdmission_FreeSlot(&ht.admission, &ht.running[0], true);
    CU_ASSERT(urgent.is_running);
    JdClock_Advance(&ht.clock, 3 * JD_US_PER_S);
    CU_ASSERT(ht.refusal.reason == JD_REASON_TOO_LATE);
    CU_ASSERT(ht.refusal.at > 1250 * JD_US_PER_MS &&
              ht.refusal.at < 1450 * JD_US_PER_MS);
    JdAdmission_Finish(&ht.admission);
}

/* No slot becomes free: what waits is given back after half of its time, so
 * that it can run at another target. */
static void
test_given_back_when_stuck(void)
{
    JdWork waiting = {.deadline = 1500 * JD_US_PER_MS,
                      .expected_time = 20 * JD_US_PER_MS};
    HangingTarget ht;

    start_hanging(&ht);
    CU_ASSERT(JdAdmission_Offer(&ht.admission, &waiting) == JD_REASON_NONE);
    JdClock_Advance(&ht.clock, 740 * JD_US_PER_MS);
    CU_ASSERT(ht.refusal.at == 0);
    JdClock_Advance(&ht.clock, 3 * JD_US_PER_S);
    CU_ASSERT(ht.refusal.reason == JD_REASON_TOO_LATE);
    CU_ASSERT(ht.refusal.at >= 750 * JD_US_PER_MS &&
              ht.refusal.at < 760 * JD_US_PER_MS);
    JdAdmission_Finish(&ht.admission);
}

/* Work of which the first one's refusal makes a caller send others, as a
 * caller that pipelines its requests does. */
typedef struct Pipeline {
    JdAdmission admission;
    JdWork expired[2];
    JdWork following[2];
    unsigned refusals[2]; /* of `expired` */
} Pipeline;

static void
offer_following(void *ctx, JdWork *work, JdReason reason)
{
    Pipeline *pl = ctx;

    (void)reason;
    if (work == &pl->expired[1]) {
        pl->refusals[1]++;
        return;
    }
    if (work == &pl->expired[0] && pl->refusals[0]++ == 0) {
        JdAdmission_Offer(&pl->admission, &pl->following[0]);
        JdAdmission_Offer(&pl->admission, &pl->following[1]);
    }
}

/* The queue may change while work is refused: each work is refused once. */
static void
test_offered_while_refusing(void)
{
    static const JdAdmissionOps ops = {ignore_start, offer_following};
    JdWork running = {.deadline = 9 * JD_US_PER_S};
    Pipeline pl;
    JdClock clk;

    memset(&pl, 0, sizeof(pl));
    JdClock_Init(&clk, NULL, NULL);
    JdAdmission_Init(&pl.admission, 1, 2, &clk, &ops, &pl);
    CU_ASSERT(JdAdmission_Offer(&pl.admission, &running) == JD_REASON_NONE);
    for (int i = 0; i < 2; i++) {
        pl.expired[i].deadline = JD_US_PER_S;
        pl.expired[i].priority = 3;
        pl.following[i].deadline = 5 * JD_US_PER_S;
        CU_ASSERT(JdAdmission_Offer(&pl.admission, &pl.expired[i]) ==
                  JD_REASON_NONE);
    }
    JdClock_Advance(&clk, 2 * JD_US_PER_S);
    CU_ASSERT_EQUAL(pl.refusals[0], 1);
    CU_ASSERT_EQUAL(pl.refusals[1], 1);
    CU_ASSERT_EQUAL(pl.admission.queued, 2);
    JdAdmission_Finish(&pl.admission);
}

/* Work that is refused when a slot gets free has cost its account nothing. */
static void
test_refused_is_not_charged(void)
{
    static const JdAdmissionOps ops = {ignore_start, note_refusal};
    JdWork running = {.deadline = 9 * JD_US_PER_S};
    const JdShareClaim claim = {
        .account = "a", .rate = 1000, .cost = 100 * JD_US_PER_MS};
    JdWork queued[6];
    Refusal rf = {.at = 0};
    JdAdmission ad;
    JdClock clk;

    JdClock_Init(&clk, NULL, NULL);
    rf.clock = &clk;
    JdAdmission_Init(&ad, 1, 8, &clk, &ops, &rf);
    ad.has_ranks = true;
    CU_ASSERT(JdAdmission_Offer(&ad, &running) == JD_REASON_NONE);
    memset(queued, 0, sizeof(queued));
    for (size_t i = 0; i < G_N_ELEMENTS(queued); i++) {
        queued[i].account = claim.account;
        queued[i].rate = claim.rate;
        queued[i].expected_time = claim.cost;
        queued[i].deadline = 8 * JD_US_PER_S;
        CU_ASSERT(JdAdmission_Offer(&ad, &queued[i]) == JD_REASON_NONE);
    }
    CU_ASSERT(JdShares_Tag(&ad.shares, &claim) > 0);
    JdAdmission_SetRateLimit(&ad, 1);
    JdAdmission_FreeSlot(&ad, &running, false);
    CU_ASSERT(rf.reason == JD_REASON_RATE_LIMITED);
    CU_ASSERT_EQUAL(ad.queued, 0);
    CU_ASSERT(JdShares_Tag(&ad.shares, &claim) <= 0);
    JdAdmission_Finish(&ad);
}

/* ---- loads played against targets -------------------------------------- */

#define SLOTS 6
#define QUEUE_LIMIT 32
#define BURST_TIME (3 * JD_US_PER_S)
#define RUN_TIME (60 * JD_US_PER_S)
#define MEAN_SERVICE_TIME (90 * JD_US_PER_MS)
#define SOFT_DEADLINE (400 * JD_US_PER_MS)
#define DEADLINE (1500 * JD_US_PER_MS)
/* Standard deviation of the logarithm of service times. */
#define LOG_SIGMA 0.5
#define MAX_JOBS 40000
#define MAX_SOURCES 6
#define MAX_TARGETS 2

/* Requests of one kind from one account. */
typedef struct Source {
    const char *account;
    uint64_t rate; /* of the account, in requests per 1000 s */
    unsigned rank;
    double load;      /* as a multiple of the target's capacity */
    unsigned target;  /* that runs them */
    uint64_t ends_at; /* no requests from then on, 0: never */
    bool returns; /* refused ones come back once, at the time they are told */
    unsigned returned; /* after BURST_TIME */
    unsigned refused_again;
    bool calls; /* each run calls the other target in its middle */
    JdTimer next;
    unsigned asked;
    unsigned in_time;
    unsigned lost_runs; /* ran in vain, as their call was refused */
} Source;

typedef struct Job {
    JdWork work;
    Source *source; /* NULL: a call */
    struct Job *parent;
    unsigned target;
    uint64_t arrival;
    uint64_t takes;
    bool has_returned;
    uint64_t returned_at;
    JdTimer timer;
} Job;

typedef struct Play {
    JdClock clock;
    JdRandom random;
    JdAdmission target[MAX_TARGETS];
    JdPromises promises;
    Source source[MAX_SOURCES];
    Job *job;
    unsigned jobs;
} Play;

static Play *play;

static double
uniform(void)
{
    return ((double)JdRandom_Below(&play->random, 1 << 30) + 1) / (1 << 30);
}

static uint64_t
draw_service_time(void)
{
    double normal = sqrt(-2 * log(uniform())) * cos(2 * G_PI * uniform());

    return (uint64_t)((double)MEAN_SERVICE_TIME *
                      exp(LOG_SIGMA * normal - LOG_SIGMA * LOG_SIGMA / 2));
}

static void
end_run(Job *job, bool is_lost)
{
    uint64_t took = JdClock_Now(&play->clock) - job->arrival;

    if (is_lost) {
        job->source->lost_runs++;
    }
    else if (took <= SOFT_DEADLINE) {
        job->source->in_time++;
    }
    JdAdmission_FreeSlot(&play->target[job->target], &job->work, !is_lost);
}

static void
on_second_half(void *ctx)
{
    end_run(ctx, false);
}

static void
end_call(Job *call)
{
    Job *job = call->parent;

    JdAdmission_FreeSlot(&play->target[call->target], &call->work, true);
    JdTimer_Init(&job->timer, on_second_half, job);
    JdTimer_Arm(&play->clock, &job->timer, job->takes / 2);
}

static Job *
new_job(unsigned target, uint64_t arrival)
{
    Job *job = &play->job[play->jobs++];

    job->target = target;
    job->arrival = arrival;
    job->takes = draw_service_time();
    job->work.deadline = arrival + DEADLINE;
    job->work.soft_deadline = arrival + SOFT_DEADLINE;
    return job;
}

static void
make_call(Job *parent)
{
    Job *call = new_job(1 - parent->target, parent->arrival);

    call->parent = parent;
    call->work.rank = JdRank_Make(0, 1, true);
    if (JdAdmission_Offer(&play->target[call->target], &call->work) !=
        JD_REASON_NONE) {
        end_run(parent, true);
    }
}

static void
on_run_time_over(void *ctx)
{
    Job *job = ctx;

    if (job->source == NULL) {
        end_call(job);
    }
    else if (job->source->calls) {
        make_call(job);
    }
    else {
        end_run(job, false);
    }
}

static void
on_start(void *ctx, JdWork *work)
{
    Job *job = (Job *)work;
    bool is_split = job->source != NULL && job->source->calls;

    (void)ctx;
    JdTimer_Init(&job->timer, on_run_time_over, job);
    JdTimer_Arm(&play->clock, &job->timer,
                is_split ? job->takes / 2 : job->takes);
}

static void offer(Job *job);

static void
on_return_time(void *ctx)
{
    Job *job = ctx;
    uint64_t now = JdClock_Now(&play->clock);

    job->has_returned = true;
    job->returned_at = now;
    job->source->returned += now >= BURST_TIME;
    job->work.deadline = now + DEADLINE;
    job->work.soft_deadline = now + SOFT_DEADLINE;
    offer(job);
}

/* Tells a refused caller when to come back. */
static void
refuse_caller(Job *job)
{
    uint64_t wait =
        JdAdmission_RetryAfter(&play->target[job->target]) +
        JdPromises_Make(&play->promises, job->work.rank, MEAN_SERVICE_TIME,
                        SLOTS, JdClock_Now(&play->clock));

    if (job->has_returned) {
        job->source->refused_again += job->returned_at >= BURST_TIME;
    }
    else if (job->source->returns) {
        JdTimer_Init(&job->timer, on_return_time, job);
        JdTimer_Arm(&play->clock, &job->timer, wait);
    }
}

static void
offer(Job *job)
{
    if (JdAdmission_Offer(&play->target[job->target], &job->work) !=
        JD_REASON_NONE) {
        refuse_caller(job);
    }
}

static void
on_refuse(void *ctx, JdWork *work, JdReason reason)
{
    Job *job = (Job *)work;

    (void)ctx;
    (void)reason;
    if (job->source == NULL) {
        end_run(job->parent, true);
    }
    else {
        refuse_caller(job);
    }
}

static const JdAdmissionOps play_ops = {on_start, on_refuse};

static void
on_arrival(void *ctx)
{
    Source *src = ctx;
    Job *job = new_job(src->target, JdClock_Now(&play->clock));
    double gap = (double)MEAN_SERVICE_TIME / SLOTS / src->load;
    uint64_t ends_at = src->ends_at == 0 ? RUN_TIME : src->ends_at;

    src->asked++;
    job->source = src;
    job->work.rank = src->rank;
    job->work.account = src->account;
    job->work.rate = src->rate;
    offer(job);
    if (JdClock_Now(&play->clock) < ends_at && play->jobs + 2 < MAX_JOBS) {
        JdTimer_Arm(&play->clock, &src->next,
                    (uint64_t)(-log(uniform()) * gap));
    }
}

/* Plays the load of the sources, which are copied; those with a load of 0 are
 * left out.  Results are in `play` until finish_play(). */
static void
start_play(const Source *source, size_t n)
{
    play = g_new0(Play, 1);
    play->job = g_new0(Job, MAX_JOBS);
    JdClock_Init(&play->clock, NULL, NULL);
    JdRandom_Init(&play->random, 5);
    for (int t = 0; t < MAX_TARGETS; t++) {
        JdAdmission_Init(&play->target[t], SLOTS, QUEUE_LIMIT, &play->clock,
                         &play_ops, NULL);
        play->target[t].has_ranks = true;
    }
    for (size_t i = 0; i < n; i++) {
        play->source[i] = source[i];
        JdTimer_Init(&play->source[i].next, on_arrival, &play->source[i]);
        if (source[i].load > 0) {
            JdTimer_Arm(&play->clock, &play->source[i].next, 0);
        }
    }
    JdClock_Advance(&play->clock, RUN_TIME + 3 * JD_US_PER_S);
}

static void
finish_play(void)
{
    for (int t = 0; t < MAX_TARGETS; t++) {
        JdAdmission_Finish(&play->target[t]);
    }
    g_free(play->job);
    g_free(play);
}

/* Returns the share of a source's requests that were answered in time. */
static double
share_in_time(unsigned source)
{
    return (double)play->source[source].in_time / play->source[source].asked;
}

/* Load: four accounts of equal rates that ask for 0.8 of the capacity, and one
 * of them then for five times its usual.  The others lose less than 5%. */
static void
test_hot_account(void)
{
    Source source[] = {{"hot", 50000, 5, .load = 0.2},
                       {"one", 50000, 5, .load = 0.2},
                       {"two", 50000, 5, .load = 0.2},
                       {"three", 50000, 5, .load = 0.2}};
    double calm[G_N_ELEMENTS(source)];

    start_play(source, G_N_ELEMENTS(source));
    for (unsigned i = 0; i < G_N_ELEMENTS(source); i++) {
        calm[i] = share_in_time(i);
    }
    finish_play();
    source[0].load *= 5;
    start_play(source, G_N_ELEMENTS(source));
    for (unsigned i = 1; i < G_N_ELEMENTS(source); i++) {
        CU_ASSERT(share_in_time(i) >= 0.95 * calm[i]);
    }
    /* It has what the others leave. */
    CU_ASSERT(share_in_time(0) * source[0].load >= 0.3);
    finish_play();
}

/* Load: an account of a quarter of the others' rate asks for as much as they
 * do; all ask for twice the capacity.  Each gets room by its rate. */
static void
test_shares_by_rate(void)
{
    const Source source[] = {{"large", 80000, 5, .load = 1},
                             {"small", 20000, 5, .load = 1}};
    double large, small;

    start_play(source, G_N_ELEMENTS(source));
    large = share_in_time(0);
    small = share_in_time(1);
    CU_ASSERT(large + small >= 0.9);
    CU_ASSERT(large / small >= 3 && large / small <= 5);
    finish_play();
}

/* Load: a burst of a low rank, three times the capacity, beside a higher rank
 * that asks for 0.6 of it.  The higher rank is served as if it were alone, and
 * the burst gets the room that is left. */
static void
test_burst_of_low_rank(void)
{
    const Source source[] = {{"one", 0, 4, .load = 0.6},
                             {"two", 0, 6, .load = 3}};

    start_play(source, G_N_ELEMENTS(source));
    CU_ASSERT(share_in_time(0) >= 0.95);
    CU_ASSERT(share_in_time(1) * 3 >= 0.3);
    finish_play();
}

/* Load: one target runs requests that call another, and new requests ask that
 * one for 1.5 times its capacity.  Of the runs that call it, less than 1 in
 * 100 is in vain. */
static void
test_calls_of_running_requests(void)
{
    const Source source[] = {
        {"one", 0, 5, .load = 0.3, .target = 0, .calls = true},
        {"two", 0, 5, .load = 1.5, .target = 1}};

    start_play(source, G_N_ELEMENTS(source));
    CU_ASSERT(play->source[0].lost_runs < play->source[0].asked / 100);
    CU_ASSERT(share_in_time(0) >= 0.9);
    finish_play();
}

/* Load: half of the capacity, and a burst of twice the capacity.  Of the
 * callers that are refused and told to come back after it, 19 of 20 are served
 * then. */
static void
test_return_after_burst(void)
{
    const Source source[] = {
        {"one", 0, 5, .load = 0.5, .returns = true},
        {"two", 0, 5, .load = 2, .ends_at = BURST_TIME, .returns = true}};
    unsigned returned, again;

    start_play(source, G_N_ELEMENTS(source));
    returned = play->source[0].returned + play->source[1].returned;
    again = play->source[0].refused_again + play->source[1].refused_again;
    CU_ASSERT(returned > 0 && again <= returned / 20);
    finish_play();
}

/* A target that refuses a rank refuses all lower ones, until there is room. */
static void
test_cutoff(void)
{
    const uint64_t now = JD_US_PER_S;
    JdCutoff co = {.until = 0};

    CU_ASSERT(!JdCutoff_Refuses(&co, 9, now));
    JdCutoff_Note(&co, 5, now + 100 * JD_US_PER_MS, now);
    CU_ASSERT(JdCutoff_Refuses(&co, 5, now) && JdCutoff_Refuses(&co, 9, now));
    CU_ASSERT(!JdCutoff_Refuses(&co, 4, now));
    /* Another rank below adds nothing; one above does. */
    JdCutoff_Note(&co, 7, now + 150 * JD_US_PER_MS, now);
    CU_ASSERT(co.rank == 5);
    JdCutoff_Note(&co, 3, now + 50 * JD_US_PER_MS, now);
    CU_ASSERT(JdCutoff_Refuses(&co, 3, now));
    CU_ASSERT(!JdCutoff_Refuses(&co, 3, now + 50 * JD_US_PER_MS));
}

/* Load: twice the capacity, of one rank.  The target's node tells that it
 * refuses this rank, and not the rank above. */
static void
test_cutoff_under_load(void)
{
    const Source source[] = {{"", 0, 5, .load = 2}};
    const JdCutoff *co;

    start_play(source, G_N_ELEMENTS(source));
    co = &play->target[0].cutoff;
    CU_ASSERT(co->until > RUN_TIME - JD_US_PER_S && co->rank == 5);
    finish_play();
}

void
Unit_AddShortage(void)
{
    CU_pSuite s = CU_add_suite("shortage", NULL, NULL);

    CU_add_test(s, "transit", test_transit);
    CU_add_test(s, "transit drift", test_transit_drift);
    CU_add_test(s, "refused before deadline", test_refused_before_deadline);
    CU_add_test(s, "given back when stuck", test_given_back_when_stuck);
    CU_add_test(s, "offered while refusing", test_offered_while_refusing);
    CU_add_test(s, "refused is not charged", test_refused_is_not_charged);
    CU_add_test(s, "hot account", test_hot_account);
    CU_add_test(s, "shares by rate", test_shares_by_rate);
    CU_add_test(s, "burst of low rank", test_burst_of_low_rank);
    CU_add_test(s, "return after burst", test_return_after_burst);
    CU_add_test(s, "cutoff", test_cutoff);
    CU_add_test(s, "cutoff under load", test_cutoff_under_load);
    CU_add_test(s, "calls of running requests",
                test_calls_of_running_requests);
}

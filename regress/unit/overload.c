/*
 * Admission under overload: callers that come at a multiple of what a target
 * can do, played on a paused clock.  Counts what callers get in the time in
 * which they want it, against what the target could do at its best.
 */
#include <math.h>
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

#define SLOTS 6
#define QUEUE 32
#define JOBS_MOST 40000
#define PLAY_TIME (60 * JD_US_PER_S)
#define MEAN_TIME (90 * JD_US_PER_MS)
#define WANTED_IN (400 * JD_US_PER_MS)
#define DEADLINE_IN (1500 * JD_US_PER_MS)
/* Spread of the logarithm of the times of work. */
#define SIGMA 0.5

typedef struct Job {
    JdWork work;
    uint64_t arrival;
    uint64_t takes;
    JdTimer timer;
} Job;

typedef struct Play {
    JdClock clock;
    JdRandom random;
    JdAdmission admit;
    JdTimer next;
    Job *job;
    unsigned jobs;
    double gap;            /* us between two arrivals */
    unsigned urgent_share; /* percent of priority 0 */
    unsigned in_time[JD_PRIORITIES];
    unsigned late;
    unsigned refused;
    uint64_t refused_held; /* us, sum */
} Play;

static Play *play;

static double
uniform(void)
{
    return ((double)JdRandom_Below(&play->random, 1 << 30) + 1) / (1 << 30);
}

/* A time of work with the mean and spread above. */
static uint64_t
draw_time(void)
{
    double normal = sqrt(-2 * log(uniform())) * cos(2 * G_PI * uniform());

    return (uint64_t)((double)MEAN_TIME *
                      exp(SIGMA * normal - SIGMA * SIGMA / 2));
}

static void
on_end(void *ctx)
{
    Job *job = ctx;
    uint64_t took = JdClock_Now(&play->clock) - job->arrival;

    if (took <= WANTED_IN) {
        play->in_time[job->work.priority]++;
    }
    else {
        play->late++;
    }
    JdAdmission_FreeSlot(&play->admit, &job->work, true);
}

static void
on_start(void *ctx, JdWork *work)
{
    Job *job = (Job *)work;

    (void)ctx;
    JdTimer_Init(&job->timer, on_end, job);
    JdTimer_Arm(&play->clock, &job->timer, job->takes);
}

static void
note_refusal(const Job *job)
{
    play->refused++;
    play->refused_held += JdClock_Now(&play->clock) - job->arrival;
}

static void
on_refuse(void *ctx, JdWork *work, JdReason reason)
{
    (void)ctx;
    (void)reason;
    note_refusal((Job *)work);
}

static const JdAdmissionOps ops = {on_start, on_refuse};

static void
on_arrival(void *ctx)
{
    Job *job = &play->job[play->jobs++];
    uint64_t now = JdClock_Now(&play->clock);

    (void)ctx;
    job->arrival = now;
    job->takes = draw_time();
    job->work.deadline = now + DEADLINE_IN;
    job->work.soft_deadline = now + WANTED_IN;
    job->work.priority =
        JdRandom_Below(&play->random, 100) < play->urgent_share ? 0 : 2;
    if (JdAdmission_Offer(&play->admit, &job->work) != JD_REASON_NONE) {
        note_refusal(job);
    }
    if (now < PLAY_TIME && play->jobs < JOBS_MOST) {
        JdTimer_Arm(&play->clock, &play->next,
                    (uint64_t)(-log(uniform()) * play->gap));
    }
}

/* Plays a load and returns what came in time, in percent of capacity. */
static double
run(double times, unsigned urgent_share)
{
    double capacity = SLOTS * (double)PLAY_TIME / (double)MEAN_TIME;
    unsigned good = 0;

    play = g_new0(Play, 1);
    play->job = g_new0(Job, JOBS_MOST);
    play->urgent_share = urgent_share;
    play->gap = (double)MEAN_TIME / SLOTS / times;
    JdClock_Init(&play->clock, NULL, NULL);
    JdRandom_Init(&play->random, 5);
    JdAdmission_Init(&play->admit, SLOTS, QUEUE, &play->clock, &ops, NULL);
    JdTimer_Init(&play->next, on_arrival, NULL);
    JdTimer_Arm(&play->clock, &play->next, 0);
    JdClock_Advance(&play->clock, PLAY_TIME + 3 * JD_US_PER_S);
    for (int p = 0; p < JD_PRIORITIES; p++) {
        good += play->in_time[p];
    }
    return 100.0 * good / capacity;
}

static void
end(void)
{
    JdAdmission_Finish(&play->admit);
    g_free(play->job);
    g_free(play);
}

/* At 1.5 times capacity 95% of it comes in time, at 3 times 90%. */
static void
test_goodput(void)
{
    CU_ASSERT(run(1.5, 0) >= 95);
    end();
    CU_ASSERT(run(3, 0) >= 90);
    end();
}

/* Urgent work is served whatever the rest does, and the rest in time. */
static void
test_priority(void)
{
    double urgent;

    CU_ASSERT(run(3, 20) >= 90);
    urgent = 100.0 * play->in_time[0] /
             (0.2 * 3 * SLOTS * (double)PLAY_TIME / (double)MEAN_TIME);
    CU_ASSERT(urgent >= 95);
    /* What is refused is told soon, not near its deadline. */
    CU_ASSERT(play->refused_held / play->refused < WANTED_IN / 4);
    end();
}

void
Unit_AddOverload(void)
{
    CU_pSuite s = CU_add_suite("overload", NULL, NULL);

    CU_add_test(s, "goodput", test_goodput);
    CU_add_test(s, "priority", test_priority);
}

/*
 * Admission under overload, simulated on a paused clock: requests arrive at a
 * multiple of the target's capacity.  The goodput, answers before the soft
 * deadline, is compared with the capacity.  Guards against a queue that
 * finishes all work late because it holds more than the target can finish in
 * time.
 */
#include <math.h>
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

#define SLOTS 6
#define QUEUE_LIMIT 32
#define MAX_JOBS 40000
#define RUN_TIME (60 * JD_US_PER_S)
#define MEAN_SERVICE_TIME (90 * JD_US_PER_MS)
#define SOFT_DEADLINE (400 * JD_US_PER_MS)
#define DEADLINE (1500 * JD_US_PER_MS)
/* Service times are log-normal with this standard deviation of the logarithm.
 */
#define LOG_SIGMA 0.5

typedef struct Job {
    JdWork work;
    uint64_t arrival;
    uint64_t takes;
    JdTimer timer;
} Job;

typedef struct Simulation {
    JdClock clock;
    JdRandom random;
    JdAdmission admission;
    JdTimer next;
    Job *job;
    unsigned jobs;
    double gap;            /* mean us between two arrivals */
    unsigned urgent_share; /* percent of the work with priority 0 */
    unsigned in_time[JD_PRIORITIES];
    unsigned late;
    unsigned refused;
    uint64_t refused_held; /* us until the refusal, sum */
} Simulation;

static Simulation *sim;

static double
uniform(void)
{
    return ((double)JdRandom_Below(&sim->random, 1 << 30) + 1) / (1 << 30);
}

/* Draws a service time with the mean and deviation above. */
static uint64_t
draw_service_time(void)
{
    double normal = sqrt(-2 * log(uniform())) * cos(2 * G_PI * uniform());

    return (uint64_t)((double)MEAN_SERVICE_TIME *
                      exp(LOG_SIGMA * normal - LOG_SIGMA * LOG_SIGMA / 2));
}

static void
on_complete(void *ctx)
{
    Job *job = ctx;
    uint64_t took = JdClock_Now(&sim->clock) - job->arrival;

    if (took <= SOFT_DEADLINE) {
        sim->in_time[job->work.priority]++;
    }
    else {
        sim->late++;
    }
    JdAdmission_FreeSlot(&sim->admission, &job->work, true);
}

static void
on_start(void *ctx, JdWork *work)
{
    Job *job = (Job *)work;

    (void)ctx;
    JdTimer_Init(&job->timer, on_complete, job);
    JdTimer_Arm(&sim->clock, &job->timer, job->takes);
}

static void
note_refusal(const Job *job)
{
    sim->refused++;
    sim->refused_held += JdClock_Now(&sim->clock) - job->arrival;
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
    Job *job = &sim->job[sim->jobs++];
    uint64_t now = JdClock_Now(&sim->clock);

    (void)ctx;
    job->arrival = now;
    job->takes = draw_service_time();
    job->work.deadline = now + DEADLINE;
    job->work.soft_deadline = now + SOFT_DEADLINE;
    job->work.priority =
        JdRandom_Below(&sim->random, 100) < sim->urgent_share ? 0 : 2;
    if (JdAdmission_Offer(&sim->admission, &job->work) != JD_REASON_NONE) {
        note_refusal(job);
    }
    if (now < RUN_TIME && sim->jobs < MAX_JOBS) {
        JdTimer_Arm(&sim->clock, &sim->next,
                    (uint64_t)(-log(uniform()) * sim->gap));
    }
}

/* Simulates a load, a multiple of the capacity.  Returns the goodput in
 * percent of the capacity. */
static double
simulate(double load_factor, unsigned urgent_share)
{
    double capacity = SLOTS * (double)RUN_TIME / (double)MEAN_SERVICE_TIME;
    unsigned good = 0;

    sim = g_new0(Simulation, 1);
    sim->job = g_new0(Job, MAX_JOBS);
    sim->urgent_share = urgent_share;
    sim->gap = (double)MEAN_SERVICE_TIME / SLOTS / load_factor;
    JdClock_Init(&sim->clock, NULL, NULL);
    JdRandom_Init(&sim->random, 5);
    JdAdmission_Init(&sim->admission, SLOTS, QUEUE_LIMIT, &sim->clock, &ops,
                     NULL);
    JdTimer_Init(&sim->next, on_arrival, NULL);
    JdTimer_Arm(&sim->clock, &sim->next, 0);
    JdClock_Advance(&sim->clock, RUN_TIME + 3 * JD_US_PER_S);
    for (int p = 0; p < JD_PRIORITIES; p++) {
        good += sim->in_time[p];
    }
    return 100.0 * good / capacity;
}

static void
finish(void)
{
    JdAdmission_Finish(&sim->admission);
    g_free(sim->job);
    g_free(sim);
}

/* Goodput is at least 95% of the capacity at a load of 1.5 times the capacity,
 * and at least 90% at 3 times. */
static void
test_goodput(void)
{
    CU_ASSERT(simulate(1.5, 0) >= 95);
    finish();
    CU_ASSERT(simulate(3, 0) >= 90);
    finish();
}

/* Returns the work that ended late, in percent of the work that ran. */
static double
late_percent(void)
{
    unsigned good = 0;

    for (int p = 0; p < JD_PRIORITIES; p++) {
        good += sim->in_time[p];
    }
    return 100.0 * sim->late / (sim->late + good);
}

/* Load above the capacity that lasts: hardly any work that runs ends late, and
 * callers learn quickly that they are refused. */
static void
test_late_work(void)
{
    (void)simulate(1.5, 0);
    CU_ASSERT(late_percent() <= 1);
    CU_ASSERT(sim->refused_held / sim->refused < SOFT_DEADLINE / 20);
    finish();
    (void)simulate(3, 0);
    CU_ASSERT(late_percent() <= 1);
    CU_ASSERT(sim->refused_held / sim->refused < SOFT_DEADLINE / 20);
    finish();
}

/* Work of the highest priority is served whatever the load of other
 * priorities, and the total goodput stays high. */
static void
test_priority(void)
{
    double urgent;

    CU_ASSERT(simulate(3, 20) >= 90);
    urgent = 100.0 * sim->in_time[0] /
             (0.2 * 3 * SLOTS * (double)RUN_TIME / (double)MEAN_SERVICE_TIME);
    CU_ASSERT(urgent >= 95);
    /* Refusals come early, not near the deadline. */
    CU_ASSERT(sim->refused_held / sim->refused < SOFT_DEADLINE / 4);
    finish();
}

void
Unit_AddOverload(void)
{
    CU_pSuite s = CU_add_suite("overload", NULL, NULL);

    CU_add_test(s, "goodput", test_goodput);
    CU_add_test(s, "late work", test_late_work);
    CU_add_test(s, "priority", test_priority);
}

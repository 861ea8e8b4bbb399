/*
 * Work ahead at a target, as a sender estimates it from reports that are some
 * hundred ms old.  A report fades into the mean of the targets instead of
 * into an idle target, so that many senders do not all choose a target that
 * they have not heard of.
 */
#include <math.h>

#include "libjd.h"

/* Window of a target's slowness, in answers. */
#define SLOWNESS_WINDOW 4
/* Bounds on the slowness. */
#define SLOWNESS_MIN 0.2
#define SLOWNESS_MAX 8.0
/* Run times after which a report has faded. */
#define FADE_RUNS 3
/* Load from which the expected wait grows linearly. */
#define LOAD_KNEE 0.9
/* Growth of the wait with the load there, in run times. */
#define QUEUE_SLOPE 1.5

/* Adds a report.  `usual_time` is the run time of its route over all targets
 * in us, not 0. */
void
_JdTargetView_Add(JdTargetView *tv, const JdWorkReport *rep, double usual_time,
                  uint64_t now)
{
    double ratio = (double)rep->route_time / usual_time;

    ratio = ratio < SLOWNESS_MIN ? SLOWNESS_MIN : ratio;
    ratio = ratio > SLOWNESS_MAX ? SLOWNESS_MAX : ratio;
    if (tv->slowness == 0) {
        tv->slowness = ratio;
    }
    tv->slowness += (ratio - tv->slowness) / SLOWNESS_WINDOW;
    tv->load = rep->load / 100.0;
    tv->reported_at = now;
    tv->sent = 0;
}

/* Returns the run times of a target as a multiple of those of all. */
double
JdTargetView_Slowness(const JdTargetView *tv)
{
    return tv->slowness == 0 ? 1 : tv->slowness;
}

/*
 * Returns the expected work at a target as requests per slot, without a new
 * one.  `mean_load` is that of all targets and `run_time` the mean run time
 * in us, by which the state of a target changes.
 */
double
JdTargetView_Load(const JdTargetView *tv, unsigned slots, double mean_load,
                  double run_time, uint64_t now)
{
    double n = slots == 0 ? 1 : slots;
    double own = tv->outstanding / n;
    double load = mean_load;
    double kept;

    if (tv->reported_at != 0) {
        kept =
            exp(-(double)(now - tv->reported_at) / (FADE_RUNS * run_time + 1));
        load += (tv->load + tv->sent / n - mean_load) * kept;
    }
    return load > own ? load : own;
}

/*
 * Returns the expected wait for a slot, in run times, at a target with a mean
 * load: Sakasegawa's approximation for several slots, continued linearly where
 * it would grow without bounds.
 */
double
JdWork_Wait(double load, unsigned slots)
{
    double n = slots == 0 ? 1 : slots;
    double u = load < LOAD_KNEE ? load : LOAD_KNEE;
    double wait = pow(u, sqrt(2 * (n + 1)) - 1) / (n * (1 - u));

    return u <= 0 ? 0 : wait + (load - u) * QUEUE_SLOPE;
}

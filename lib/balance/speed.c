/*
 * Run times of routes, and the speed of targets apart from the kinds of
 * requests that they got.  Answers a load in which routes differ in work,
 * few requests take several times as long as usual, and targets are slow for
 * parts of a second.
 */
#include "libjd.h"

/* Window of the mean run time of a route, in samples. */
#define RUN_TIME_WINDOW 64
/* A sample counts at most as this multiple of the mean, so that a single long
 * request does not make a target look slow. */
#define MAX_SAMPLE_FACTOR 4
/* First samples, which count in full. */
#define UNBOUNDED_SAMPLES 4
/* Window of the present pace, in samples. */
#define PACE_WINDOW 6
/* Bounds on a sample of the present pace. */
#define PACE_MIN 0.2
#define PACE_MAX 3.0
/* Ratio up to which a pace is taken for chance. */
#define PACE_TOLERANCE 1.3
/* Time after which a pace is forgotten. */
#define PACE_AGE (400 * JD_US_PER_MS)

/* Adds a measured run time in us. */
void
JdRunTime_Add(JdRunTime *rt, double took)
{
    if (rt->samples >= UNBOUNDED_SAMPLES &&
        took > rt->mean * MAX_SAMPLE_FACTOR) {
        took = rt->mean * MAX_SAMPLE_FACTOR;
    }
    if (rt->samples < RUN_TIME_WINDOW) {
        rt->samples++;
    }
    rt->mean += (took - rt->mean) / rt->samples;
}

/* Adds the run time of a request as a multiple of its route's mean. */
void
JdPace_Add(JdPace *pc, double ratio, uint64_t now)
{
    ratio = ratio < PACE_MIN ? PACE_MIN : ratio;
    ratio = ratio > PACE_MAX ? PACE_MAX : ratio;
    if (pc->updated_at == 0 || now - pc->updated_at > PACE_AGE) {
        pc->ratio = 1;
    }
    pc->ratio += (ratio - pc->ratio) / PACE_WINDOW;
    pc->updated_at = now;
}

/* Returns the factor by which requests take longer than usual at present: 1
 * unless the pace is clearly slow. */
double
JdPace_Factor(const JdPace *pc, uint64_t now)
{
    if (pc->updated_at == 0 || now - pc->updated_at > PACE_AGE ||
        pc->ratio <= PACE_TOLERANCE) {
        return 1;
    }
    return pc->ratio / PACE_TOLERANCE;
}

/*
 * Judges a version by the answers of its targets against those of the old
 * version's targets on the same route in the same time.  A share of failures
 * or of slow answers counts as worse where chance does not explain the
 * difference, so that a few failures under high load are no proof, and a
 * disturbance that both versions suffer is none either.
 */
#include <math.h>
#include <string.h>

#include "libjd.h"

/* Shortest class of the time of an answer, in us. */
#define SHORTEST_TIME 1000
/* An answer is slow if its class is this much above the old version's median:
 * 4 times its time. */
#define SLOW_CLASSES 4
/* Bad answers below which nothing is proved. */
#define MIN_BAD 8
/* The same for the other targets than the worst one. */
#define MIN_BAD_OTHERS 3
/* Deviations by which the share of bad answers exceeds the old one's.  Counts
 * are judged many times, which makes rare deviations likely. */
#define MIN_DEVIATIONS 4.0
#define MIN_DEVIATIONS_OTHERS 2.0
/* Difference of the shares that matters to callers. */
#define MIN_DIFFERENCE 0.04
/* The new version's answers that are enough to call it good; on a route with
 * few requests, this share of the old one's. */
#define ENOUGH_ANSWERS 30
#define ENOUGH_PERCENT 2
/* Answers of a target from which on it can be compared to others. */
#define COMPARABLE_ANSWERS 8

static const char *const verdict_names[JD_VERDICT_MAX] = {
    [JD_VERDICT_UNKNOWN] = "unknown",
    [JD_VERDICT_GOOD] = "good",
    [JD_VERDICT_FAILING] = "failing",
    [JD_VERDICT_SLOW] = "slow",
};

/* Returns the name of a verdict. */
const char *
JdVerdict_Name(JdVerdict verdict)
{
    return verdict < JD_VERDICT_MAX ? verdict_names[verdict] : "?";
}

/* Returns whether a verdict takes a version back. */
bool
JdVerdict_IsBad(JdVerdict verdict)
{
    return verdict == JD_VERDICT_FAILING || verdict == JD_VERDICT_SLOW;
}

/* ---- counts ------------------------------------------------------------ */

/* Counts the time of an answer. */
void
JdAnswerCounts_AddTime(JdAnswerCounts *ac, uint64_t took)
{
    double limit = SHORTEST_TIME;
    int i = 0;

    while (i < JD_ANSWER_TIMES - 1 && (double)took >= limit) {
        limit *= M_SQRT2;
        i++;
    }
    ac->took[i]++;
}

/* Adds counts to a sum. */
void
JdAnswerCounts_Add(JdAnswerCounts *sum, const JdAnswerCounts *ac)
{
    sum->answered += ac->answered;
    sum->failed += ac->failed;
    for (int i = 0; i < JD_ANSWER_TIMES; i++) {
        sum->took[i] += ac->took[i];
    }
}

/* Leaves what was counted since the counts were `before`. */
void
JdAnswerCounts_Subtract(JdAnswerCounts *ac, const JdAnswerCounts *before)
{
    ac->answered -= before->answered;
    ac->failed -= before->failed;
    for (int i = 0; i < JD_ANSWER_TIMES; i++) {
        ac->took[i] -= before->took[i];
    }
}

static unsigned
count_times(const JdAnswerCounts *ac)
{
    unsigned n = 0;

    for (int i = 0; i < JD_ANSWER_TIMES; i++) {
        n += ac->took[i];
    }
    return n;
}

/* Returns the class of the median time; JD_ANSWER_TIMES if nothing was
 * counted. */
static int
median_class(const JdAnswerCounts *ac)
{
    unsigned half = (count_times(ac) + 1) / 2;
    unsigned n = 0;

    for (int i = 0; half > 0 && i < JD_ANSWER_TIMES; i++) {
        n += ac->took[i];
        if (n >= half) {
            return i;
        }
    }
    return JD_ANSWER_TIMES;
}

static unsigned
count_from(const JdAnswerCounts *ac, int first_class)
{
    unsigned n = 0;

    for (int i = first_class; i < JD_ANSWER_TIMES; i++) {
        n += ac->took[i];
    }
    return n;
}

/* Sums up the time that the answers took, in units of the shortest class. */
static double
total_time(const JdAnswerCounts *ac)
{
    double unit = 1;
    double sum = 0;

    for (int i = 0; i < JD_ANSWER_TIMES; i++) {
        sum += unit * ac->took[i];
        unit *= M_SQRT2;
    }
    return sum;
}

/* Adds the answers of an old target. */
void
JdRouteAnswers_AddOld(JdRouteAnswers *ra, const JdAnswerCounts *ac)
{
    JdAnswerCounts_Add(&ra->of_old, ac);
}

/* Adds the answers of a new target. */
void
JdRouteAnswers_AddNew(JdRouteAnswers *ra, const JdAnswerCounts *ac)
{
    JdAnswerCounts_Add(&ra->of_new, ac);
    ra->new_targets += ac->answered >= COMPARABLE_ANSWERS;
    if (ac->failed > ra->most_failing.failed) {
        ra->most_failing = *ac;
    }
    if (total_time(ac) > total_time(&ra->slowest)) {
        ra->slowest = *ac;
    }
}

/* ---- judgement --------------------------------------------------------- */

/* Bad ones among answers. */
typedef struct Share {
    unsigned bad;
    unsigned all;
} Share;

/* Returns whether the share of bad answers of the new version is above the old
 * one's by more than chance allows. */
static bool
is_worse(Share of_new, Share of_old, unsigned min_bad, double min_deviations)
{
    double n = of_new.all, o = of_old.all;
    double p, old_p, new_p;

    if (of_new.bad < min_bad || of_new.all == 0) {
        return false;
    }
    new_p = of_new.bad / n;
    /* Without answers of the old version, one failure in as many answers as
     * make a proof is supposed. */
    old_p = of_old.all == 0 ? 1.0 / ENOUGH_ANSWERS : of_old.bad / o;
    o = of_old.all == 0 ? ENOUGH_ANSWERS : o;
    if (new_p < old_p + MIN_DIFFERENCE) {
        return false;
    }
    p = (new_p * n + old_p * o) / (n + o);
    return (new_p - old_p) >=
           min_deviations * sqrt(p * (1 - p) * (1 / n + 1 / o));
}

/* The same, and that the new target with the most bad answers is not the only
 * one: a single target in trouble says nothing of its version. */
static bool
is_version_worse(Share of_new, Share worst, Share of_old, unsigned targets)
{
    Share others = {of_new.bad - worst.bad, of_new.all - worst.all};

    return is_worse(of_new, of_old, MIN_BAD, MIN_DEVIATIONS) &&
           (targets < 2 ||
            is_worse(others, of_old, MIN_BAD_OTHERS, MIN_DEVIATIONS_OTHERS));
}

static Share
failed_share(const JdAnswerCounts *ac)
{
    return (Share){ac->failed, ac->answered};
}

static Share
slow_share(const JdAnswerCounts *ac, int first_class)
{
    return (Share){count_from(ac, first_class), count_times(ac)};
}

static bool
is_slow(const JdRouteAnswers *ra)
{
    int first_class = median_class(&ra->of_old) + SLOW_CLASSES;

    return first_class < JD_ANSWER_TIMES &&
           is_version_worse(slow_share(&ra->of_new, first_class),
                            slow_share(&ra->slowest, first_class),
                            slow_share(&ra->of_old, first_class),
                            ra->new_targets);
}

static bool
has_enough_answers(const JdRouteAnswers *ra)
{
    unsigned enough = ra->of_old.answered * ENOUGH_PERCENT / 100;

    return ra->of_new.answered >=
           (enough < ENOUGH_ANSWERS ? enough : ENOUGH_ANSWERS);
}

/* Judges the new version on one route. */
JdVerdict
JdRouteAnswers_Judge(const JdRouteAnswers *ra)
{
    if (is_version_worse(failed_share(&ra->of_new),
                         failed_share(&ra->most_failing),
                         failed_share(&ra->of_old), ra->new_targets)) {
        return JD_VERDICT_FAILING;
    }
    if (is_slow(ra)) {
        return JD_VERDICT_SLOW;
    }
    return has_enough_answers(ra) ? JD_VERDICT_GOOD : JD_VERDICT_UNKNOWN;
}

/* Roll-outs: the judgement of versions, the choice of versions for requests,
 * and the director on a paused clock with a source that can fail. */
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

#define FAST (100 * JD_US_PER_MS)
#define SLOW (800 * JD_US_PER_MS)
#define ORDER_S 12
#define NODES 40U

/* ---- judgement --------------------------------------------------------- */

/* Counts `n` answers, `failed` of them failures and `slow` of them slow. */
static JdAnswerCounts
answers(unsigned n, unsigned failed, unsigned slow)
{
    JdAnswerCounts ac = {.answered = n, .failed = failed};

    for (unsigned i = 0; i < n - failed; i++) {
        JdAnswerCounts_AddTime(&ac, i < slow ? SLOW : FAST);
    }
    return ac;
}

static JdVerdict
judge(JdAnswerCounts of_old, JdAnswerCounts a, JdAnswerCounts b)
{
    JdRouteAnswers ra = {.new_targets = 0};

    JdRouteAnswers_AddOld(&ra, &of_old);
    JdRouteAnswers_AddNew(&ra, &a);
    JdRouteAnswers_AddNew(&ra, &b);
    return JdRouteAnswers_Judge(&ra);
}

static void
test_judge(void)
{
    JdAnswerCounts none = answers(0, 0, 0);
    JdAnswerCounts of_old = answers(2000, 20, 20);

    CU_ASSERT_EQUAL(judge(of_old, answers(50, 1, 1), answers(50, 0, 0)),
                    JD_VERDICT_GOOD);
    CU_ASSERT_EQUAL(judge(of_old, answers(20, 10, 0), answers(20, 8, 0)),
                    JD_VERDICT_FAILING);
    CU_ASSERT_EQUAL(judge(of_old, answers(20, 0, 10), answers(20, 0, 8)),
                    JD_VERDICT_SLOW);
    /* A few failures prove nothing, and few answers do not either. */
    CU_ASSERT_EQUAL(judge(of_old, answers(20, 2, 0), answers(20, 2, 0)),
                    JD_VERDICT_GOOD);
    CU_ASSERT_EQUAL(judge(of_old, answers(4, 0, 0), none), JD_VERDICT_UNKNOWN);
    CU_ASSERT_EQUAL(judge(none, none, none), JD_VERDICT_GOOD);
}

/* Under high load both versions fail and are slow: no proof against one. */
static void
test_judge_both_overloaded(void)
{
    CU_ASSERT_EQUAL(judge(answers(3000, 900, 900), answers(80, 26, 20),
                          answers(80, 20, 24)),
                    JD_VERDICT_GOOD);
}

/* One target in trouble says nothing of its version. */
static void
test_judge_single_target(void)
{
    JdAnswerCounts of_old = answers(2000, 20, 20);

    CU_ASSERT_EQUAL(judge(of_old, answers(60, 30, 0), answers(60, 1, 0)),
                    JD_VERDICT_GOOD);
    CU_ASSERT_EQUAL(judge(of_old, answers(60, 0, 40), answers(60, 0, 1)),
                    JD_VERDICT_GOOD);
}

/* ---- a fleet with a source --------------------------------------------- */

/* A source that takes a state only from who has read the last one. */
typedef struct Source {
    bool is_down;
    bool loses_answers; /* writes are done and not answered */
    unsigned end;       /* states written */
    JdRolloutStep state;
    JdRolloutOrder order;
} Source;

typedef struct Deputy {
    JdRollouts rollouts;
    JdRolloutReports reports;
    JdDirector director;
    Source *source;
    unsigned read_end;
    bool may_decide;
    unsigned refused;
} Deputy;

static JdClock clk;
static JdRandom rnd;
static JdMembers members;
static Source source;
static Deputy first, second;

static bool
may_decide(void *ctx)
{
    return ((Deputy *)ctx)->may_decide;
}

static void
load(void *ctx)
{
    Deputy *dp = ctx;

    if (source.is_down) {
        JdDirector_OnLoaded(&dp->director, JD_ERR_UNREACHABLE);
        return;
    }
    dp->read_end = source.end;
    if (source.end > 0) {
        JdDirector_OnRecord(&dp->director, &source.order, source.state,
                            5 * JD_US_PER_S);
    }
    JdDirector_OnLoaded(&dp->director, JD_OK);
}

static void
write_state(void *ctx, const JdRollout *ro, JdRolloutStep step)
{
    Deputy *dp = ctx;

    if (source.is_down) {
        JdDirector_OnWritten(&dp->director, JD_ERR_UNREACHABLE);
        return;
    }
    if (dp->read_end != source.end) {
        dp->refused++;
        JdDirector_OnWritten(&dp->director, JD_ERR_BASE_LOST);
        return;
    }
    source.state = step;
    source.order = ro->order;
    source.end++;
    if (source.loses_answers) {
        JdDirector_OnWritten(&dp->director, JD_ERR_UNKNOWN_RESULT);
        return;
    }
    dp->read_end = source.end;
    JdDirector_OnWritten(&dp->director, JD_OK);
}

static void
decided(void *ctx, const JdRollout *ro, const JdRolloutFinding *finding)
{
    (void)ctx;
    (void)ro;
    (void)finding;
}

static const JdDirectorOps ops = {may_decide, write_state, load, decided};

static void
start_deputy(Deputy *dp, bool decides)
{
    memset(dp, 0, sizeof(*dp));
    dp->may_decide = decides;
    JdRollouts_Init(&dp->rollouts, &clk, &rnd);
    JdRolloutReports_Init(&dp->reports);
    JdDirector_Init(&dp->director, &dp->rollouts, &dp->reports, &members, &clk,
                    &ops, dp);
}

static void
finish_deputy(Deputy *dp)
{
    JdDirector_Finish(&dp->director);
    JdRolloutReports_Finish(&dp->reports);
    JdRollouts_Finish(&dp->rollouts);
}

static void
add_member(unsigned i, const char *version, JdMemberState state)
{
    Jd__Member msg = JD__MEMBER__INIT;
    char id[JD_NAME_MAX];

    g_snprintf(id, sizeof(id), "vm-%u", i);
    msg.id = id;
    msg.incarnation = 1;
    msg.seq = 1;
    msg.state = state;
    msg.service = "kilns";
    msg.endpoint_set = "kilns";
    msg.slots = 6;
    msg.version = (char *)version;
    JdMembers_Update(&members, &msg, 0);
}

static const JdRolloutOrder the_order = {"kilns", "v2", 1, 7,
                                         ORDER_S *JD_US_PER_S};

static void
start(void)
{
    JdClock_Init(&clk, NULL, NULL);
    JdRandom_Init(&rnd, 1);
    memset(&source, 0, sizeof(source));
    {
        static JdCounters ctr;

        JdMembers_Init(&members, &clk, &ctr);
    }
    start_deputy(&first, true);
    start_deputy(&second, false);
    add_member(0, "v1", JD_MEMBER_READY);
    add_member(1, "v1", JD_MEMBER_READY);
    add_member(2, "v2", JD_MEMBER_READY);
    add_member(3, "v2", JD_MEMBER_READY);
}

static void
finish(void)
{
    finish_deputy(&first);
    finish_deputy(&second);
    JdMembers_Finish(&members);
}

static JdRolloutStep
step_of(const Deputy *dp)
{
    return JdRollouts_Find(&dp->rollouts, "kilns")->step;
}

/* Delivers a report of a node; the counts are totals since the order. */
static void
report(Deputy *dp, unsigned node, uint64_t seq, const char *route,
       unsigned answered, unsigned failed, unsigned slow)
{
    const JdRollout *ro = JdRollouts_Find(&dp->rollouts, "kilns");
    JdAnswerCounts ac = answers(answered, failed, slow);
    Jd__RolloutReport msg = JD__ROLLOUT_REPORT__INIT;
    Jd__RolloutCount count = JD__ROLLOUT_COUNT__INIT;
    Jd__RolloutCount *list[] = {&count};
    char id[JD_NAME_MAX];

    g_snprintf(id, sizeof(id), "vm-%u", node);
    msg.node = id;
    msg.incarnation = 1;
    msg.seq = seq;
    msg.service = "kilns";
    msg.epoch = the_order.epoch;
    msg.offset = the_order.offset;
    msg.step = ro->step;
    msg.count = list;
    msg.n_count = 1;
    count.route = (char *)route;
    count.is_new = node >= 2;
    count.answered = answered;
    count.failed = failed;
    count.n_took = JD_ANSWER_TIMES;
    count.took = ac.took;
    JdRolloutReports_Update(&dp->reports, ro, &msg);
}

/* One second in which each old target answers 100 requests on each of two
 * routes, and each new one 20; `failed` and `slow` of them on route "b". */
static void
second_of_traffic(Deputy *dp, unsigned s, unsigned failed, unsigned slow)
{
    uint64_t seq = UINT64_C(2) * s;

    for (unsigned node = 0; node < 4; node++) {
        unsigned n = node < 2 ? 100 * s : 20 * s;

        report(dp, node, seq, "a", n, 0, 0);
        report(dp, node, seq + 1, "b", n, node < 2 ? 0 : failed,
               node < 2 ? 0 : slow);
    }
    JdClock_Advance(&clk, JD_US_PER_S);
}

static void
order(Deputy *dp)
{
    JdDirector_OnOrder(&dp->director, &the_order);
    JdClock_Advance(&clk, 1);
}

static void
test_good_version_succeeds(void)
{
    unsigned s;

    start();
    order(&first);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_CANARY);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_CANARY);
    for (s = 1; s < ORDER_S &&
                !JdRollout_IsFinal(JdRollouts_Find(&first.rollouts, "kilns"));
         s++) {
        second_of_traffic(&first, s, 0, 0);
        CU_ASSERT(s > 6 || step_of(&first) == JD_ROLLOUT_CANARY);
    }
    CU_ASSERT(s < ORDER_S);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_SUCCEEDED);
    finish();
}

/* Success is said only once every node that is up has confirmed. */
static void
test_success_waits_for_nodes(void)
{
    start();
    add_member(9, "v1", JD_MEMBER_READY);
    order(&first);
    for (unsigned s = 1; s < ORDER_S + 4; s++) {
        second_of_traffic(&first, s, 0, 0);
    }
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_FULL);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_CANARY);
    add_member(10, "v1", JD_MEMBER_LOST);
    report(&first, 9, 1, "a", 1, 0, 0);
    JdClock_Advance(&clk, JD_US_PER_S);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_SUCCEEDED);
    finish();
}

static void
test_bad_at_once(void)
{
    start();
    order(&first);
    second_of_traffic(&first, 1, 10, 0);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_ROLLED_BACK);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_ROLLED_BACK);
    finish();
}

static void
test_slow(void)
{
    start();
    order(&first);
    second_of_traffic(&first, 1, 0, 10);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_ROLLED_BACK);
    finish();
}

/* Few failures among all answers, and all of them of the last second. */
static void
test_bad_late(void)
{
    start();
    order(&first);
    for (unsigned s = 1; s <= 6; s++) {
        for (unsigned node = 0; node < 4; node++) {
            report(&first, node, s, "b", node < 2 ? 9000 * s : 900 * s, 0, 0);
        }
        JdClock_Advance(&clk, JD_US_PER_S);
    }
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_CANARY);
    report(&first, 2, 7, "b", 6300, 200, 0);
    report(&first, 3, 7, "b", 6300, 200, 0);
    report(&first, 0, 7, "b", 63000, 0, 0);
    JdClock_Advance(&clk, JD_US_PER_S);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_ROLLED_BACK);
    finish();
}

/* One bad route is not hidden by many answers of a good one. */
static void
test_bad_on_one_route(void)
{
    start();
    order(&first);
    for (unsigned node = 0; node < 4; node++) {
        report(&first, node, 1, "a", 4000, 0, 0);
        report(&first, node, 2, "b", 40, node < 2 ? 0 : 20, 0);
    }
    JdClock_Advance(&clk, JD_US_PER_S);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_ROLLED_BACK);
    finish();
}

/* What has not answered is not known to be good by the deadline. */
static void
test_too_few_requests(void)
{
    start();
    order(&first);
    report(&first, 0, 1, "a", 4000, 0, 0);
    JdClock_Advance(&clk, (ORDER_S - 2) * JD_US_PER_S);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_CANARY);
    JdClock_Advance(&clk, 2 * JD_US_PER_S);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_ROLLED_BACK);
    finish();
}

/* Reports that come twice or behind newer ones change nothing. */
static void
test_reports_late_and_twice(void)
{
    JdRolloutFinding finding;
    const JdRollout *ro;

    start();
    order(&first);
    report(&first, 2, 5, "a", 60, 1, 0);
    report(&first, 2, 5, "a", 60, 1, 0);
    report(&first, 2, 4, "a", 20, 9, 0);
    ro = JdRollouts_Find(&first.rollouts, "kilns");
    JdDirector_Judge(&first.director, ro, false, &finding);
    CU_ASSERT_EQUAL(finding.answers.of_new.answered, 60);
    CU_ASSERT_EQUAL(finding.answers.of_new.failed, 1);
    finish();
}

/* The director is killed after it stopped the version and before the source
 * has it: the next one, which knows the state from the tree, records it. */
static void
test_director_killed_before_record(void)
{
    start();
    order(&first);
    source.is_down = true;
    second_of_traffic(&first, 1, 10, 0);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_STOPPED);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_CANARY);
    JdRollouts_Merge(&second.rollouts, &the_order, step_of(&first),
                     JD_US_PER_S, 1);
    first.may_decide = false;
    second.may_decide = true;
    source.is_down = false;
    JdDirector_Wake(&second.director);
    JdClock_Advance(&clk, JD_US_PER_S);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_ROLLED_BACK);
    CU_ASSERT_EQUAL(step_of(&second), JD_ROLLOUT_ROLLED_BACK);
    finish();
}

/* The same before anybody else heard of it: the next one decides alike, as
 * nodes report their totals again. */
static void
test_next_director_decides_alike(void)
{
    start();
    order(&first);
    first.may_decide = false;
    second.may_decide = true;
    order(&second);
    second_of_traffic(&second, 1, 10, 0);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_ROLLED_BACK);
    finish();
}

static void
test_source_down_at_deadline(void)
{
    start();
    order(&first);
    for (unsigned s = 1; s < ORDER_S; s++) {
        second_of_traffic(&first, s, 0, 0);
        source.is_down = source.is_down || step_of(&first) == JD_ROLLOUT_FULL;
    }
    JdClock_Advance(&clk, 3 * JD_US_PER_S);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_FULL);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_CANARY);
    source.is_down = false;
    JdClock_Advance(&clk, JD_US_PER_S);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_SUCCEEDED);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_SUCCEEDED);
    finish();
}

/* A write whose answer is lost is settled by reading. */
static void
test_answer_lost(void)
{
    start();
    order(&first);
    source.loses_answers = true;
    second_of_traffic(&first, 1, 10, 0);
    JdClock_Advance(&clk, JD_US_PER_S);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_ROLLED_BACK);
    CU_ASSERT_EQUAL(source.end, 2);
    finish();
}

/* A director that was paused goes on with what it knew, while another one has
 * taken the version back: its success is refused, and it learns the other. */
static void
test_stale_director(void)
{
    start();
    order(&first);
    for (unsigned s = 1; s <= 8; s++) {
        second_of_traffic(&first, s, 0, 0);
        if (step_of(&first) == JD_ROLLOUT_FULL) {
            break;
        }
    }
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_FULL);
    /* Another director wrote. */
    source.state = JD_ROLLOUT_ROLLED_BACK;
    source.end++;
    second_of_traffic(&first, 9, 0, 0);
    CU_ASSERT_EQUAL(first.refused, 1);
    CU_ASSERT_EQUAL(source.state, JD_ROLLOUT_ROLLED_BACK);
    CU_ASSERT_EQUAL(step_of(&first), JD_ROLLOUT_ROLLED_BACK);
    finish();
}

/* ---- merging ----------------------------------------------------------- */

static void
test_steps_never_go_back(void)
{
    JdRolloutOrder next = the_order;
    JdRollout *ro;

    start();
    ro = JdRollouts_Merge(&first.rollouts, &the_order, JD_ROLLOUT_ROLLED_BACK,
                          0, 1);
    JdRollouts_Merge(&first.rollouts, &the_order, JD_ROLLOUT_FULL, 0, 2);
    CU_ASSERT_EQUAL(ro->step, JD_ROLLOUT_ROLLED_BACK);
    /* A newer order for another version leaves the bad one barred. */
    next.offset++;
    g_strlcpy(next.version, "v3", sizeof(next.version));
    JdRollouts_Merge(&first.rollouts, &next, JD_ROLLOUT_HELD, 0, 1);
    CU_ASSERT_EQUAL(ro->step, JD_ROLLOUT_HELD);
    CU_ASSERT_STRING_EQUAL(ro->barred, "v2");
    JdRollouts_Merge(&first.rollouts, &the_order, JD_ROLLOUT_SUCCEEDED, 0, 1);
    CU_ASSERT_STRING_EQUAL(ro->order.version, "v3");
    /* The source was restored, and the order has another place there. */
    JdRollouts_SetStep(&first.rollouts, ro, JD_ROLLOUT_ROLLED_BACK, 0);
    next.epoch++;
    next.offset = 2;
    JdRollouts_Merge(&first.rollouts, &next, JD_ROLLOUT_HELD, 0, 1);
    CU_ASSERT_EQUAL(ro->step, JD_ROLLOUT_ROLLED_BACK);
    finish();
}

/* ---- choice of versions ------------------------------------------------ */

static void
choose(Deputy *dp, JdVersionFilter *vf, JdRequestVersion *rv, bool may_test)
{
    JdVersionFilter_Init(vf, &dp->rollouts, "kilns",
                         JdMembers_FindSet(&members, "kilns"), rv, may_test);
}

/* A node that knows of targets of the new version only has none that is ready:
 * its requests wait for the others while it starts. */
static void
test_only_new_ready(void)
{
    static JdCounters ctr;
    JdBalancer lb = {.members = &members};
    JdRequestVersion rv = {.is_drawn = true};
    JdVersionFilter vf;

    start();
    JdMembers_Finish(&members);
    JdMembers_Init(&members, &clk, &ctr);
    JdRollouts_Merge(&first.rollouts, &the_order, JD_ROLLOUT_HELD, 0, 1);
    add_member(10, "v2", JD_MEMBER_READY);
    choose(&first, &vf, &rv, false);
    CU_ASSERT_FALSE(JdBalancer_HasReadyTarget(&lb, "kilns", &vf));
    add_member(11, "v1", JD_MEMBER_READY);
    CU_ASSERT_TRUE(JdBalancer_HasReadyTarget(&lb, "kilns", &vf));
    finish();
}

/* Counts the requests that one node sends to the new version, and to how many
 * of its targets. */
static unsigned
count_new(Deputy *dp, unsigned requests, unsigned *targets)
{
    unsigned n = 0;

    *targets = 0;
    for (unsigned i = 0; i < requests; i++) {
        JdRequestVersion rv = {false, false};
        JdVersionFilter vf;
        JdMember *mb;

        choose(dp, &vf, &rv, true);
        n += vf.choice == JD_CHOICE_CANARY;
        TAILQ_FOREACH(mb, &members.all, link)
        {
            if (vf.choice == JD_CHOICE_CANARY) {
                *targets += JdVersionFilter_Allows(&vf, mb);
            }
        }
    }
    if (n > 0) {
        *targets /= n;
    }
    return n;
}

/* All nodes together stay below a tenth, however few requests each gets, and
 * the new targets under test are as loaded as the old ones. */
static void
test_share_of_all_nodes(void)
{
    unsigned total = 0;
    unsigned targets = 0;

    start();
    for (unsigned i = 10; i < 54; i++) {
        add_member(i, i < 34 ? "v1" : "v2", JD_MEMBER_READY);
    }
    for (unsigned node = 0; node < NODES; node++) {
        Deputy dp;

        start_deputy(&dp, false);
        JdRollouts_Merge(&dp.rollouts, &the_order, JD_ROLLOUT_CANARY,
                         JD_US_PER_S, 0);
        total += count_new(&dp, 100, &targets);
        finish_deputy(&dp);
    }
    CU_ASSERT(total > NODES * 100 * 3 / 100);
    CU_ASSERT(total < NODES * 100 * 9 / 100);
    CU_ASSERT_EQUAL(targets, 1);
    finish();
}

/* A node that may have missed a roll-back sends nothing to the new version,
 * nor does one that knows no more than the order. */
static void
test_out_of_touch(void)
{
    JdRequestVersion rv = {false, false};
    JdVersionFilter vf;
    JdRollout *ro;

    start();
    ro = JdRollouts_Merge(&first.rollouts, &the_order, JD_ROLLOUT_HELD,
                          JD_US_PER_S, 0);
    choose(&first, &vf, &rv, true);
    CU_ASSERT_EQUAL(vf.choice, JD_CHOICE_OLD);
    JdRollouts_SetStep(&first.rollouts, ro, JD_ROLLOUT_CANARY, 0);
    for (int i = 0; i < 1000; i++) {
        JdRequestVersion one = {false, false};

        choose(&first, &vf, &one, false);
        CU_ASSERT_EQUAL(vf.choice, JD_CHOICE_OLD);
    }
    /* A request keeps to its share in later attempts, and what is taken back
     * gets none of them. */
    rv.is_drawn = true;
    rv.is_canary = true;
    choose(&first, &vf, &rv, true);
    CU_ASSERT_EQUAL(vf.choice, JD_CHOICE_CANARY);
    JdRollouts_SetStep(&first.rollouts, ro, JD_ROLLOUT_STOPPED, 0);
    choose(&first, &vf, &rv, true);
    CU_ASSERT_EQUAL(vf.choice, JD_CHOICE_OLD);
    CU_ASSERT_FALSE(JdVersionFilter_Widen(&vf, NULL));
    finish();
}

/* A request that finds no target is widened a limited number of times, at each
 * step and with any targets: the caller tries again until it is refused. */
static void
test_widening_ends(void)
{
    JdRequestVersion rv = {.is_drawn = true, .is_canary = true};
    JdRollout *ro;

    start();
    /* No target of the old version is left. */
    for (int i = 0; i < 2; i++) {
        JdMember *mb = JdMembers_Find(&members, i == 0 ? "vm-0" : "vm-1");

        mb->target_started = 1;
        JdMember_SetTargetLeft(mb, 1);
    }
    ro = JdRollouts_Merge(&first.rollouts, &the_order, JD_ROLLOUT_HELD,
                          JD_US_PER_S, 0);
    for (int step = JD_ROLLOUT_HELD; step < JD_ROLLOUT_STEP_MAX; step++) {
        const JdMemberSet *set = JdMembers_FindSet(&members, "kilns");
        JdVersionFilter vf;
        unsigned n = 0;

        JdRollouts_SetStep(&first.rollouts, ro, (JdRolloutStep)step, 0);
        choose(&first, &vf, &rv, true);
        while (n < JD_CHOICE_MAX && JdVersionFilter_Widen(&vf, set)) {
            n++;
        }
        CU_ASSERT(n < JD_CHOICE_MAX);
        /* The new targets are all that is left. */
        if (step == JD_ROLLOUT_CANARY) {
            CU_ASSERT_EQUAL(vf.choice, JD_CHOICE_NEW);
        }
    }
    finish();
}

/* Without an order, targets of another version that replace the old ones one
 * by one wait shortly, and never when they are all that is left. */
static void
test_plain_release(void)
{
    JdRequestVersion rv = {false, false};
    JdVersionFilter vf;

    start();
    add_member(20, "v1", JD_MEMBER_READY);
    JdClock_Advance(&clk, 10 * JD_US_PER_S);
    add_member(21, "v5", JD_MEMBER_READY);
    choose(&first, &vf, &rv, true);
    CU_ASSERT_FALSE(
        JdVersionFilter_Allows(&vf, JdMembers_Find(&members, "vm-21")));
    CU_ASSERT(JdVersionFilter_Allows(&vf, JdMembers_Find(&members, "vm-20")));
    CU_ASSERT(JdVersionFilter_Widen(&vf, NULL));
    CU_ASSERT(JdVersionFilter_Allows(&vf, JdMembers_Find(&members, "vm-21")));
    CU_ASSERT_FALSE(JdVersionFilter_Widen(&vf, NULL));
    JdClock_Advance(&clk, 2 * JD_US_PER_S);
    choose(&first, &vf, &rv, true);
    CU_ASSERT(JdVersionFilter_Allows(&vf, JdMembers_Find(&members, "vm-21")));
    add_member(22, "v5", JD_MEMBER_READY);
    CU_ASSERT(JdVersionFilter_Allows(&vf, JdMembers_Find(&members, "vm-22")));
    finish();
}

void
Unit_AddRollout(void)
{
    CU_pSuite su = CU_add_suite("rollout", NULL, NULL);

    CU_add_test(su, "judge", test_judge);
    CU_add_test(su, "judge both overloaded", test_judge_both_overloaded);
    CU_add_test(su, "judge single target", test_judge_single_target);
    CU_add_test(su, "good version succeeds", test_good_version_succeeds);
    CU_add_test(su, "success waits for nodes", test_success_waits_for_nodes);
    CU_add_test(su, "bad at once", test_bad_at_once);
    CU_add_test(su, "slow", test_slow);
    CU_add_test(su, "bad late", test_bad_late);
    CU_add_test(su, "bad on one route", test_bad_on_one_route);
    CU_add_test(su, "too few requests", test_too_few_requests);
    CU_add_test(su, "reports late and twice", test_reports_late_and_twice);
    CU_add_test(su, "director killed before record",
                test_director_killed_before_record);
    CU_add_test(su, "next director decides alike",
                test_next_director_decides_alike);
    CU_add_test(su, "source down at deadline", test_source_down_at_deadline);
    CU_add_test(su, "answer lost", test_answer_lost);
    CU_add_test(su, "stale director", test_stale_director);
    CU_add_test(su, "steps never go back", test_steps_never_go_back);
    CU_add_test(su, "only new targets ready", test_only_new_ready);
    CU_add_test(su, "share of all nodes", test_share_of_all_nodes);
    CU_add_test(su, "out of touch", test_out_of_touch);
    CU_add_test(su, "widening ends", test_widening_ends);
    CU_add_test(su, "plain release", test_plain_release);
}

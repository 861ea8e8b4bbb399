/*
 * Placing by work, simulated on a paused clock: nodes send to targets of
 * several slots and speeds and know of them what answers report.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

#define MAX_NODES 300U
#define MAX_TARGETS 64U
#define MAX_DOMAINS 2U
#define SLOTS 9U
#define RUN_TIME (30 * JD_US_PER_S)
/* Time from which answers count. */
#define WARM_UP (8 * JD_US_PER_S)
#define MEAN_WORK (140.0 * JD_US_PER_MS)
/* Work is log-normal with this standard deviation of the logarithm; a share of
 * it is several times as long. */
#define LOG_SIGMA 0.8
#define TAIL_SHARE 0.03
#define TAIL_FACTOR 7
/* Shares of the time within which targets are slow by turns, and how much. */
#define TURN_TIME (600 * JD_US_PER_MS)
#define TURN_SLOW_TIME (90 * JD_US_PER_MS)
#define TURN_FACTOR 2.5

static const char *const domains[MAX_DOMAINS] = {"d0", "d1"};

/* The load of one simulation. */
typedef struct Load {
    unsigned nodes;
    unsigned targets; /* in each domain */
    const double *speeds;
    unsigned speed_count;
    unsigned domains;
    double use;      /* of the speeds' sum */
    double swing;    /* of the load in a domain, in counter-phase */
    uint64_t period; /* of the swing */
    uint64_t rtt;    /* us between domains, round trip */
    bool has_slow_turns;
    bool is_pinned_home; /* nothing leaves its domain */
} Load;

typedef struct Node {
    JdMembers members;
    JdBalancer balancer;
    JdPlacing placing;
    JdTimer next;
    unsigned domain;
} Node;

typedef struct Job {
    TAILQ_ENTRY(Job) link;
    Node *node;
    struct Target *target;
    JdTier tier;
    double work;
    uint64_t arrived;   /* at the node */
    uint64_t submitted; /* at the target */
    uint64_t started;
    uint64_t held;
    JdTimer timer;
} Job;

typedef struct Target {
    char id[JD_NAME_MAX];
    double speed;
    unsigned domain;
    unsigned running;
    unsigned queued;
    double work; /* us of usual work of all that is there */
    TAILQ_HEAD(JobHead, Job) queue;
    JdRunTime run_time;
    JdPace pace;
    double busy; /* us of slots */
    unsigned slow_turn;
} Target;

/* What the callers got. */
typedef struct Result {
    double p50;
    double mean;
    double p99;
    double worst_use;  /* of a target, as a multiple of the mean */
    double left_share; /* of the requests that left their domain */
    unsigned changes;  /* times that nodes began or ceased to leave */
    unsigned answers;
} Result;

static struct {
    Load load;
    JdClock clock;
    JdRandom random;
    JdCounters counters;
    Node node[MAX_NODES];
    Target target[MAX_TARGETS];
    unsigned target_count;
    GArray *latencies;
    unsigned sent, left;
    unsigned changes;
} sim;

static double
uniform(void)
{
    return ((double)JdRandom_Below(&sim.random, 1 << 30) + 1) / (1 << 30);
}

static double
draw_work(void)
{
    double normal = sqrt(-2 * log(uniform())) * cos(2 * G_PI * uniform());
    double work = MEAN_WORK / (1 + TAIL_SHARE * (TAIL_FACTOR - 1)) *
                  exp(LOG_SIGMA * normal - LOG_SIGMA * LOG_SIGMA / 2);

    return uniform() < TAIL_SHARE ? work * TAIL_FACTOR : work;
}

static void on_run_end(void *ctx);

static bool
is_in_slow_turn(const Target *tg)
{
    uint64_t phase = (JdClock_Now(&sim.clock) + tg->slow_turn) % TURN_TIME;

    return sim.load.has_slow_turns && phase < TURN_SLOW_TIME;
}

static void
start_job(Job *job)
{
    Target *tg = job->target;
    double took = job->work / tg->speed;

    if (is_in_slow_turn(tg)) {
        took *= TURN_FACTOR;
    }
    tg->running++;
    job->started = JdClock_Now(&sim.clock);
    JdTimer_Init(&job->timer, on_run_end, job);
    JdTimer_Arm(&sim.clock, &job->timer, (uint64_t)took);
}

static uint64_t
rtt_of(const Job *job)
{
    return job->tier == JD_TIER_DOMAIN ? 500 : sim.load.rtt;
}

static void
on_answer(void *ctx)
{
    Job *job = ctx;
    Target *tg = job->target;
    uint64_t took = JdClock_Now(&sim.clock) - job->arrived;
    JdLoadReport rep = {.load = (tg->running + tg->queued) * 100 / SLOTS};

    rep.work.route = "/r";
    rep.work.route_time =
        (uint64_t)(tg->run_time.mean *
                   JdPace_Factor(&tg->pace, JdClock_Now(&sim.clock)));
    rep.work.load = rep.load;
    rep.work.held = job->held;
    rep.work.domain_load = JdPlacing_DomainLoad(
        &sim.node[tg->domain].placing, "set", JdClock_Now(&sim.clock));
    JdBalancer_RecordAnswer(&job->node->balancer, tg->id, took, &rep);
    if (job->arrived > WARM_UP) {
        g_array_append_val(sim.latencies, took);
    }
    g_free(job);
}

static void
on_run_end(void *ctx)
{
    Job *job = ctx;
    Target *tg = job->target;
    uint64_t now = JdClock_Now(&sim.clock);
    double took = (double)(now - job->started);

    tg->running--;
    if (now > WARM_UP) {
        tg->busy += took;
    }
    JdPace_Add(&tg->pace, took / (tg->run_time.mean + 1), now);
    JdRunTime_Add(&tg->run_time, took);
    job->held = now - job->submitted;
    JdTimer_Init(&job->timer, on_answer, job);
    JdTimer_Arm(&sim.clock, &job->timer, rtt_of(job) / 2);
    job = TAILQ_FIRST(&tg->queue);
    if (job != NULL) {
        TAILQ_REMOVE(&tg->queue, job, link);
        tg->queued--;
        start_job(job);
    }
}

static void
on_submit(void *ctx)
{
    Job *job = ctx;
    Target *tg = job->target;

    job->submitted = JdClock_Now(&sim.clock);
    if (tg->running < SLOTS) {
        start_job(job);
        return;
    }
    TAILQ_INSERT_TAIL(&tg->queue, job, link);
    tg->queued++;
}

/* Returns the requests per us that a node gets now. */
static double
rate_of(const Node *nd)
{
    double mean_speed = 0;
    double phase = sim.load.period == 0
                       ? 0
                       : 2 * G_PI * (double)JdClock_Now(&sim.clock) /
                             (double)sim.load.period;

    for (unsigned i = 0; i < sim.load.speed_count; i++) {
        mean_speed += sim.load.speeds[i] / sim.load.speed_count;
    }
    return sim.load.use * mean_speed * sim.target_count * SLOTS / MEAN_WORK /
           sim.load.nodes *
           (1 + sim.load.swing * sin(phase + (nd->domain == 0 ? 0 : G_PI)));
}

static void
on_arrival(void *ctx)
{
    Node *nd = ctx;
    Job *job = g_new0(Job, 1);
    JdMember *mb =
        JdBalancer_PickByWork(&nd->balancer, "set", "/r", NULL, 0, &job->tier);

    job->node = nd;
    job->target = &sim.target[strtoul(mb->id + 1, NULL, 10)];
    job->work = draw_work();
    job->arrived = JdClock_Now(&sim.clock);
    sim.sent++;
    sim.left += job->tier != JD_TIER_DOMAIN;
    JdBalancer_RecordSend(&nd->balancer, mb);
    JdTimer_Init(&job->timer, on_submit, job);
    JdTimer_Arm(&sim.clock, &job->timer, rtt_of(job) / 2);
    JdTimer_Arm(&sim.clock, &nd->next,
                (uint64_t)(-log(uniform()) / rate_of(nd)));
}

static void
add_target(unsigned i, unsigned domain)
{
    Target *tg = &sim.target[i];

    memset(tg, 0, sizeof(*tg));
    g_snprintf(tg->id, sizeof(tg->id), "t%u", i);
    tg->speed = sim.load.speeds[i % sim.load.speed_count];
    tg->domain = domain;
    tg->slow_turn = (unsigned)JdRandom_Below(&sim.random, TURN_TIME);
    TAILQ_INIT(&tg->queue);
}

static void
on_share_changed(void *ctx, const char *endpoint_set, JdTier tier,
                 const JdSpread *sp)
{
    (void)ctx;
    (void)endpoint_set;
    (void)tier;
    (void)sp;
    sim.changes++;
}

static void
add_node(unsigned i)
{
    Node *nd = &sim.node[i];

    memset(nd, 0, sizeof(*nd));
    nd->domain = i % sim.load.domains;
    JdMembers_Init(&nd->members, &sim.clock, &sim.counters);
    JdPlacing_Init(&nd->placing);
    nd->placing.share_changed = on_share_changed;
    nd->balancer = (JdBalancer){.members = &nd->members,
                                .clock = &sim.clock,
                                .random = &sim.random,
                                .counters = &sim.counters,
                                .region = "near",
                                .domain = domains[nd->domain],
                                .placing = &nd->placing};
    for (unsigned t = 0; t < sim.target_count; t++) {
        Jd__Member msg = JD__MEMBER__INIT;

        msg.id = sim.target[t].id;
        msg.incarnation = msg.seq = 1;
        msg.state = JD_MEMBER_READY;
        msg.region = "near";
        if (sim.load.is_pinned_home && sim.target[t].domain != nd->domain) {
            continue;
        }
        msg.domain = (char *)domains[sim.target[t].domain];
        msg.slots = SLOTS;
        msg.service = msg.endpoint_set = "set";
        JdMembers_Update(&nd->members, &msg, 0);
    }
    JdTimer_Init(&nd->next, on_arrival, nd);
    JdTimer_Arm(&sim.clock, &nd->next,
                (uint64_t)(-log(uniform()) / rate_of(nd)));
}

static int
compare_times(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

static double
quantile(double q)
{
    return (double)g_array_index(sim.latencies, uint64_t,
                                 (unsigned)(q * sim.latencies->len)) /
           JD_US_PER_MS;
}

static void
take_result(Result *out)
{
    double sum = 0, most = 0;

    for (unsigned t = 0; t < sim.target_count; t++) {
        sum += sim.target[t].busy;
        most = sim.target[t].busy > most ? sim.target[t].busy : most;
    }
    g_array_sort(sim.latencies, compare_times);
    out->p50 = quantile(0.5);
    out->p99 = quantile(0.99);
    out->mean = 0;
    for (unsigned i = 0; i < sim.latencies->len; i++) {
        out->mean += (double)g_array_index(sim.latencies, uint64_t, i) /
                     sim.latencies->len / JD_US_PER_MS;
    }
    out->worst_use = most / (sum / sim.target_count);
    out->left_share = (double)sim.left / sim.sent;
    out->answers = sim.latencies->len;
    out->changes = sim.changes;
}

/* Plays a load. */
static void
play(const Load *load, Result *out)
{
    memset(&sim, 0, sizeof(sim));
    sim.load = *load;
    sim.latencies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    JdClock_Init(&sim.clock, NULL, NULL);
    JdRandom_Init(&sim.random, 11);
    sim.target_count = load->targets * load->domains;
    for (unsigned t = 0; t < sim.target_count; t++) {
        add_target(t, t / load->targets);
    }
    for (unsigned i = 0; i < load->nodes; i++) {
        add_node(i);
    }
    JdClock_Advance(&sim.clock, RUN_TIME);
    take_result(out);
    for (unsigned i = 0; i < load->nodes; i++) {
        JdMembers_Finish(&sim.node[i].members);
        JdPlacing_Finish(&sim.node[i].placing);
    }
    g_array_free(sim.latencies, TRUE);
}

static const double uneven[] = {0.5, 1, 1, 1.5};
static const double even[] = {1};

/* Targets of uneven speed at 85% of their capacity: no target is used much
 * more than the others, and answers take about as long as with even ones. */
static void
test_uneven_speeds(void)
{
    Load load = {.nodes = 24,
                 .targets = 16,
                 .speeds = uneven,
                 .speed_count = 4,
                 .domains = 1,
                 .use = 0.85};
    Result got, ref;

    play(&load, &got);
    load.speeds = even;
    load.speed_count = 1;
    play(&load, &ref);
    CU_ASSERT(got.p99 <= 1.3 * ref.p99);
    CU_ASSERT(got.worst_use <= 1.1);
}

/* Each target is slow for 90 of 600 ms. */
static void
test_slow_turns(void)
{
    Load load = {.nodes = 24,
                 .targets = 16,
                 .speeds = uneven,
                 .speed_count = 4,
                 .domains = 1,
                 .use = 0.7,
                 .has_slow_turns = true};
    Result got;

    play(&load, &got);
    CU_ASSERT(got.worst_use <= 1.15);
}

/* 300 nodes that hear of a target once in some seconds. */
static void
test_old_views(void)
{
    Load load = {.nodes = 300,
                 .targets = 16,
                 .speeds = uneven,
                 .speed_count = 4,
                 .domains = 1,
                 .use = 0.85};
    Result got;

    play(&load, &got);
    CU_ASSERT(got.worst_use <= 1.1);
}

/* Two domains whose load rises and falls in counter-phase; at home each would
 * get more than it can do for a third of the time. */
static void
test_counter_phase(void)
{
    Load load = {.nodes = 24,
                 .targets = 16,
                 .speeds = uneven,
                 .speed_count = 4,
                 .domains = 2,
                 .use = 0.75,
                 .swing = 0.55,
                 .period = 13 * JD_US_PER_S,
                 .rtt = 7800};
    Result got, home;

    play(&load, &got);
    load.is_pinned_home = true;
    play(&load, &home);
    CU_ASSERT(got.mean * 2 <= home.mean);
    CU_ASSERT(got.p99 * 1.5 <= home.p99);
    /* Once out and back in each rise, of which there are three. */
    CU_ASSERT(got.changes <= 6 * load.nodes);
}

/* A target that only got requests of a long route is not slow; one that takes
 * twice as long on the same routes is.  The usual time of a request, by which
 * its hedge goes out, is that of its own route and target. */
static void
test_speed_by_route(void)
{
    static const double one = 1;
    Load load = {.nodes = 1,
                 .targets = 3,
                 .speeds = &one,
                 .speed_count = 1,
                 .domains = 1,
                 .use = 0.1};
    const struct {
        const char *id;
        const char *route;
        uint64_t time;
    } answer[] = {
        {"t0", "/short", 40000}, {"t1", "/long", 200000},
        {"t1", "/short", 40000}, {"t2", "/short", 80000},
        {"t0", "/long", 200000}, {"t2", "/long", 400000},
    };
    JdMember *mb;
    Node *nd;

    memset(&sim, 0, sizeof(sim));
    sim.load = load;
    JdClock_Init(&sim.clock, NULL, NULL);
    JdRandom_Init(&sim.random, 3);
    sim.target_count = load.targets;
    for (unsigned i = 0; i < load.targets; i++) {
        add_target(i, 0);
    }
    add_node(0);
    nd = &sim.node[0];
    for (unsigned i = 0; i < 50 * G_N_ELEMENTS(answer); i++) {
        unsigned a = i % G_N_ELEMENTS(answer);
        JdLoadReport rep = {.work = {.route = answer[a].route,
                                     .route_time = answer[a].time,
                                     .held = answer[a].time}};

        mb = JdMembers_Find(&nd->members, answer[a].id);
        JdBalancer_RecordSend(&nd->balancer, mb);
        JdBalancer_RecordAnswer(&nd->balancer, answer[a].id,
                                answer[a].time + 500, &rep);
    }
    mb = JdMembers_Find(&nd->members, "t0");
    CU_ASSERT_DOUBLE_EQUAL(
        JdBalancer_ExpectedTime(&nd->balancer, mb, "/short"), 40500, 4000);
    CU_ASSERT_DOUBLE_EQUAL(JdBalancer_ExpectedTime(&nd->balancer, mb, "/long"),
                           200500, 20000);
    mb = JdMembers_Find(&nd->members, "t1");
    CU_ASSERT_DOUBLE_EQUAL(
        JdBalancer_ExpectedTime(&nd->balancer, mb, "/short"), 40500, 4000);
    mb = JdMembers_Find(&nd->members, "t2");
    CU_ASSERT_DOUBLE_EQUAL(
        JdBalancer_ExpectedTime(&nd->balancer, mb, "/short"), 80500, 8000);
    CU_ASSERT_EQUAL(JdBalancer_ExpectedTime(&nd->balancer, mb, "/new") > 0,
                    true);
    JdMembers_Finish(&nd->members);
    JdPlacing_Finish(&nd->placing);
}

/* Work leaves for another region only when the wait at home is much longer
 * than the round trip there, and not while no slots are free there; a domain
 * that has lost its targets sends all elsewhere. */
static void
test_spread_bounds(void)
{
    static const struct {
        double wait_home, load_home, load_far;
        bool leaves;
    } play[] = {
        {20000, 0.8, 0.5, false},
        {300000, 1.5, 0.5, true},
        {300000, 1.5, 1.2, false},
    };
    JdTierWait wait[JD_TIER_MAX] = {
        {.capacity = 60, .rtt = 500},
        {.capacity = 0, .rtt = 5000},
        {.capacity = 60, .rtt = 40000},
    };
    JdSpread sp;

    for (size_t p = 0; p < G_N_ELEMENTS(play); p++) {
        memset(&sp, 0, sizeof(sp));
        wait[JD_TIER_DOMAIN].wait = play[p].wait_home;
        wait[JD_TIER_DOMAIN].load = play[p].load_home;
        wait[JD_TIER_FAR].load = play[p].load_far;
        for (uint64_t now = 1; now < 3 * JD_US_PER_S;
             now += 50 * JD_US_PER_MS) {
            JdSpread_Update(&sp, wait, 140000, now);
        }
        CU_ASSERT_EQUAL(sp.is_leaving[JD_TIER_FAR], play[p].leaves);
        CU_ASSERT_EQUAL(sp.share[JD_TIER_REGION], 0);
    }
    wait[JD_TIER_DOMAIN].capacity = 0;
    JdSpread_Update(&sp, wait, 140000, 4 * JD_US_PER_S);
    CU_ASSERT_EQUAL(sp.share[JD_TIER_DOMAIN], 0);
}

void
Unit_AddPlacing(void)
{
    CU_pSuite s = CU_add_suite("placing", NULL, NULL);

    CU_add_test(s, "uneven speeds", test_uneven_speeds);
    CU_add_test(s, "slow by turns", test_slow_turns);
    CU_add_test(s, "old views", test_old_views);
    CU_add_test(s, "counter-phase", test_counter_phase);
    CU_add_test(s, "speed by route", test_speed_by_route);
    CU_add_test(s, "bounds of the spread", test_spread_bounds);
}

/* Rate limits that targets name, on a paused clock. */
#include <string.h>

#include <CUnit/Basic.h>

#include "jacinthdyke.h"
#include "unit.h"

#define WINDOW (4 * JD_US_PER_S)
#define RUN_TIME (60 * JD_US_PER_S)
#define MAX_SENT 20000
#define SEEDS 50U
/* A target may get 1.5 times as many requests as it takes, and 5 more. */
#define ALLOWED_PERCENT 150
#define ALLOWED_MORE 5

/* Returns whether no window holds more requests than are allowed at a rate. */
static bool
is_within(const uint64_t *sent, unsigned n, unsigned rate)
{
    uint64_t allowed =
        (uint64_t)rate * WINDOW / JD_US_PER_S * ALLOWED_PERCENT / 100 / 1000 +
        ALLOWED_MORE;
    unsigned first = 0;

    for (unsigned i = 0; i < n; i++) {
        while (sent[first] + WINDOW <= sent[i]) {
            first++;
        }
        if (i - first + 1 > allowed) {
            return false;
        }
    }
    return true;
}

/* Offers requests at random times, far more than the limit, to a node that
 * freezes and restarts meanwhile.  Adds the time of its freezes to `frozen`.
 */
static unsigned
send_under_limit(JdRandom *rnd, unsigned rate, uint64_t *sent,
                 uint64_t *frozen)
{
    JdRateLimit rl = {.rate = 0};
    uint64_t now = 0;
    unsigned n = 0;

    JdRateLimit_Set(&rl, rate, now);
    while (now < RUN_TIME && n < MAX_SENT) {
        unsigned priority = (unsigned)JdRandom_Below(rnd, JD_PRIORITIES);

        now += JdRandom_Below(rnd, 20 * JD_US_PER_MS);
        if (JdRandom_Below(rnd, 1000) == 0) {
            uint64_t pause = JdRandom_Below(rnd, 3 * JD_US_PER_S);

            now += pause;
            *frozen += pause;
        }
        if (JdRandom_Below(rnd, 2000) == 0) {
            memset(&rl, 0, sizeof(rl));
            JdRateLimit_Set(&rl, rate, now);
        }
        if (JdRateLimit_HasCredit(&rl, priority, now)) {
            JdRateLimit_Take(&rl, now);
            sent[n++] = now;
        }
    }
    return n;
}

static void
test_limit_not_exceeded(void)
{
    static uint64_t sent[MAX_SENT];
    JdRandom rnd;

    for (unsigned seed = 1; seed <= SEEDS; seed++) {
        uint64_t frozen = 0;
        unsigned rate, n;

        JdRandom_Init(&rnd, seed);
        rate = JD_RATE_MIN + (unsigned)JdRandom_Below(&rnd, 40000);
        n = send_under_limit(&rnd, rate, sent, &frozen);
        CU_ASSERT_TRUE(is_within(sent, n, rate));
        /* The limit is used: most of what it allows is sent. */
        CU_ASSERT_TRUE(n >= (RUN_TIME - frozen) * rate / JD_US_PER_S / 1000 *
                                8 / 10);
    }
}

static void
test_changing_limit(void)
{
    JdRateLimit rl = {.rate = 0};

    CU_ASSERT_TRUE(JdRateLimit_HasCredit(&rl, 3, 0));
    JdRateLimit_Set(&rl, 4000, 0);
    CU_ASSERT_FALSE(JdRateLimit_HasCredit(&rl, 0, 0));
    CU_ASSERT_EQUAL(JdRateLimit_Wait(&rl, 0, 0), 250 * JD_US_PER_MS + 1);
    CU_ASSERT_TRUE(JdRateLimit_HasCredit(&rl, 0, 250 * JD_US_PER_MS));
    /* What was saved up at a high limit is not spent at a low one. */
    JdRateLimit_Set(&rl, 1000 * 1000, JD_US_PER_S);
    CU_ASSERT_TRUE(JdRateLimit_HasCredit(&rl, 3, 2 * JD_US_PER_S));
    JdRateLimit_Set(&rl, 1000, 2 * JD_US_PER_S);
    JdRateLimit_Take(&rl, 2 * JD_US_PER_S);
    CU_ASSERT_FALSE(JdRateLimit_HasCredit(&rl, 0, 2 * JD_US_PER_S));
    JdRateLimit_Set(&rl, 0, 2 * JD_US_PER_S);
    CU_ASSERT_TRUE(JdRateLimit_HasCredit(&rl, 3, 2 * JD_US_PER_S));
}

/* A lower priority leaves credit to a higher one, and both are served where
 * the limit suffices. */
static void
test_priority(void)
{
    JdRateLimit rl = {.rate = 0};
    uint64_t now = 0;

    JdRateLimit_Set(&rl, 8000, now);
    now = 125 * JD_US_PER_MS;
    CU_ASSERT_FALSE(JdRateLimit_HasCredit(&rl, 3, now));
    CU_ASSERT_TRUE(JdRateLimit_HasCredit(&rl, 0, now));
    now = 10 * JD_US_PER_S;
    CU_ASSERT_TRUE(JdRateLimit_HasCredit(&rl, 3, now));
    JdRateLimit_Set(&rl, JD_RATE_MIN, now);
    CU_ASSERT_TRUE(JdRateLimit_HasCredit(&rl, 3, now));
}

static unsigned
parse_rate(const char *text)
{
    unsigned rate = 0;

    return JdRateLimit_Parse(text, strlen(text), &rate) == JD_OK ? rate : 0;
}

static void
test_parse_rate(void)
{
    CU_ASSERT_EQUAL(parse_rate("5"), 5000);
    CU_ASSERT_EQUAL(parse_rate("2.7"), 2700);
    CU_ASSERT_EQUAL(parse_rate("0"), JD_RATE_MIN);
    CU_ASSERT_EQUAL(parse_rate("0.01"), JD_RATE_MIN);
    CU_ASSERT_EQUAL(parse_rate("99999999999999"), JD_RATE_MAX);
    CU_ASSERT_EQUAL(parse_rate(""), 0);
    CU_ASSERT_EQUAL(parse_rate("-3"), 0);
    CU_ASSERT_EQUAL(parse_rate("nan"), 0);
    CU_ASSERT_EQUAL(parse_rate("5 a second"), 0);
    CU_ASSERT_EQUAL(parse_rate("1.2.3"), 0);
    CU_ASSERT_EQUAL(parse_rate("00000000000000000000000000000000005"), 0);
}

/* A node that restarted takes the limit from others until the target speaks.
 */
static void
test_adopt(void)
{
    JdHeartbeat hb = {.id = "a", .started = 100, .seq = 1, .slots = 4};
    JdTarget tg = {.seq = 0};

    JdTarget_Heartbeat(&tg, &hb, 0);
    CU_ASSERT_FALSE(JdTarget_AdoptRateLimit(&tg, 90, 5000));
    CU_ASSERT_FALSE(JdTarget_AdoptRateLimit(&tg, 100, 0));
    CU_ASSERT_TRUE(JdTarget_AdoptRateLimit(&tg, 100, 5000));
    CU_ASSERT_FALSE(JdTarget_AdoptRateLimit(&tg, 100, 6000));
    CU_ASSERT_TRUE(JdTarget_AdoptRateLimit(&tg, 100, 4000));
    CU_ASSERT_TRUE(JdTarget_SetRateLimit(&tg, 0, 10));
    CU_ASSERT_FALSE(JdTarget_AdoptRateLimit(&tg, 100, 5000));
    CU_ASSERT_EQUAL(tg.rate_limit, 0);
    hb.started = 200;
    JdTarget_SetRateLimit(&tg, 3000, 20);
    JdTarget_Heartbeat(&tg, &hb, 0);
    CU_ASSERT_EQUAL(tg.rate_limit, 0);
    CU_ASSERT_TRUE(JdTarget_AdoptRateLimit(&tg, 200, 4000));
}

/* An answer that later ones have overtaken does not raise the limit. */
static void
test_overtaken_answer(void)
{
    JdTarget tg = {.seq = 0};

    CU_ASSERT_TRUE(JdTarget_SetRateLimit(&tg, 9000, 10));
    CU_ASSERT_TRUE(JdTarget_SetRateLimit(&tg, 2000, 30));
    CU_ASSERT_FALSE(JdTarget_SetRateLimit(&tg, 9000, 20));
    CU_ASSERT_FALSE(JdTarget_SetRateLimit(&tg, 0, 20));
    CU_ASSERT_EQUAL(tg.rate_limit, 2000);
    CU_ASSERT_TRUE(JdTarget_SetRateLimit(&tg, 1000, 20));
    CU_ASSERT_TRUE(JdTarget_SetRateLimit(&tg, 0, 30));
}

#define NOW JD_US_PER_S

/* Three targets and a balancer on a paused clock. */
typedef struct Choice {
    JdClock clock;
    JdCounters counters;
    JdRandom random;
    JdMembers members;
    JdBalancer balancer;
} Choice;

static void
announce(JdMembers *ms, const char *id, uint64_t incarnation, uint64_t started,
         uint64_t target_left)
{
    Jd__Member msg = JD__MEMBER__INIT;

    msg.id = (char *)id;
    msg.incarnation = incarnation;
    msg.seq = 1;
    msg.state = JD_MEMBER_READY;
    msg.region = msg.domain = "d";
    msg.slots = 10;
    msg.service = msg.endpoint_set = "set";
    msg.target_started = started;
    msg.target_left = target_left;
    JdMembers_Update(ms, &msg, 0);
}

static void
begin_choice(Choice *ch)
{
    memset(ch, 0, sizeof(*ch));
    JdClock_Init(&ch->clock, NULL, NULL);
    JdClock_Advance(&ch->clock, NOW);
    JdRandom_Init(&ch->random, 3);
    JdMembers_Init(&ch->members, &ch->clock, &ch->counters);
    ch->balancer = (JdBalancer){
        &ch->members, &ch->clock, &ch->random, &ch->counters, "d", "d", NULL};
    announce(&ch->members, "a", 1, 100, 0);
    announce(&ch->members, "b", 1, 100, 0);
}

/* Returns how many of 100 requests are sent to a target. */
static unsigned
count_picks(Choice *ch, const char *id)
{
    unsigned n = 0;
    JdTier tier;

    for (int i = 0; i < 100; i++) {
        const JdMember *mb =
            JdBalancer_Pick(&ch->balancer, "set", NULL, 0, &tier);

        n += mb != NULL && strcmp(mb->id, id) == 0;
    }
    return n;
}

static void
test_limited_target_passed_by(void)
{
    JdLoadReport rep = {.has_notices = true,
                        .process = 100,
                        .rate_limit = 2000,
                        .limit_wait = JD_US_PER_S / 2};
    JdMember *mb;
    Choice ch;

    begin_choice(&ch);
    mb = JdMembers_Find(&ch.members, "a");
    JdBalancer_RecordAnswer(&ch.balancer, "a", 1, &rep);
    CU_ASSERT_EQUAL(JdBalancer_RateLimit(&ch.balancer, mb), 2000);
    CU_ASSERT_EQUAL(count_picks(&ch, "a"), 0);
    JdClock_Advance(&ch.clock, JD_US_PER_S / 2);
    CU_ASSERT_TRUE(count_picks(&ch, "a") > 0);
    /* It is known over a restart of the target's node. */
    announce(&ch.members, "a", 2, 100, 0);
    CU_ASSERT_EQUAL(JdBalancer_RateLimit(&ch.balancer, mb), 2000);
    /* Where all targets are limited, one is asked all the same. */
    JdBalancer_RecordFailure(&ch.balancer, "a", JD_REASON_RATE_LIMITED, &rep);
    JdBalancer_RecordFailure(&ch.balancer, "b", JD_REASON_RATE_LIMITED, &rep);
    CU_ASSERT_TRUE(count_picks(&ch, "a") > 0);
    CU_ASSERT_TRUE(count_picks(&ch, "b") > 0);
    JdMembers_Finish(&ch.members);
}

static void
test_left_target_stays_left(void)
{
    JdLoadReport rep = {
        .has_notices = true, .process = 100, .is_leaving = true};
    Choice ch;

    begin_choice(&ch);
    JdBalancer_RecordAnswer(&ch.balancer, "a", 1, &rep);
    CU_ASSERT_EQUAL(count_picks(&ch, "a"), 0);
    /* A node that has restarted does not know that its target left. */
    announce(&ch.members, "a", 2, 100, 0);
    CU_ASSERT_EQUAL(count_picks(&ch, "a"), 0);
    announce(&ch.members, "b", 2, 100, 100);
    announce(&ch.members, "b", 3, 100, 0);
    CU_ASSERT_EQUAL(count_picks(&ch, "b"), 0);
    /* An older process than the one that left says nothing of it. */
    announce(&ch.members, "b", 4, 100, 90);
    CU_ASSERT_EQUAL(count_picks(&ch, "b"), 0);
    announce(&ch.members, "b", 5, 200, 0);
    CU_ASSERT_EQUAL(count_picks(&ch, "b"), 100);
    JdMembers_Finish(&ch.members);
}

void
Unit_AddLimit(void)
{
    CU_pSuite s = CU_add_suite("limit", NULL, NULL);

    CU_add_test(s, "limit not exceeded", test_limit_not_exceeded);
    CU_add_test(s, "changing limit", test_changing_limit);
    CU_add_test(s, "priority", test_priority);
    CU_add_test(s, "parse rate", test_parse_rate);
    CU_add_test(s, "adopt", test_adopt);
    CU_add_test(s, "overtaken answer", test_overtaken_answer);
    CU_add_test(s, "limited target passed by", test_limited_target_passed_by);
    CU_add_test(s, "left target stays left", test_left_target_stays_left);
}

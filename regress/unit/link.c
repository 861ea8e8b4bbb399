/*
 * Room on a link: large responses beside small frames.  The link is played: it
 * sends what it was given in that order, at its bandwidth, so that each frame
 * waits for all that was given before it.
 */
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

#define TICK JD_US_PER_MS
#define RUN_TIME (20 * JD_US_PER_S)
#define SMALL_SIZE UINT64_C(5000)
#define LARGE_MEAN UINT64_C(90000)
#define WORK_TIME (110 * JD_US_PER_MS)
#define DEADLINE (3 * JD_US_PER_S)
#define GOAL (600 * JD_US_PER_MS)
#define LARGE_MAX 20000

typedef struct Large {
    JdLinkItem item;
    JdLinkClaim claim;
    uint64_t arrived_at;
    uint64_t due_at; /* the target's answer is there */
    size_t size;
    bool is_queued;
    bool is_over;
} Large;

/* Load on the link, in percent of its bandwidth. */
typedef struct Load {
    uint64_t kbps;
    unsigned small_percent;
    unsigned large_percent;
} Load;

typedef struct Play {
    JdClock clock;
    JdRandom random;
    JdPacer pacer;
    JdLinkQueue queue;
    JdLinkRoom room;
    JdLinkSize size;
    Load load;
    uint64_t busy_until;    /* the link has sent all that it was given */
    uint64_t waits[200000]; /* of the small frames */
    unsigned small;
    Large large[LARGE_MAX];
    unsigned count, first;
    unsigned refused, whole, in_goal;
    unsigned given_up; /* or whole after its deadline */
} Play;

static Play play;

static uint64_t
send_time(const Play *p, size_t bytes)
{
    return bytes * 8 * 1000 / p->load.kbps;
}

/* Gives bytes to the link, and returns when they have been sent. */
static uint64_t
give(Play *p, size_t bytes)
{
    uint64_t now = JdClock_Now(&p->clock);

    if (p->busy_until < now) {
        p->busy_until = now;
    }
    p->busy_until += send_time(p, bytes);
    return p->busy_until;
}

static void
send_small(Play *p)
{
    uint64_t now = JdClock_Now(&p->clock);

    JdPacer_ChargeSmall(&p->pacer, SMALL_SIZE);
    p->waits[p->small++] = give(p, SMALL_SIZE) - now;
}

static void
begin_large(Play *p)
{
    uint64_t now = JdClock_Now(&p->clock);
    Large *lg = &p->large[p->count];
    JdLinkNeed need = {JdLinkSize_Expected(&p->size), WORK_TIME, DEADLINE,
                       GOAL};

    if (!JdLinkRoom_Fits(&p->room, &need)) {
        uint64_t wait = JdLinkRoom_RetryAfter(&p->room, &need, &p->random);

        CU_ASSERT_TRUE(wait >= 100 * JD_US_PER_MS && wait <= 2 * JD_US_PER_S);
        p->refused++;
        return;
    }
    memset(lg, 0, sizeof(*lg));
    JdLinkRoom_Reserve(&p->room, &lg->claim, need.size);
    lg->arrived_at = now;
    lg->due_at = now + WORK_TIME;
    lg->size = LARGE_MEAN / 3 + JdRandom_Below(&p->random, LARGE_MEAN * 4 / 3);
    p->count++;
}

/* Queues the responses whose work has ended. */
static void
queue_due(Play *p)
{
    uint64_t now = JdClock_Now(&p->clock);

    for (unsigned i = p->first; i < p->count; i++) {
        Large *lg = &p->large[i];

        if (lg->is_queued || lg->due_at > now) {
            continue;
        }
        JdLinkRoom_Release(&p->room, &lg->claim);
        JdLinkSize_Add(&p->size, lg->size);
        lg->is_queued = true;
        lg->item.left = lg->size;
        lg->item.deadline = lg->arrived_at + DEADLINE;
        lg->item.soft_deadline = lg->arrived_at + GOAL;
        JdLinkQueue_Add(&p->queue, &lg->item);
    }
    while (p->first < p->count && p->large[p->first].is_over) {
        p->first++;
    }
}

static void
give_up_expired(Play *p)
{
    uint64_t now = JdClock_Now(&p->clock);
    JdLinkItem *it;

    while ((it = JdLinkQueue_Expired(&p->queue, now)) != NULL) {
        JdLinkQueue_Remove(&p->queue, it);
        ((Large *)it)->is_over = true;
        p->given_up++;
    }
}

static void
write_chunks(Play *p)
{
    JdLinkMoment moment = {JdClock_Now(&p->clock),
                           JdPacer_ChunkRate(&p->pacer)};
    JdLinkItem *it;

    give_up_expired(p);
    while (JdPacer_Wait(&p->pacer) == 0 &&
           (it = JdLinkQueue_Next(&p->queue, &moment, NULL, NULL)) != NULL) {
        Large *lg = (Large *)it;
        size_t n = JdPacer_ChunkSize(&p->pacer);
        uint64_t sent_at;

        n = n < it->left ? n : it->left;
        JdPacer_ChargeChunk(&p->pacer, n);
        sent_at = give(p, n);
        JdLinkQueue_Take(&p->queue, it, n);
        if (it->left == 0) {
            JdLinkQueue_Remove(&p->queue, it);
            lg->is_over = true;
            p->whole += sent_at <= lg->arrived_at + DEADLINE;
            p->given_up += sent_at > lg->arrived_at + DEADLINE;
            p->in_goal += sent_at <= lg->arrived_at + GOAL;
        }
    }
}

static void
start_play(const Load *load)
{
    Play *p = &play;

    memset(p, 0, sizeof(*p));
    JdClock_Init(&p->clock, NULL, NULL);
    JdRandom_Init(&p->random, 34);
    JdPacer_Init(&p->pacer, &p->clock, load->kbps);
    JdLinkQueue_Init(&p->queue);
    JdLinkRoom_Init(&p->room, &p->pacer, &p->queue);
    p->load = *load;
}

/* Draws the arrivals of one tick: each byte of the load comes in frames at
 * random times. */
static void
draw_arrivals(Play *p)
{
    uint64_t per_tick = p->load.kbps / 8 * TICK / JD_US_PER_MS;

    if (JdRandom_Below(&p->random, SMALL_SIZE * 100) <
        per_tick * p->load.small_percent) {
        send_small(p);
    }
    if (JdRandom_Below(&p->random, LARGE_MEAN * 100) <
        per_tick * p->load.large_percent) {
        begin_large(p);
    }
}

static void
run_play(uint64_t duration)
{
    Play *p = &play;

    for (uint64_t t = 0; t < duration; t += TICK) {
        JdClock_Advance(&p->clock, TICK);
        draw_arrivals(p);
        queue_due(p);
        write_chunks(p);
    }
}

static int
compare(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

/* Returns the time in us within which 99% of the small frames were sent. */
static uint64_t
small_p99(Play *p)
{
    qsort(p->waits, p->small, sizeof(p->waits[0]), compare);
    return p->waits[p->small * 99 / 100];
}

/* All of the link is asked for, by responses of uneven size at random times:
 * small frames wait for a few ms, and most large ones are whole in time. */
static void
test_full_link(void)
{
    Load load = {17000, 18, 72}; /* 90% of it are given out */

    start_play(&load);
    run_play(RUN_TIME);
    CU_ASSERT_TRUE(small_p99(&play) <= 10 * JD_US_PER_MS);
    CU_ASSERT_TRUE(play.whole >= 250);
    CU_ASSERT_TRUE(play.in_goal >= play.whole * 9 / 10);
    CU_ASSERT_TRUE(play.given_up <= play.whole / 100);
    CU_ASSERT_TRUE(play.refused <= play.whole / 7);
}

/* 130% of the link is asked for: what does not fit is refused at once, and
 * what is taken is whole in time. */
static void
test_overloaded_link(void)
{
    Load load = {17000, 18, 99};

    start_play(&load);
    run_play(RUN_TIME);
    CU_ASSERT_TRUE(small_p99(&play) <= 10 * JD_US_PER_MS);
    CU_ASSERT_TRUE(play.refused >= play.whole / 10);
    CU_ASSERT_TRUE(play.in_goal >= play.whole * 9 / 10);
    CU_ASSERT_TRUE(play.given_up <= play.whole / 50);
    /* The link is used: most of what small frames leave carries responses. */
    CU_ASSERT_TRUE(play.whole * LARGE_MEAN >=
                   load.kbps / 8 * 1000 * (RUN_TIME / JD_US_PER_S) * 65 / 100);
}

/* A link of 61 Mbit/s between regions with downloads. */
static void
test_region_link(void)
{
    Load load = {61000, 10, 120};

    start_play(&load);
    run_play(RUN_TIME);
    CU_ASSERT_TRUE(small_p99(&play) <= 5 * JD_US_PER_MS);
    CU_ASSERT_TRUE(play.refused > 0);
    CU_ASSERT_TRUE(play.given_up <= play.whole / 50);
}

/* A process that stood still writes no burst, and what came too late for its
 * caller is given up. */
static void
test_frozen(void)
{
    Load load = {17000, 0, 80};
    uint64_t before;

    start_play(&load);
    run_play(2 * JD_US_PER_S);
    JdClock_Advance(&play.clock, 2 * JD_US_PER_S);
    play.busy_until = JdClock_Now(&play.clock);
    before = play.busy_until;
    queue_due(&play);
    write_chunks(&play);
    CU_ASSERT_TRUE(play.busy_until - before <= 12 * JD_US_PER_MS);
    JdClock_Advance(&play.clock, DEADLINE);
    write_chunks(&play);
    CU_ASSERT_EQUAL(play.queue.count, 0);
    CU_ASSERT_EQUAL(play.queue.bytes, 0);
    CU_ASSERT_EQUAL(play.room.expected, 0);
}

static void
add_item(JdLinkItem *it, size_t bytes, uint64_t soft_deadline)
{
    memset(it, 0, sizeof(*it));
    it->left = bytes;
    it->soft_deadline = soft_deadline;
    it->deadline = soft_deadline + DEADLINE;
    JdLinkQueue_Add(&play.queue, it);
}

/* Responses of the same deadline take turns; one with an earlier deadline goes
 * first, unless it is late anyway; priority comes before the deadline. */
static void
test_turns(void)
{
    Load load = {17000, 0, 0};
    JdLinkMoment moment = {0, 2000000};
    JdLinkItem a, b, c, d, early, late, urgent;

    start_play(&load);
    add_item(&a, 50000, GOAL);
    add_item(&b, 50000, GOAL);
    for (int i = 0; i < 4; i++) {
        JdLinkItem *it = JdLinkQueue_Next(&play.queue, &moment, NULL, NULL);

        CU_ASSERT_PTR_EQUAL(it, i % 2 == 0 ? &a : &b);
        JdLinkQueue_Take(&play.queue, it, 10000);
    }
    /* With three begun, a fourth one of the same deadline waits. */
    add_item(&c, 50000, GOAL);
    JdLinkQueue_Take(&play.queue, &c, 10000);
    add_item(&d, 50000, GOAL);
    CU_ASSERT_PTR_EQUAL(JdLinkQueue_Next(&play.queue, &moment, NULL, NULL),
                        &a);
    add_item(&early, 50000, GOAL / 2);
    CU_ASSERT_PTR_EQUAL(JdLinkQueue_Next(&play.queue, &moment, NULL, NULL),
                        &early);
    add_item(&late, 500000, GOAL / 6);
    CU_ASSERT_PTR_EQUAL(JdLinkQueue_Next(&play.queue, &moment, NULL, NULL),
                        &early);
    early.priority = late.priority = 2;
    a.priority = b.priority = c.priority = d.priority = 2;
    add_item(&urgent, 50000, GOAL);
    urgent.priority = 1;
    CU_ASSERT_PTR_EQUAL(JdLinkQueue_Next(&play.queue, &moment, NULL, NULL),
                        &urgent);
}

/* A response that is not expected to be whole by its deadline goes behind all
 * others, is written when nothing else is, and is given up only when its
 * deadline has passed: its caller waits for it until then. */
static void
test_expected_late(void)
{
    Load load = {17000, 0, 0};
    JdLinkMoment moment = {0, 2000000};
    JdLinkItem hopeless, other;

    start_play(&load);
    add_item(&hopeless, 10000000, GOAL);
    add_item(&other, 50000, GOAL);
    hopeless.priority = 0;
    other.priority = 2;
    CU_ASSERT_TRUE(JdLinkItem_IsHopeless(&hopeless, &moment));
    CU_ASSERT_PTR_NULL(JdLinkQueue_Expired(&play.queue, moment.now));
    CU_ASSERT_PTR_EQUAL(JdLinkQueue_Next(&play.queue, &moment, NULL, NULL),
                        &other);
    JdLinkQueue_Remove(&play.queue, &other);
    CU_ASSERT_PTR_EQUAL(JdLinkQueue_Next(&play.queue, &moment, NULL, NULL),
                        &hopeless);
    moment.now = hopeless.deadline - 1;
    CU_ASSERT_PTR_NULL(JdLinkQueue_Expired(&play.queue, moment.now));
    moment.now = hopeless.deadline;
    CU_ASSERT_PTR_EQUAL(JdLinkQueue_Expired(&play.queue, moment.now),
                        &hopeless);
    JdLinkQueue_Remove(&play.queue, &hopeless);
    CU_ASSERT_PTR_NULL(JdLinkQueue_Expired(&play.queue, moment.now));
}

/* Begun responses that are not expected in time do not keep others from being
 * begun. */
static void
test_begun_late(void)
{
    Load load = {17000, 0, 0};
    JdLinkMoment moment = {0, 2000000};
    JdLinkItem hopeless[3], a, b;

    start_play(&load);
    for (int i = 0; i < 3; i++) {
        add_item(&hopeless[i], 10000000, GOAL);
        JdLinkQueue_Take(&play.queue, &hopeless[i], 10000);
    }
    add_item(&a, 50000, GOAL);
    JdLinkQueue_Take(&play.queue, &a, 10000);
    add_item(&b, 50000, GOAL);
    CU_ASSERT_PTR_EQUAL(JdLinkQueue_Next(&play.queue, &moment, NULL, NULL),
                        &b);
}

/* A response that goes behind all others takes no room from new requests, but
 * it takes memory. */
static void
test_room_before_late(void)
{
    Load load = {17000, 0, 0};
    JdLinkNeed need = {50000, WORK_TIME, DEADLINE, GOAL};
    JdLinkItem hopeless, other;
    uint64_t idle;

    start_play(&load);
    idle = JdLinkRoom_Wait(&play.room);
    add_item(&hopeless, 32U << 20, GOAL);
    CU_ASSERT_EQUAL(JdLinkRoom_Wait(&play.room), idle);
    CU_ASSERT_FALSE(JdLinkRoom_Fits(&play.room, &need));
    add_item(&other, 50000, GOAL);
    CU_ASSERT_TRUE(JdLinkRoom_Wait(&play.room) > idle);
    JdLinkQueue_Remove(&play.queue, &hopeless);
    CU_ASSERT_TRUE(JdLinkRoom_Fits(&play.room, &need));
}

/* A response whose caller leaves midway makes room at once. */
static void
test_cancelled(void)
{
    Load load = {17000, 0, 0};
    JdLinkMoment moment = {0, 2000000};
    JdLinkItem a, b;
    uint64_t wait;

    start_play(&load);
    add_item(&a, 500000, GOAL);
    add_item(&b, 50000, GOAL * 2);
    wait = JdLinkRoom_Wait(&play.room);
    JdLinkQueue_Take(&play.queue, &a, 10000);
    JdLinkQueue_Remove(&play.queue, &a);
    CU_ASSERT_EQUAL(play.queue.bytes, 50000);
    CU_ASSERT_TRUE(JdLinkRoom_Wait(&play.room) < wait / 5);
    CU_ASSERT_PTR_EQUAL(JdLinkQueue_Next(&play.queue, &moment, NULL, NULL),
                        &b);
}

static bool
blocks_all(void *ctx, const JdLinkItem *it)
{
    (void)ctx;
    (void)it;
    return true;
}

/* Nothing is taken from responses whose connections take no bytes, and an
 * unknown bandwidth paces nothing. */
static void
test_blocked_and_unknown(void)
{
    Load load = {17000, 0, 0};
    JdLinkMoment moment = {0, 2000000};
    JdLinkItem a;

    start_play(&load);
    add_item(&a, 50000, GOAL);
    CU_ASSERT_PTR_NULL(
        JdLinkQueue_Next(&play.queue, &moment, blocks_all, NULL));
    JdPacer_Init(&play.pacer, &play.clock, 0);
    JdPacer_ChargeSmall(&play.pacer, 1U << 20);
    CU_ASSERT_FALSE(JdPacer_IsOn(&play.pacer));
    CU_ASSERT_EQUAL(JdPacer_Wait(&play.pacer), 0);
}

/* Memory for large responses is bounded on a fast link, too. */
static void
test_memory(void)
{
    Load load = {10000000, 0, 0};
    JdLinkNeed need = {1U << 20, 0, 10 * JD_US_PER_S, 10 * JD_US_PER_S};
    JdLinkClaim claims[64];
    unsigned taken = 0;

    start_play(&load);
    while (taken < 64 && JdLinkRoom_Fits(&play.room, &need)) {
        JdLinkRoom_Reserve(&play.room, &claims[taken++], need.size);
    }
    CU_ASSERT_EQUAL(taken, 32);
    JdLinkRoom_Release(&play.room, &claims[0]);
    JdLinkRoom_Release(&play.room, &claims[0]);
    CU_ASSERT_EQUAL(play.room.expected, 31U << 20);
}

/* Of two targets, a large response is asked for where the link is free; small
 * ones do not look at links. */
static void
test_choice(void)
{
    JdMembers ms;
    JdCounters ctr = {{0}};
    JdRandom rnd;
    JdClock clk;
    JdBalancer lb = {.members = &ms,
                     .clock = &clk,
                     .random = &rnd,
                     .counters = &ctr,
                     .region = "near",
                     .domain = "d1"};
    JdLoadReport choked = {.service_time = 100000,
                           .link_wait = 2 * JD_US_PER_S};
    JdLoadReport free_link = {.service_time = 100000, .link_wait = 40000};
    unsigned at_choked[2] = {0, 0};
    JdTier tier;

    JdClock_Init(&clk, NULL, NULL);
    JdRandom_Init(&rnd, 7);
    JdMembers_Init(&ms, &clk, &ctr);
    for (int i = 0; i < 2; i++) {
        Jd__Member m = JD__MEMBER__INIT;

        m.id = i == 0 ? "choked" : "free";
        m.region = "near";
        m.domain = "d1";
        m.peer = "127.0.0.1:1";
        m.service = "s";
        m.endpoint_set = "set";
        m.state = JD_MEMBER_READY;
        m.slots = 9;
        m.incarnation = 1;
        JdMembers_Update(&ms, &m, 0);
    }
    JdClock_Advance(&clk, 60 * JD_US_PER_S);
    for (int large = 0; large < 2; large++) {
        for (int i = 0; i < 400; i++) {
            JdMember *mb;

            JdBalancer_RecordAnswer(&lb, "choked", 100000, &choked);
            JdBalancer_RecordAnswer(&lb, "free", 100000, &free_link);
            lb.counts_link = large;
            mb = JdBalancer_Pick(&lb, "set", NULL, 0, &tier);
            at_choked[large] += strcmp(mb->id, "choked") == 0;
        }
    }
    CU_ASSERT_TRUE(at_choked[0] >= 100);
    /* Both draws may be the same target. */
    CU_ASSERT_TRUE(at_choked[1] <= 140);
    JdMembers_Finish(&ms);
}

void
Unit_AddLink(void)
{
    CU_pSuite suite = CU_add_suite("link", NULL, NULL);

    CU_add_test(suite, "full link", test_full_link);
    CU_add_test(suite, "overloaded link", test_overloaded_link);
    CU_add_test(suite, "region link", test_region_link);
    CU_add_test(suite, "frozen", test_frozen);
    CU_add_test(suite, "turns", test_turns);
    CU_add_test(suite, "expected late", test_expected_late);
    CU_add_test(suite, "begun late", test_begun_late);
    CU_add_test(suite, "room before late", test_room_before_late);
    CU_add_test(suite, "cancelled", test_cancelled);
    CU_add_test(suite, "blocked", test_blocked_and_unknown);
    CU_add_test(suite, "memory", test_memory);
    CU_add_test(suite, "choice", test_choice);
}

/* Load balancing: many targets in a tier, targets across the paid link, and
 * what shows that a target is at work. */
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

#define TARGETS 1000U
#define PICKS_PER_TARGET 20U

/* A node that picks targets, in the region "near". */
typedef struct Sender {
    JdMembers members;
    JdCounters counters;
    JdRandom random;
    JdClock clock;
    JdBalancer balancer;
} Sender;

static void
init_sender(Sender *sd)
{
    memset(sd, 0, sizeof(*sd));
    JdClock_Init(&sd->clock, NULL, NULL);
    JdRandom_Init(&sd->random, 7);
    JdMembers_Init(&sd->members, &sd->clock, &sd->counters);
    sd->balancer.members = &sd->members;
    sd->balancer.clock = &sd->clock;
    sd->balancer.random = &sd->random;
    sd->balancer.counters = &sd->counters;
    sd->balancer.region = "near";
    sd->balancer.domain = "d1";
}

static void
add_target(JdMembers *ms, char *id, char *region)
{
    Jd__Member msg = JD__MEMBER__INIT;

    msg.id = id;
    msg.incarnation = 1;
    msg.seq = 1;
    msg.state = JD_MEMBER_READY;
    msg.region = region;
    msg.domain = "d1";
    msg.slots = 10;
    msg.service = msg.endpoint_set = "set";
    JdMembers_Update(ms, &msg, 0);
}

static void
add_targets(JdMembers *ms, unsigned n)
{
    char id[JD_NAME_MAX];

    for (unsigned i = 0; i < n; i++) {
        g_snprintf(id, sizeof(id), "t%u", i);
        add_target(ms, id, "near");
    }
}

/* All targets get requests, and none gets more than three times the mean. */
static void
test_many_targets(void)
{
    static unsigned count[TARGETS];
    Sender sd;
    JdTier tier;
    unsigned unused = 0, most = 0, picks = TARGETS * PICKS_PER_TARGET;

    memset(count, 0, sizeof(count));
    init_sender(&sd);
    add_targets(&sd.members, TARGETS);
    for (unsigned i = 0; i < picks; i++) {
        const JdMember *mb =
            JdBalancer_Pick(&sd.balancer, "set", NULL, 0, &tier);

        CU_ASSERT_PTR_NOT_NULL(mb);
        if (mb != NULL) {
            count[strtoul(mb->id + 1, NULL, 10)]++;
        }
    }
    for (unsigned i = 0; i < TARGETS; i++) {
        unused += count[i] == 0;
        most = count[i] > most ? count[i] : most;
    }
    CU_ASSERT_EQUAL(unused, 0);
    CU_ASSERT_TRUE(most <= 3 * PICKS_PER_TARGET);
    CU_ASSERT_EQUAL(sd.counters.value[JD_C_CANDIDATES_SAMPLED], picks);
    JdMembers_Finish(&sd.members);
}

/* Returns the id of the target that is picked for a request which the targets
 * `refused` have refused, "" for none. */
static const char *
pick_after(const JdBalancer *lb, char refused[][JD_NAME_MAX], unsigned count)
{
    JdExcludedTargets excluded = {refused, count, count, NULL};
    JdTier tier;
    const JdMember *mb = JdBalancer_Pick(lb, "set", &excluded, 0, &tier);

    return mb == NULL ? "" : mb->id;
}

/* A region whose only target is full: requests cross the paid link until the
 * target there refuses one as well, then one tries again after a second.
 * Without a target in the own region they cross it in any case. */
static void
test_far_target_full(void)
{
    char refused[1][JD_NAME_MAX] = {"near-1"};
    JdLoadReport report = {.load = 300};
    Sender sd;

    init_sender(&sd);
    JdClock_Advance(&sd.clock, JD_US_PER_S);
    add_target(&sd.members, "near-1", "near");
    add_target(&sd.members, "far-1", "far");
    CU_ASSERT_STRING_EQUAL(pick_after(&sd.balancer, refused, 1), "far-1");
    JdBalancer_RecordFailure(&sd.balancer, "far-1", JD_REASON_TOO_LATE,
                             &report);
    for (int i = 0; i < 100; i++) {
        CU_ASSERT_STRING_EQUAL(pick_after(&sd.balancer, refused, 1), "");
    }
    CU_ASSERT_STRING_EQUAL(pick_after(&sd.balancer, refused, 0), "near-1");
    JdMembers_Find(&sd.members, "near-1")->state = JD_MEMBER_DOWN;
    CU_ASSERT_STRING_EQUAL(pick_after(&sd.balancer, refused, 0), "far-1");
    JdMembers_Find(&sd.members, "near-1")->state = JD_MEMBER_READY;
    JdClock_Advance(&sd.clock, JD_US_PER_S);
    CU_ASSERT_STRING_EQUAL(pick_after(&sd.balancer, refused, 1), "far-1");
    JdMembers_Finish(&sd.members);
}

/* A target is at work if it has answered something since a request was sent to
 * it; refusals by its node do not show that. */
static void
test_answered_since(void)
{
    JdLoadReport report = {.load = 100};
    Sender sd;
    uint64_t sent_at = 2 * JD_US_PER_S;

    init_sender(&sd);
    JdClock_Advance(&sd.clock, JD_US_PER_S);
    add_target(&sd.members, "t0", "near");
    JdBalancer_RecordAnswer(&sd.balancer, "t0", 1000, &report);
    JdClock_Advance(&sd.clock, JD_US_PER_S);
    CU_ASSERT_FALSE(JdBalancer_HasAnsweredSince(&sd.balancer, "t0", sent_at));
    JdClock_Advance(&sd.clock, JD_US_PER_S);
    JdBalancer_RecordFailure(&sd.balancer, "t0", JD_REASON_TOO_LATE, &report);
    CU_ASSERT_FALSE(JdBalancer_HasAnsweredSince(&sd.balancer, "t0", sent_at));
    JdBalancer_RecordAnswer(&sd.balancer, "t0", 1000, &report);
    CU_ASSERT_TRUE(JdBalancer_HasAnsweredSince(&sd.balancer, "t0", sent_at));
    CU_ASSERT_FALSE(
        JdBalancer_HasAnsweredSince(&sd.balancer, "unknown", sent_at));
    JdMembers_Finish(&sd.members);
}

void
Unit_AddBalance(void)
{
    CU_pSuite s = CU_add_suite("balance", NULL, NULL);

    CU_add_test(s, "many targets", test_many_targets);
    CU_add_test(s, "far target full", test_far_target_full);
    CU_add_test(s, "answered since", test_answered_since);
}

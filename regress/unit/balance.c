/* Load balancing in a tier with more targets than one choice considers. */
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

#define TARGETS 1000U
#define PICKS_PER_TARGET 20U

static void
add_targets(JdMembers *ms, unsigned n)
{
    char id[JD_NAME_MAX];

    for (unsigned i = 0; i < n; i++) {
        Jd__Member msg = JD__MEMBER__INIT;

        g_snprintf(id, sizeof(id), "t%u", i);
        msg.id = id;
        msg.incarnation = 1;
        msg.seq = 1;
        msg.state = JD_MEMBER_READY;
        msg.region = "near";
        msg.domain = "d1";
        msg.slots = 10;
        msg.service = msg.endpoint_set = "set";
        JdMembers_Update(ms, &msg, 0);
    }
}

/* All targets get requests, and none gets more than three times the mean. */
static void
test_many_targets(void)
{
    static unsigned count[TARGETS];
    JdMembers ms;
    JdCounters ctr = {{0}};
    JdRandom rnd;
    JdClock clk;
    JdBalancer lb = {&ms, &clk, &rnd, &ctr, "near", "d1", NULL};
    JdTier tier;
    unsigned unused = 0, most = 0, picks = TARGETS * PICKS_PER_TARGET;

    memset(count, 0, sizeof(count));
    JdClock_Init(&clk, NULL, NULL);
    JdRandom_Init(&rnd, 7);
    JdMembers_Init(&ms, &clk, &ctr);
    add_targets(&ms, TARGETS);
    for (unsigned i = 0; i < picks; i++) {
        const JdMember *mb = JdBalancer_Pick(&lb, "set", NULL, 0, &tier);

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
    CU_ASSERT_EQUAL(ctr.value[JD_C_CANDIDATES_SAMPLED], picks);
    JdMembers_Finish(&ms);
}

void
Unit_AddBalance(void)
{
    CU_pSuite s = CU_add_suite("balance", NULL, NULL);

    CU_add_test(s, "many targets", test_many_targets);
}

/* How long requests wait for a node that starts. */
#include <CUnit/Basic.h>

#include "jacinthdyke.h"
#include "unit.h"

#define MS JD_US_PER_MS

static void
test_wait(void)
{
    uint64_t started = 50 * JD_US_PER_S;

    /* A caller with time enough waits until the node is ready as a rule. */
    CU_ASSERT_EQUAL(
        JdStartup_WaitUntil(started, started + 100 * MS, 10000 * MS),
        started + 800 * MS);
    /* Others for a part of theirs, so that they can still come back. */
    CU_ASSERT_EQUAL(
        JdStartup_WaitUntil(started, started + 100 * MS, 1200 * MS),
        started + 400 * MS);
    /* Later nobody waits. */
    CU_ASSERT_TRUE(JdStartup_WaitUntil(started, started + 900 * MS,
                                       9000 * MS) < started + 900 * MS);
}

static void
test_retry_after(void)
{
    uint64_t started = 50 * JD_US_PER_S;

    CU_ASSERT_EQUAL(JdStartup_RetryAfter(started, started + 300 * MS),
                    500 * MS);
    CU_ASSERT_EQUAL(JdStartup_RetryAfter(started, started + 790 * MS),
                    100 * MS);
    CU_ASSERT_EQUAL(JdStartup_RetryAfter(started, started + 5000 * MS),
                    300 * MS);
}

void
Unit_AddStart(void)
{
    CU_pSuite s = CU_add_suite("start", NULL, NULL);

    CU_add_test(s, "wait", test_wait);
    CU_add_test(s, "retry after", test_retry_after);
}

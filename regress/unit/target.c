/* State of the target next to a node, from its heartbeats. */
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

static JdHeartbeatResult
heartbeat(JdTarget *tg, const char *id, uint64_t started, uint64_t seq,
          bool is_draining)
{
    JdHeartbeat hb = {.started = started,
                      .seq = seq,
                      .slots = 4,
                      .is_draining = is_draining};

    g_strlcpy(hb.id, id, sizeof(hb.id));
    return JdTarget_Heartbeat(tg, &hb, 0);
}

static void
test_order(void)
{
    JdTarget tg = {.seq = 0};

    CU_ASSERT_EQUAL(heartbeat(&tg, "a", 100, 1, false), JD_HEARTBEAT_CHANGED);
    CU_ASSERT_EQUAL(heartbeat(&tg, "a", 100, 3, false),
                    JD_HEARTBEAT_UNCHANGED);
    CU_ASSERT_EQUAL(heartbeat(&tg, "a", 100, 2, true), JD_HEARTBEAT_STALE);
    CU_ASSERT_FALSE(tg.is_draining);
    CU_ASSERT_EQUAL(heartbeat(&tg, "a", 100, 4, true), JD_HEARTBEAT_CHANGED);
    /* Draining cannot be undone. */
    CU_ASSERT_EQUAL(heartbeat(&tg, "a", 100, 5, false),
                    JD_HEARTBEAT_UNCHANGED);
    CU_ASSERT_TRUE(tg.is_draining);
}

/* A late heartbeat of an ended process changes nothing. */
static void
test_ended(void)
{
    JdTarget tg = {.seq = 0};

    heartbeat(&tg, "a", 100, 9, false);
    CU_ASSERT_EQUAL(heartbeat(&tg, "b", 200, 1, false), JD_HEARTBEAT_CHANGED);
    CU_ASSERT_EQUAL(heartbeat(&tg, "a", 100, 10, false), JD_HEARTBEAT_STALE);
    CU_ASSERT_STRING_EQUAL(tg.id, "b");
    /* The same id with a later start time is a new process. */
    CU_ASSERT_EQUAL(heartbeat(&tg, "b", 300, 1, false), JD_HEARTBEAT_CHANGED);
    CU_ASSERT_EQUAL(tg.started, 300);
    CU_ASSERT_EQUAL(heartbeat(&tg, "b", 200, 7, true), JD_HEARTBEAT_STALE);
    CU_ASSERT_FALSE(tg.is_draining);
}

static void
test_deregister(void)
{
    JdTarget tg = {.seq = 0};

    heartbeat(&tg, "a", 100, 1, false);
    CU_ASSERT_FALSE(JdTarget_Deregister(&tg, "x", 0, 120));
    CU_ASSERT_TRUE(tg.is_alive);
    CU_ASSERT_TRUE(JdTarget_Deregister(&tg, "a", 100, 120));
    CU_ASSERT_FALSE(tg.is_alive);
    CU_ASSERT_EQUAL(heartbeat(&tg, "a", 100, 2, false), JD_HEARTBEAT_STALE);
    CU_ASSERT_FALSE(tg.is_alive);
    /* A departure is recorded even before the first heartbeat. */
    JdTarget_Deregister(&tg, "b", 0, 160);
    CU_ASSERT_EQUAL(heartbeat(&tg, "b", 150, 2, false), JD_HEARTBEAT_STALE);
    /* The same id with a later start time is a new process. */
    CU_ASSERT_EQUAL(heartbeat(&tg, "b", 170, 1, false), JD_HEARTBEAT_CHANGED);
    CU_ASSERT_TRUE(tg.is_alive);
    CU_ASSERT_EQUAL(heartbeat(&tg, "a", 200, 1, false), JD_HEARTBEAT_CHANGED);
    CU_ASSERT_TRUE(tg.is_alive);
}

/* A target that refuses connections is down until its next heartbeat. */
static void
test_mark_down(void)
{
    JdTarget tg = {.seq = 0};

    heartbeat(&tg, "a", 100, 1, false);
    JdTarget_MarkDown(&tg);
    CU_ASSERT_FALSE(tg.is_alive);
    CU_ASSERT_EQUAL(heartbeat(&tg, "a", 100, 1, false), JD_HEARTBEAT_STALE);
    CU_ASSERT_FALSE(tg.is_alive);
    CU_ASSERT_EQUAL(heartbeat(&tg, "a", 100, 2, false), JD_HEARTBEAT_CHANGED);
    CU_ASSERT_TRUE(tg.is_alive);
}

void
Unit_AddTarget(void)
{
    CU_pSuite s = CU_add_suite("target", NULL, NULL);

    CU_add_test(s, "order", test_order);
    CU_add_test(s, "ended", test_ended);
    CU_add_test(s, "deregister", test_deregister);
    CU_add_test(s, "mark down", test_mark_down);
}

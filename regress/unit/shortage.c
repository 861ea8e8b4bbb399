/*
 * Decisions when callers ask for more than the targets can do: who is served,
 * who waits and who is refused.  Loads are played on a paused clock.
 */
#include <math.h>
#include <string.h>

#include <CUnit/Basic.h>
#include <glib.h>

#include "jacinthdyke.h"
#include "unit.h"

/* ---- requests that use their time on the way --------------------------- */

/* The delay is measured against the fastest message, whatever the clocks of
 * the two nodes say. */
static void
test_transit(void)
{
    const uint64_t at[] = {1000, 4294967000, 17179869000};
    JdTransit tr;

    for (size_t i = 0; i < G_N_ELEMENTS(at); i++) {
        uint64_t sent = 5000 * JD_US_PER_MS, here = at[i] * JD_US_PER_MS;

        memset(&tr, 0, sizeof(tr));
        JdTransit_Record(&tr, JdTransit_Stamp(sent), here);
        /* 20 ms less on the way: this one was not delayed. */
        CU_ASSERT(JdTransit_Record(&tr, JdTransit_Stamp(sent + 100000),
                                   here + 80000) == 0);
        CU_ASSERT(JdTransit_Record(&tr, JdTransit_Stamp(sent + 200000),
                                   here + 580000) == 400000);
        CU_ASSERT(JdTransit_Record(&tr, 0, here + 900000) == 0);
    }
}

typedef struct Refusal {
    JdClock *clock;
    uint64_t at;
    JdReason reason;
} Refusal;

static void
ignore_start(void *ctx, JdWork *work)
{
}

static void
note_refusal(void *ctx, JdWork *work, JdReason reason)
{
    Refusal *rf = ctx;

    rf->at = JdClock_Now(rf->clock);
    rf->reason = reason;
}

/* One request runs on and on, another one waits behind it: it is refused once
 * it cannot end in time, so that the refusal reaches its caller before the
 * caller's own deadline, when it could only say that the outcome is unknown.
 */
static void
test_refused_before_deadline(void)
{
    static const JdAdmissionOps ops = {ignore_start, note_refusal};
    JdWork running = {.deadline = 9 * JD_US_PER_S,
                      .expected_time = 300 * JD_US_PER_MS};
    JdWork waiting = {.deadline = 1500 * JD_US_PER_MS,
                      .expected_time = 200 * JD_US_PER_MS};
    Refusal rf = {.at = 0};
    JdAdmission ad;
    JdClock clk;

    JdClock_Init(&clk, NULL, NULL);
    rf.clock = &clk;
    JdAdmission_Init(&ad, 1, 8, &clk, &ops, &rf);
    CU_ASSERT(JdAdmission_Offer(&ad, &running) == JD_REASON_NONE);
    CU_ASSERT(JdAdmission_Offer(&ad, &waiting) == JD_REASON_NONE);
    JdClock_Advance(&clk, 3 * JD_US_PER_S);
    CU_ASSERT(rf.reason == JD_REASON_TOO_LATE);
    CU_ASSERT(rf.at > 1250 * JD_US_PER_MS && rf.at < 1450 * JD_US_PER_MS);
    JdAdmission_Finish(&ad);
}

void
Unit_AddShortage(void)
{
    CU_pSuite s = CU_add_suite("shortage", NULL, NULL);

    CU_add_test(s, "transit", test_transit);
    CU_add_test(s, "refused before deadline", test_refused_before_deadline);
}

/*
 * Embeds the admission control of libjacinthdyke for a target with two slots
 * and a queue of one, on a paused clock.  The first two requests start and the
 * third is queued.  The fourth has a higher priority and takes its place, so
 * the third is refused; the fourth starts when the first one ends.
 *
 * Build: cc embed.c $(pkg-config --cflags --libs jacinthdyke)
 */
#include <stdio.h>

#include <jacinthdyke.h>

static void
on_start(void *ctx, JdWork *work)
{
    (void)ctx;
    printf("start, priority %u\n", work->priority);
}

static void
on_refuse(void *ctx, JdWork *work, JdReason reason)
{
    (void)ctx;
    printf("refuse, priority %u: %s\n", work->priority,
           JdReason_Info(reason)->name);
}

int
main(void)
{
    static const JdAdmissionOps ops = {on_start, on_refuse};
    JdWork work[4] = {
        {.priority = 2}, {.priority = 2}, {.priority = 2}, {.priority = 0}};
    JdClock clk;
    JdAdmission ad;

    JdClock_Init(&clk, NULL, NULL);
    JdAdmission_Init(&ad, 2, 1, &clk, &ops, NULL);
    for (int i = 0; i < 4; i++) {
        work[i].deadline = JdClock_Now(&clk) + JD_US_PER_S;
        JdAdmission_Offer(&ad, &work[i]);
    }
    JdClock_Advance(&clk, 100 * JD_US_PER_MS);
    JdAdmission_FreeSlot(&ad, &work[0], true);
    JdAdmission_Finish(&ad);
    return 0;
}

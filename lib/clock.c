/* Clocks, timers and a seeded random generator. */
#include <stdio.h>
#include <string.h>

#include "libjd.h"

/*
 * Initializes a clock.  With `read` NULL the clock is paused at 0 and only
 * JdClock_Advance moves it.
 */
void
JdClock_Init(JdClock *clk, uint64_t (*read)(void *ctx), void *ctx)
{
    clk->read = read;
    clk->ctx = ctx;
    clk->now = 0;
    TAILQ_INIT(&clk->timers);
}

/* Returns the current time in us.  It never goes back. */
uint64_t
JdClock_Now(JdClock *clk)
{
    uint64_t t;

    if (clk->read != NULL) {
        t = clk->read(clk->ctx);
        if (t > clk->now) {
            clk->now = t;
        }
    }
    return clk->now;
}

/* Moves a paused clock by `us` and fires each timer at its own time. */
void
JdClock_Advance(JdClock *clk, uint64_t us)
{
    uint64_t end = clk->now + us;
    JdTimer *tm;

    while ((tm = TAILQ_FIRST(&clk->timers)) != NULL && tm->due <= end) {
        if (tm->due > clk->now) {
            clk->now = tm->due;
        }
        JdTimer_Cancel(clk, tm);
        tm->fire(tm->ctx);
    }
    clk->now = end;
}

/* Returns the time until the next timer in us, `most` at the most. */
uint64_t
JdClock_UntilNext(JdClock *clk, uint64_t most)
{
    JdTimer *tm = TAILQ_FIRST(&clk->timers);
    uint64_t now = JdClock_Now(clk);

    if (tm == NULL || tm->due >= now + most) {
        return most;
    }
    return tm->due <= now ? 0 : tm->due - now;
}

/* Fires the timers that are due now.  Returns how many there were. */
unsigned
JdClock_RunDue(JdClock *clk)
{
    uint64_t now = JdClock_Now(clk);
    unsigned n = 0;
    JdTimer *tm;

    while ((tm = TAILQ_FIRST(&clk->timers)) != NULL && tm->due <= now) {
        JdTimer_Cancel(clk, tm);
        tm->fire(tm->ctx);
        n++;
    }
    return n;
}

/* Initializes a timer, which is not armed. */
void
JdTimer_Init(JdTimer *tm, JdTimerFn fire, void *ctx)
{
    memset(tm, 0, sizeof(*tm));
    tm->fire = fire;
    tm->ctx = ctx;
}

/* Arms a timer to fire once, `delay` us from now.  It replaces an earlier
 * arming. */
void
JdTimer_Arm(JdClock *clk, JdTimer *tm, uint64_t delay)
{
    JdTimer *at;

    JdTimer_Cancel(clk, tm);
    tm->due = JdClock_Now(clk) + delay;
    tm->is_armed = true;
    /* Most timers share a few durations, so the place is near the end. */
    TAILQ_FOREACH_REVERSE(at, &clk->timers, JdTimerHead, link)
    {
        if (at->due <= tm->due) {
            TAILQ_INSERT_AFTER(&clk->timers, at, tm, link);
            return;
        }
    }
    TAILQ_INSERT_HEAD(&clk->timers, tm, link);
}

/* Disarms a timer.  A timer that is not armed is left as it is. */
void
JdTimer_Cancel(JdClock *clk, JdTimer *tm)
{
    if (tm->is_armed) {
        TAILQ_REMOVE(&clk->timers, tm, link);
        tm->is_armed = false;
    }
}

/* Seeds a generator. */
void
JdRandom_Init(JdRandom *rnd, uint64_t seed)
{
    rnd->state = seed;
}

/* Returns a number below `bound`, which must not be 0. */
uint64_t
JdRandom_Below(JdRandom *rnd, uint64_t bound)
{
    /* splitmix64 */
    uint64_t z = (rnd->state += UINT64_C(0x9e3779b97f4a7c15));

    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return (z ^ (z >> 31)) % bound;
}

uint64_t
_Jd_Hash(const void *data, size_t len, uint64_t seed)
{
    const uint8_t *p = data;
    uint64_t h = UINT64_C(0xcbf29ce484222325) ^ seed;

    for (size_t i = 0; i < len; i++) {
        h = (h ^ p[i]) * UINT64_C(0x100000001b3);
    }
    /* A final mix, since short names differ in few bits. */
    h = (h ^ (h >> 32)) * UINT64_C(0x9e3779b97f4a7c15);
    return h ^ (h >> 29);
}

uint64_t
_Jd_HashText(const char *text, uint64_t seed)
{
    return _Jd_Hash(text, strlen(text), seed);
}

void
_Jd_CopyText(char *dst, size_t size, const char *src)
{
    snprintf(dst, size, "%s", src == NULL ? "" : src);
}

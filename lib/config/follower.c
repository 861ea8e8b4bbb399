/*
 * Follows a store that keeps the newest whole document under one key.  The
 * numbers of versions are the author's and may step unevenly.  A document that
 * cannot be read or is not valid is refused as a whole; the version in force
 * stays.
 */
#include <string.h>

#include "libjd.h"

/* Long poll for the next document. */
#define FOLLOW_WAIT (500 * JD_US_PER_MS)
/* Distance between two reads: a series of versions costs one read for all
 * that came meanwhile. */
#define READ_EVERY (200 * JD_US_PER_MS)
/* First and longest wait after a failure. */
#define BACKOFF_FIRST (50 * JD_US_PER_MS)
#define BACKOFF_MOST (500 * JD_US_PER_MS)

static void
ask(void *ctx)
{
    JdFollower *fl = ctx;

    fl->token++;
    fl->read_sent_at = JdClock_Now(fl->clock);
    fl->store->counters->value[JD_C_LOG_READS]++;
    if (fl->next_position == 0) {
        fl->ops->read_newest(fl->ctx, fl->token);
    }
    else {
        fl->ops->read_after(fl->ctx, fl->next_position, FOLLOW_WAIT,
                            fl->token);
    }
}

/* Initializes a follower that is off. */
void
JdFollower_Init(JdFollower *fl, JdStore *st, JdClock *clk,
                const JdFollowerOps *ops, void *ctx)
{
    memset(fl, 0, sizeof(*fl));
    fl->store = st;
    fl->clock = clk;
    fl->ops = ops;
    fl->ctx = ctx;
    JdTimer_Init(&fl->timer, ask, fl);
}

/* Starts reading.  A follower that already reads is left as it is. */
void
JdFollower_Start(JdFollower *fl)
{
    if (fl->is_running) {
        return;
    }
    fl->is_running = true;
    fl->failures = 0;
    /* What changed while it was off is in the newest document. */
    fl->next_position = 0;
    ask(fl);
}

/* Stops reading; an answer that is still on its way is ignored. */
void
JdFollower_Stop(JdFollower *fl)
{
    fl->is_running = false;
    fl->token++;
    JdTimer_Cancel(fl->clock, &fl->timer);
}

static void
on_failure(JdFollower *fl)
{
    uint64_t wait = BACKOFF_FIRST << (fl->failures < 4 ? fl->failures : 4);

    fl->failures++;
    fl->store->counters->value[JD_C_LOG_FAILURES]++;
    JdTimer_Arm(fl->clock, &fl->timer,
                wait < BACKOFF_MOST ? wait : BACKOFF_MOST);
}

static void
install(JdFollower *fl, const JdDocAnswer *snap)
{
    JdError err = {0};
    JdStatus s;

    if (snap->doc == NULL) {
        fl->store->counters->value[JD_C_BAD_RECORD]++;
        fl->ops->rejected(fl->ctx, snap->version, &snap->err);
        return;
    }
    s = JdStore_Install(fl->store, snap->doc, snap->version, &err);
    if (s == JD_OK) {
        fl->ops->installed(fl->ctx);
    }
    else if (s != JD_ERR_OLDER_VERSION) {
        fl->store->counters->value[JD_C_PATCHES_REFUSED_INVALID]++;
        fl->ops->rejected(fl->ctx, snap->version, &err);
    }
}

/* Takes the result of a read. */
void
JdFollower_HandleAnswer(JdFollower *fl, uint64_t token,
                        const JdDocAnswer *snap)
{
    uint64_t now = JdClock_Now(fl->clock);
    uint64_t due = fl->read_sent_at + READ_EVERY;

    if (!fl->is_running || token != fl->token) {
        return;
    }
    if (snap->status == JD_ERR_LOG_EXPIRED) {
        /* The records in between are gone; the newest one is not. */
        fl->store->counters->value[JD_C_LOG_EXPIRED]++;
        fl->next_position = 0;
        JdTimer_Arm(fl->clock, &fl->timer, due > now ? due - now : 0);
        return;
    }
    if (snap->status != JD_OK) {
        fl->next_position = 0;
        on_failure(fl);
        return;
    }
    fl->failures = 0;
    fl->next_position = snap->next_position;
    if (snap->is_changed) {
        install(fl, snap);
    }
    JdTimer_Arm(fl->clock, &fl->timer, due > now ? due - now : 0);
}

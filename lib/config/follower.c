/*
 * Follows an external store that keeps the newest complete document under one
 * key.  The author of the document numbers the versions, so numbers may be
 * skipped.  A document that cannot be parsed or is invalid is rejected and the
 * current version is kept.
 *
 * The store may be restored from an older copy, which starts a new epoch and
 * assigns positions again.  A position is therefore valid only in the epoch in
 * which it was read.  The version in force is kept until the store has a newer
 * one.
 */
#include <string.h>

#include "libjd.h"

/* Long-poll timeout of a read for the next document. */
#define LONG_POLL_WAIT (500 * JD_US_PER_MS)
/* Minimum interval between the starts of two reads while reads succeed, so
 * that one read covers all versions published in quick succession. */
#define READ_INTERVAL (200 * JD_US_PER_MS)
/* Delays before a failed read is retried; they double up to the maximum. */
#define BACKOFF_MIN (50 * JD_US_PER_MS)
#define BACKOFF_MAX (500 * JD_US_PER_MS)

/* Reads the newest document, or what follows the last position read. */
static void
send_read(void *ctx)
{
    JdFollower *fl = ctx;

    fl->token++;
    fl->read_sent_at = JdClock_Now(fl->clock);
    fl->store->counters->value[JD_C_LOG_READS]++;
    if (fl->next_position == 0) {
        fl->ops->read_newest(fl->ctx, fl->token);
    }
    else {
        fl->ops->read_after(fl->ctx, fl->next_position, LONG_POLL_WAIT,
                            fl->token);
    }
}

/* Initializes a follower; JdFollower_Start starts it. */
void
JdFollower_Init(JdFollower *fl, JdStore *st, JdClock *clk,
                const JdFollowerOps *ops, void *ctx)
{
    memset(fl, 0, sizeof(*fl));
    fl->store = st;
    fl->clock = clk;
    fl->ops = ops;
    fl->ctx = ctx;
    JdTimer_Init(&fl->timer, send_read, fl);
}

/* Starts reading.  Does nothing if the follower is already running. */
void
JdFollower_Start(JdFollower *fl)
{
    if (fl->is_running) {
        return;
    }
    fl->is_running = true;
    fl->failures = 0;
    /* The newest document includes all changes made since the last stop. */
    fl->next_position = 0;
    send_read(fl);
}

/* Stops reading.  The answer to an outstanding read will be ignored. */
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
    uint64_t wait = BACKOFF_MIN << (fl->failures < 4 ? fl->failures : 4);

    fl->failures++;
    fl->store->counters->value[JD_C_LOG_FAILURES]++;
    JdTimer_Arm(fl->clock, &fl->timer,
                wait < BACKOFF_MAX ? wait : BACKOFF_MAX);
}

static void
install(JdFollower *fl, const JdDocAnswer *ans)
{
    JdError err = {0};
    JdStatus s;

    if (ans->doc == NULL) {
        fl->store->counters->value[JD_C_BAD_RECORD]++;
        fl->ops->rejected(fl->ctx, ans->version, &ans->err);
        return;
    }
    s = JdStore_Install(fl->store, ans->doc, ans->version, &err);
    if (s == JD_OK) {
        fl->ops->installed(fl->ctx);
    }
    else if (s != JD_ERR_OLDER_VERSION) {
        fl->store->counters->value[JD_C_PATCHES_REFUSED_INVALID]++;
        fl->ops->rejected(fl->ctx, ans->version, &err);
    }
}

/* Schedules the next read, READ_INTERVAL after the start of the last one. */
static void
schedule_read(JdFollower *fl)
{
    uint64_t now = JdClock_Now(fl->clock);
    uint64_t at = fl->read_sent_at + READ_INTERVAL;

    JdTimer_Arm(fl->clock, &fl->timer, at > now ? at - now : 0);
}

/*
 * Handles the result of the read with this token.  Results of any read but the
 * last are ignored.
 */
void
JdFollower_HandleAnswer(JdFollower *fl, uint64_t token, const JdDocAnswer *ans)
{
    bool is_position_stale = fl->next_position != 0 && ans->epoch != fl->epoch;

    if (!fl->is_running || token != fl->token) {
        return;
    }
    if (ans->status == JD_ERR_LOG_EXPIRED) {
        /* Only intermediate documents have expired; the newest remains. */
        fl->store->counters->value[JD_C_LOG_EXPIRED]++;
        fl->next_position = 0;
        schedule_read(fl);
        return;
    }
    if (ans->status != JD_OK) {
        fl->next_position = 0;
        on_failure(fl);
        return;
    }
    fl->failures = 0;
    fl->epoch = ans->epoch;
    /* After a restore, documents before the position read from may be new. */
    fl->next_position = is_position_stale ? 0 : ans->next_position;
    if (ans->is_changed) {
        install(fl, ans);
    }
    schedule_read(fl);
}

/*
 * Reader of the config stream.  A store without state is first restored from
 * the newest checkpoint; the records that follow are replayed in offset order.
 */
#include <string.h>

#include "libjd.h"

/* Maximum number of records requested by one read. */
#define RECORDS_PER_READ_MAX 512
/* Long-poll timeout of reads of the config stream. */
#define LONG_POLL_WAIT JD_US_PER_S
/* Delays before a failed read is retried; they double up to the maximum. */
#define BACKOFF_MIN (100 * JD_US_PER_MS)
#define BACKOFF_MAX (1000 * JD_US_PER_MS)
/* Delay before looking again for a usable checkpoint. */
#define EXPIRED_RETRY_WAIT (2 * JD_US_PER_S)

static const char *const stream_names[JD_STREAM_MAX] = {
    [JD_STREAM_CONFIG] = "config",
    [JD_STREAM_CHECKPOINTS] = "checkpoints",
    [JD_STREAM_DIRECTORY] = "directory",
};

/* Returns the name under which the log keeps a stream. */
const char *
JdStream_Name(JdStream stream)
{
    return stream < JD_STREAM_MAX ? stream_names[stream] : "?";
}

/*
 * Sends the read that belongs to `state`.  Its new token makes the answer to
 * any earlier read stale.
 */
static void
send_read(JdReader *rd, JdReaderState state)
{
    rd->state = state;
    rd->token++;
    rd->store->counters->value[JD_C_LOG_READS]++;
    switch (state) {
    case JD_READER_FIND_CHECKPOINT:
        rd->ops->read(rd->ctx, JD_STREAM_CHECKPOINTS, 0, 0, 0, rd->token);
        break;
    case JD_READER_READ_CHECKPOINT:
        rd->ops->read(rd->ctx, JD_STREAM_CHECKPOINTS, rd->checkpoint_end - 1,
                      1, 0, rd->token);
        break;
    default:
        rd->ops->read(rd->ctx, JD_STREAM_CONFIG, rd->store->next_offset,
                      RECORDS_PER_READ_MAX,
                      rd->is_caught_up ? rd->long_poll_wait : 0, rd->token);
        break;
    }
}

static void
start_reading(void *ctx)
{
    JdReader *rd = ctx;
    bool is_empty = rd->store->next_offset == 0;

    send_read(rd, is_empty ? JD_READER_FIND_CHECKPOINT : JD_READER_FOLLOW);
}

/* Initializes a reader; JdReader_Start starts it. */
void
JdReader_Init(JdReader *rd, JdStore *st, JdClock *clk, const JdReaderOps *ops,
              void *ctx)
{
    memset(rd, 0, sizeof(*rd));
    rd->store = st;
    rd->clock = clk;
    rd->ops = ops;
    rd->ctx = ctx;
    rd->long_poll_wait = LONG_POLL_WAIT;
    JdTimer_Init(&rd->retry_timer, start_reading, rd);
}

/* Finalizes a reader.  The store is not released. */
void
JdReader_Finish(JdReader *rd)
{
    JdReader_Stop(rd);
}

/* Starts reading.  Does nothing if the reader is already running. */
void
JdReader_Start(JdReader *rd)
{
    if (rd->state != JD_READER_OFF) {
        return;
    }
    rd->is_caught_up = false;
    rd->failures = 0;
    start_reading(rd);
}

/* Stops reading.  The answer to an outstanding read will be ignored. */
void
JdReader_Stop(JdReader *rd)
{
    rd->state = JD_READER_OFF;
    rd->token++;
    JdTimer_Cancel(rd->clock, &rd->retry_timer);
}

static void
back_off(JdReader *rd, uint64_t wait)
{
    rd->state = JD_READER_BACKOFF;
    JdTimer_Arm(rd->clock, &rd->retry_timer, wait);
}

static void
on_failure(JdReader *rd)
{
    uint64_t wait = BACKOFF_MIN << (rd->failures < 4 ? rd->failures : 4);

    rd->failures++;
    rd->store->counters->value[JD_C_LOG_FAILURES]++;
    back_off(rd, wait < BACKOFF_MAX ? wait : BACKOFF_MAX);
}

/*
 * Handles the expiry of the records to be read next: looks for a newer
 * checkpoint.  If one was already tried, sets `is_expired` and retries later.
 */
static void
on_expired(JdReader *rd)
{
    rd->store->counters->value[JD_C_LOG_EXPIRED]++;
    if (rd->has_tried_checkpoint) {
        rd->is_expired = true;
        rd->has_tried_checkpoint = false;
        back_off(rd, EXPIRED_RETRY_WAIT);
        return;
    }
    send_read(rd, JD_READER_FIND_CHECKPOINT);
}

/* Handles the end offset of the checkpoint stream. */
static void
on_checkpoint_end(JdReader *rd, const JdLogAnswer *ans)
{
    rd->has_tried_checkpoint = true;
    if (ans->next_offset == 0 || ans->next_offset <= ans->first_offset) {
        send_read(rd, JD_READER_FOLLOW);
        return;
    }
    rd->checkpoint_end = ans->next_offset;
    send_read(rd, JD_READER_READ_CHECKPOINT);
}

/* Restores the checkpoint; a bad one is counted and otherwise ignored. */
static void
on_checkpoint(JdReader *rd, const JdLogAnswer *ans)
{
    JdError err;
    JdStatus s;

    if (ans->record_count > 0) {
        s = JdStore_Restore(rd->store, ans->record[0].text, ans->record[0].len,
                            &err);
        if (s != JD_OK && s != JD_ERR_OLDER_VERSION) {
            rd->store->counters->value[JD_C_BAD_RECORD]++;
        }
    }
    send_read(rd, JD_READER_FOLLOW);
}

/*
 * Replays records of the config stream and sends the next read.  Stops if the
 * store halts, and returns early if a callback stopped or restarted the
 * reader, which changes the token.
 */
static void
on_records(JdReader *rd, const JdLogAnswer *ans)
{
    uint64_t token = rd->token;

    rd->has_tried_checkpoint = false;
    rd->is_expired = false;
    for (size_t i = 0; i < ans->record_count; i++) {
        const JdRecord *rec = &ans->record[i];
        JdReplayResult out;

        if (rec->offset < rd->store->next_offset) {
            continue;
        }
        if (JdStore_Replay(rd->store, rec->offset, rec->text, rec->len,
                           &out) != JD_OK) {
            JdReader_Stop(rd);
            return;
        }
        rd->ops->replayed(rd->ctx, rec, &out);
        if (rd->token != token) {
            return;
        }
    }
    if (rd->store->next_offset >= ans->next_offset) {
        rd->is_caught_up = true;
        rd->ops->caught_up(rd->ctx);
        if (rd->token != token) {
            return;
        }
    }
    send_read(rd, JD_READER_FOLLOW);
}

/*
 * Handles the answer to the read with this token.  Answers to any read but the
 * last are ignored.
 */
void
JdReader_HandleAnswer(JdReader *rd, uint64_t token, const JdLogAnswer *ans)
{
    if (token != rd->token || rd->state == JD_READER_OFF ||
        rd->state == JD_READER_BACKOFF) {
        return;
    }
    if (ans->status == JD_ERR_LOG_EXPIRED && rd->state == JD_READER_FOLLOW) {
        rd->answered_at = JdClock_Now(rd->clock);
        on_expired(rd);
        return;
    }
    if (ans->status != JD_OK && ans->status != JD_ERR_LOG_EXPIRED) {
        on_failure(rd);
        return;
    }
    rd->failures = 0;
    rd->answered_at = JdClock_Now(rd->clock);
    switch (rd->state) {
    case JD_READER_FIND_CHECKPOINT:
        on_checkpoint_end(rd, ans);
        break;
    case JD_READER_READ_CHECKPOINT:
        on_checkpoint(rd, ans);
        break;
    default:
        on_records(rd, ans);
        break;
    }
}

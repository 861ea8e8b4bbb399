/* Reader of the config stream: checkpoint, then records in offset order. */
#include <string.h>

#include "libjd.h"

/* Most records in one read. */
#define READ_MOST 512
/* Long poll on the config stream. */
#define FOLLOW_WAIT JD_US_PER_S
/* First and longest wait after a failure. */
#define BACKOFF_FIRST (100 * JD_US_PER_MS)
#define BACKOFF_MOST (1000 * JD_US_PER_MS)
/* Wait before the log is asked again for a checkpoint that is usable. */
#define EXPIRED_WAIT (2 * JD_US_PER_S)

static const char *const stream_names[JD_STREAM_MAX] = {
    [JD_STREAM_CONFIG] = "config",
    [JD_STREAM_CHECKPOINTS] = "checkpoints",
    [JD_STREAM_DIRECTORY] = "directory",
};

/* Returns the name of a stream on the log. */
const char *
JdStream_Name(JdStream stream)
{
    return stream < JD_STREAM_MAX ? stream_names[stream] : "?";
}

static void
ask(JdReader *rd, JdReaderState state)
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
                      READ_MOST, rd->is_caught_up ? rd->long_poll_wait : 0,
                      rd->token);
        break;
    }
}

static void
begin(void *ctx)
{
    JdReader *rd = ctx;
    bool is_new = rd->store->next_offset == 0;

    ask(rd, is_new ? JD_READER_FIND_CHECKPOINT : JD_READER_FOLLOW);
}

/* Initializes a reader that is off. */
void
JdReader_Init(JdReader *rd, JdStore *st, JdClock *clk, const JdReaderOps *ops,
              void *ctx)
{
    memset(rd, 0, sizeof(*rd));
    rd->store = st;
    rd->clock = clk;
    rd->ops = ops;
    rd->ctx = ctx;
    rd->long_poll_wait = FOLLOW_WAIT;
    JdTimer_Init(&rd->retry_timer, begin, rd);
}

/* Stops a reader for good. */
void
JdReader_Finish(JdReader *rd)
{
    JdReader_Stop(rd);
}

/* Starts reading.  A reader that already runs is left as it is. */
void
JdReader_Start(JdReader *rd)
{
    if (rd->state != JD_READER_OFF) {
        return;
    }
    rd->is_caught_up = false;
    rd->failures = 0;
    begin(rd);
}

/* Stops reading; an answer that is still on its way is ignored. */
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
    uint64_t wait = BACKOFF_FIRST << (rd->failures < 4 ? rd->failures : 4);

    rd->failures++;
    rd->store->counters->value[JD_C_LOG_FAILURES]++;
    back_off(rd, wait < BACKOFF_MOST ? wait : BACKOFF_MOST);
}

/* The log no longer has the records that this reader needs next. */
static void
on_expired(JdReader *rd)
{
    rd->store->counters->value[JD_C_LOG_EXPIRED]++;
    if (rd->has_tried_checkpoint) {
        rd->is_expired = true;
        rd->has_tried_checkpoint = false;
        back_off(rd, EXPIRED_WAIT);
        return;
    }
    ask(rd, JD_READER_FIND_CHECKPOINT);
}

static void
on_tail(JdReader *rd, const JdLogAnswer *ans)
{
    rd->has_tried_checkpoint = true;
    if (ans->next_offset == 0 || ans->next_offset <= ans->first_offset) {
        ask(rd, JD_READER_FOLLOW);
        return;
    }
    rd->checkpoint_end = ans->next_offset;
    ask(rd, JD_READER_READ_CHECKPOINT);
}

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
    ask(rd, JD_READER_FOLLOW);
}

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
    ask(rd, JD_READER_FOLLOW);
}

/* Takes the answer to the read with this token; others are ignored. */
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
        on_tail(rd, ans);
        break;
    case JD_READER_READ_CHECKPOINT:
        on_checkpoint(rd, ans);
        break;
    default:
        on_records(rd, ans);
        break;
    }
}

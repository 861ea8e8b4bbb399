/* Reader of the config stream.  Include jacinthdyke.h instead of this file. */
#ifndef JACINTHDYKE_READER_H
#define JACINTHDYKE_READER_H

/* The streams that the system keeps on the log. */
typedef enum JdStream {
    JD_STREAM_CONFIG,
    JD_STREAM_CHECKPOINTS,
    JD_STREAM_DIRECTORY,
    JD_STREAM_MAX
} JdStream;

const char *JdStream_Name(JdStream stream);

/* One record of a stream; the text belongs to the answer. */
typedef struct JdRecord {
    uint64_t offset;
    uint64_t logged_at; /* us of the log's wall clock */
    const char *text;
    size_t len;
} JdRecord;

/* The log's answer to one read. */
typedef struct JdLogAnswer {
    JdStatus status;       /* JD_OK, JD_ERR_EXPIRED or JD_ERR_UNREACHABLE */
    uint64_t first_offset; /* oldest offset that is kept */
    uint64_t next_offset;  /* offset of the next append */
    const JdRecord *record;
    size_t record_count;
} JdLogAnswer;

typedef struct JdReaderOps {
    /* Sends one read.  JdReader_Answer takes its result with the token. */
    void (*read)(void *ctx, JdStream stream, uint64_t from, unsigned most,
                 uint64_t wait, uint64_t token);
    /* One record of the config stream was decided. */
    void (*replayed)(void *ctx, const JdRecord *rec,
                     const JdReplayResult *out);
    /* All that the log held when it answered has been read. */
    void (*caught_up)(void *ctx);
} JdReaderOps;

typedef enum JdReaderState {
    JD_READER_OFF,
    JD_READER_FIND_CHECKPOINT, /* asks where the checkpoint stream ends */
    JD_READER_READ_CHECKPOINT, /* reads the newest checkpoint */
    JD_READER_FOLLOW,          /* follows the config stream */
    JD_READER_BACKOFF,         /* waits after a failure */
    JD_READER_STATE_MAX
} JdReaderState;

/*
 * Follows the config stream into a store.  A reader that starts from nothing,
 * or that the log expired past, begins with the newest checkpoint.
 */
typedef struct JdReader {
    JdReaderState state;
    JdStore *store;
    JdClock *clock;
    const JdReaderOps *ops;
    void *ctx;
    JdTimer retry_timer;
    uint64_t token;
    uint64_t long_poll_wait; /* us, long poll */
    uint64_t answered_at;    /* time of the last good answer */
    uint64_t checkpoint_end; /* offset after the newest checkpoint */
    unsigned failures;       /* in a row */
    bool is_caught_up;
    bool is_expired;           /* the log expired past this reader */
    bool has_tried_checkpoint; /* a checkpoint was tried since the last good
                                  read */
} JdReader;

void JdReader_Init(JdReader *rd, JdStore *st, JdClock *clk,
                   const JdReaderOps *ops, void *ctx);
void JdReader_Finish(JdReader *rd);
void JdReader_Start(JdReader *rd);
void JdReader_Stop(JdReader *rd);
void JdReader_HandleAnswer(JdReader *rd, uint64_t token,
                           const JdLogAnswer *ans);

/* ---- follower.c: a store that keeps the newest whole document ---------- */

/* What one read of the document gave. */
typedef struct JdDocAnswer {
    JdStatus status; /* JD_OK, JD_ERR_EXPIRED, or why there is no answer */
    uint64_t
        next_position; /* position after what was read, never 0 with JD_OK */
    bool is_changed;   /* a document came with it */
    uint64_t version;
    const json_t *doc; /* NULL: the document could not be read */
    JdError err;       /* why not */
} JdDocAnswer;

typedef struct JdFollowerOps {
    /* Both send one read; JdFollower_Answer takes its result. */
    void (*read_newest)(void *ctx, uint64_t token);
    void (*read_after)(void *ctx, uint64_t next, uint64_t wait,
                       uint64_t token);
    /* A newer version came into force. */
    void (*installed)(void *ctx);
    /* A document was refused; `version` is 0 when it has none. */
    void (*rejected)(void *ctx, uint64_t version, const JdError *err);
} JdFollowerOps;

typedef struct JdFollower {
    JdStore *store;
    JdClock *clock;
    const JdFollowerOps *ops;
    void *ctx;
    JdTimer timer;
    uint64_t token;
    uint64_t next_position; /* position to read on from, 0: read the newest */
    uint64_t read_sent_at;
    unsigned failures; /* in a row */
    bool is_running;
} JdFollower;

void JdFollower_Init(JdFollower *fl, JdStore *st, JdClock *clk,
                     const JdFollowerOps *ops, void *ctx);
void JdFollower_Start(JdFollower *fl);
void JdFollower_Stop(JdFollower *fl);
void JdFollower_HandleAnswer(JdFollower *fl, uint64_t token,
                             const JdDocAnswer *snap);

#endif

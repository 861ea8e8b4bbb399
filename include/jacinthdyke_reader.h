/* Readers of the log and of an external document store.  Include
 * jacinthdyke.h instead of this file. */
#ifndef JACINTHDYKE_READER_H
#define JACINTHDYKE_READER_H

/* The streams of the log. */
typedef enum JdStream {
    JD_STREAM_CONFIG,      /* configuration patches */
    JD_STREAM_CHECKPOINTS, /* snapshots of the configuration */
    JD_STREAM_DIRECTORY,   /* nodes that are or were domain heads */
    JD_STREAM_MAX
} JdStream;

const char *JdStream_Name(JdStream stream);

/* One record of a stream; the text belongs to the answer. */
typedef struct JdRecord {
    uint64_t offset;
    uint64_t logged_at; /* wall-clock time of the log, us */
    const char *text;
    size_t len;
} JdRecord;

/* The answer of the log to one read. */
typedef struct JdLogAnswer {
    /* JD_OK, JD_ERR_LOG_EXPIRED or JD_ERR_UNREACHABLE */
    JdStatus status;
    uint64_t epoch;        /* rises when the log is restored from an older
                              copy; 0: the log has none */
    uint64_t first_offset; /* oldest offset still stored */
    uint64_t next_offset;  /* offset that the next append will get */
    const JdRecord *record;
    size_t record_count;
} JdLogAnswer;

/* Callbacks of a JdReader. */
typedef struct JdReaderOps {
    /*
     * Requests up to `max` records from offset `from` on.  If there are none
     * yet, the log may delay its answer by up to `wait` us.  The caller passes
     * the answer to JdReader_HandleAnswer with the same token.
     */
    void (*read)(void *ctx, JdStream stream, uint64_t from, unsigned max,
                 uint64_t wait, uint64_t token);
    /* A record of the config stream was replayed. */
    void (*replayed)(void *ctx, const JdRecord *rec,
                     const JdReplayResult *out);
    /* All records that the log held when it answered have been replayed. */
    void (*caught_up)(void *ctx);
} JdReaderOps;

typedef enum JdReaderState {
    JD_READER_OFF,
    JD_READER_FIND_CHECKPOINT, /* reading the checkpoint stream's end */
    JD_READER_READ_CHECKPOINT, /* reading the newest checkpoint */
    JD_READER_FOLLOW,          /* following the config stream */
    JD_READER_BACKOFF,         /* waiting before a retry */
    JD_READER_STATE_MAX
} JdReaderState;

/*
 * Follows the config stream and replays it into a store.  It starts from the
 * newest checkpoint if the store is empty or if the log has expired the
 * records that the store needs next.
 */
typedef struct JdReader {
    JdReaderState state;
    JdStore *store;
    JdClock *clock;
    const JdReaderOps *ops;
    void *ctx;
    JdTimer retry_timer;
    uint64_t token; /* of the last read; answers to others are ignored */
    uint64_t long_poll_wait; /* us */
    uint64_t answered_at;    /* time of the last successful answer */
    uint64_t checkpoint_end; /* offset after the newest checkpoint */
    unsigned failures;       /* consecutive failed reads */
    bool is_caught_up;
    bool is_expired; /* records expired and no checkpoint replaces them */
    /* A checkpoint was tried since records were last read. */
    bool has_tried_checkpoint;
} JdReader;

void JdReader_Init(JdReader *rd, JdStore *st, JdClock *clk,
                   const JdReaderOps *ops, void *ctx);
void JdReader_Finish(JdReader *rd);
void JdReader_Start(JdReader *rd);
void JdReader_Stop(JdReader *rd);
void JdReader_HandleAnswer(JdReader *rd, uint64_t token,
                           const JdLogAnswer *ans);

/* ---- follower.c: external store of the newest document ----------------- */

/* The result of one read of the document. */
typedef struct JdDocAnswer {
    JdStatus status; /* JD_OK, JD_ERR_LOG_EXPIRED, or why the read failed */
    uint64_t epoch;  /* rises when the store is restored from an older
                        copy; 0: the store has none */
    uint64_t next_position; /* position to read on from; never 0 with JD_OK */
    bool is_changed;        /* the answer contains a document */
    uint64_t version;
    const json_t *doc; /* NULL: the document could not be parsed */
    JdError err;       /* why it could not be parsed */
} JdDocAnswer;

/* Callbacks of a JdFollower. */
typedef struct JdFollowerOps {
    /*
     * Both request one read, whose result the caller passes to
     * JdFollower_HandleAnswer with the same token.  read_after asks for a
     * document newer than position `next`, which may take up to `wait` us to
     * arrive.
     */
    void (*read_newest)(void *ctx, uint64_t token);
    void (*read_after)(void *ctx, uint64_t next, uint64_t wait,
                       uint64_t token);
    /* A newer version became the current one. */
    void (*installed)(void *ctx);
    /* A document was rejected; `version` is 0 if it has none. */
    void (*rejected)(void *ctx, uint64_t version, const JdError *err);
} JdFollowerOps;

/* Follows an external store that keeps the newest complete document. */
typedef struct JdFollower {
    JdStore *store;
    JdClock *clock;
    const JdFollowerOps *ops;
    void *ctx;
    JdTimer timer;
    uint64_t token; /* of the last read; results of others are ignored */
    uint64_t epoch; /* of the store, to which the position belongs */
    uint64_t next_position; /* position to read on from; 0: read the newest */
    uint64_t read_sent_at;  /* time of the last read */
    unsigned failures;      /* consecutive failed reads */
    bool is_running;
} JdFollower;

void JdFollower_Init(JdFollower *fl, JdStore *st, JdClock *clk,
                     const JdFollowerOps *ops, void *ctx);
void JdFollower_Start(JdFollower *fl);
void JdFollower_Stop(JdFollower *fl);
void JdFollower_HandleAnswer(JdFollower *fl, uint64_t token,
                             const JdDocAnswer *ans);

#endif

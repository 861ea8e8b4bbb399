/*
 * Public interface of libjacinthdyke, the coordination library.
 *
 * Each component is a state machine that performs no I/O.  Messages, timer
 * expiries and results are passed in as function calls; sends, log reads and
 * answers are passed out through callbacks that take a context pointer.  The
 * caller owns the memory passed to an Init function and calls the matching
 * Finish function to release the resources held by the component.
 *
 * Times are in microseconds of a monotonic clock unless stated otherwise.
 */
#ifndef JACINTHDYKE_H
#define JACINTHDYKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <jansson.h>

#include "frame.pb-c.h"

#define JD_VERSION_TEXT "0.1.0"

/* Time units in microseconds. */
#define JD_US_PER_MS UINT64_C(1000)
#define JD_US_PER_S UINT64_C(1000000)

/* Buffer sizes for names and texts, in bytes including the NUL. */
#define JD_NAME_MAX 65
#define JD_PATH_MAX 256
#define JD_TEXT_MAX 256
#define JD_ADDRESS_MAX 48

/* ---- status.c: errors -------------------------------------------------- */

/* Errors that the library and the programs can report. */
typedef enum JdStatus {
    JD_OK,
    JD_ERR_SYNTAX,           /* not well-formed JSON */
    JD_ERR_DUPLICATE_NAME,   /* duplicate key in a JSON object */
    JD_ERR_TYPE,             /* a value has the wrong JSON type */
    JD_ERR_UNKNOWN_FIELD,    /* unknown field or table */
    JD_ERR_MISSING_FIELD,    /* a required field is missing */
    JD_ERR_RANGE,            /* number out of range, or invalid name */
    JD_ERR_DANGLING,         /* reference to an entry that does not exist */
    JD_ERR_SERVICE_MISMATCH, /* route and endpoint set differ in service */
    JD_ERR_BASE_LOST,        /* another patch was applied to the base first */
    JD_ERR_BASE_AHEAD,       /* the base version does not exist yet */
    JD_ERR_RULES_UNKNOWN,    /* validation rules newer than this release */
    JD_ERR_BAD_RECORD,       /* invalid or unknown log record */
    JD_ERR_DIGEST_MISMATCH,  /* the state does not match the sender's digest */
    JD_ERR_OLDER_VERSION,    /* not newer than the current version */
    JD_ERR_HISTORY_GAP,      /* history between two versions is missing */
    JD_ERR_LOG_EXPIRED,      /* the log has expired the records to be read */
    JD_ERR_EPOCH_CHANGED,    /* the source was restored during the read */
    JD_ERR_UNREACHABLE,      /* no connection, or no answer in time */
    JD_ERR_REFUSED,          /* the peer refused */
    JD_ERR_UNKNOWN_RESULT,   /* unknown whether the operation took effect */
    JD_ERR_TIMEOUT,          /* the deadline of the operation passed */
    JD_ERR_USAGE,            /* invalid command line */
    JD_ERR_SETTINGS,         /* invalid settings file */
    JD_ERR_SYSTEM,           /* a system call failed */
    JD_STATUS_MAX
} JdStatus;

/* Severity of a status; it also determines the exit code of a command. */
typedef enum JdSeverity {
    JD_SEVERITY_OK,       /* success */
    JD_SEVERITY_INPUT,    /* the input must be corrected */
    JD_SEVERITY_CONFLICT, /* concurrent change; reread, then retry */
    JD_SEVERITY_RETRY,    /* the same call may succeed later */
    JD_SEVERITY_FATAL,    /* requires operator action */
    JD_SEVERITY_MAX
} JdSeverity;

/* An error with its location in the input and a message. */
typedef struct JdError {
    JdStatus status;
    char path[JD_PATH_MAX]; /* JSON pointer to the invalid value, or empty */
    char text[JD_TEXT_MAX]; /* human-readable details */
} JdError;

const char *JdStatus_Name(JdStatus status);
const char *JdStatus_Text(JdStatus status);
JdSeverity JdStatus_Severity(JdStatus status);
JdStatus JdError_Set(JdError *err, JdStatus status, const char *path,
                     const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
void JdError_Clear(JdError *err);

/* ---- clock.c: time ----------------------------------------------------- */

typedef void (*JdTimerFn)(void *ctx);

/* A one-shot timer; its user owns the memory. */
typedef struct JdTimer {
    TAILQ_ENTRY(JdTimer) link;
    uint64_t due; /* time at which it expires */
    JdTimerFn fire;
    void *ctx;
    bool is_armed;
} JdTimer;

/*
 * A clock and its armed timers, ordered by expiry.  `read` returns the current
 * time; it is NULL for a simulated clock, which only JdClock_Advance moves.
 */
typedef struct JdClock {
    uint64_t (*read)(void *ctx);
    void *ctx;
    uint64_t now;
    TAILQ_HEAD(JdTimerHead, JdTimer) timers;
} JdClock;

void JdClock_Init(JdClock *clk, uint64_t (*read)(void *ctx), void *ctx);
uint64_t JdClock_Now(JdClock *clk);
void JdClock_Advance(JdClock *clk, uint64_t us);
uint64_t JdClock_UntilNext(JdClock *clk, uint64_t max);
unsigned JdClock_RunDue(JdClock *clk);
void JdTimer_Init(JdTimer *tm, JdTimerFn fire, void *ctx);
void JdTimer_Arm(JdClock *clk, JdTimer *tm, uint64_t delay);
void JdTimer_Cancel(JdClock *clk, JdTimer *tm);

/* A seeded pseudorandom generator, which makes runs reproducible. */
typedef struct JdRandom {
    uint64_t state;
} JdRandom;

void JdRandom_Init(JdRandom *rnd, uint64_t seed);
uint64_t JdRandom_Below(JdRandom *rnd, uint64_t bound);

/* ---- counter.c: counters ----------------------------------------------- */

typedef enum JdCounter {
#define JD_COUNTER(id, name, help) id,
#include "counters.def"
#undef JD_COUNTER
    JD_COUNTER_MAX
} JdCounter;

typedef struct JdCounters {
    uint64_t value[JD_COUNTER_MAX];
} JdCounters;

const char *JdCounter_Name(JdCounter id);
const char *JdCounter_Help(JdCounter id);

/* ---- doc.c: the configuration document --------------------------------- */

/* The tables of a configuration document. */
typedef enum JdTable {
    JD_TABLE_SERVICES,
    JD_TABLE_ENDPOINT_SETS,
    JD_TABLE_ROUTES,
    JD_TABLE_POLICIES,
    JD_TABLE_ACCOUNTS, /* client accounts; since version 2 of the rules */
    JD_TABLE_MAX
} JdTable;

#define JD_DIGEST_WORDS 4
#define JD_DIGEST_HEX_SIZE (JD_DIGEST_WORDS * 16 + 1)

/*
 * Sum of the hashes of all entries.  It does not depend on the order of the
 * entries, and adding or removing one does not require rehashing the others.
 */
typedef struct JdDigest {
    uint64_t word[JD_DIGEST_WORDS];
} JdDigest;

/* One immutable, reference-counted version of the configuration. */
typedef struct JdConfig {
    unsigned ref_count;
    uint64_t version;
    JdDigest digest;
    json_t *table[JD_TABLE_MAX]; /* each maps names to entries */
    struct JdAccountIndex *accounts;
} JdConfig;

/*
 * The newest version of the validation rules that this release implements.  A
 * record in the config stream raises the version that is applied, so that all
 * nodes apply the same rules to the same record.
 */
#define JD_RULES_NEWEST 2U

const char *JdTable_Name(JdTable table);
JdConfig *JdConfig_New(void);
JdConfig *JdConfig_Ref(JdConfig *cfg);
void JdConfig_Unref(JdConfig *cfg);
JdStatus JdJson_Parse(const char *text, size_t len, json_t **out,
                      JdError *err);
JdStatus JdConfig_CheckPatch(const json_t *patch, JdError *err);
JdStatus JdConfig_ApplyPatch(const JdConfig *old, const json_t *patch,
                             uint64_t version, JdConfig **out, JdError *err);
JdStatus JdConfig_Validate(const JdConfig *cfg, unsigned rules, JdError *err);
unsigned JdConfig_RulesNeeded(const JdConfig *cfg);
json_t *JdConfig_ToJson(const JdConfig *cfg);
bool JdConfig_IsByWork(const JdConfig *cfg, const char *service);
JdStatus JdConfig_FromJson(json_t *doc, uint64_t version, JdConfig **out,
                           JdError *err);
json_t *JdPatch_Diff(const JdConfig *old, const json_t *doc);
bool JdPatch_Compose(json_t *first, json_t *second, json_t **out);
void JdDigest_ToHex(const JdDigest *dig, char hex[JD_DIGEST_HEX_SIZE]);
bool JdDigest_FromHex(JdDigest *dig, const char *hex);
bool JdDigest_Equal(const JdDigest *a, const JdDigest *b);

/* Which requests of a route may run more than once. */
typedef enum JdRepeat {
    JD_REPEAT_BY_METHOD, /* its policy does not say: GET, HEAD and OPTIONS */
    JD_REPEAT_NONE,
    JD_REPEAT_ALL,
    JD_REPEAT_MAX
} JdRepeat;

/* The route that a request matched, with the policy that applies to it. */
typedef struct JdRoute {
    const char *name; /* host, if any, and path prefix */
    const char *service;
    const char *endpoint_set;
    unsigned priority;      /* 0 is the highest */
    uint64_t timeout;       /* maximum duration of a request, us */
    uint64_t latency_goal;  /* us */
    unsigned attempts;      /* maximum number of targets tried per request */
    unsigned retry_percent; /* retries allowed per 100 first attempts */
    JdRepeat repeat;        /* requests that may run more than once */
    bool requires_key;      /* requests require an idempotency key */
    bool is_public;         /* requests need not name a client account */
    bool is_bulk;           /* responses are large */
    bool is_by_work;        /* targets are picked by work and speed */
} JdRoute;

/* Host and path of a request, by which a route is found.  The host may be
 * empty. */
typedef struct JdRouteKey {
    const char *host;
    size_t host_len;
    const char *path;
    size_t path_len;
} JdRouteKey;

/* `draw` is a random number that selects an endpoint set if the route has a
 * split. */
bool JdConfig_FindRoute(const JdConfig *cfg, const JdRouteKey *key,
                        uint64_t draw, JdRoute *out);
bool JdRoute_IsIdempotent(const JdRoute *rt, const char *method);
bool JdRoute_NeedsKey(const JdRoute *rt, const char *method);

/* ---- store.c: current version and history ------------------------------ */

/* Number of history steps that a store keeps to create deltas from. */
#define JD_HISTORY_MAX 1024

/* One step of the history; it may span several versions. */
typedef struct JdHistoryStep {
    uint64_t from;
    uint64_t to;
    JdDigest digest; /* of the state at `to` */
    json_t *patch;
} JdHistoryStep;

/* A change from one version to another, or a full snapshot if `from` is 0. */
typedef struct JdDelta {
    uint64_t from;
    uint64_t to;
    uint64_t next_offset;   /* of the sender's store */
    unsigned rules_version; /* version of the validation rules */
    JdDigest digest;        /* of the state at `to` */
    const uint8_t *body;    /* JSON; zstd-compressed if `raw_len` is not 0 */
    size_t body_len;
    size_t raw_len; /* length before compression, or 0 */
} JdDelta;

/* The current version of the configuration and the history that led to it. */
typedef struct JdStore {
    JdConfig *config;
    unsigned rules_version; /* version of the validation rules */
    uint64_t next_offset;   /* next unread offset of the config stream */
    bool is_halted;         /* log requires newer rules than supported */
    JdHistoryStep history[JD_HISTORY_MAX]; /* ring buffer */
    unsigned history_first;                /* index of the oldest step */
    unsigned history_count;                /* number of steps */
    uint8_t *delta_body; /* cached body of the last delta created */
    size_t delta_body_len;
    size_t delta_raw_len; /* length before compression, 0 if not compressed */
    uint64_t delta_from;
    uint64_t delta_to;
    JdCounters *counters;
} JdStore;

/* The result of replaying one record of the config stream. */
typedef struct JdReplayResult {
    JdStatus status;
    /* The version after the record; with JD_ERR_BASE_LOST, the version of the
     * patch that was applied to the base instead. */
    uint64_t version;
    char id[JD_NAME_MAX];     /* of a patch */
    char author[JD_NAME_MAX]; /* of a patch */
    JdError err;
} JdReplayResult;

void JdStore_Init(JdStore *st, JdCounters *ctr);
void JdStore_Finish(JdStore *st);
JdStatus JdStore_Replay(JdStore *st, uint64_t offset, const char *rec,
                        size_t len, JdReplayResult *out);
JdStatus JdStore_Install(JdStore *st, const json_t *doc, uint64_t version,
                         JdError *err);
JdStatus JdStore_MakeDelta(JdStore *st, uint64_t from, JdDelta *out);
JdStatus JdStore_ApplyDelta(JdStore *st, const JdDelta *dlt, JdError *err);
char *JdStore_MakeCheckpoint(const JdStore *st);
JdStatus JdStore_Restore(JdStore *st, const char *rec, size_t len,
                         JdError *err);
char *JdRecord_MakePatch(uint64_t base, const char *id, const char *author,
                         json_t *patch);

#include "jacinthdyke_account.h"
#include "jacinthdyke_shortage.h"
#include "jacinthdyke_crash.h"
#include "jacinthdyke_reader.h"
#include "jacinthdyke_rollout.h"
#include "jacinthdyke_tree.h"
#include "jacinthdyke_balance.h"
#include "jacinthdyke_request.h"
#include "jacinthdyke_link.h"

#endif

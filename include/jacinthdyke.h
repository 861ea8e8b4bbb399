/*
 * Public interface of libjacinthdyke, the coordination parts.
 *
 * Each part is a state machine that performs no input or output of its own.
 * Messages, timer expiries and results go in as function calls; sends, log
 * reads and answers come out through callbacks that take a context pointer.
 * The caller owns all memory handed to an Init function and releases what a
 * part holds with the matching Finish function.
 *
 * Times are in microseconds of a monotonic clock unless a name says otherwise.
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

/* Units. */
#define JD_US_PER_MS UINT64_C(1000)
#define JD_US_PER_S UINT64_C(1000000)

/* Limits on names and messages, in bytes with the terminating NUL. */
#define JD_NAME_MAX 65
#define JD_PATH_MAX 256
#define JD_TEXT_MAX 256
#define JD_ADDRESS_MAX 48

/* ---- status.c: failures ------------------------------------------------ */

/* Every failure that a part or a program can report. */
typedef enum JdStatus {
    JD_OK,
    JD_ERR_SYNTAX,           /* not well-formed JSON */
    JD_ERR_DUPLICATE_NAME,   /* a name stands twice in one object */
    JD_ERR_TYPE,             /* a value has the wrong JSON type */
    JD_ERR_UNKNOWN_FIELD,    /* a field or table that the rules do not name */
    JD_ERR_MISSING_FIELD,    /* a required field is absent */
    JD_ERR_RANGE,            /* a number or name outside its limits */
    JD_ERR_DANGLING,         /* a reference to an entry that does not exist */
    JD_ERR_SERVICE_MISMATCH, /* a route and its endpoint set differ in service
                              */
    JD_ERR_BASE_LOST,       /* another patch took the version after the base */
    JD_ERR_BASE_AHEAD,      /* the base is a version that does not exist yet */
    JD_ERR_RULES_UNKNOWN,   /* the log asks for rules this release lacks */
    JD_ERR_BAD_RECORD,      /* a log record that is not one of ours */
    JD_ERR_DIGEST_MISMATCH, /* the state does not match the sender's digest */
    JD_ERR_OLDER_VERSION,   /* a version at or below the one in force */
    JD_ERR_HISTORY_GAP,     /* history between two versions is not available */
    JD_ERR_LOG_EXPIRED,     /* the log expired past every usable checkpoint */
    JD_ERR_UNREACHABLE,     /* no connection, or no answer in time */
    JD_ERR_REFUSED,         /* the other side answered with a refusal */
    JD_ERR_UNKNOWN_RESULT,  /* the effect of an action could not be learned */
    JD_ERR_TIMEOUT,         /* the stated time passed first */
    JD_ERR_USAGE,           /* the command line is wrong */
    JD_ERR_SETTINGS,        /* the settings file is wrong */
    JD_ERR_SYSTEM,          /* a system call failed */
    JD_STATUS_MAX
} JdStatus;

/* Severity of a status, which also decides the exit code of a command. */
typedef enum JdSeverity {
    JD_SEVERITY_OK,       /* nothing failed */
    JD_SEVERITY_INPUT,    /* the input must change before another try */
    JD_SEVERITY_CONFLICT, /* another actor was first; look and try again */
    JD_SEVERITY_RETRY,    /* the same call may succeed later */
    JD_SEVERITY_FATAL,    /* an operator has to act */
    JD_SEVERITY_MAX
} JdSeverity;

/* A failure: its type, the place in the input and the last message. */
typedef struct JdError {
    JdStatus status;
    char path[JD_PATH_MAX]; /* JSON path of the fault, or empty */
    char text[JD_TEXT_MAX]; /* details for a person */
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

/* A timer on memory that its user owns. */
typedef struct JdTimer {
    TAILQ_ENTRY(JdTimer) link;
    uint64_t due;
    JdTimerFn fire;
    void *ctx;
    bool is_armed;
} JdTimer;

/*
 * A source of time and the timers that depend on it.  `read` returns the
 * current time; a paused clock has none and is moved by JdClock_Advance.
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
uint64_t JdClock_UntilNext(JdClock *clk, uint64_t most);
unsigned JdClock_RunDue(JdClock *clk);
void JdTimer_Init(JdTimer *tm, JdTimerFn fire, void *ctx);
void JdTimer_Arm(JdClock *clk, JdTimer *tm, uint64_t delay);
void JdTimer_Cancel(JdClock *clk, JdTimer *tm);

/* A small seeded generator, so that a run can be repeated. */
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

/* The four tables of a document. */
typedef enum JdTable {
    JD_TABLE_SERVICES,
    JD_TABLE_ENDPOINT_SETS,
    JD_TABLE_ROUTES,
    JD_TABLE_POLICIES,
    JD_TABLE_MAX
} JdTable;

#define JD_DIGEST_WORDS 4
#define JD_DIGEST_HEX_SIZE (JD_DIGEST_WORDS * 16 + 1)

/*
 * Sum of the hashes of all entries.  Adding and removing an entry is cheap,
 * and the order in which entries were written does not matter.
 */
typedef struct JdDigest {
    uint64_t word[JD_DIGEST_WORDS];
} JdDigest;

/* One whole, immutable version of the configuration, counted by reference. */
typedef struct JdConfig {
    unsigned ref_count;
    uint64_t version;
    JdDigest digest;
    json_t *table[JD_TABLE_MAX];
} JdConfig;

/* The newest set of validity rules that this release implements. */
#define JD_RULES_NEWEST 1U

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
json_t *JdConfig_ToJson(const JdConfig *cfg);
JdStatus JdConfig_FromJson(json_t *doc, uint64_t version, JdConfig **out,
                           JdError *err);
json_t *JdPatch_Diff(const JdConfig *old, const json_t *doc);
bool JdPatch_Compose(json_t *first, json_t *second, json_t **out);
void JdDigest_ToHex(const JdDigest *dig, char hex[JD_DIGEST_HEX_SIZE]);
bool JdDigest_FromHex(JdDigest *dig, const char *hex);
bool JdDigest_Equal(const JdDigest *a, const JdDigest *b);

/* What routing needs to know of a request. */
typedef struct JdRoute {
    const char *name; /* the route's name: host, if it has one, and path */
    const char *service;
    const char *endpoint_set;
    unsigned priority;      /* 0 is served first */
    uint64_t timeout;       /* us, the most a request may take */
    uint64_t latency_goal;  /* us in which an answer is wanted */
    unsigned attempts;      /* targets that one request may be sent to */
    unsigned retry_percent; /* retries per 100 first tries */
    bool is_idempotent;     /* every method may be sent again */
    bool requires_key;      /* needs an idempotency key */
} JdRoute;

/* Host and path of a request; the host may be empty. */
typedef struct JdRouteKey {
    const char *host;
    size_t host_len;
    const char *path;
    size_t path_len;
} JdRouteKey;

bool JdConfig_FindRoute(const JdConfig *cfg, const JdRouteKey *key,
                        uint64_t draw, JdRoute *out);

/* ---- store.c: versions in force and how they came ---------------------- */

/* How many steps of history a store keeps for others. */
#define JD_HISTORY_MAX 1024

/* One step of history, which may span several versions. */
typedef struct JdHistoryStep {
    uint64_t from;
    uint64_t to;
    JdDigest digest; /* of the state at `to` */
    json_t *patch;
} JdHistoryStep;

/* A change from one version to another, or a whole state when from is 0. */
typedef struct JdDelta {
    uint64_t from;
    uint64_t to;
    uint64_t next_offset;
    unsigned rules_version;
    JdDigest digest;
    const uint8_t *body; /* JSON, compressed when `raw_len` is not 0 */
    size_t body_len;
    size_t raw_len;
} JdDelta;

typedef struct JdStore {
    JdConfig *config;
    unsigned rules_version;
    uint64_t next_offset; /* the config stream's next unread offset */
    bool is_halted;       /* the log asks for rules this release lacks */
    JdHistoryStep history[JD_HISTORY_MAX];
    unsigned history_first;
    unsigned history_count;
    uint8_t *delta_body; /* body of the last delta made */
    size_t delta_body_len;
    size_t delta_raw_len;
    uint64_t delta_from;
    uint64_t delta_to;
    JdCounters *counters;
} JdStore;

/* The decision on one record of the config stream. */
typedef struct JdReplayResult {
    JdStatus status;
    uint64_t version; /* the new one, or the one that a loser lost to */
    char id[JD_NAME_MAX];
    char author[JD_NAME_MAX];
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

#include "jacinthdyke_reader.h"
#include "jacinthdyke_tree.h"
#include "jacinthdyke_request.h"

#endif

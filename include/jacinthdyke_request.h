/* Parts that decide on requests.  Include jacinthdyke.h instead. */
#ifndef JACINTHDYKE_REQUEST_H
#define JACINTHDYKE_REQUEST_H

/* ---- reason.c: why a request was refused or given up ------------------- */

typedef enum JdReason {
    JD_REASON_NONE,
    JD_REASON_NOT_READY,
    JD_REASON_NO_ROUTE,
    JD_REASON_NO_TARGET,
    JD_REASON_QUEUE_FULL,
    JD_REASON_TOO_LATE,
    JD_REASON_DRAINING,
    JD_REASON_TARGET_DOWN,
    JD_REASON_SHED,
    JD_REASON_DEADLINE,
    JD_REASON_BROKEN,
    JD_REASON_CANCELLED,
    JD_REASON_BAD_REQUEST,
    JD_REASON_KEY_MISSING,
    JD_REASON_KEY_TAKEN,
    JD_REASON_CLAIM_FAILED,
    JD_REASON_MAX
} JdReason;

typedef struct JdReasonInfo {
    const char *name;
    int http_status;
    bool is_not_executed;    /* the work provably did not run */
    bool is_retryable;       /* another target may take it now */
    unsigned retry_after_ms; /* ms after which coming back helps, 0: never */
    JdCounter counter;
} JdReasonInfo;

const JdReasonInfo *JdReason_Info(JdReason reason);

/* ---- admit.c: slots and a short queue in front of a target ------------- */

#define JD_PRIORITIES 4

/* The usual time of some kind of work, as a moving average. */
typedef struct JdServiceTime {
    uint64_t mean; /* us, 0: unknown */
} JdServiceTime;

void JdServiceTime_Add(JdServiceTime *est, uint64_t took);
void JdServiceTime_AddLowerBound(JdServiceTime *est, uint64_t took);
void JdServiceTime_Decay(JdServiceTime *est);

typedef struct JdWork {
    TAILQ_ENTRY(JdWork) link;
    uint64_t deadline;
    uint64_t
        soft_deadline; /* time by which its answer is wanted, 0: no matter */
    uint64_t expected_time; /* us that it will run, 0: as long as others */
    uint64_t started_at;
    unsigned priority; /* 0 is served first */
    bool is_late;      /* can no longer be answered when it is wanted */
    bool is_queued;
    bool is_running;
} JdWork;

typedef struct JdAdmissionOps {
    /* The work has a slot and must be sent now. */
    void (*start)(void *ctx, JdWork *work);
    /* Work that was queued is refused; it did not run. */
    void (*refuse)(void *ctx, JdWork *work, JdReason reason);
} JdAdmissionOps;

typedef struct JdAdmission {
    unsigned slots;
    unsigned queue_limit;
    unsigned running;
    unsigned queued;
    JdServiceTime service_time;        /* of all work */
    double recent_load[JD_PRIORITIES]; /* us of work started, fading */
    uint64_t recent_load_at;
    bool is_closed;
    TAILQ_HEAD(JdWorkHead, JdWork) queue;
    JdClock *clock;
    JdTimer deadline_timer;
    const JdAdmissionOps *ops;
    void *ctx;
} JdAdmission;

void JdAdmission_Init(JdAdmission *ad, unsigned slots, unsigned queue_most,
                      JdClock *clk, const JdAdmissionOps *ops, void *ctx);
void JdAdmission_Finish(JdAdmission *ad);
JdReason JdAdmission_Offer(JdAdmission *ad, JdWork *work);
void JdAdmission_FreeSlot(JdAdmission *ad, JdWork *work, bool is_whole);
void JdAdmission_RecordAbort(JdAdmission *ad, const JdWork *work);
void JdAdmission_Cancel(JdAdmission *ad, JdWork *work);
void JdAdmission_SetSlots(JdAdmission *ad, unsigned slots);
uint64_t JdAdmission_RetryAfter(const JdAdmission *ad);
void JdAdmission_Close(JdAdmission *ad);
unsigned JdAdmission_Load(const JdAdmission *ad);
bool JdAdmission_IsFull(const JdAdmission *ad);
bool JdAdmission_HasFreeSlot(const JdAdmission *ad);

/* ---- budget.c: retries as a share of first tries ----------------------- */

typedef struct JdRetryBudget {
    int64_t credit;     /* hundredths of a retry; below 0: owed */
    int64_t max_credit; /* the most of it that is saved up */
} JdRetryBudget;

/* What a first try earns. */
typedef struct JdRetryBudgetParams {
    unsigned retry_percent;        /* retries for 100 first tries */
    unsigned nested_retry_percent; /* of 100 first tries, those made by retried
                                      runs */
    unsigned node_count;           /* that share the budget, 0: not known */
} JdRetryBudgetParams;

void JdRetryBudget_Init(JdRetryBudget *bg);
void JdRetryBudget_RecordFirstAttempt(JdRetryBudget *bg,
                                      const JdRetryBudgetParams *rate);
bool JdRetryBudget_Take(JdRetryBudget *bg, unsigned priority);

/* ---- start.c: requests that come while a node starts ------------------- */

uint64_t JdStartup_WaitUntil(uint64_t started, uint64_t arrived,
                             uint64_t timeout);
uint64_t JdStartup_RetryAfter(uint64_t started, uint64_t now);

/* ---- claim.c: idempotency keys, claimed on the log --------------------- */

/* Bytes of an idempotency key with its NUL. */
#define JD_KEY_MAX JD_NAME_MAX

typedef enum JdClaimState {
    JD_CLAIM_IDLE,
    JD_CLAIM_PENDING,   /* waits for the next batch */
    JD_CLAIM_SENDING,   /* its batch is under way */
    JD_CLAIM_HELD,      /* won */
    JD_CLAIM_RELEASING, /* waits until its release is on the log */
    JD_CLAIM_STATE_MAX
} JdClaimState;

/* One claim of a key, on memory that its user owns. */
typedef struct JdClaim {
    TAILQ_ENTRY(JdClaim) link;
    JdClaimState state;
    char key[JD_KEY_MAX];
    uint64_t requested_at; /* own clock, before anything was sent */
} JdClaim;

typedef struct JdClaimsOps {
    /* Appends a record; JdClaims_Appended takes the result. */
    void (*append)(void *ctx, const char *text, uint64_t token);
    /* Reads the stream; JdClaims_Answer takes the result. */
    void (*read)(void *ctx, uint64_t from, unsigned most, uint64_t token);
    /* The key is this claim's: the work may be sent. */
    void (*granted)(void *ctx, JdClaim *claim);
    /* The work must not be sent: JD_REASON_KEY_TAKEN or _CLAIM_FAILED. */
    void (*denied)(void *ctx, JdClaim *claim, JdReason reason);
    /* The key is free again, or its release could not be recorded. */
    void (*released)(void *ctx, JdClaim *claim);
} JdClaimsOps;

/* The claims of one node on the stream of its service. */
typedef struct JdClaims {
    char node[JD_NAME_MAX];
    uint64_t incarnation;
    uint64_t hold_time;       /* us for which a key stays claimed */
    uint64_t append_interval; /* us between two appends */
    uint64_t retention; /* us for which the log keeps records, 0: unknown */
    JdClock *clock;
    JdCounters *counters;
    const JdClaimsOps *ops;
    void *ctx;
    TAILQ_HEAD(JdClaimHead, JdClaim) pending;
    struct JdClaimHead sending;
    void *holders; /* hash tables of the implementation */
    void *voided_batches;
    uint64_t next_offset; /* offset after the last record that was applied */
    uint64_t purged_at;   /* log's time at which old keys were forgotten */
    uint64_t
        oldest_record_at; /* time of the oldest record that was read, 0: all */
    uint64_t batch_id;
    uint64_t token;
    uint64_t batch_to_void; /* a batch that must be voided, 0: none */
    bool is_batch_in_flight;
    bool is_outcome_unknown;      /* the answer to the append was lost */
    unsigned reads_without_batch; /* of the settling of an unsure batch */
    uint64_t batch_offset;        /* of the batch, once known */
    uint64_t sent_at;
    JdTimer timer;
} JdClaims;

void JdClaims_Init(JdClaims *cl, const char *node, uint64_t incarnation,
                   uint64_t hold, JdClock *clk, JdCounters *ctr,
                   const JdClaimsOps *ops, void *ctx);
void JdClaims_Finish(JdClaims *cl);
void JdClaims_Acquire(JdClaims *cl, JdClaim *claim, const char *key);
void JdClaims_Release(JdClaims *cl, JdClaim *claim);
void JdClaims_Abandon(JdClaims *cl, JdClaim *claim);
bool JdClaims_IsUsable(const JdClaims *cl, const JdClaim *claim);
void JdClaims_OnAppend(JdClaims *cl, uint64_t token, JdStatus status,
                       uint64_t offset);
void JdClaims_OnRead(JdClaims *cl, uint64_t token, const JdLogAnswer *ans);

/* ---- target.c: the target beside a node, by its heartbeats ------------- */

/* What a target says of itself. */
typedef struct JdHeartbeat {
    char id[JD_NAME_MAX]; /* of its process */
    char address[JD_ADDRESS_MAX];
    char service[JD_NAME_MAX];
    uint64_t started; /* ms since 1970 at which its process started */
    uint64_t seq;     /* orders what one process says */
    unsigned slots;
    bool is_draining;
} JdHeartbeat;

typedef enum JdHeartbeatResult {
    JD_HEARTBEAT_CHANGED,   /* another process, or it began to drain */
    JD_HEARTBEAT_UNCHANGED, /* it goes on as before */
    JD_HEARTBEAT_STALE,     /* late: of an ended process, or out of order */
    JD_HEARTBEAT_RESULT_MAX
} JdHeartbeatResult;

/* A process that has left, and all with its id that started before. */
typedef struct JdDepartedTarget {
    char id[JD_NAME_MAX];
    uint64_t started;
} JdDepartedTarget;

/* Processes that left and are remembered. */
#define JD_DEPARTED_TARGETS_MAX 8

typedef struct JdTarget {
    char id[JD_NAME_MAX];
    uint64_t started;
    uint64_t seq;
    uint64_t last_heartbeat;
    unsigned slots;
    bool is_alive; /* lives, as far as this node knows */
    bool is_draining;
    JdDepartedTarget departed[JD_DEPARTED_TARGETS_MAX];
    unsigned next_departed;
} JdTarget;

JdHeartbeatResult JdTarget_Heartbeat(JdTarget *tg, const JdHeartbeat *hb,
                                     uint64_t now);
bool JdTarget_Deregister(JdTarget *tg, const char *id, uint64_t started,
                         uint64_t wall);
void JdTarget_MarkDown(JdTarget *tg);

/* ---- choice.c: which target takes a request ---------------------------- */

/* What this node has seen of one target. */
typedef struct JdTargetStats {
    uint64_t incarnation;
    uint64_t target_started;
    uint64_t slow_start_at; /* start of the slow start */
    uint64_t ejected_until;
    uint64_t progress_at;  /* last answer, or first send after idleness */
    uint64_t mean_latency; /* us, moving average */
    unsigned outstanding;
    unsigned consecutive_failures;  /* in a row */
    unsigned consecutive_ejections; /* in a row */
    unsigned reported_load; /* percent of slots, as the target's node said */
    unsigned sent_since_report; /* sent by this node since it said so */
    uint64_t service_time;      /* us, usual time of work there, 0: unknown */
    uint64_t service_time_at;
    uint64_t
        last_full_at; /* time of its last refusal for lack of room, 0: none */
    uint64_t load_reported_at;
} JdTargetStats;

/* What the node of a target tells of it with each answer. */
typedef struct JdLoadReport {
    unsigned load; /* running and waiting work, in percent of its slots */
    uint64_t service_time; /* us, usual time of its work, 0: unknown */
} JdLoadReport;

typedef struct JdBalancer {
    JdMembers *members;
    JdClock *clock;
    JdRandom *random;
    JdCounters *counters;
    const char *region;
    const char *domain;
} JdBalancer;

typedef enum JdTier {
    JD_TIER_DOMAIN,
    JD_TIER_REGION,
    JD_TIER_FAR,
    JD_TIER_MAX
} JdTier;

const char *JdTier_Name(JdTier tier);

/* Members that are not to be chosen again for a request. */
typedef struct JdExcludedTargets {
    char (*id)[JD_NAME_MAX];
    unsigned count;
    unsigned full_count; /* of these, refused for lack of room */
} JdExcludedTargets;

JdMember *JdBalancer_Pick(const JdBalancer *ch, const char *endpoint_set,
                          const JdExcludedTargets *avoid, uint64_t wanted,
                          JdTier *tier);
bool JdBalancer_HasReadyTarget(const JdBalancer *ch, const char *endpoint_set);

/* outcome.c: what the choice learns from requests */
void JdBalancer_RecordSend(const JdBalancer *ch, JdMember *mb);
void JdBalancer_RecordAnswer(const JdBalancer *ch, const char *id,
                             uint64_t took, const JdLoadReport *rep);
void JdBalancer_RecordFailure(const JdBalancer *ch, const char *id,
                              JdReason reason, const JdLoadReport *rep);

#endif

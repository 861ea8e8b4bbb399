/* Request admission, routing and retries.  Do not include this file directly;
 * include jacinthdyke.h. */
#ifndef JACINTHDYKE_REQUEST_H
#define JACINTHDYKE_REQUEST_H

/* ---- reason.c: why a request was refused or aborted -------------------- */

typedef enum JdReason {
    JD_REASON_NONE,
    JD_REASON_NOT_READY, /* the node is not ready or lacks a configuration */
    JD_REASON_NO_ROUTE,
    JD_REASON_NO_TARGET,
    JD_REASON_QUEUE_FULL,
    JD_REASON_TOO_LATE, /* not expected to finish in time */
    JD_REASON_DRAINING,
    JD_REASON_TARGET_DOWN, /* no connection to the target or its node */
    JD_REASON_SHED,        /* refused by the target itself */
    JD_REASON_DEADLINE,    /* the deadline passed without an answer */
    JD_REASON_BROKEN,      /* failed after it was sent; it may have run */
    JD_REASON_CANCELLED,
    JD_REASON_BAD_REQUEST,
    JD_REASON_KEY_MISSING,  /* the route requires an idempotency key */
    JD_REASON_KEY_TAKEN,    /* the idempotency key is held already */
    JD_REASON_CLAIM_FAILED, /* the key could not be claimed on the log */
    JD_REASON_RATE_LIMITED, /* the target takes no more requests for now */
    JD_REASON_CRASHES,      /* targets crashed while they ran it */
    /* a target that ran it crashed, and this one runs another such request */
    JD_REASON_ISOLATED,
    JD_REASON_COPY_RUNS, /* the same, and the other request is a copy of it */
    JD_REASON_UNKNOWN_KEY,  /* no client account holds the request's key */
    JD_REASON_OVER_QUOTA,   /* its client account has used its rate */
    JD_REASON_NO_LINK_ROOM, /* the target's link cannot carry the response in
                               time */
    JD_REASON_NO_MEMORY,    /* a node holds too much already */
    JD_REASON_NOT_RECEIVED, /* it did not arrive in time */
    JD_REASON_MAX
} JdReason;

typedef struct JdReasonInfo {
    const char *name;
    int http_status;
    bool is_not_executed; /* it is certain that the work did not run */
    bool is_retryable;    /* another target may accept it now */
    /* time after which a retry may succeed, 0: never */
    unsigned retry_after_ms;
    JdCounter counter;
} JdReasonInfo;

const JdReasonInfo *JdReason_Info(JdReason reason);

/* ---- rate.c: rate limits that targets name ----------------------------- */

/* Bounds on the rates that are kept, in requests per 1000 s. */
#define JD_RATE_MIN 250U
#define JD_RATE_MAX 1000000000U

/* Token bucket that holds requests to a target's rate limit. */
typedef struct JdRateLimit {
    unsigned rate;       /* requests per 1000 s, 0: no limit */
    uint64_t credit;     /* in 1e-9 requests */
    uint64_t updated_at; /* time of the last change of the credit */
} JdRateLimit;

JdStatus JdRateLimit_Parse(const char *text, size_t len, unsigned *rate);
void JdRateLimit_Set(JdRateLimit *rl, unsigned rate, uint64_t now);
bool JdRateLimit_HasCredit(JdRateLimit *rl, unsigned priority, uint64_t now);
void JdRateLimit_Take(JdRateLimit *rl, uint64_t now);
uint64_t JdRateLimit_Wait(JdRateLimit *rl, unsigned priority, uint64_t now);

/* ---- admit.c: admission control in front of a target ------------------- */

/* Moving average of the service time of one kind of work. */
typedef struct JdServiceTime {
    uint64_t mean; /* us, 0: unknown */
} JdServiceTime;

void JdServiceTime_Add(JdServiceTime *st, uint64_t took);
void JdServiceTime_AddLowerBound(JdServiceTime *st, uint64_t took);
void JdServiceTime_Decay(JdServiceTime *st);

/* One request that waits for the target or runs on it. */
typedef struct JdWork {
    TAILQ_ENTRY(JdWork) link;
    uint64_t deadline; /* latest time at which it may finish */
    /* time by which the caller wants the answer, 0: same as `deadline` */
    uint64_t soft_deadline;
    uint64_t expected_time; /* us that it will run, 0: use the mean */
    uint64_t queued_at;     /* when it was offered and found no slot */
    uint64_t started_at;
    unsigned priority;   /* of its route, 0 is served first */
    unsigned rank;       /* JdRank_Make; set by admission if it has no ranks */
    const char *account; /* client account, NULL or empty: none */
    uint64_t rate;       /* of the account, requests per 1000 s, 0: no limit */
    double tag;          /* JdShares_Tag */
    bool is_late;        /* can no longer finish by its soft deadline */
    bool is_queued;
    bool is_running;
} JdWork;

typedef struct JdAdmissionOps {
    /* The work got a slot and must be sent to the target now. */
    void (*start)(void *ctx, JdWork *work);
    /* Queued work is refused; it did not run. */
    void (*refuse)(void *ctx, JdWork *work, JdReason reason);
} JdAdmissionOps;

typedef struct JdAdmission {
    unsigned slots;
    unsigned queue_limit;
    unsigned running;
    unsigned queued;
    uint64_t freed_at;          /* last time at which work gave up a slot */
    JdServiceTime service_time; /* mean over all work */
    /* expected us of started work by rank, decaying exponentially */
    double recent_load[JD_RANKS];
    uint64_t recent_load_at; /* time of the last decay */
    JdRateLimit rate_limit;
    JdShares shares;
    JdCutoff cutoff;
    JdBacklog backlog;
    bool has_ranks; /* the caller ranks the work; else priorities do */
    bool is_closed; /* takes no new work */
    bool is_halted; /* starts no work: the target leaves */
    TAILQ_HEAD(JdWorkHead, JdWork) queue;
    JdClock *clock;
    JdTimer deadline_timer;
    const JdAdmissionOps *ops;
    void *ctx;
} JdAdmission;

void JdAdmission_Init(JdAdmission *ad, unsigned slots, unsigned queue_limit,
                      JdClock *clk, const JdAdmissionOps *ops, void *ctx);
void JdAdmission_Finish(JdAdmission *ad);
JdReason JdAdmission_Offer(JdAdmission *ad, JdWork *work);
void JdAdmission_FreeSlot(JdAdmission *ad, JdWork *work, bool is_typical);
void JdAdmission_RecordAbort(JdAdmission *ad, const JdWork *work);
void JdAdmission_Cancel(JdAdmission *ad, JdWork *work);
void JdAdmission_SetSlots(JdAdmission *ad, unsigned slots);
void JdAdmission_SetRateLimit(JdAdmission *ad, unsigned rate);
bool JdAdmission_IsRateLimited(JdAdmission *ad, unsigned priority);
uint64_t JdAdmission_RateLimitWait(JdAdmission *ad, unsigned priority);
uint64_t JdAdmission_RetryAfter(const JdAdmission *ad);
void JdAdmission_Close(JdAdmission *ad);
void JdAdmission_Halt(JdAdmission *ad);
void JdAdmission_Resume(JdAdmission *ad);
bool JdAdmission_TakesWork(const JdAdmission *ad);
unsigned JdAdmission_Load(const JdAdmission *ad);
bool JdAdmission_IsFull(const JdAdmission *ad);
bool JdAdmission_HasFreeSlot(const JdAdmission *ad);

/* ---- budget.c: retries as a share of first attempts -------------------- */

typedef struct JdRetryBudget {
    int64_t credit;     /* hundredths of a retry; below 0: debt */
    int64_t max_credit; /* upper bound of the credit */
} JdRetryBudget;

/* Parameters for the credit that a first attempt earns. */
typedef struct JdRetryBudgetParams {
    unsigned retry_percent; /* retries allowed for 100 first attempts */
    /* percent of the first attempts that are made on behalf of a retry */
    unsigned nested_retry_percent;
    unsigned node_count; /* nodes that share the budget, 0: unknown */
} JdRetryBudgetParams;

void JdRetryBudget_Init(JdRetryBudget *bg);
void JdRetryBudget_RecordFirstAttempt(JdRetryBudget *bg,
                                      const JdRetryBudgetParams *params);
bool JdRetryBudget_Take(JdRetryBudget *bg, unsigned priority);

/* ---- start.c: requests that arrive while a node starts ----------------- */

uint64_t JdStartup_WaitUntil(uint64_t started, uint64_t arrived,
                             uint64_t timeout);
uint64_t JdStartup_RetryAfter(uint64_t started, uint64_t now);

/* ---- claim.c: idempotency keys that are claimed on the log ------------- */

/* Size of an idempotency key in bytes, with its NUL. */
#define JD_KEY_MAX JD_NAME_MAX

typedef enum JdClaimState {
    JD_CLAIM_IDLE,
    JD_CLAIM_PENDING,   /* waits for the next batch */
    JD_CLAIM_SENDING,   /* its batch is in flight */
    JD_CLAIM_HELD,      /* granted */
    JD_CLAIM_RELEASING, /* its release is not on the log yet */
    JD_CLAIM_STATE_MAX
} JdClaimState;

/* One claim of a key.  The caller owns its memory. */
typedef struct JdClaim {
    TAILQ_ENTRY(JdClaim) link;
    JdClaimState state;
    char key[JD_KEY_MAX];
    uint64_t requested_at; /* by the local clock, before the append */
} JdClaim;

typedef struct JdClaimsOps {
    /* Appends a record; pass the result to JdClaims_OnAppend(). */
    void (*append)(void *ctx, const char *text, uint64_t token);
    /* Reads the stream; pass the result to JdClaims_OnRead(). */
    void (*read)(void *ctx, uint64_t from, unsigned max_records,
                 uint64_t token);
    /* This claim holds the key: the work may be sent. */
    void (*granted)(void *ctx, JdClaim *claim);
    /* The work must not be sent: JD_REASON_KEY_TAKEN or _CLAIM_FAILED. */
    void (*denied)(void *ctx, JdClaim *claim, JdReason reason);
    /* The key is free again, or its release could not be appended. */
    void (*released)(void *ctx, JdClaim *claim);
} JdClaimsOps;

/* Claims that one node makes on the stream of its service. */
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
    void *holders;        /* GHashTable: key to Holder */
    void *voided_batches; /* GHashTable: set of batch keys */
    uint64_t next_offset; /* after the last applied record */
    uint64_t purged_at;   /* the log's time of the last purge of old keys */
    /* timestamp of the first record after unread records that the log has
     * deleted; 0: none were deleted, UINT64_MAX: not read yet */
    uint64_t oldest_record_at;
    uint64_t batch_id;      /* of the last batch that was sent */
    uint64_t token;         /* results with another token are ignored */
    uint64_t batch_to_void; /* batch that a record must void, 0: none */
    bool is_batch_in_flight;
    bool is_outcome_unknown; /* the append may or may not have succeeded */
    /* reads up to the end of the stream that did not find the batch */
    unsigned reads_without_batch;
    uint64_t batch_offset; /* UINT64_MAX: unknown */
    uint64_t sent_at;
    JdTimer timer;
} JdClaims;

void JdClaims_Init(JdClaims *cl, const char *node, uint64_t incarnation,
                   uint64_t hold_time, JdClock *clk, JdCounters *ctr,
                   const JdClaimsOps *ops, void *ctx);
void JdClaims_Finish(JdClaims *cl);
void JdClaims_Acquire(JdClaims *cl, JdClaim *claim, const char *key);
void JdClaims_Release(JdClaims *cl, JdClaim *claim);
void JdClaims_Abandon(JdClaims *cl, JdClaim *claim);
bool JdClaims_IsUsable(const JdClaims *cl, const JdClaim *claim);
void JdClaims_OnAppend(JdClaims *cl, uint64_t token, JdStatus status,
                       uint64_t offset);
void JdClaims_OnRead(JdClaims *cl, uint64_t token, const JdLogAnswer *ans);

/* ---- target.c: state of the target next to a node ---------------------- */

/* Heartbeat of a target. */
typedef struct JdHeartbeat {
    char id[JD_NAME_MAX]; /* of the target process */
    char address[JD_ADDRESS_MAX];
    char service[JD_NAME_MAX];
    uint64_t started; /* start of the process, in ms since 1970 */
    uint64_t seq;     /* orders the heartbeats of one process */
    unsigned slots;
    bool is_draining;
    char version[JD_NAME_MAX]; /* of the target's software, empty: unknown */
    uint64_t warmup_left;      /* us until it is as fast as it gets */
} JdHeartbeat;

typedef enum JdHeartbeatResult {
    JD_HEARTBEAT_CHANGED,   /* new process, alive again, or began to drain */
    JD_HEARTBEAT_UNCHANGED, /* same state as before */
    JD_HEARTBEAT_STALE,     /* from an ended process or out of order */
    JD_HEARTBEAT_RESULT_MAX
} JdHeartbeatResult;

/* A target process that has deregistered.  Processes that have the same id and
 * started earlier count as departed too. */
typedef struct JdDepartedTarget {
    char id[JD_NAME_MAX];
    uint64_t started;
} JdDepartedTarget;

/* Number of departed processes that are remembered. */
#define JD_DEPARTED_TARGETS_MAX 8

typedef struct JdTarget {
    char id[JD_NAME_MAX];
    uint64_t started;
    uint64_t seq;
    uint64_t last_heartbeat;
    unsigned slots;
    bool is_alive;    /* a heartbeat came, and no departure or failure since */
    bool is_draining; /* a heartbeat or an answer said that it leaves */
    /* Limit that its last answer named, in requests per 1000 s; 0: none. */
    unsigned rate_limit;
    uint64_t limit_sent_at; /* latest request whose answer set the limit */
    bool has_answered;      /* told its limit, since it or its node started */
    JdDepartedTarget departed[JD_DEPARTED_TARGETS_MAX];
    unsigned next_departed;
} JdTarget;

bool JdTarget_IsReplacedBy(const JdTarget *tg, const JdHeartbeat *hb);
JdHeartbeatResult JdTarget_Heartbeat(JdTarget *tg, const JdHeartbeat *hb,
                                     uint64_t now);
bool JdTarget_Deregister(JdTarget *tg, const char *id, uint64_t started,
                         uint64_t wall_ms);
void JdTarget_MarkDown(JdTarget *tg);
void JdTarget_ForgetNotices(JdTarget *tg);
bool JdTarget_SetLeaving(JdTarget *tg);
bool JdTarget_SetRateLimit(JdTarget *tg, unsigned rate, uint64_t sent_at);
bool JdTarget_AdoptRateLimit(JdTarget *tg, uint64_t started, unsigned rate);

/* ---- choice.c, candidates.c: load balancing between the targets of an
 * endpoint set --- */

/* Statistics that this node keeps about one target. */
typedef struct JdTargetStats {
    uint64_t incarnation;
    uint64_t target_started;
    uint64_t process_started; /* last known target_started, 0: none */
    uint64_t process_seen_at; /* time at which that process was first seen */
    /* beginning of the slow start; in the future while ejected */
    uint64_t slow_start_at;
    uint64_t ejected_until;
    uint64_t progress_at;  /* last answer, or last send to the idle target */
    uint64_t answered_at;  /* last answer of the target itself */
    uint64_t mean_latency; /* us, moving average */
    unsigned outstanding;
    unsigned consecutive_failures;
    unsigned consecutive_ejections;
    unsigned reported_load;     /* percent of the slots */
    unsigned sent_since_report; /* requests sent since the last load report */
    uint64_t service_time;      /* us, as reported, 0: unknown */
    uint64_t service_time_at;
    /* last time the target refused a request for lack of capacity, 0: never */
    uint64_t last_full_at;
    uint64_t load_reported_at;
    /* What the process `limited_process` last told: its rate limit, 0: none,
     * and the time until which it takes no more requests. */
    uint64_t limited_process;
    unsigned rate_limit;
    uint64_t limited_until;
    /* us until a large response is whole, as reported; 0: unknown */
    uint64_t link_wait;
    uint64_t link_wait_at;
    uint64_t link_unit; /* us that one takes, the least that was reported */
    unsigned large_since_report; /* requests for such sent since */
    JdCutoff cutoff;             /* as its node told last */
    JdTargetView view;           /* for placing by work */
} JdTargetStats;

/* Load of a target, reported by its node with each answer. */
typedef struct JdLoadReport {
    unsigned load; /* running and queued work in percent of its slots */
    uint64_t service_time; /* mean in us, 0: unknown */
    /* What the target says of itself, where its node made this report. */
    bool has_notices;
    uint64_t process;    /* start of the target's process, 0: unknown */
    unsigned rate_limit; /* requests per 1000 s, 0: none */
    uint64_t limit_wait; /* us until its limit allows another request */
    bool is_leaving;     /* the target's process has said that it leaves */
    uint64_t link_wait;  /* us until a large response is whole, 0: unknown */
    /* Ranks that are refused, and the time in us until they are not, 0: none.
     */
    unsigned cutoff_rank;
    uint64_t cutoff_wait;
    JdWorkReport work;
} JdLoadReport;

/* Load balancer of a node.  `region` and `domain` are those of the node. */
typedef struct JdBalancer {
    JdMembers *members;
    JdClock *clock;
    JdRandom *random;
    JdCounters *counters;
    const char *region;
    const char *domain;
    /* The response to the request that is placed is large: links count. */
    bool counts_link;
    JdPlacing *placing; /* NULL: nothing is placed by work */
} JdBalancer;

const char *JdTier_Name(JdTier tier);

/* Members that were already tried for a request. */
typedef struct JdExcludedTargets {
    char (*id)[JD_NAME_MAX];
    unsigned count;
    unsigned full_count; /* how many of them refused for lack of capacity */
    const JdVersionFilter *versions; /* that are allowed, or NULL */
} JdExcludedTargets;

JdMember *JdBalancer_Pick(const JdBalancer *lb, const char *endpoint_set,
                          const JdExcludedTargets *excluded,
                          uint64_t time_left, JdTier *tier);
JdMember *JdBalancer_PickByWork(const JdBalancer *lb, const char *endpoint_set,
                                const char *route,
                                const JdExcludedTargets *excluded,
                                uint64_t time_left, JdTier *tier);
uint64_t JdBalancer_ExpectedTime(const JdBalancer *lb, JdMember *mb,
                                 const char *route);
JdMember *JdBalancer_PickPinned(const JdBalancer *lb, const char *endpoint_set,
                                const JdExcludedTargets *excluded,
                                uint64_t key, JdTier *tier);
unsigned JdBalancer_RateLimit(const JdBalancer *lb, JdMember *mb);
bool JdBalancer_HasReadyTarget(const JdBalancer *lb, const char *endpoint_set,
                               const JdVersionFilter *versions);

/* outcome.c: statistics of the load balancer */
void JdBalancer_RecordSend(const JdBalancer *lb, JdMember *mb);
void JdBalancer_RecordProgress(const JdBalancer *lb, const char *id);
bool JdBalancer_HasAnsweredSince(const JdBalancer *lb, const char *id,
                                 uint64_t since);
void JdBalancer_RecordAnswer(const JdBalancer *lb, const char *id,
                             uint64_t took, const JdLoadReport *rep);
void JdBalancer_RecordFailure(const JdBalancer *lb, const char *id,
                              JdReason reason, const JdLoadReport *rep);
void JdBalancer_RecordSilence(const JdBalancer *lb, const char *id);

#endif

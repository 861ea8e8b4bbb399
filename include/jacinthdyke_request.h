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
    bool is_not_run;      /* the work provably did not run */
    bool is_retry_useful; /* another target may take it now */
    unsigned retry_after; /* ms after which coming back helps, 0: never */
    JdCounter counter;
} JdReasonInfo;

const JdReasonInfo *JdReason_Info(JdReason reason);

/* ---- admit.c: slots and a short queue in front of a target ------------- */

#define JD_PRIORITIES 4

/* The usual time of some kind of work, as a moving average. */
typedef struct JdEstimate {
    uint64_t mean; /* us, 0: unknown */
} JdEstimate;

void JdEstimate_Add(JdEstimate *est, uint64_t took);
void JdEstimate_AddAtLeast(JdEstimate *est, uint64_t took);
void JdEstimate_Fade(JdEstimate *est);

typedef struct JdWork {
    TAILQ_ENTRY(JdWork) link;
    uint64_t deadline;
    uint64_t wanted;   /* time by which its answer is wanted, 0: no matter */
    uint64_t expected; /* us that it will run, 0: as long as others */
    uint64_t started_at;
    unsigned priority; /* 0 is served first */
    bool is_late;      /* can no longer be answered when it is wanted */
    bool is_queued;
    bool is_running;
} JdWork;

typedef struct JdAdmitOps {
    /* The work has a slot and must be sent now. */
    void (*start)(void *ctx, JdWork *work);
    /* Work that was queued is refused; it did not run. */
    void (*refuse)(void *ctx, JdWork *work, JdReason reason);
} JdAdmitOps;

typedef struct JdAdmit {
    unsigned slots;
    unsigned queue_most;
    unsigned running;
    unsigned queued;
    JdEstimate service;           /* of all work */
    double recent[JD_PRIORITIES]; /* us of work started, fading */
    uint64_t recent_at;
    bool is_closed;
    TAILQ_HEAD(JdWorkHead, JdWork) queue;
    JdClock *clock;
    JdTimer expire;
    const JdAdmitOps *ops;
    void *ctx;
} JdAdmit;

void JdAdmit_Init(JdAdmit *ad, unsigned slots, unsigned queue_most,
                  JdClock *clk, const JdAdmitOps *ops, void *ctx);
void JdAdmit_Finish(JdAdmit *ad);
JdReason JdAdmit_Offer(JdAdmit *ad, JdWork *work);
void JdAdmit_Done(JdAdmit *ad, JdWork *work, bool is_whole);
void JdAdmit_Cut(JdAdmit *ad, const JdWork *work);
void JdAdmit_Withdraw(JdAdmit *ad, JdWork *work);
void JdAdmit_SetSlots(JdAdmit *ad, unsigned slots);
uint64_t JdAdmit_RetryAfter(const JdAdmit *ad);
void JdAdmit_Close(JdAdmit *ad);
unsigned JdAdmit_Load(const JdAdmit *ad);
bool JdAdmit_IsFull(const JdAdmit *ad);
bool JdAdmit_HasSlot(const JdAdmit *ad);

/* ---- budget.c: retries as a share of first tries ----------------------- */

typedef struct JdBudget {
    int64_t credit;  /* hundredths of a retry; below 0: owed */
    int64_t reserve; /* the most of it that is saved up */
} JdBudget;

/* What a first try earns. */
typedef struct JdBudgetRate {
    unsigned percent;   /* retries for 100 first tries */
    unsigned inherited; /* of 100 first tries, those made by retried runs */
    unsigned nodes;     /* that share the budget, 0: not known */
} JdBudgetRate;

void JdBudget_Init(JdBudget *bg);
void JdBudget_First(JdBudget *bg, const JdBudgetRate *rate);
bool JdBudget_Take(JdBudget *bg, unsigned priority);

/* ---- start.c: requests that come while a node starts ------------------- */

uint64_t JdStart_WaitUntil(uint64_t started, uint64_t arrived,
                           uint64_t timeout);
uint64_t JdStart_RetryAfter(uint64_t started, uint64_t now);

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
    uint64_t asked_at; /* own clock, before anything was sent */
} JdClaim;

typedef struct JdClaimsOps {
    /* Appends a record; JdClaims_Appended takes the result. */
    void (*append)(void *ctx, const char *text, uint64_t token);
    /* Reads the stream; JdClaims_Answer takes the result. */
    void (*read)(void *ctx, uint64_t from, unsigned most, uint64_t token);
    /* The key is this claim's: the work may be sent. */
    void (*won)(void *ctx, JdClaim *claim);
    /* The work must not be sent: JD_REASON_KEY_TAKEN or _CLAIM_FAILED. */
    void (*lost)(void *ctx, JdClaim *claim, JdReason reason);
    /* The key is free again, or its release could not be recorded. */
    void (*released)(void *ctx, JdClaim *claim);
} JdClaimsOps;

/* The claims of one node on the stream of its service. */
typedef struct JdClaims {
    char node[JD_NAME_MAX];
    uint64_t incarnation;
    uint64_t hold;      /* us for which a key stays claimed */
    uint64_t gap;       /* us between two appends */
    uint64_t retention; /* us for which the log keeps records, 0: unknown */
    JdClock *clock;
    JdCounters *counters;
    const JdClaimsOps *ops;
    void *ctx;
    TAILQ_HEAD(JdClaimHead, JdClaim) pending;
    struct JdClaimHead sending;
    void *taken; /* hash tables of the implementation */
    void *voided;
    uint64_t next;      /* offset after the last record that was applied */
    uint64_t purged_at; /* log's time at which old keys were forgotten */
    uint64_t oldest;    /* time of the oldest record that was read, 0: all */
    uint64_t batch;
    uint64_t token;
    uint64_t void_batch; /* a batch that must be voided, 0: none */
    bool is_sending;
    bool is_unsure;  /* the answer to the append was lost */
    unsigned reads;  /* of the settling of an unsure batch */
    uint64_t offset; /* of the batch, once known */
    uint64_t sent_at;
    JdTimer timer;
} JdClaims;

void JdClaims_Init(JdClaims *cl, const char *node, uint64_t incarnation,
                   uint64_t hold, JdClock *clk, JdCounters *ctr,
                   const JdClaimsOps *ops, void *ctx);
void JdClaims_Finish(JdClaims *cl);
void JdClaims_Take(JdClaims *cl, JdClaim *claim, const char *key);
void JdClaims_Release(JdClaims *cl, JdClaim *claim);
void JdClaims_Abandon(JdClaims *cl, JdClaim *claim);
bool JdClaims_IsUsable(const JdClaims *cl, const JdClaim *claim);
void JdClaims_Appended(JdClaims *cl, uint64_t token, JdStatus status,
                       uint64_t offset);
void JdClaims_Answer(JdClaims *cl, uint64_t token, const JdLogAnswer *ans);

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

typedef enum JdBeat {
    JD_BEAT_NEWS, /* another process, or it began to drain */
    JD_BEAT_SAME, /* it goes on as before */
    JD_BEAT_OLD,  /* late: of an ended process, or out of order */
    JD_BEAT_MAX
} JdBeat;

/* A process that has left, and all with its id that started before. */
typedef struct JdTargetGone {
    char id[JD_NAME_MAX];
    uint64_t started;
} JdTargetGone;

/* Processes that left and are remembered. */
#define JD_TARGET_GONE_MAX 8

typedef struct JdTarget {
    char id[JD_NAME_MAX];
    uint64_t started;
    uint64_t seq;
    uint64_t heard;
    unsigned slots;
    bool is_known; /* lives, as far as this node knows */
    bool is_draining;
    JdTargetGone gone[JD_TARGET_GONE_MAX];
    unsigned next_gone;
} JdTarget;

JdBeat JdTarget_Heartbeat(JdTarget *tg, const JdHeartbeat *hb, uint64_t now);
bool JdTarget_Leave(JdTarget *tg, const char *id, uint64_t started,
                    uint64_t wall);
void JdTarget_Lost(JdTarget *tg);

/* ---- choice.c: which target takes a request ---------------------------- */

/* What this node has seen of one target. */
typedef struct JdTargetStat {
    uint64_t incarnation;
    uint64_t target_started;
    uint64_t warm_from; /* start of the slow start */
    uint64_t ejected_until;
    uint64_t progress_at; /* last answer, or first send after idleness */
    uint64_t latency;     /* us, moving average */
    unsigned outstanding;
    unsigned failures;   /* in a row */
    unsigned ejections;  /* in a row */
    unsigned load;       /* percent of slots, as the target's node said */
    unsigned sent_since; /* sent by this node since it said so */
    uint64_t service;    /* us, usual time of work there, 0: unknown */
    uint64_t service_at;
    uint64_t full_at; /* time of its last refusal for lack of room, 0: none */
    uint64_t load_at;
} JdTargetStat;

/* What the node of a target tells of it with each answer. */
typedef struct JdTargetReport {
    unsigned load;    /* running and waiting work, in percent of its slots */
    uint64_t service; /* us, usual time of its work, 0: unknown */
} JdTargetReport;

typedef struct JdChooser {
    JdMembers *members;
    JdClock *clock;
    JdRandom *random;
    JdCounters *counters;
    const char *region;
    const char *domain;
} JdChooser;

typedef enum JdTier {
    JD_TIER_DOMAIN,
    JD_TIER_REGION,
    JD_TIER_FAR,
    JD_TIER_MAX
} JdTier;

const char *JdTier_Name(JdTier tier);

/* Members that are not to be chosen again for a request. */
typedef struct JdAvoid {
    char (*id)[JD_NAME_MAX];
    unsigned count;
    unsigned full; /* of these, refused for lack of room */
} JdAvoid;

JdMember *JdChooser_Pick(const JdChooser *ch, const char *endpoint_set,
                         const JdAvoid *avoid, uint64_t wanted, JdTier *tier);
bool JdChooser_HasTarget(const JdChooser *ch, const char *endpoint_set);

/* outcome.c: what the choice learns from requests */
void JdChooser_Sent(const JdChooser *ch, JdMember *mb);
void JdChooser_Answered(const JdChooser *ch, const char *id, uint64_t took,
                        const JdTargetReport *rep);
void JdChooser_Failed(const JdChooser *ch, const char *id, JdReason reason,
                      const JdTargetReport *rep);

#endif

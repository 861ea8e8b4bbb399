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
    unsigned retry_after; /* s after which coming back helps, 0: never */
    JdCounter counter;
} JdReasonInfo;

const JdReasonInfo *JdReason_Info(JdReason reason);

/* ---- admit.c: slots and a short queue in front of a target ------------- */

#define JD_PRIORITIES 4

typedef struct JdWork {
    TAILQ_ENTRY(JdWork) link;
    uint64_t deadline;
    uint64_t started_at;
    unsigned priority; /* 0 is served first */
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
    uint64_t service_time; /* us, moving average; 0: unknown */
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
void JdAdmit_Withdraw(JdAdmit *ad, JdWork *work);
void JdAdmit_Close(JdAdmit *ad);
unsigned JdAdmit_Load(const JdAdmit *ad);

/* ---- budget.c: retries as a share of first tries ----------------------- */

typedef struct JdBudget {
    uint64_t credit; /* hundredths of a retry */
} JdBudget;

void JdBudget_Init(JdBudget *bg);
void JdBudget_First(JdBudget *bg, unsigned percent);
bool JdBudget_Take(JdBudget *bg);

/* ---- choice.c: which target takes a request ---------------------------- */

/* What this node has seen of one target. */
typedef struct JdTargetStat {
    uint64_t incarnation;
    uint64_t warm_from;     /* start of the slow start */
    uint64_t ejected_until;
    uint64_t progress_at;   /* last answer, or first send after idleness */
    uint64_t latency;       /* us, moving average */
    unsigned outstanding;
    unsigned failures;      /* in a row */
    unsigned ejections;     /* in a row */
    unsigned load;          /* percent of slots, as the target's node said */
    uint64_t load_at;
} JdTargetStat;

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

JdMember *JdChooser_Pick(const JdChooser *ch, const char *endpoint_set,
                         const char *avoid, JdTier *tier);
void JdChooser_Sent(const JdChooser *ch, JdMember *mb);
void JdChooser_Answered(const JdChooser *ch, const char *id, uint64_t took,
                        unsigned load);
void JdChooser_Failed(const JdChooser *ch, const char *id, JdReason reason,
                      unsigned load);

#endif

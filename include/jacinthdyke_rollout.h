/* Roll-outs: a service moves to targets of a new version.  Do not include this
 * file directly; include jacinthdyke.h. */
#ifndef JACINTHDYKE_ROLLOUT_H
#define JACINTHDYKE_ROLLOUT_H

struct JdMember;
struct JdMembers;
struct JdMemberSet;

/* ---- judge.c: is a version good ---------------------------------------- */

/* Classes of the time that an answer took; each is 1.41 times the one before.
 */
#define JD_ANSWER_TIMES 28

/* Answers of one or several targets on one route. */
typedef struct JdAnswerCounts {
    unsigned answered; /* those that failed included */
    unsigned failed;
    /* Answers of warm targets by their time; those without an answer in time
     * or that were cancelled count with the time until then. */
    unsigned took[JD_ANSWER_TIMES];
} JdAnswerCounts;

void JdAnswerCounts_AddTime(JdAnswerCounts *ac, uint64_t took);
void JdAnswerCounts_Add(JdAnswerCounts *sum, const JdAnswerCounts *ac);
void JdAnswerCounts_Subtract(JdAnswerCounts *ac, const JdAnswerCounts *before);

typedef enum JdVerdict {
    JD_VERDICT_UNKNOWN, /* too few answers */
    JD_VERDICT_GOOD,
    JD_VERDICT_FAILING, /* fails more often than the old version */
    JD_VERDICT_SLOW,    /* is several times slower more often */
    JD_VERDICT_MAX
} JdVerdict;

const char *JdVerdict_Name(JdVerdict verdict);
bool JdVerdict_IsBad(JdVerdict verdict);

/* Answers of one route in the same time. */
typedef struct JdRouteAnswers {
    JdAnswerCounts of_old; /* all targets of old versions together */
    JdAnswerCounts of_new; /* all targets of the new version together */
    /* The new target with the most failures, and that with the most time. */
    JdAnswerCounts most_failing;
    JdAnswerCounts slowest;
    unsigned new_targets; /* that have answered often enough to compare */
} JdRouteAnswers;

void JdRouteAnswers_AddOld(JdRouteAnswers *ra, const JdAnswerCounts *ac);
void JdRouteAnswers_AddNew(JdRouteAnswers *ra, const JdAnswerCounts *ac);
JdVerdict JdRouteAnswers_Judge(const JdRouteAnswers *ra);

/* ---- rollout.c: roll-outs that a node knows ---------------------------- */

/* Where a roll-out stands; it never goes back.  A roll-back that is recorded
 * and a success exclude each other. */
typedef enum JdRolloutStep {
    JD_ROLLOUT_HELD,        /* ordered: the new version gets nothing yet */
    JD_ROLLOUT_CANARY,      /* it gets a small share */
    JD_ROLLOUT_FULL,        /* it gets all requests */
    JD_ROLLOUT_STOPPED,     /* found bad, not recorded yet: it gets nothing */
    JD_ROLLOUT_SUCCEEDED,   /* recorded at the source */
    JD_ROLLOUT_ROLLED_BACK, /* recorded at the source */
    JD_ROLLOUT_STEP_MAX
} JdRolloutStep;

const char *JdRolloutStep_Name(JdRolloutStep step);

/* An order, identified by its place at the source of configuration. */
typedef struct JdRolloutOrder {
    char service[JD_NAME_MAX];
    char version[JD_NAME_MAX]; /* that the service is to move to */
    uint64_t epoch;            /* of the source */
    uint64_t offset;
    uint64_t duration; /* us */
} JdRolloutOrder;

typedef struct JdRollout {
    TAILQ_ENTRY(JdRollout) link;
    TAILQ_ENTRY(JdRollout) pending_link;
    JdRolloutOrder order;
    JdRolloutStep step;
    /* Version that an earlier order rolled back: gets nothing.  Or empty. */
    char barred[JD_NAME_MAX];
    uint64_t deadline;    /* of the order, by the local clock */
    uint64_t changed_at;  /* time of the last change of the step */
    JdRolloutStep record; /* what the source holds; JD_ROLLOUT_HELD: nothing */
    unsigned credit;      /* of the canary, in 1/1000 of a request */
    bool is_pending;      /* a change is not forwarded yet */
    uint64_t source_link; /* link that the last change came over, 0: none */
} JdRollout;

typedef struct JdRollouts {
    TAILQ_HEAD(JdRolloutList, JdRollout) all;
    struct JdRolloutList pending;
    unsigned count;
    /* Largest share of a service's requests for a version under test, in
     * 1/1000. */
    unsigned exposed_permille;
    JdClock *clock;
    JdRandom *random;
    /* A roll-out was added or has changed its step. */
    void (*changed)(void *ctx, JdRollout *ro);
    void *ctx;
} JdRollouts;

void JdRollouts_Init(JdRollouts *rs, JdClock *clk, JdRandom *rnd);
void JdRollouts_Finish(JdRollouts *rs);
JdRollout *JdRollouts_Find(const JdRollouts *rs, const char *service);
JdRollout *JdRollouts_Merge(JdRollouts *rs, const JdRolloutOrder *order,
                            JdRolloutStep step, uint64_t left,
                            uint64_t source_link);
void JdRollouts_SetStep(JdRollouts *rs, JdRollout *ro, JdRolloutStep step,
                        uint64_t source_link);
void JdRollouts_Bar(JdRollouts *rs, JdRollout *ro, const char *version,
                    uint64_t source_link);
void JdRollouts_ClearPending(JdRollouts *rs, JdRollout *ro);
bool JdRollout_HasOrder(const JdRollout *ro, uint64_t epoch, uint64_t offset);
bool JdRollout_IsFinal(const JdRollout *ro);
bool JdRollout_IsUnderWay(const JdRollout *ro);

/* ---- choice of a version for a request --------------------------------- */

typedef enum JdVersionChoice {
    JD_CHOICE_ANY,    /* any but a version that has just appeared unordered */
    JD_CHOICE_OLD,    /* any but the new version */
    JD_CHOICE_CANARY, /* the few targets of the new version under test */
    JD_CHOICE_NEW,
    JD_CHOICE_MAX
} JdVersionChoice;

/* What one request may be sent to; set at its first attempt. */
typedef struct JdRequestVersion {
    bool is_drawn;
    bool is_canary; /* belongs to the canary's share */
} JdRequestVersion;

/* Targets of an endpoint set that a request may be sent to. */
typedef struct JdVersionFilter {
    const JdRollout *rollout; /* NULL: none is known for the service */
    JdVersionChoice choice;
    uint64_t canary_rank;  /* highest rank of a target under test */
    bool allows_unordered; /* also a version that has just appeared */
    bool is_old_gone;      /* no old target is left: only new ones remain */
    uint64_t now;
} JdVersionFilter;

void JdVersionFilter_Init(JdVersionFilter *vf, JdRollouts *rs,
                          const char *service,
                          const struct JdMemberSet *members,
                          JdRequestVersion *rv, bool may_test);
bool JdVersionFilter_Allows(const JdVersionFilter *vf,
                            const struct JdMember *mb);
bool JdVersionFilter_Widen(JdVersionFilter *vf,
                           const struct JdMemberSet *members);

bool JdRollouts_IsOldVersion(const JdRollouts *rs, const struct JdMember *mb);

/* ---- report.c: what nodes count ---------------------------------------- */

/* Names of routes that are counted apart; others are counted together. */
#define JD_COUNTED_ROUTES 48
#define JD_ROUTE_TEXT_MAX 208

/* Answers of one route by one version at one node's target. */
typedef struct JdRouteCounts {
    char route[JD_ROUTE_TEXT_MAX];
    bool is_new;
    JdAnswerCounts total; /* since the order */
    /* Totals at the last two ticks of JdRolloutReports_Mark. */
    JdAnswerCounts mark[2];
} JdRouteCounts;

/* The newest report of one process of a node on one roll-out. */
typedef struct JdRolloutReport {
    TAILQ_ENTRY(JdRolloutReport) link;
    TAILQ_ENTRY(JdRolloutReport) pending_link;
    char node[JD_NAME_MAX];
    uint64_t incarnation;
    uint64_t seq;
    char service[JD_NAME_MAX];
    uint64_t epoch;
    uint64_t offset;
    JdRolloutStep step;
    unsigned old_running; /* requests under way at targets of old versions */
    void *routes;         /* GArray of JdRouteCounts */
    bool is_pending;      /* not forwarded to the parent yet */
    bool is_changed;      /* own report: differs from what was sent */
} JdRolloutReport;

typedef struct JdRolloutReports {
    TAILQ_HEAD(JdRolloutReportList, JdRolloutReport) all;
    struct JdRolloutReportList pending;
} JdRolloutReports;

void JdRolloutReports_Init(JdRolloutReports *rr);
void JdRolloutReports_Finish(JdRolloutReports *rr);
JdRolloutReport *JdRolloutReports_Get(JdRolloutReports *rr,
                                      const JdRollout *ro, const char *node,
                                      uint64_t incarnation);
JdRolloutReport *JdRolloutReports_Find(const JdRolloutReports *rr,
                                       const JdRollout *ro, const char *node,
                                       uint64_t incarnation);
bool JdRolloutReport_IsAbout(const JdRolloutReport *rp, const JdRollout *ro);
JdRouteCounts *JdRolloutReport_Route(JdRolloutReport *rp, const char *route,
                                     bool is_new);
void JdRolloutReport_Count(JdRolloutReport *rp, const char *route, bool is_new,
                           bool is_failed);
bool JdRolloutReports_Update(JdRolloutReports *rr, const JdRollout *ro,
                             const Jd__RolloutReport *msg);
void JdRolloutReports_SetPending(JdRolloutReports *rr, JdRolloutReport *rp);
void JdRolloutReports_ClearPending(JdRolloutReports *rr, JdRolloutReport *rp);
void JdRolloutReports_Mark(JdRolloutReports *rr);
void JdRolloutReports_Drop(JdRolloutReports *rr, const JdRollouts *rs);

/* ---- director.c: decides on roll-outs ---------------------------------- */

/* The counts that decide a step, for the log. */
typedef struct JdRolloutFinding {
    JdVerdict verdict;
    char route[JD_ROUTE_TEXT_MAX]; /* that decides; empty: all */
    JdRouteAnswers answers;        /* on that route, or on all */
    unsigned unconfirmed;          /* nodes that have not confirmed the step */
    unsigned old_running;
} JdRolloutFinding;

typedef struct JdDirectorOps {
    /* Returns whether this node is the one to decide. */
    bool (*may_decide)(void *ctx);
    /* Writes the state `step` of a roll-out to the source, under the condition
     * that nothing was written there since the states were read.
     * JdDirector_OnWritten follows. */
    void (*write)(void *ctx, const JdRollout *ro, JdRolloutStep step);
    /* Reads the states again; JdDirector_OnRecord for each, then
     * JdDirector_OnLoaded follow. */
    void (*load)(void *ctx);
    /* A step was decided. */
    void (*decided)(void *ctx, const JdRollout *ro,
                    const JdRolloutFinding *finding);
} JdDirectorOps;

/* Decides on all roll-outs while this node is root and reads the source. */
typedef struct JdDirector {
    JdRollouts *rollouts;
    JdRolloutReports *reports;
    const struct JdMembers *members;
    JdClock *clock;
    const JdDirectorOps *ops;
    void *ctx;
    bool is_active;
    bool is_loaded; /* knows the states at the source */
    bool is_loading;
    bool is_writing;
    char written_service[JD_NAME_MAX];
    uint64_t written_epoch;
    uint64_t written_offset;
    JdRolloutStep written_step;
    uint64_t retry_at; /* next call to the source after a failure */
    uint64_t marked_at;
    JdTimer timer;
} JdDirector;

void JdDirector_Init(JdDirector *di, JdRollouts *rs, JdRolloutReports *rr,
                     const struct JdMembers *ms, JdClock *clk,
                     const JdDirectorOps *ops, void *ctx);
void JdDirector_Finish(JdDirector *di);
void JdDirector_Wake(JdDirector *di);
bool JdDirector_HasWork(const JdDirector *di);
void JdDirector_OnOrder(JdDirector *di, const JdRolloutOrder *order);
void JdDirector_OnRecord(JdDirector *di, const JdRolloutOrder *order,
                         JdRolloutStep record, uint64_t left);
void JdDirector_OnLoaded(JdDirector *di, JdStatus status);
void JdDirector_OnWritten(JdDirector *di, JdStatus status);
void JdDirector_Judge(const JdDirector *di, const JdRollout *ro,
                      bool is_recent, JdRolloutFinding *out);

#endif

/*
 * Decisions when callers ask for more than the targets can do.  Include
 * jacinthdyke.h instead of this file.
 */
#ifndef JACINTHDYKE_SHORTAGE_H
#define JACINTHDYKE_SHORTAGE_H

/* ---- lib/admission/policy.c: where these decisions apply --------------- */

bool JdConfig_AsksForShares(const JdConfig *cfg);

/* ---- lib/admission/rank.c: the order in which requests are served ------ */

/* Number of priorities of routes and of client accounts; 0 is served first. */
#define JD_PRIORITIES 4
/* Number of ranks; 0 is served first. */
#define JD_RANKS (JD_PRIORITIES * JD_PRIORITIES * 2)

unsigned JdRank_Make(unsigned account_priority, unsigned route_priority,
                     bool is_call);
unsigned JdRank_OfRequest(const Jd__Request *msg);

/* ---- lib/admission/share.c: fair shares between client accounts -------- */

/* Start-time fair queueing: an account's work is tagged with the account's
 * virtual time, and of two accounts the one with the lower tag is next. */
typedef struct JdShares {
    void *finish;          /* GHashTable: rank and account to a virtual time */
    double time[JD_RANKS]; /* virtual time: highest tag that was started */
} JdShares;

/* Work of one account. */
typedef struct JdShareClaim {
    const char *account; /* NULL or empty: takes no part */
    unsigned rank;
    uint64_t rate; /* of the account, in requests per 1000 s, 0: no limit */
    uint64_t cost; /* expected run time in us */
} JdShareClaim;

void JdShares_Init(JdShares *sh);
void JdShares_Finish(JdShares *sh);
double JdShares_Tag(const JdShares *sh, const JdShareClaim *cl);
void JdShares_Charge(JdShares *sh, const JdShareClaim *cl, double tag);
void JdShares_Refund(JdShares *sh, const JdShareClaim *cl);
void JdShares_Start(JdShares *sh, unsigned rank, double tag);

/* ---- lib/admission/cutoff.c: ranks that a target refuses for now ------- */

/* Work of `rank` and lower ones is refused until `until`. */
typedef struct JdCutoff {
    unsigned rank;
    uint64_t until; /* 0: none */
} JdCutoff;

void JdCutoff_Note(JdCutoff *co, unsigned rank, uint64_t until, uint64_t now);
bool JdCutoff_Refuses(const JdCutoff *co, unsigned rank, uint64_t now);

/* ---- lib/admission/backlog.c: queues that stand, and bursts ------------- */

/* The queue in front of a target, by rank: of the work of a rank and of all
 * higher ones, how much waits, and since when some has without a break. */
typedef struct JdBacklog {
    unsigned queued[JD_RANKS];
    uint64_t began_at[JD_RANKS];
} JdBacklog;

void JdBacklog_Add(JdBacklog *bl, unsigned rank, uint64_t now);
void JdBacklog_Remove(JdBacklog *bl, unsigned rank);
uint64_t JdBacklog_LongestWait(const JdBacklog *bl, unsigned rank,
                               uint64_t mean, uint64_t now);

/* ---- lib/admission/promise.c: when refused callers may return ---------- */

/* Room that refused callers were told to come back for. */
typedef struct JdPromises {
    double owed[JD_RANKS]; /* expected run time in us, by rank */
    uint64_t updated_at;
} JdPromises;

uint64_t JdPromises_Make(JdPromises *pr, unsigned rank, uint64_t cost,
                         double slots, uint64_t now);

/* ---- lib/admission/transit.c: time that messages spend on the way ------ */

/* One direction of a connection. */
typedef struct JdTransit {
    bool is_known;
    uint32_t least_offset_ms; /* between the clocks, with the usual delay */
    uint64_t raised_at;       /* time up to which drift is allowed for */
} JdTransit;

uint32_t JdTransit_Stamp(uint64_t now);
uint64_t JdTransit_Record(JdTransit *tr, uint32_t stamp, uint64_t now);

#endif

/* Placing of work on targets of uneven speed and load.  Do not include this
 * file directly; include jacinthdyke.h. */
#ifndef JACINTHDYKE_BALANCE_H
#define JACINTHDYKE_BALANCE_H

/* Locality of a target, as seen from this node. */
typedef enum JdTier {
    JD_TIER_DOMAIN, /* same failure domain */
    JD_TIER_REGION, /* another failure domain of the region */
    JD_TIER_FAR,    /* another region */
    JD_TIER_MAX
} JdTier;

/* ---- speed.c: run times of routes and the speed of targets ------------- */

/* Mean run time of the requests of one route. */
typedef struct JdRunTime {
    double mean; /* us, 0: unknown */
    unsigned samples;
} JdRunTime;

void JdRunTime_Add(JdRunTime *rt, double took);

/* Present run times of a target as a multiple of its usual ones. */
typedef struct JdPace {
    double ratio;
    uint64_t updated_at; /* 0: unknown */
} JdPace;

void JdPace_Add(JdPace *pc, double ratio, uint64_t now);
double JdPace_Factor(const JdPace *pc, uint64_t now);

/* ---- work.c: work ahead at a target ------------------------------------ */

/* What the node of a target reports of it with an answer, and what the sender
 * measured. */
typedef struct JdWorkReport {
    const char *route;   /* of the answered request, NULL: no report */
    uint64_t route_time; /* mean run time of that route there, us */
    unsigned load;     /* running work and what waits, by its expected time, in
                          percent of the slots */
    uint64_t held;     /* time from the request's arrival there to its end */
    uint64_t body_len; /* bytes of the answer */
    unsigned domain_load; /* load of the targets of that node's domain, in
                             percent and 1 more, 0: unknown */
} JdWorkReport;

/* What a sender knows of one target. */
typedef struct JdTargetView {
    /* Run times as a multiple of those of all targets, 0: unknown. */
    double slowness;
    double load; /* expected time of its work per slot by its mean run time */
    uint64_t reported_at; /* 0: never */
    unsigned outstanding; /* requests of this node */
    unsigned sent;        /* requests of this node since the report */
} JdTargetView;

double JdTargetView_Slowness(const JdTargetView *tv);
double JdTargetView_Load(const JdTargetView *tv, unsigned slots,
                         double mean_load, double run_time, uint64_t now);
double JdWork_Wait(double load, unsigned slots);

/* ---- spread.c: share of the work that leaves a failure domain ---------- */

/* Expected time of a request in a locality tier, and what it is known of. */
typedef struct JdTierWait {
    double capacity; /* slots times speed of its targets, 0: it has none */
    double load;     /* mean of its targets */
    double wait;     /* us, without the round trip there */
    double rtt;      /* round-trip time in us */
} JdTierWait;

typedef struct JdSpread {
    double share[JD_TIER_MAX]; /* of the requests; that of the own domain is
                                  what the others leave */
    double wait[JD_TIER_MAX];  /* us, moving average */
    double load[JD_TIER_MAX];  /* the same */
    uint64_t updated_at;       /* 0: never */
    /* the share is more than a probe, with hysteresis */
    bool is_leaving[JD_TIER_MAX];
} JdSpread;

bool JdSpread_IsDue(const JdSpread *sp, uint64_t now);
bool JdSpread_Update(JdSpread *sp, const JdTierWait tier[JD_TIER_MAX],
                     double run_time, uint64_t now);
JdTier JdSpread_Draw(const JdSpread *sp, JdRandom *rnd);

/* ---- placing.c: what a node knows of the targets it sends to ----------- */

/* What it knows of an endpoint set. */
typedef struct JdPlacingSet {
    void *routes;       /* GHashTable: route to RouteInfo */
    JdRunTime run_time; /* of all requests */
    JdSpread spread;
    /* Load of the targets by tier, and when it was heard of; that of the own
     * domain is computed. */
    double load[JD_TIER_MAX];
    uint64_t load_at[JD_TIER_MAX]; /* 0: never */
} JdPlacingSet;

typedef struct JdPlacing {
    /* Called when requests begin or cease to leave the failure domain for a
     * tier; may be NULL. */
    void (*share_changed)(void *ctx, const char *endpoint_set, JdTier tier,
                          const JdSpread *sp);
    void *ctx;
    void *sets;              /* GHashTable: endpoint set to JdPlacingSet */
    double rtt[JD_TIER_MAX]; /* round-trip time in us, 0: unknown */
} JdPlacing;

void JdPlacing_Init(JdPlacing *pl);
void JdPlacing_Finish(JdPlacing *pl);
unsigned JdPlacing_DomainLoad(const JdPlacing *pl, const char *endpoint_set,
                              uint64_t now);
const JdPlacingSet *JdPlacing_Find(const JdPlacing *pl,
                                   const char *endpoint_set);

#endif

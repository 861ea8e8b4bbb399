/* What a node knows of the targets that it sends to: usual run times by route,
 * the sizes of answers, and the round-trip time to each locality tier. */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Window of the round-trip time to a tier, in answers. */
#define RTT_WINDOW 16
/* Window of the size of a route's answers, in answers. */
#define BODY_WINDOW 16
/* Routes of an endpoint set that are kept. */
#define ROUTES_MAX 1024
/* Mean answer from which a route does not cross regions for its wait. */
#define SMALL_BODY 16384.0
/* Window of the load of a tier, in answers. */
#define LOAD_WINDOW 3
/* Age from which the load of a domain is not passed on. */
#define LOAD_AGE JD_US_PER_S

/* What is known of a route. */
typedef struct RouteInfo {
    JdRunTime time; /* over all targets */
    double body_len;
} RouteInfo;

/* Initializes it without any knowledge. */
void
JdPlacing_Init(JdPlacing *pl)
{
    memset(pl, 0, sizeof(*pl));
}

static void
free_set(void *data)
{
    JdPlacingSet *ps = data;

    g_hash_table_destroy(ps->routes);
    g_free(ps);
}

/* Frees all. */
void
JdPlacing_Finish(JdPlacing *pl)
{
    if (pl->sets != NULL) {
        g_hash_table_destroy(pl->sets);
        pl->sets = NULL;
    }
}

/* Returns what is known of an endpoint set, or NULL. */
const JdPlacingSet *
JdPlacing_Find(const JdPlacing *pl, const char *endpoint_set)
{
    return pl->sets == NULL ? NULL
                            : g_hash_table_lookup(pl->sets, endpoint_set);
}

/* Returns the load of an endpoint set in the own domain as a report has it: in
 * percent and 1 more, 0: unknown. */
unsigned
JdPlacing_DomainLoad(const JdPlacing *pl, const char *endpoint_set,
                     uint64_t now)
{
    const JdPlacingSet *ps = JdPlacing_Find(pl, endpoint_set);

    if (ps == NULL || ps->load_at[JD_TIER_DOMAIN] == 0 ||
        now - ps->load_at[JD_TIER_DOMAIN] > LOAD_AGE) {
        return 0;
    }
    return 1 + (unsigned)(ps->load[JD_TIER_DOMAIN] * 100 + 0.5);
}

/* Returns what is known of an endpoint set, empty at first. */
JdPlacingSet *
_JdPlacing_Get(JdPlacing *pl, const char *endpoint_set)
{
    JdPlacingSet *ps;

    if (pl->sets == NULL) {
        pl->sets =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_set);
    }
    ps = g_hash_table_lookup(pl->sets, endpoint_set);
    if (ps == NULL) {
        ps = g_new0(JdPlacingSet, 1);
        ps->routes =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(pl->sets, g_strdup(endpoint_set), ps);
    }
    return ps;
}

static RouteInfo *
get_route(JdPlacingSet *ps, const char *route)
{
    RouteInfo *info = g_hash_table_lookup(ps->routes, route);

    if (info == NULL) {
        if (g_hash_table_size(ps->routes) >= ROUTES_MAX) {
            g_hash_table_remove_all(ps->routes);
        }
        info = g_new0(RouteInfo, 1);
        g_hash_table_insert(ps->routes, g_strdup(route), info);
    }
    return info;
}

/* Returns the usual run time of a route in us; that of all routes if the route
 * is unknown, and 1 if all are. */
double
_JdPlacingSet_RouteTime(const JdPlacingSet *ps, const char *route)
{
    const RouteInfo *info =
        route == NULL ? NULL : g_hash_table_lookup(ps->routes, route);

    if (info != NULL && info->time.mean > 0) {
        return info->time.mean;
    }
    return ps->run_time.mean > 0 ? ps->run_time.mean : 1;
}

/* Returns whether the answers of a route are known to be small. */
bool
_JdPlacingSet_IsSmall(const JdPlacingSet *ps, const char *route)
{
    const RouteInfo *info =
        route == NULL ? NULL : g_hash_table_lookup(ps->routes, route);

    return info != NULL && info->time.samples > 0 &&
           info->body_len <= SMALL_BODY;
}

static void
record_rtt(JdPlacing *pl, JdTier tier, double rtt)
{
    if (pl->rtt[tier] == 0) {
        pl->rtt[tier] = rtt;
    }
    /* Queues are not a part of the round trip: a longer time counts less. */
    pl->rtt[tier] += (rtt - pl->rtt[tier]) /
                     (rtt > pl->rtt[tier] ? RTT_WINDOW * 4 : RTT_WINDOW);
}

static void
record_load(JdPlacingSet *ps, JdTier tier, double load, uint64_t now)
{
    double window = ps->load_at[tier] == 0 ? 1 : LOAD_WINDOW;

    ps->load[tier] += (load - ps->load[tier]) / window;
    ps->load_at[tier] = now;
}

/* Records the report that came with an answer after `took` us. */
void
_JdPlacing_Record(JdPlacing *pl, const char *endpoint_set, JdTargetView *tv,
                  JdTier tier, const JdWorkReport *rep, uint64_t took,
                  uint64_t now)
{
    JdPlacingSet *ps = _JdPlacing_Get(pl, endpoint_set);
    RouteInfo *info = get_route(ps, rep->route);

    JdRunTime_Add(&info->time, (double)rep->route_time);
    JdRunTime_Add(&ps->run_time, (double)rep->route_time);
    if (took > 0) {
        info->body_len +=
            ((double)rep->body_len - info->body_len) / BODY_WINDOW;
    }
    if (took > rep->held) {
        record_rtt(pl, tier, (double)(took - rep->held));
    }
    _JdTargetView_Add(tv, rep, info->time.mean, now);
    if (tier != JD_TIER_DOMAIN) {
        record_load(ps, tier,
                    rep->domain_load == 0 ? tv->load
                                          : (rep->domain_load - 1) / 100.0,
                    now);
    }
}

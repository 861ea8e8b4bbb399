/* Average run times of the local target's work, by route, and its work ahead.
 */
#include "work_item.h"

/* What is known of a route. */
typedef struct RouteEstimate {
    JdServiceTime service_time; /* for admission */
    JdRunTime run_time;         /* for reports to other nodes */
} RouteEstimate;

/* Initializes a node without estimates. */
void
JdTargetEstimate_Init(JdNode *nd)
{
    nd->route_estimates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static RouteEstimate *
get_route(JdNode *nd, const char *route)
{
    RouteEstimate *est = g_hash_table_lookup(nd->route_estimates, route);

    if (est == NULL) {
        est = g_new0(RouteEstimate, 1);
        g_hash_table_insert(nd->route_estimates, g_strdup(route), est);
    }
    return est;
}

/* Returns the estimate of a route; a new one is 0, unknown. */
JdServiceTime *
JdTargetEstimate_Get(JdNode *nd, const char *route)
{
    return &get_route(nd, route)->service_time;
}

/* Records the run time of a request that the target answered. */
void
JdTargetEstimate_AddRun(JdNode *nd, const char *route, uint64_t took)
{
    JdRunTime *rt = &get_route(nd, route)->run_time;

    if (rt->mean > 0) {
        JdPace_Add(&nd->target_pace, (double)took / rt->mean,
                   JdClock_Now(&nd->loop.clock));
    }
    JdRunTime_Add(rt, (double)took);
}

/* Returns the work at the target in percent of its slots: what runs, and what
 * waits by its expected time.  Late work lets other work pass and does not
 * count while it waits. */
static double
work_percent(JdNode *nd)
{
    double mean = (double)nd->admit.service_time.mean;
    double sum = nd->admit.running;
    const JdWorkItem *it;

    TAILQ_FOREACH(it, &nd->work_items, link)
    {
        double time = get_route(nd, it->msg->route)->run_time.mean;

        if (it->work.is_queued && !it->work.is_late) {
            sum += time > 0 && mean > 0 ? time / mean : 1;
        }
    }
    return sum * 100 / nd->admit.slots;
}

/* Adds the report on the target's work to the response to a request that came
 * `held` us ago. */
void
JdTargetEstimate_Report(JdNode *nd, const char *route, uint64_t held,
                        Jd__Response *msg)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);
    double factor = JdPace_Factor(&nd->target_pace, now);

    msg->route_us = (uint64_t)(get_route(nd, route)->run_time.mean * factor);
    msg->work = (uint32_t)(work_percent(nd) * factor + 0.5);
    msg->held_us = held;
    msg->domain_load =
        JdPlacing_DomainLoad(&nd->placing, nd->settings.endpoint_set, now);
}

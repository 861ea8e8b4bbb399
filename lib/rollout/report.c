/*
 * Reports of nodes on roll-outs: the answers of the target beside each node,
 * by route and version, and the step that the node acts upon.  Counts are
 * totals since the order, so that a report that comes late, twice or not at
 * all changes nothing but the delay.  A restarted node counts anew; what its
 * earlier process reported is kept beside that.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"

static void
free_report(JdRolloutReports *rr, JdRolloutReport *rp)
{
    JdRolloutReports_ClearPending(rr, rp);
    TAILQ_REMOVE(&rr->all, rp, link);
    g_array_unref(rp->routes);
    g_free(rp);
}

/* Initializes an empty table. */
void
JdRolloutReports_Init(JdRolloutReports *rr)
{
    TAILQ_INIT(&rr->all);
    TAILQ_INIT(&rr->pending);
}

/* Frees all reports. */
void
JdRolloutReports_Finish(JdRolloutReports *rr)
{
    while (!TAILQ_EMPTY(&rr->all)) {
        free_report(rr, TAILQ_FIRST(&rr->all));
    }
}

/* Returns whether a report is about a roll-out, and not an earlier order of
 * the same service. */
bool
JdRolloutReport_IsAbout(const JdRolloutReport *rp, const JdRollout *ro)
{
    return JdRollout_HasOrder(ro, rp->epoch, rp->offset) &&
           strcmp(rp->service, ro->order.service) == 0;
}

/* Returns the report of a node's process on a roll-out, or NULL. */
JdRolloutReport *
JdRolloutReports_Find(const JdRolloutReports *rr, const JdRollout *ro,
                      const char *node, uint64_t incarnation)
{
    JdRolloutReport *rp;

    TAILQ_FOREACH(rp, &rr->all, link)
    {
        if (rp->incarnation == incarnation && strcmp(rp->node, node) == 0 &&
            JdRolloutReport_IsAbout(rp, ro)) {
            return rp;
        }
    }
    return NULL;
}

/* The same; adds one where there is none. */
JdRolloutReport *
JdRolloutReports_Get(JdRolloutReports *rr, const JdRollout *ro,
                     const char *node, uint64_t incarnation)
{
    JdRolloutReport *rp = JdRolloutReports_Find(rr, ro, node, incarnation);

    if (rp != NULL) {
        return rp;
    }
    rp = g_new0(JdRolloutReport, 1);
    _Jd_CopyText(rp->node, sizeof(rp->node), node);
    _Jd_CopyText(rp->service, sizeof(rp->service), ro->order.service);
    rp->incarnation = incarnation;
    rp->epoch = ro->order.epoch;
    rp->offset = ro->order.offset;
    rp->routes = g_array_new(FALSE, TRUE, sizeof(JdRouteCounts));
    TAILQ_INSERT_TAIL(&rr->all, rp, link);
    return rp;
}

static JdRouteCounts *
find_route(const JdRolloutReport *rp, const char *route, bool is_new)
{
    GArray *list = rp->routes;

    for (guint i = 0; i < list->len; i++) {
        JdRouteCounts *rc = &g_array_index(list, JdRouteCounts, i);

        if (rc->is_new == is_new && strcmp(rc->route, route) == 0) {
            return rc;
        }
    }
    return NULL;
}

/* Returns the counts of a route; routes beyond JD_COUNTED_ROUTES are counted
 * together, without a name. */
JdRouteCounts *
JdRolloutReport_Route(JdRolloutReport *rp, const char *route, bool is_new)
{
    GArray *list = rp->routes;
    JdRouteCounts *known = find_route(rp, route, is_new);
    JdRouteCounts rc = {.is_new = is_new};

    if (known == NULL && list->len >= 2 * JD_COUNTED_ROUTES) {
        route = "";
        known = find_route(rp, route, is_new);
    }
    if (known != NULL) {
        return known;
    }
    _Jd_CopyText(rc.route, sizeof(rc.route), route);
    g_array_append_val(list, rc);
    return &g_array_index(list, JdRouteCounts, list->len - 1);
}

/* Counts an answer of the target beside this node. */
void
JdRolloutReport_Count(JdRolloutReport *rp, const char *route, bool is_new,
                      bool is_failed)
{
    JdRouteCounts *rc = JdRolloutReport_Route(rp, route, is_new);

    rc->total.answered++;
    rc->total.failed += is_failed;
    rp->is_changed = true;
}

/* Puts a report on the list of those to forward. */
void
JdRolloutReports_SetPending(JdRolloutReports *rr, JdRolloutReport *rp)
{
    if (!rp->is_pending) {
        rp->is_pending = true;
        TAILQ_INSERT_TAIL(&rr->pending, rp, pending_link);
    }
}

/* Takes a report off that list. */
void
JdRolloutReports_ClearPending(JdRolloutReports *rr, JdRolloutReport *rp)
{
    if (rp->is_pending) {
        rp->is_pending = false;
        TAILQ_REMOVE(&rr->pending, rp, pending_link);
    }
}

static void
update_route(JdRolloutReport *rp, const Jd__RolloutCount *msg)
{
    JdRouteCounts *rc = JdRolloutReport_Route(rp, msg->route, msg->is_new);

    rc->total.answered = (unsigned)msg->answered;
    rc->total.failed = (unsigned)msg->failed;
    for (size_t i = 0; i < msg->n_took && i < JD_ANSWER_TIMES; i++) {
        rc->total.took[i] = msg->took[i];
    }
}

/* Takes the report of another node.  Returns false if it is not newer than
 * what is known. */
bool
JdRolloutReports_Update(JdRolloutReports *rr, const JdRollout *ro,
                        const Jd__RolloutReport *msg)
{
    JdRolloutReport *rp =
        JdRolloutReports_Get(rr, ro, msg->node, msg->incarnation);

    if (msg->seq <= rp->seq || msg->step >= JD_ROLLOUT_STEP_MAX) {
        return false;
    }
    rp->seq = msg->seq;
    rp->step = (JdRolloutStep)msg->step;
    rp->old_running = msg->old_running;
    for (size_t i = 0; i < msg->n_count; i++) {
        update_route(rp, msg->count[i]);
    }
    return true;
}

/* Notes the totals, so that the answers since the mark before the last one can
 * be told from earlier ones. */
void
JdRolloutReports_Mark(JdRolloutReports *rr)
{
    JdRolloutReport *rp;

    TAILQ_FOREACH(rp, &rr->all, link)
    {
        GArray *list = rp->routes;

        for (guint i = 0; i < list->len; i++) {
            JdRouteCounts *rc = &g_array_index(list, JdRouteCounts, i);

            rc->mark[0] = rc->mark[1];
            rc->mark[1] = rc->total;
        }
    }
}

static bool
is_needed(const JdRolloutReport *rp, const JdRollouts *rs)
{
    const JdRollout *ro = JdRollouts_Find(rs, rp->service);

    return ro != NULL && JdRolloutReport_IsAbout(rp, ro) &&
           !JdRollout_IsFinal(ro);
}

/* Drops the reports on roll-outs that have ended. */
void
JdRolloutReports_Drop(JdRolloutReports *rr, const JdRollouts *rs)
{
    JdRolloutReport *rp, *next;

    for (rp = TAILQ_FIRST(&rr->all); rp != NULL; rp = next) {
        next = TAILQ_NEXT(rp, link);
        if (!is_needed(rp, rs)) {
            free_report(rr, rp);
        }
    }
}

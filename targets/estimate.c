/* Average run times of the local target's work, by route. */
#include "../node/node.h"

/* Initializes a node without estimates. */
void
JdTargetEstimate_Init(JdNode *nd)
{
    nd->route_estimates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Returns the estimate of a route; a new one is 0, unknown. */
JdServiceTime *
JdTargetEstimate_Get(JdNode *nd, const char *route)
{
    JdServiceTime *est = g_hash_table_lookup(nd->route_estimates, route);

    if (est == NULL) {
        est = g_new0(JdServiceTime, 1);
        g_hash_table_insert(nd->route_estimates, g_strdup(route), est);
    }
    return est;
}

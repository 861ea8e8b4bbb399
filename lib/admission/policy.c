/* Where decisions under shortage apply. */
#include "libjd.h"

static bool
has_bulk_policy(const JdConfig *cfg)
{
    const char *name;
    json_t *policy;

    json_object_foreach(cfg->table[JD_TABLE_POLICIES], name, policy)
    {
        if (json_is_true(json_object_get(policy, "bulk"))) {
            return true;
        }
    }
    return false;
}

/* Returns whether a configuration asks for ranks and fair shares: it holds
 * client accounts, or routes with large responses. */
bool
JdConfig_AsksForShares(const JdConfig *cfg)
{
    return JdConfig_HasAccounts(cfg) || has_bulk_policy(cfg);
}

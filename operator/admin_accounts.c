/* The page /accounts of a node: what client accounts have used here. */
#include <stdlib.h>

#include <glib.h>

#include "../node/node.h"

/* Accounts that are listed, those that are used most first; the others are
 * summed up. */
#define LISTED_MAX 32

static int
compare_use(const void *a, const void *b)
{
    const JdQuotaRecord *x = *(JdQuotaRecord *const *)a;
    const JdQuotaRecord *y = *(JdQuotaRecord *const *)b;
    uint64_t use_x = x->used_count + x->refused_count;
    uint64_t use_y = y->used_count + y->refused_count;

    return (use_x < use_y) - (use_x > use_y);
}

/* Returns the records, those that are used most first. */
static JdQuotaRecord **
sort_records(const JdNode *nd)
{
    JdQuotaRecord **list = g_new(JdQuotaRecord *, nd->quota.record_count + 1);
    unsigned n = 0;
    JdQuotaRecord *rec;

    TAILQ_FOREACH(rec, &nd->quota.records, link)
    {
        list[n++] = rec;
    }
    qsort(list, n, sizeof(list[0]), compare_use);
    return list;
}

static json_t *
make_entry(const JdNode *nd, const JdQuotaRecord *rec)
{
    JdAccount account = {.rate = 0};

    JdConfig_GetAccount(nd->store.config, rec->name, &account);
    return json_pack("{s:s, s:I, s:I, s:I, s:I, s:I}", "account", rec->name,
                     "rate_per_1000s", (json_int_t)account.rate, "burst",
                     (json_int_t)account.burst, "granted",
                     (json_int_t)rec->granted_count, "used",
                     (json_int_t)rec->used_count, "refused",
                     (json_int_t)rec->refused_count);
}

/* Replies with the accounts that are used most, and the sum of the others. */
void
JdAdmin_ReplyAccounts(JdNode *nd, h2o_req_t *req)
{
    uint64_t granted = nd->quota.dropped_granted;
    uint64_t used = nd->quota.dropped_used;
    uint64_t refused = nd->quota.dropped_refused;
    JdQuotaRecord **records = sort_records(nd);
    json_t *list = json_array();

    for (unsigned i = 0; i < nd->quota.record_count; i++) {
        if (i < LISTED_MAX) {
            json_array_append_new(list, make_entry(nd, records[i]));
            continue;
        }
        granted += records[i]->granted_count;
        used += records[i]->used_count;
        refused += records[i]->refused_count;
    }
    g_free(records);
    JdHttpd_ReplyJson(
        req, 200,
        json_pack("{s:s, s:o, s:{s:I, s:I, s:I}}", "node", nd->settings.node,
                  "accounts", list, "others", "granted", (json_int_t)granted,
                  "used", (json_int_t)used, "refused", (json_int_t)refused));
}

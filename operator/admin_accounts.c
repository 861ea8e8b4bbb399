/* The page /accounts of a node: what client accounts have used here. */
#include <glib.h>

#include "../node/node.h"

/* Accounts that are listed, those that are used most first; the others are
 * summed up. */
#define LISTED_MAX 32

static int
compare_use(gconstpointer a, gconstpointer b)
{
    const JdQuotaRecord *x = *(JdQuotaRecord *const *)a;
    const JdQuotaRecord *y = *(JdQuotaRecord *const *)b;
    uint64_t use_x = x->used_count + x->refused_count;
    uint64_t use_y = y->used_count + y->refused_count;

    return (use_x < use_y) - (use_x > use_y);
}

/* Returns the records, those that are used most first. */
static GPtrArray *
sort_records(const JdNode *nd)
{
    GPtrArray *list = g_ptr_array_new();
    JdQuotaRecord *rec;

    TAILQ_FOREACH(rec, &nd->quota.records, link)
    {
        g_ptr_array_add(list, rec);
    }
    g_ptr_array_sort(list, compare_use);
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
    GPtrArray *records = sort_records(nd);
    json_t *list = json_array();

    for (guint i = 0; i < records->len; i++) {
        const JdQuotaRecord *rec = g_ptr_array_index(records, i);

        if (i < LISTED_MAX) {
            json_array_append_new(list, make_entry(nd, rec));
            continue;
        }
        granted += rec->granted_count;
        used += rec->used_count;
        refused += rec->refused_count;
    }
    g_ptr_array_free(records, TRUE);
    JdHttpd_ReplyJson(
        req, 200,
        json_pack("{s:s, s:o, s:{s:I, s:I, s:I}}", "node", nd->settings.node,
                  "accounts", list, "others", "granted", (json_int_t)granted,
                  "used", (json_int_t)used, "refused", (json_int_t)refused));
}

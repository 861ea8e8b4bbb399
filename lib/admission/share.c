/*
 * Fair shares between client accounts of one rank, by start-time fair queueing
 * (Goyal, Vin and Cheng) over the expected run time, weighted by the accounts'
 * rates.  For an account that asks for many times its usual while there is too
 * little room: it takes nothing from accounts within their share.  Shares
 * count only where work waits.  An account that used idle room does not pay
 * later, since the virtual time passes the tags of all work that is started.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Weight of an account without a rate, as a rate in requests per 1000 s. */
#define DEFAULT_RATE 20000
/* Requests by which an account may be ahead of its share before its work is
 * put behind that of others: requests of small accounts come in clusters. */
#define SHARE_SLACK 2
/* Accounts that are remembered; above, those within their share are not. */
#define ACCOUNTS_MAX 1024
#define KEY_MAX (JD_NAME_MAX + 8)

/* Initializes shares of which nothing has been used. */
void
JdShares_Init(JdShares *sh)
{
    memset(sh, 0, sizeof(*sh));
    sh->finish =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what is remembered of the accounts. */
void
JdShares_Finish(JdShares *sh)
{
    g_hash_table_destroy(sh->finish);
}

static bool
takes_part(const JdShareClaim *cl)
{
    return cl->account != NULL && cl->account[0] != '\0';
}

static void
format_key(const JdShareClaim *cl, char key[KEY_MAX])
{
    g_snprintf(key, KEY_MAX, "%u:%s", cl->rank, cl->account);
}

/* Returns the virtual time that work takes of its account. */
static double
virtual_cost(const JdShareClaim *cl)
{
    return (double)cl->cost /
           (double)(cl->rate == 0 ? DEFAULT_RATE : cl->rate);
}

static double *
find_finish(const JdShares *sh, const JdShareClaim *cl)
{
    char key[KEY_MAX];

    format_key(cl, key);
    return g_hash_table_lookup(sh->finish, key);
}

/* Returns the tag of work that is offered now. */
double
JdShares_Tag(const JdShares *sh, const JdShareClaim *cl)
{
    const double *finish;
    double tag;

    if (!takes_part(cl)) {
        return 0;
    }
    finish = find_finish(sh, cl);
    tag = finish == NULL ? 0 : *finish - SHARE_SLACK * virtual_cost(cl);
    return tag > sh->time[cl->rank] ? tag : sh->time[cl->rank];
}

static gboolean
is_within_share(gpointer key, gpointer finish, gpointer shares)
{
    const JdShares *sh = shares;
    unsigned rank = (unsigned)strtoul(key, NULL, 10);

    return *(double *)finish <= sh->time[rank];
}

/* Charges work that was taken with a tag to its account. */
void
JdShares_Charge(JdShares *sh, const JdShareClaim *cl, double tag)
{
    char key[KEY_MAX];
    double *finish;

    if (!takes_part(cl)) {
        return;
    }
    finish = find_finish(sh, cl);
    if (finish == NULL) {
        if (g_hash_table_size(sh->finish) >= ACCOUNTS_MAX) {
            g_hash_table_foreach_remove(sh->finish, is_within_share, sh);
        }
        finish = g_new(double, 1);
        *finish = tag;
        format_key(cl, key);
        g_hash_table_insert(sh->finish, g_strdup(key), finish);
    }
    *finish = (*finish > tag ? *finish : tag) + virtual_cost(cl);
}

/* Takes back the charge of work that was not started. */
void
JdShares_Refund(JdShares *sh, const JdShareClaim *cl)
{
    double *finish = takes_part(cl) ? find_finish(sh, cl) : NULL;

    if (finish != NULL) {
        *finish -= virtual_cost(cl);
    }
}

/* Advances the virtual time of a rank to the tag of work that is started. */
void
JdShares_Start(JdShares *sh, unsigned rank, double tag)
{
    if (tag > sh->time[rank]) {
        sh->time[rank] = tag;
    }
}

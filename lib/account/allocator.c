/*
 * The allocator of a shard of accounts: a token bucket for each account, which
 * fills with the parts of the rate that nodes lend, and grants to any node.
 */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Tokens that a bucket holds beyond the burst: requests of several nodes that
 * meet within one round trip. */
#define TOLERANCE 5.0

/* An account is scarce below this share of what its bucket can hold, until it
 * is above the other one. */
#define SCARCE_BELOW 0.5
#define SCARCE_UNTIL 0.75
/* Share of a bucket that one ask may take for requests that are expected. */
#define SPARE_SHARE 0.25
#define SPARE_SHARE_SCARCE 0.125
/* Time over which refusals are counted, and longest time over which callers
 * are told to spread. */
#define REFUSED_TIME_S 1.0
#define SPREAD_MAX_S 5.0
/* Longest time until a token that nodes are told, in s. */
#define WAIT_MAX_S 1.0
/* Scarce accounts that are named; if there are more, all count as scarce. */
#define SCARCE_NAMED 64
/* Time after which the bucket of an unused account is dropped once it is
 * full. */
#define BUCKET_IDLE (60 * JD_US_PER_S)

void
_JdQuotaAllocator_Init(JdQuotaAllocator *al)
{
    memset(al, 0, sizeof(*al));
    TAILQ_INIT(&al->enrolments);
    TAILQ_INIT(&al->buckets);
    al->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    al->by_account = g_hash_table_new(g_str_hash, g_str_equal);
    al->next_end = UINT64_MAX;
}

static void
free_bucket(JdQuotaAllocator *al, JdQuotaBucket *bk)
{
    g_hash_table_remove(al->by_account, bk->name);
    TAILQ_REMOVE(&al->buckets, bk, link);
    g_free(bk);
}

static void
free_buckets(JdQuotaAllocator *al)
{
    JdQuotaBucket *bk;

    while ((bk = TAILQ_FIRST(&al->buckets)) != NULL) {
        free_bucket(al, bk);
    }
}

static void
free_enrolment(JdQuotaAllocator *al, JdQuotaEnrolment *en)
{
    g_hash_table_remove(al->by_id, en->id);
    TAILQ_REMOVE(&al->enrolments, en, link);
    g_free(en);
}

void
_JdQuotaAllocator_Finish(JdQuotaAllocator *al)
{
    JdQuotaEnrolment *en;

    free_buckets(al);
    while ((en = TAILQ_FIRST(&al->enrolments)) != NULL) {
        free_enrolment(al, en);
    }
    g_hash_table_destroy(al->by_id);
    g_hash_table_destroy(al->by_account);
}

/* ---- what is lent ------------------------------------------------------ */

/* Returns the share of the rates that is lent. */
static double
get_lent(const JdQuotaAllocator *al)
{
    return fmin(al->part_sum, 1);
}

static void
count_lent_time(JdQuotaAllocator *al, uint64_t now)
{
    if (now > al->counted_to) {
        al->lent_time += get_lent(al) * (double)(now - al->counted_to) /
                         (double)JD_US_PER_S;
        al->counted_to = now;
    }
}

/* Returns a new bucket without tokens. */
static JdQuotaBucket *
new_bucket(JdQuotaAllocator *al, const char *name)
{
    JdQuotaBucket *bk = g_new0(JdQuotaBucket, 1);

    _Jd_CopyText(bk->name, sizeof(bk->name), name);
    bk->filled_to = al->lent_time;
    bk->brought_to = al->brought;
    bk->last_used_at = al->counted_to;
    g_hash_table_insert(al->by_account, bk->name, bk);
    TAILQ_INSERT_TAIL(&al->buckets, bk, link);
    return bk;
}

/* Computes the sum of the parts and the next end.  Without any part, the
 * allocator starts anew. */
static void
sum_parts(JdQuotaAllocator *al)
{
    const JdQuotaEnrolment *en;

    al->part_sum = 0;
    al->next_end = UINT64_MAX;
    TAILQ_FOREACH(en, &al->enrolments, link)
    {
        al->part_sum += en->part;
        if (en->until < al->next_end) {
            al->next_end = en->until;
        }
    }
    if (TAILQ_EMPTY(&al->enrolments)) {
        free_buckets(al);
        al->lent_time = 0;
        al->brought = 0;
    }
}

/* Takes a node's part out of the sum and its share out of the buckets, as it
 * is not lent any more. */
static void
withdraw(JdQuotaAllocator *al, double part)
{
    JdQuotaBucket *bk;

    TAILQ_FOREACH(bk, &al->buckets, link)
    {
        if (bk->level > 0) {
            bk->level *= 1 - fmin(part / al->part_sum, 1);
        }
    }
    al->part_sum -= part;
}

static void
drop_ended(JdQuotaAllocator *al)
{
    JdQuotaEnrolment *en, *next;

    for (en = TAILQ_FIRST(&al->enrolments); en != NULL; en = next) {
        next = TAILQ_NEXT(en, link);
        if (en->until <= al->counted_to) {
            withdraw(al, en->part);
            free_enrolment(al, en);
        }
    }
    sum_parts(al);
}

/* Counts what was lent until now: each loan only until its end, also if this
 * process did not run in between. */
static void
advance(JdQuotaAllocator *al, uint64_t now)
{
    while (al->next_end <= now) {
        count_lent_time(al, al->next_end);
        drop_ended(al);
    }
    count_lent_time(al, now);
}

static void
end_enrolment(JdQuotaAllocator *al, const char *id)
{
    JdQuotaEnrolment *en = g_hash_table_lookup(al->by_id, id);

    if (en != NULL) {
        withdraw(al, en->part);
        free_enrolment(al, en);
        sum_parts(al);
    }
}

/* Creates the buckets of accounts that were scarce at another allocator. */
static void
add_scarce(JdQuotaAllocator *al, const Jd__QuotaReport *msg)
{
    for (size_t i = 0; i < msg->n_scarce_account; i++) {
        const char *name = msg->scarce_account[i];

        if (g_hash_table_lookup(al->by_account, name) == NULL &&
            JdQuota_ShardOf(name) == msg->shard) {
            new_bucket(al, name)->is_scarce = true;
            al->is_list_changed = true;
        }
    }
}

static void
enrol(JdQuotaAllocator *al, void *peer, const Jd__QuotaReport *msg)
{
    JdQuotaEnrolment *en = g_hash_table_lookup(al->by_id, msg->id);
    double part = 1.0 / msg->nodes;
    bool is_changed = en == NULL || en->part != part;

    if (en == NULL) {
        en = g_new0(JdQuotaEnrolment, 1);
        _Jd_CopyText(en->id, sizeof(en->id), msg->id);
        g_hash_table_insert(al->by_id, en->id, en);
        TAILQ_INSERT_TAIL(&al->enrolments, en, link);
        add_scarce(al, msg);
        al->brought += msg->all_scarce ? 0 : part;
    }
    en->peer = peer;
    en->has_peer = true;
    en->part = part;
    en->until = msg->echo + JD_QUOTA_LEASE;
    if (is_changed) {
        sum_parts(al);
    }
}

/* ---- buckets ----------------------------------------------------------- */

/* Returns what a bucket can hold. */
static double
get_max(const JdQuotaAllocator *al, const JdAccount *account)
{
    return ((double)account->burst + TOLERANCE) * get_lent(al);
}

static double
get_rate(const JdAccount *account)
{
    return (double)account->rate / 1000;
}

/* Adds what the account has earned since the bucket was used last and what
 * nodes have brought, and limits it to what it can hold. */
static void
fill_bucket(const JdQuotaAllocator *al, JdQuotaBucket *bk,
            const JdAccount *account)
{
    double max = get_max(al, account);

    bk->level += get_rate(account) * (al->lent_time - bk->filled_to);
    bk->filled_to = al->lent_time;
    if (!bk->is_scarce) {
        bk->level +=
            _JdQuota_StartTokens(account) * (al->brought - bk->brought_to);
    }
    bk->brought_to = al->brought;
    bk->level = fmin(bk->level, max);
}

/* Returns the bucket of an account, filled up to now.  A new one holds what
 * the account has earned since the allocator began, as nothing was used. */
static JdQuotaBucket *
get_bucket(JdQuotaAllocator *al, const JdAccount *account)
{
    JdQuotaBucket *bk = g_hash_table_lookup(al->by_account, account->name);

    if (bk == NULL) {
        bk = new_bucket(al, account->name);
        bk->filled_to = 0;
        bk->brought_to = 0;
    }
    fill_bucket(al, bk, account);
    return bk;
}

static void
report_change(const JdQuota *qt, JdQuotaEvent event, const JdQuotaBucket *bk)
{
    if (qt->ops->changed != NULL) {
        qt->ops->changed(qt->ctx, event, JdQuota_ShardOf(bk->name), bk->name);
    }
}

/* Finds out whether the account of a bucket is scarce. */
static void
check_scarce(const JdQuota *qt, JdQuotaAllocator *al, JdQuotaBucket *bk,
             const JdAccount *account)
{
    double max = get_max(al, account);

    if (!bk->is_scarce && bk->level < max * SCARCE_BELOW) {
        bk->is_scarce = true;
        al->is_list_changed = true;
    }
    else if (bk->is_scarce && bk->level > max * SCARCE_UNTIL) {
        bk->is_scarce = false;
        al->is_list_changed = true;
        if (bk->is_exhausted) {
            bk->is_exhausted = false;
            report_change(qt, JD_QUOTA_HAS_ROOM, bk);
        }
    }
}

/* ---- answers ----------------------------------------------------------- */

static void
send_grant(JdQuota *qt, void *peer, Jd__QuotaGrant *msg)
{
    Jd__Frame frame = JD__FRAME__INIT;

    frame.body_case = JD__FRAME__BODY_QUOTA_GRANT;
    frame.quota_grant = msg;
    if (peer == NULL) {
        JdQuota_HandleGrant(qt, msg);
    }
    else {
        qt->ops->send_to_peer(qt->ctx, peer, &frame);
    }
}

/* Lists the scarce accounts of a shard in a message. */
static void
list_scarce(const JdQuotaAllocator *al, char **names, Jd__QuotaGrant *msg)
{
    JdQuotaBucket *bk;

    msg->scarce_account = names;
    TAILQ_FOREACH(bk, &al->buckets, link)
    {
        if (!bk->is_scarce) {
            continue;
        }
        if (msg->n_scarce_account == SCARCE_NAMED) {
            msg->n_scarce_account = 0;
            msg->all_scarce = true;
            return;
        }
        names[msg->n_scarce_account++] = bk->name;
    }
}

/*
 * Handles the report of a node.  It lends the node's part from the time of the
 * answer that it echoes.  One without an echo comes from a node that does not
 * lend its part to this process yet.
 */
void
JdQuota_HandleReport(JdQuota *qt, void *peer, const Jd__QuotaReport *msg)
{
    uint64_t now = qt->ops->read_clock(qt->ctx);
    Jd__QuotaGrant answer = JD__QUOTA_GRANT__INIT;
    char *names[SCARCE_NAMED];
    JdQuotaAllocator *al;

    if (msg->shard >= JD_QUOTA_SHARDS || msg->id[0] == '\0') {
        return;
    }
    al = &qt->allocator[msg->shard];
    advance(al, now);
    answer.shard = msg->shard;
    answer.time = now;
    answer.echo = msg->sent_at;
    if (msg->nodes == 0 || msg->echo == 0) {
        end_enrolment(al, msg->id);
        answer.ended = msg->nodes == 0;
    }
    else if (msg->echo <= now && now - msg->echo < JD_QUOTA_LEASE) {
        enrol(al, peer, msg);
    }
    list_scarce(al, names, &answer);
    send_grant(qt, peer, &answer);
}

/* Takes tokens of a bucket for an ask, and returns their number. */
static unsigned
take_tokens(JdQuotaBucket *bk, const Jd__QuotaAsk *msg)
{
    double share = bk->is_scarce ? SPARE_SHARE_SCARCE : SPARE_SHARE;
    double level = fmax(floor(bk->level), 0);
    double tokens = fmin(msg->needed, level);

    tokens += fmin(msg->spare, floor((level - tokens) * share));
    bk->level -= tokens;
    return (unsigned)tokens;
}

/* Tells a node that was refused when there is a token again, and over which
 * time refused callers should come back: that in which the account earns as
 * many tokens as were refused, but not less than it has been exhausted, as
 * that lasts for longer the longer it has lasted. */
static void
tell_wait(const JdQuotaAllocator *al, JdQuotaBucket *bk,
          const JdAccount *account, uint64_t now, Jd__QuotaGrant *msg)
{
    double rate = get_rate(account) * get_lent(al);
    double wait = rate > 0 ? (1 - bk->level) / rate : WAIT_MAX_S;
    double since = (double)(now - bk->exhausted_at) / (double)JD_US_PER_S;
    double spread = rate > 0 ? fmax(bk->refused / rate, since) : SPREAD_MAX_S;

    wait = fmin(fmax(wait, 0), WAIT_MAX_S);
    msg->wait_ms = (uint32_t)(wait * 1000) + 1;
    msg->spread_ms = (uint32_t)(fmin(spread, SPREAD_MAX_S) * 1000);
}

static void
count_refused(JdQuotaBucket *bk, unsigned n, uint64_t now)
{
    double elapsed = (double)(now - bk->refused_at) / (double)JD_US_PER_S;

    bk->refused = bk->refused * exp(-elapsed / REFUSED_TIME_S) + n;
    bk->refused_at = now;
}

static void
grant(JdQuota *qt, const JdAccount *account, const Jd__QuotaAsk *ask,
      Jd__QuotaGrant *msg)
{
    JdQuotaAllocator *al = &qt->allocator[msg->shard];
    JdQuotaBucket *bk = get_bucket(al, account);

    bk->last_used_at = msg->time;
    bk->level += (double)ask->returned - (double)ask->used;
    msg->tokens = take_tokens(bk, ask);
    if (msg->tokens < ask->needed) {
        if (!bk->is_exhausted) {
            bk->is_exhausted = true;
            bk->exhausted_at = msg->time;
            report_change(qt, JD_QUOTA_EXHAUSTED, bk);
        }
        count_refused(bk, ask->needed - msg->tokens, msg->time);
        tell_wait(al, bk, account, msg->time, msg);
    }
    check_scarce(qt, al, bk, account);
    msg->scarce = bk->is_scarce;
    qt->counters->value[JD_C_QUOTA_GRANTED] += msg->tokens + ask->used;
}

/* Handles a node's ask for tokens. */
void
JdQuota_HandleAsk(JdQuota *qt, void *peer, const Jd__QuotaAsk *msg)
{
    Jd__QuotaGrant answer = JD__QUOTA_GRANT__INIT;
    JdAccount account;

    answer.shard = JdQuota_ShardOf(msg->account);
    answer.time = qt->ops->read_clock(qt->ctx);
    answer.echo = msg->sent_at;
    answer.account = msg->account;
    advance(&qt->allocator[answer.shard], answer.time);
    if (!qt->ops->get_account(qt->ctx, msg->account, &account) ||
        account.rate == 0) {
        /* Another version of the configuration limits it. */
        answer.tokens = msg->needed;
    }
    else {
        grant(qt, &account, msg, &answer);
    }
    send_grant(qt, peer, &answer);
}

/* Forgets a connection; the loans that came over it run on. */
void
JdQuota_PeerClosed(JdQuota *qt, void *peer)
{
    for (unsigned i = 0; i < JD_QUOTA_SHARDS; i++) {
        JdQuotaEnrolment *en;

        TAILQ_FOREACH(en, &qt->allocator[i].enrolments, link)
        {
            if (en->peer == peer && peer != NULL) {
                en->peer = NULL;
                en->has_peer = false;
            }
        }
    }
}

/* ---- regular work ------------------------------------------------------ */

/* Tells all nodes which accounts are scarce. */
static void
send_notices(JdQuota *qt, unsigned shard)
{
    JdQuotaAllocator *al = &qt->allocator[shard];
    Jd__QuotaGrant msg = JD__QUOTA_GRANT__INIT;
    char *names[SCARCE_NAMED];
    JdQuotaEnrolment *en;

    al->is_list_changed = false;
    msg.shard = shard;
    msg.time = al->counted_to;
    list_scarce(al, names, &msg);
    TAILQ_FOREACH(en, &al->enrolments, link)
    {
        if (en->has_peer) {
            send_grant(qt, en->peer, &msg);
        }
    }
}

/* Fills the buckets of scarce and of unused accounts.  Drops the full ones of
 * unused accounts: a new bucket would be no fuller. */
static void
check_buckets(JdQuota *qt, JdQuotaAllocator *al, uint64_t now)
{
    JdQuotaBucket *bk, *next;
    JdAccount account;

    for (bk = TAILQ_FIRST(&al->buckets); bk != NULL; bk = next) {
        bool is_idle = now - bk->last_used_at > BUCKET_IDLE;

        next = TAILQ_NEXT(bk, link);
        if (!qt->ops->get_account(qt->ctx, bk->name, &account) ||
            account.rate == 0) {
            free_bucket(al, bk);
            continue;
        }
        if (bk->is_scarce || is_idle) {
            fill_bucket(al, bk, &account);
            check_scarce(qt, al, bk, &account);
        }
        if (is_idle && bk->level >= get_max(al, &account)) {
            free_bucket(al, bk);
        }
    }
}

/* To be called at each tick of the reports, 8 times a second; `is_turn` once
 * in an interval of reports. */
void
_JdQuotaAllocator_Tick(JdQuota *qt, unsigned shard, bool is_turn)
{
    JdQuotaAllocator *al = &qt->allocator[shard];
    uint64_t now;

    if (TAILQ_EMPTY(&al->enrolments)) {
        return;
    }
    now = qt->ops->read_clock(qt->ctx);
    advance(al, now);
    if (is_turn) {
        check_buckets(qt, al, now);
    }
    if (al->is_list_changed) {
        send_notices(qt, shard);
    }
}

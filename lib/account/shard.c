/*
 * The allocators of the accounts' shards, and the parts of the rates that this
 * node lends to them.  For loads that are skewed and reach an account's limit
 * at a few nodes: equal parts would refuse most of what is within the quota.
 *
 * A node that knows of N nodes is entitled to the N-th part of each rate.  It
 * either uses that part or lends it to the allocator of the shard, which then
 * grants tokens to any node.  The allocator counts the loan from the time of
 * its own last answer, which the node echoes, and the node from the arrival of
 * that answer, so that the loan ends at the allocator first and no clocks are
 * compared.
 */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Time between two reports of a node to the allocator of a shard. */
#define REPORT_INTERVAL (500 * JD_US_PER_MS)
/* Time between two reports to any allocator. */
#define TICK_INTERVAL (REPORT_INTERVAL / JD_QUOTA_SHARDS)

/* Returns the shard of an account. */
unsigned
JdQuota_ShardOf(const char *account)
{
    return (unsigned)(_Jd_HashText(account, 0) % JD_QUOTA_SHARDS);
}

static bool
is_up(const JdMember *mb)
{
    return mb->state == JD_MEMBER_READY || mb->state == JD_MEMBER_DRAINING ||
           mb->state == JD_MEMBER_DOWN;
}

/*
 * Returns the member that is the allocator of a shard, or NULL.  Nodes with
 * the same members choose the same one, and one that comes or goes changes few
 * shards.  A node that drains is chosen only if there are no others.
 */
const JdMember *
JdQuota_ChooseAllocator(const JdMembers *ms, unsigned shard)
{
    const JdMember *best = NULL;
    uint64_t best_score = 0;
    const JdMember *mb;

    TAILQ_FOREACH(mb, &ms->all, link)
    {
        uint64_t score = _Jd_HashText(mb->id, shard + 1) >> 1;

        if (!is_up(mb)) {
            continue;
        }
        if (mb->state != JD_MEMBER_DRAINING) {
            score |= UINT64_C(1) << 63;
        }
        if (best == NULL || score > best_score) {
            best = mb;
            best_score = score;
        }
    }
    return best;
}

/* Returns the number of nodes that share the rates.  Lost ones count: they may
 * be cut off and use their parts. */
static unsigned
count_nodes(const JdQuota *qt)
{
    unsigned n =
        qt->members->count - qt->members->count_by_state[JD_MEMBER_LEFT];

    return n > 0 ? n : 1;
}

/* Returns this node's part of the rates. */
double
_JdQuota_OwnPart(const JdQuota *qt)
{
    return 1.0 / count_nodes(qt);
}

/* Notes that the part is not lent any more since a time. */
static void
end_loan(JdQuota *qt, unsigned shard, uint64_t at)
{
    JdQuotaShard *sh = &qt->shard[shard];

    sh->is_lent = false;
    sh->unlent_at = at;
    sh->ending_at = 0;
    if (qt->ops->changed != NULL) {
        qt->ops->changed(qt->ctx, JD_QUOTA_UNLENT, shard, sh->allocator);
    }
}

/* Returns whether this node's part of a shard is lent to an allocator. */
bool
_JdQuota_IsLent(JdQuota *qt, unsigned shard, uint64_t now)
{
    JdQuotaShard *sh = &qt->shard[shard];

    if (sh->is_lent && now >= sh->lent_until) {
        end_loan(qt, shard, sh->lent_until);
    }
    return sh->is_lent;
}

/* Sends a frame to the allocator of a shard; answers may come at once. */
void
_JdQuota_SendToAllocator(JdQuota *qt, const JdQuotaShard *sh, Jd__Frame *frame)
{
    const JdMember *mb;

    if (strcmp(sh->allocator, qt->id) != 0) {
        mb = JdMembers_Find(qt->members, sh->allocator);
        if (mb != NULL) {
            qt->ops->send_to_member(qt->ctx, mb, frame);
        }
    }
    else if (frame->body_case == JD__FRAME__BODY_QUOTA_ASK) {
        JdQuota_HandleAsk(qt, NULL, frame->quota_ask);
    }
    else {
        JdQuota_HandleReport(qt, NULL, frame->quota_report);
    }
}

/* Lists the accounts of a shard that are scarce, for its new allocator. */
static GPtrArray *
list_scarce(const JdQuota *qt, unsigned shard)
{
    GPtrArray *names = g_ptr_array_new();
    const JdQuotaRecord *rec;

    TAILQ_FOREACH(rec, &qt->records, link)
    {
        if (rec->shard == shard && _JdQuota_IsScarce(qt, rec)) {
            g_ptr_array_add(names, (gpointer)rec->name);
        }
    }
    return names;
}

/* Marks the part as lent until the time up to which the allocator counts it,
 * or later. */
static void
lend(JdQuota *qt, unsigned shard)
{
    JdQuotaShard *sh = &qt->shard[shard];

    sh->lent_until = sh->heard_at + JD_QUOTA_LEASE;
    if (!sh->is_lent && qt->ops->changed != NULL) {
        qt->ops->changed(qt->ctx, JD_QUOTA_ENROLLED, shard, sh->allocator);
    }
    sh->is_lent = true;
}

/* Sends a report.  One that echoes an answer lends the part, unless `nodes` is
 * 0. */
static void
send_report(JdQuota *qt, unsigned shard, unsigned nodes, uint64_t now)
{
    JdQuotaShard *sh = &qt->shard[shard];
    Jd__QuotaReport msg = JD__QUOTA_REPORT__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    GPtrArray *names = NULL;

    msg.shard = shard;
    msg.id = (char *)qt->id;
    msg.sent_at = now;
    msg.echo = sh->echo;
    msg.nodes = nodes;
    frame.body_case = JD__FRAME__BODY_QUOTA_REPORT;
    frame.quota_report = &msg;
    if (nodes > 0 && sh->echo != 0 && now < sh->heard_at + JD_QUOTA_LEASE) {
        if (!sh->is_lent) {
            names = list_scarce(qt, shard);
            msg.scarce_account = (char **)names->pdata;
            msg.n_scarce_account = names->len;
            msg.all_scarce = sh->are_all_scarce;
        }
        lend(qt, shard);
    }
    _JdQuota_SendToAllocator(qt, sh, &frame);
    if (names != NULL) {
        g_ptr_array_free(names, TRUE);
    }
}

/* Returns whether the process that has the loan has ended for sure. */
static bool
is_allocator_gone(const JdQuota *qt, const JdQuotaShard *sh)
{
    const JdMember *mb = JdMembers_Find(qt->members, sh->allocator);

    return mb == NULL || mb->state == JD_MEMBER_LEFT ||
           mb->incarnation != sh->incarnation;
}

/* Returns the tokens that a node's part holds for an account when it begins or
 * ceases to be lent, of one that is not scarce, for all nodes together.  Half
 * of the burst is there then; and if that was used in truth, it is no more
 * than a tenth of what the account may use in 5 s. */
double
_JdQuota_StartTokens(const JdAccount *account)
{
    double burst = (double)account->burst;
    double window = (double)account->rate * 5 / 1000 + burst;

    return fmin(burst / 2, window / 10);
}

static void
contact(JdQuota *qt, unsigned shard, const JdMember *mb, uint64_t now)
{
    JdQuotaShard *sh = &qt->shard[shard];

    sh->allocator[0] = '\0';
    sh->echo = 0;
    sh->heard_at = 0;
    if (mb == NULL) {
        return;
    }
    _Jd_CopyText(sh->allocator, sizeof(sh->allocator), mb->id);
    sh->incarnation = mb->incarnation;
    sh->contacted_at = now;
    send_report(qt, shard, count_nodes(qt), now);
}

/*
 * Reports to the allocator of a shard.  If another member has become that, the
 * loan to the former one is ended first; while that is silent, it runs out.
 */
static void
report(JdQuota *qt, unsigned shard)
{
    const JdMember *mb = JdQuota_ChooseAllocator(qt->members, shard);
    JdQuotaShard *sh = &qt->shard[shard];
    uint64_t now = qt->ops->read_clock(qt->ctx);
    bool is_same = mb != NULL && strcmp(mb->id, sh->allocator) == 0 &&
                   mb->incarnation == sh->incarnation;

    if (_JdQuota_IsLent(qt, shard, now) && is_allocator_gone(qt, sh)) {
        end_loan(qt, shard, now);
    }
    if (is_same) {
        sh->ending_at = 0;
        send_report(qt, shard, count_nodes(qt), now);
    }
    else if (sh->is_lent) {
        if (sh->ending_at == 0) {
            sh->ending_at = now;
        }
        send_report(qt, shard, 0, now);
    }
    else {
        contact(qt, shard, mb, now);
    }
}

/* Marks the accounts that the allocator names as scarce.  With the first
 * answer of an allocator, which may have begun just now, those of the former
 * one stay so. */
static void
learn_scarce(JdQuota *qt, unsigned shard, const Jd__QuotaGrant *msg)
{
    JdQuotaShard *sh = &qt->shard[shard];

    if (sh->echo != 0) {
        sh->round++;
        sh->are_all_scarce = false;
    }
    sh->are_all_scarce = sh->are_all_scarce || msg->all_scarce;
    for (size_t i = 0; i < msg->n_scarce_account; i++) {
        const char *name = msg->scarce_account[i];

        if (JdQuota_ShardOf(name) == shard) {
            _JdQuota_GetRecord(qt, name)->scarce_round = sh->round;
        }
    }
}

/* Handles the answer to a report, or a notice of an allocator. */
void
_JdQuota_HandleReportAnswer(JdQuota *qt, const Jd__QuotaGrant *msg)
{
    uint64_t now = qt->ops->read_clock(qt->ctx);
    unsigned shard = msg->shard;
    JdQuotaShard *sh;
    bool is_first;

    if (shard >= JD_QUOTA_SHARDS) {
        return;
    }
    sh = &qt->shard[shard];
    if (msg->ended) {
        if (sh->is_lent && sh->ending_at != 0 && msg->echo >= sh->ending_at) {
            end_loan(qt, shard, now);
            report(qt, shard);
        }
        return;
    }
    if (msg->echo != 0 && msg->echo < sh->contacted_at) {
        return; /* of a former allocator */
    }
    learn_scarce(qt, shard, msg);
    if (msg->echo == 0) {
        return;
    }
    is_first = sh->echo == 0;
    sh->echo = msg->time;
    sh->heard_at = now;
    if (is_first) {
        report(qt, shard);
        _JdQuota_AskForWaiting(qt, shard);
    }
}

/* Returns whether a shard has another allocator, and a report should not wait
 * for the shard's turn. */
static bool
is_report_due(JdQuota *qt, unsigned shard)
{
    const JdMember *mb = JdQuota_ChooseAllocator(qt->members, shard);
    const JdQuotaShard *sh = &qt->shard[shard];

    if (mb == NULL || (strcmp(mb->id, sh->allocator) == 0 &&
                       mb->incarnation == sh->incarnation)) {
        return false;
    }
    return !_JdQuota_IsLent(qt, shard, qt->ops->read_clock(qt->ctx)) ||
           sh->ending_at == 0 || is_allocator_gone(qt, sh);
}

static void
on_report(void *ctx)
{
    JdQuota *qt = ctx;

    JdTimer_Arm(qt->clock, &qt->report_timer, TICK_INTERVAL);
    for (unsigned i = 0; i < JD_QUOTA_SHARDS; i++) {
        if (i == qt->next_shard || is_report_due(qt, i)) {
            report(qt, i);
        }
        _JdQuotaAllocator_Tick(qt, i, i == qt->next_shard);
    }
    qt->next_shard = (qt->next_shard + 1) % JD_QUOTA_SHARDS;
    if (qt->next_shard == 0) {
        _JdQuota_DropIdle(qt);
    }
}

/* Starts or stops the reports, as some or no account of the configuration in
 * force has a rate. */
void
JdQuota_SetActive(JdQuota *qt, bool is_active)
{
    if (qt->report_timer.fire == NULL) {
        JdTimer_Init(&qt->report_timer, on_report, qt);
    }
    if (qt->is_active == is_active) {
        return;
    }
    qt->is_active = is_active;
    if (!is_active) {
        JdTimer_Cancel(qt->clock, &qt->report_timer);
        return;
    }
    /* Nodes get the configuration at the same time, and should not all report
     * at the same time from then on. */
    qt->next_shard = (unsigned)JdRandom_Below(qt->random, JD_QUOTA_SHARDS);
    JdTimer_Arm(qt->clock, &qt->report_timer,
                JdRandom_Below(qt->random, TICK_INTERVAL));
    for (unsigned i = 0; i < JD_QUOTA_SHARDS; i++) {
        report(qt, i);
    }
}

/* Ends all loans of a node that is about to exit, for the allocators. */
void
JdQuota_EndLoans(JdQuota *qt)
{
    uint64_t now = qt->ops->read_clock(qt->ctx);

    JdTimer_Cancel(qt->clock, &qt->report_timer);
    for (unsigned i = 0; i < JD_QUOTA_SHARDS; i++) {
        if (_JdQuota_IsLent(qt, i, now)) {
            send_report(qt, i, 0, now);
        }
    }
}

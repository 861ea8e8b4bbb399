/*
 * Tokens of client accounts at a node: each request of an account with a rate
 * takes one before it begins.  Tokens come from the allocator of the account's
 * shard, or while this node's part is not lent, from that part.
 *
 * Most requests must not wait for another region.  So a node uses a token
 * ahead of the allocator's answer while the account is not scarce, and asks
 * for a few more where its own demand is steady.
 */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Longest wait of a request for an allocator's answer: above the round trip
 * between far regions. */
#define ASK_TIMEOUT (125 * JD_US_PER_MS)
/* Time after which an ask that is not answered is repeated. */
#define ASK_REPEAT (250 * JD_US_PER_MS)
/* Time after which tokens are not used any more. */
#define TOKEN_LIFE JD_US_PER_S
/* Time without requests after which tokens go back to the allocator. */
#define TOKEN_IDLE (400 * JD_US_PER_MS)
/* Time since an allocator's last answer in which its word on scarce accounts
 * is relied on: a report's interval and a late answer. */
#define FRESH_TIME (750 * JD_US_PER_MS)
/* Time in which a new allocator should have answered twice. */
#define CONTACT_TIME (300 * JD_US_PER_MS)
/* Tokens that may be used ahead of the answer, for an account and node. */
#define PREPAID_MAX 1
/* Demand from which on it counts as steady, in requests a second, and the time
 * for which tokens are asked for then. */
#define STEADY_DEMAND 4.0
#define SPARE_TIME_S 0.25
/* Time over which the demand is averaged. */
#define DEMAND_TIME_S 1.0
/* Bounds of the time for which a node takes an allocator's no for granted. */
#define CLOSED_MIN (100 * JD_US_PER_MS)
#define CLOSED_MAX JD_US_PER_S
#define CLOSED_JITTER (50 * JD_US_PER_MS)
/* Bounds of what callers are told to wait. */
#define RETRY_AFTER_MIN (100 * JD_US_PER_MS)
#define RETRY_AFTER_SPREAD (500 * JD_US_PER_MS)
/* Requests of one account that may wait at a node. */
#define WAITS_MAX 1024
/* Time after which the record of an unused account is dropped. */
#define RECORD_IDLE (60 * JD_US_PER_S)

static uint64_t
read_clock(const JdQuota *qt)
{
    return qt->ops->read_clock(qt->ctx);
}

static void
free_record(JdQuota *qt, JdQuotaRecord *rec)
{
    TAILQ_REMOVE(&qt->records, rec, link);
    qt->record_count--;
    g_hash_table_remove(qt->by_name, rec->name);
    g_free(rec);
}

/* Returns the record of an account, which is new or moves to the front. */
JdQuotaRecord *
_JdQuota_GetRecord(JdQuota *qt, const char *name)
{
    JdQuotaRecord *rec = g_hash_table_lookup(qt->by_name, name);

    if (rec != NULL) {
        TAILQ_REMOVE(&qt->records, rec, link);
    }
    else {
        rec = g_new0(JdQuotaRecord, 1);
        _Jd_CopyText(rec->name, sizeof(rec->name), name);
        rec->shard = JdQuota_ShardOf(name);
        rec->last_used_at = read_clock(qt);
        TAILQ_INIT(&rec->waits);
        g_hash_table_insert(qt->by_name, rec->name, rec);
        qt->record_count++;
    }
    TAILQ_INSERT_HEAD(&qt->records, rec, link);
    return rec;
}

/* Returns whether tokens of an account have to be asked for before their use.
 */
bool
_JdQuota_IsScarce(const JdQuota *qt, const JdQuotaRecord *rec)
{
    const JdQuotaShard *sh = &qt->shard[rec->shard];

    return sh->are_all_scarce ||
           (rec->scarce_round != 0 && rec->scarce_round == sh->round);
}

/* Returns whether the allocator of a shard has been asked to accept this
 * node's part, and should answer soon. */
static bool
is_contacting(const JdQuotaShard *sh, uint64_t now)
{
    return !sh->is_lent && sh->allocator[0] != '\0' &&
           now - sh->contacted_at < CONTACT_TIME;
}

/* ---- demand and tokens ------------------------------------------------- */

static double
decay_demand(JdQuotaRecord *rec, uint64_t now)
{
    double elapsed = (double)(now - rec->demand_at) / (double)JD_US_PER_S;

    rec->demand *= exp(-elapsed / DEMAND_TIME_S);
    rec->demand_at = now;
    return rec->demand;
}

/* Returns the tokens that the requests of the next moments should need, beyond
 * those in stock; 0 where the demand is not steady. */
static unsigned
count_spare(JdQuotaRecord *rec, uint64_t now)
{
    double demand = decay_demand(rec, now);
    unsigned wanted = (unsigned)(demand * SPARE_TIME_S);

    if (demand < STEADY_DEMAND || wanted <= rec->tokens) {
        return 0;
    }
    return wanted - rec->tokens;
}

static void
drop_expired(JdQuota *qt, JdQuotaRecord *rec, uint64_t now)
{
    if (rec->tokens > 0 && now >= rec->tokens_end) {
        qt->counters->value[JD_C_QUOTA_EXPIRED] += rec->tokens;
        rec->tokens = 0;
    }
}

static bool
take_granted(JdQuota *qt, JdQuotaRecord *rec, uint64_t now)
{
    drop_expired(qt, rec, now);
    if (rec->tokens == 0) {
        return false;
    }
    rec->tokens--;
    return true;
}

/*
 * Takes a token of this node's own part, which fills while it is not lent.  It
 * holds at least one, so that small parts can be used at all.
 */
static bool
take_own(JdQuota *qt, JdQuotaRecord *rec, const JdAccount *account,
         uint64_t now)
{
    const JdQuotaShard *sh = &qt->shard[rec->shard];
    double part = _JdQuota_OwnPart(qt);
    double max = (double)account->burst * part;

    if (rec->own_at < sh->unlent_at) {
        rec->own = _JdQuota_IsScarce(qt, rec)
                       ? 0
                       : _JdQuota_StartTokens(account) * part;
        rec->own_at = sh->unlent_at;
    }
    else if (rec->own_at == 0) {
        rec->own_at = now;
    }
    if (now > rec->own_at) {
        rec->own += (double)account->rate / 1000 * part *
                    (double)(now - rec->own_at) / (double)JD_US_PER_S;
        rec->own_at = now;
    }
    rec->own = fmin(rec->own, fmax(max, 1));
    if (rec->own < 1) {
        return false;
    }
    rec->own -= 1;
    return true;
}

/* ---- asks -------------------------------------------------------------- */

/* Asks for tokens: `more` beyond those that requests wait for.  One ask of an
 * account is under way at a time. */
static void
ask(JdQuota *qt, JdQuotaRecord *rec, unsigned more, uint64_t now)
{
    Jd__QuotaAsk msg = JD__QUOTA_ASK__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (rec->is_asking && now - rec->asked_at < ASK_REPEAT) {
        return;
    }
    msg.account = rec->name;
    msg.sent_at = now;
    msg.needed = rec->wait_count + more;
    msg.spare = count_spare(rec, now);
    msg.used = rec->prepaid;
    msg.returned = rec->returned;
    rec->prepaid_told = rec->prepaid;
    rec->returned = 0;
    rec->is_asking = true;
    rec->asked_at = now;
    frame.body_case = JD__FRAME__BODY_QUOTA_ASK;
    frame.quota_ask = &msg;
    qt->counters->value[JD_C_QUOTA_ASKS]++;
    _JdQuota_SendToAllocator(qt, &qt->shard[rec->shard], &frame);
}

/* Asks for the requests that wait at a shard whose allocator has accepted this
 * node's part. */
void
_JdQuota_AskForWaiting(JdQuota *qt, unsigned shard)
{
    uint64_t now = read_clock(qt);
    JdQuotaRecord *rec, *next;

    for (rec = TAILQ_FIRST(&qt->records); rec != NULL; rec = next) {
        next = TAILQ_NEXT(rec, link);
        if (rec->shard == shard &&
            (!TAILQ_EMPTY(&rec->waits) || rec->prepaid > 0)) {
            rec->is_asking = false;
            ask(qt, rec, 0, now);
        }
    }
}

/* ---- requests ---------------------------------------------------------- */

static JdQuotaResult
record_taken(JdQuotaRecord *rec)
{
    rec->used_count++;
    return JD_QUOTA_TAKEN;
}

/* Counts a refusal, and tells its caller to come back at a time that differs
 * from those of others. */
static JdQuotaResult
record_refused(JdQuota *qt, JdQuotaRecord *rec, uint64_t now,
               uint64_t *retry_after)
{
    uint64_t spread =
        rec->spread > RETRY_AFTER_SPREAD ? rec->spread : RETRY_AFTER_SPREAD;

    rec->refused_count++;
    *retry_after = RETRY_AFTER_MIN + JdRandom_Below(qt->random, spread);
    if (rec->closed_until > now) {
        *retry_after += rec->closed_until - now;
    }
    return JD_QUOTA_REFUSED;
}

static void
remove_wait(JdQuota *qt, JdQuotaWait *wait)
{
    TAILQ_REMOVE(&wait->record->waits, wait, link);
    wait->record->wait_count--;
    TAILQ_REMOVE(&qt->waits, wait, all_link);
    if (TAILQ_EMPTY(&qt->waits)) {
        JdTimer_Cancel(qt->clock, &qt->wait_timer);
    }
}

static void
finish_wait(JdQuota *qt, JdQuotaRecord *rec, JdQuotaWait *wait,
            bool is_granted)
{
    uint64_t retry_after = 0;
    JdQuotaResult result;

    remove_wait(qt, wait);
    result = is_granted
                 ? record_taken(rec)
                 : record_refused(qt, rec, read_clock(qt), &retry_after);
    wait->done(wait->ctx, result, retry_after);
}

/* Lets a request wait for a token, or refuses it where too many wait. */
static JdQuotaResult
begin_wait(JdQuota *qt, JdQuotaRecord *rec, JdQuotaWait *wait, uint64_t now,
           uint64_t *retry_after)
{
    if (rec->wait_count >= WAITS_MAX) {
        return record_refused(qt, rec, now, retry_after);
    }
    wait->record = rec;
    wait->until = JdClock_Now(qt->clock) + ASK_TIMEOUT;
    if (TAILQ_EMPTY(&qt->waits)) {
        JdTimer_Arm(qt->clock, &qt->wait_timer, ASK_TIMEOUT);
    }
    TAILQ_INSERT_TAIL(&rec->waits, wait, link);
    TAILQ_INSERT_TAIL(&qt->waits, wait, all_link);
    rec->wait_count++;
    qt->counters->value[JD_C_QUOTA_WAITED]++;
    return JD_QUOTA_WAITING;
}

/* Takes a token for a request that has waited too long: one that came back
 * from another request, or of this node's own part if that is not lent. */
static bool
take_without_ask(JdQuota *qt, JdQuotaRecord *rec, uint64_t now)
{
    JdAccount account;

    if (take_granted(qt, rec, now)) {
        return true;
    }
    return !_JdQuota_IsLent(qt, rec->shard, now) &&
           qt->ops->get_account(qt->ctx, rec->name, &account) &&
           take_own(qt, rec, &account, now);
}

/* Ends the waits that have lasted too long. */
static void
on_wait_timeout(void *ctx)
{
    JdQuota *qt = ctx;
    uint64_t now = read_clock(qt);
    uint64_t loop_now = JdClock_Now(qt->clock);
    JdQuotaWait *wait;

    while ((wait = TAILQ_FIRST(&qt->waits)) != NULL &&
           wait->until <= loop_now) {
        JdQuotaRecord *rec = wait->record;

        qt->counters->value[JD_C_QUOTA_TIMEOUTS]++;
        finish_wait(qt, rec, wait, take_without_ask(qt, rec, now));
    }
    if (wait != NULL) {
        JdTimer_Arm(qt->clock, &qt->wait_timer, wait->until - loop_now);
    }
}

/* Returns whether a request may use a token ahead of the allocator's answer.
 */
static bool
may_prepay(JdQuota *qt, const JdQuotaRecord *rec, uint64_t now)
{
    const JdQuotaShard *sh = &qt->shard[rec->shard];

    return rec->prepaid < PREPAID_MAX && !_JdQuota_IsScarce(qt, rec) &&
           (is_contacting(sh, now) ||
            (sh->heard_at != 0 && now - sh->heard_at < FRESH_TIME));
}

/* Takes a token of a shard whose part is lent, or begins to wait for one. */
static JdQuotaResult
take_lent(JdQuota *qt, JdQuotaRecord *rec, JdQuotaWait *wait, uint64_t now,
          uint64_t *retry_after)
{
    if (may_prepay(qt, rec, now)) {
        rec->prepaid++;
        rec->fresh_until = now + TOKEN_LIFE;
        ask(qt, rec, 0, now);
        return record_taken(rec);
    }
    ask(qt, rec, 1, now);
    /* The allocator may be this node, which answers at once. */
    if (take_granted(qt, rec, now)) {
        return record_taken(rec);
    }
    if (now < rec->closed_until) {
        return record_refused(qt, rec, now, retry_after);
    }
    return begin_wait(qt, rec, wait, now, retry_after);
}

/*
 * Takes a token for a request of an account with a rate.  `retry_after`, in
 * us, is set when it is refused.  `wait` is used only when it has to wait.
 */
JdQuotaResult
JdQuota_Take(JdQuota *qt, const JdAccount *account, JdQuotaWait *wait,
             uint64_t *retry_after)
{
    JdQuotaRecord *rec = _JdQuota_GetRecord(qt, account->name);
    const JdQuotaShard *sh = &qt->shard[rec->shard];
    uint64_t now = read_clock(qt);
    bool is_lent = _JdQuota_IsLent(qt, rec->shard, now);

    decay_demand(rec, now);
    rec->demand += 1 / DEMAND_TIME_S;
    rec->last_used_at = now;
    if (take_granted(qt, rec, now)) {
        if (is_lent && !_JdQuota_IsScarce(qt, rec) &&
            rec->tokens < rec->demand * SPARE_TIME_S / 2) {
            ask(qt, rec, 0, now);
        }
        return record_taken(rec);
    }
    if (now < rec->closed_until) {
        return record_refused(qt, rec, now, retry_after);
    }
    if (is_lent) {
        return take_lent(qt, rec, wait, now, retry_after);
    }
    if (take_own(qt, rec, account, now)) {
        rec->fresh_until = now + TOKEN_LIFE;
        return record_taken(rec);
    }
    if (is_contacting(sh, now)) {
        if (may_prepay(qt, rec, now)) {
            rec->prepaid++;
            rec->fresh_until = now + TOKEN_LIFE;
            return record_taken(rec);
        }
        return begin_wait(qt, rec, wait, now, retry_after);
    }
    return record_refused(qt, rec, now, retry_after);
}

/* Ends the wait of a request whose caller has disconnected. */
void
JdQuota_Cancel(JdQuota *qt, JdQuotaWait *wait)
{
    remove_wait(qt, wait);
}

/* Returns the token of a request that was not run and never will be.  It lives
 * no longer than the last one that was obtained anew: where all requests are
 * refused, tokens that went round without an end would add up with what the
 * allocator saves meanwhile. */
void
JdQuota_Return(JdQuota *qt, const char *account)
{
    JdQuotaRecord *rec = g_hash_table_lookup(qt->by_name, account);
    uint64_t now = read_clock(qt);

    if (rec == NULL) {
        return;
    }
    drop_expired(qt, rec, now);
    if (rec->used_count > 0) {
        rec->used_count--;
    }
    qt->counters->value[JD_C_QUOTA_RETURNED]++;
    if (now >= rec->fresh_until) {
        qt->counters->value[JD_C_QUOTA_EXPIRED]++;
        return;
    }
    if (rec->tokens++ == 0) {
        rec->tokens_end = rec->fresh_until;
    }
}

/* ---- grants ------------------------------------------------------------ */

/* Adds the tokens of a grant, unless it is too late to use them. */
static void
add_tokens(JdQuota *qt, JdQuotaRecord *rec, const Jd__QuotaGrant *msg,
           uint64_t now)
{
    uint64_t end = msg->echo + TOKEN_LIFE;

    drop_expired(qt, rec, now);
    if (msg->tokens == 0) {
        return;
    }
    if (now >= end) {
        qt->counters->value[JD_C_QUOTA_EXPIRED] += msg->tokens;
        return;
    }
    rec->tokens += msg->tokens;
    rec->tokens_end = end;
    rec->fresh_until = end;
    rec->granted_count += msg->tokens;
}

/* Notes that the allocator has no more tokens for a while. */
static void
close_record(JdQuota *qt, JdQuotaRecord *rec, const Jd__QuotaGrant *msg,
             uint64_t now)
{
    uint64_t closed = msg->wait_ms * JD_US_PER_MS;

    if (closed < CLOSED_MIN) {
        closed = CLOSED_MIN;
    }
    if (closed > CLOSED_MAX) {
        closed = CLOSED_MAX;
    }
    rec->closed_until =
        now + closed + JdRandom_Below(qt->random, CLOSED_JITTER);
    rec->spread = msg->spread_ms * JD_US_PER_MS;
}

static void
serve_waits(JdQuota *qt, JdQuotaRecord *rec, uint64_t now)
{
    JdQuotaWait *wait;

    while ((wait = TAILQ_FIRST(&rec->waits)) != NULL) {
        bool is_granted = take_granted(qt, rec, now);

        if (!is_granted && now >= rec->closed_until) {
            ask(qt, rec, 0, now);
            return;
        }
        finish_wait(qt, rec, wait, is_granted);
    }
}

/* Handles an allocator's answer to a report or an ask, or its notice. */
void
JdQuota_HandleGrant(JdQuota *qt, const Jd__QuotaGrant *msg)
{
    uint64_t now = read_clock(qt);
    JdQuotaRecord *rec;

    if (msg->account[0] == '\0') {
        _JdQuota_HandleReportAnswer(qt, msg);
        return;
    }
    rec = g_hash_table_lookup(qt->by_name, msg->account);
    if (rec == NULL) {
        return;
    }
    if (msg->echo == rec->asked_at) {
        rec->is_asking = false;
        rec->granted_count += rec->prepaid_told;
        rec->prepaid -= rec->prepaid_told;
        rec->prepaid_told = 0;
    }
    rec->scarce_round = msg->scarce ? qt->shard[rec->shard].round : 0;
    add_tokens(qt, rec, msg, now);
    if (msg->wait_ms > 0) {
        close_record(qt, rec, msg, now);
    }
    serve_waits(qt, rec, now);
}

/* ---- records ----------------------------------------------------------- */

/* Returns a record's idle tokens to the allocator. */
static void
return_idle_tokens(JdQuota *qt, JdQuotaRecord *rec, uint64_t now)
{
    drop_expired(qt, rec, now);
    if (rec->tokens == 0 || now - rec->last_used_at < TOKEN_IDLE ||
        !_JdQuota_IsLent(qt, rec->shard, now)) {
        return;
    }
    rec->returned += rec->tokens;
    rec->tokens = 0;
    ask(qt, rec, 0, now);
}

/* Returns idle tokens, and drops the records of accounts that are not used. */
void
_JdQuota_DropIdle(JdQuota *qt)
{
    uint64_t now = read_clock(qt);
    JdQuotaRecord *rec, *next;

    for (rec = TAILQ_FIRST(&qt->records); rec != NULL; rec = next) {
        next = TAILQ_NEXT(rec, link);
        return_idle_tokens(qt, rec, now);
        if (TAILQ_EMPTY(&rec->waits) &&
            now - rec->last_used_at > RECORD_IDLE) {
            qt->dropped_granted += rec->granted_count;
            qt->dropped_used += rec->used_count;
            qt->dropped_refused += rec->refused_count;
            free_record(qt, rec);
        }
    }
}

/* Initializes the quotas of a node, which JdQuota_SetActive starts. */
void
JdQuota_Init(JdQuota *qt, const JdQuotaOps *ops, void *ctx, JdClock *clk,
             JdRandom *rnd, JdCounters *ctr, JdMembers *ms, const char *id)
{
    memset(qt, 0, sizeof(*qt));
    qt->ops = ops;
    qt->ctx = ctx;
    qt->clock = clk;
    qt->random = rnd;
    qt->counters = ctr;
    qt->members = ms;
    qt->id = id;
    qt->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    TAILQ_INIT(&qt->records);
    TAILQ_INIT(&qt->waits);
    JdTimer_Init(&qt->wait_timer, on_wait_timeout, qt);
    for (unsigned i = 0; i < JD_QUOTA_SHARDS; i++) {
        qt->shard[i].round = 1;
        _JdQuotaAllocator_Init(&qt->allocator[i]);
    }
}

/* Releases all memory.  Requests that wait are forgotten. */
void
JdQuota_Finish(JdQuota *qt)
{
    JdQuotaRecord *rec;

    JdTimer_Cancel(qt->clock, &qt->wait_timer);
    JdTimer_Cancel(qt->clock, &qt->report_timer);
    while ((rec = TAILQ_FIRST(&qt->records)) != NULL) {
        free_record(qt, rec);
    }
    g_hash_table_destroy(qt->by_name);
    for (unsigned i = 0; i < JD_QUOTA_SHARDS; i++) {
        _JdQuotaAllocator_Finish(&qt->allocator[i]);
    }
}

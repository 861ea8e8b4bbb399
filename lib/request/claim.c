/*
 * Idempotency keys, claimed on the log before work is sent.
 *
 * All nodes beside the targets of one service share a stream.  A claim is
 * won by the first record in log order that names its key.  Claims that come
 * while an append is under way share the next one.  A node sends work only
 * after it has read the stream up to its own record; an append whose answer
 * was lost is settled by the same reading.  When the record does not show up
 * the batch is voided by a later record, which holds in whichever order the
 * two reach the log.  A key stays claimed for the hold time, measured between
 * the log's own times of the records, so that all readers agree.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Time between two appends, in which claims gather. */
#define APPEND_GAP (5 * JD_US_PER_MS)
/* Wait before an unsure batch is looked for again. */
#define LOOK_AGAIN (100 * JD_US_PER_MS)
/* Looks after which an unsure batch is voided. */
#define LOOKS_MOST 5
/* Wait before a batch is voided by a record of its own. */
#define VOID_WAIT JD_US_PER_S
/* Records in one read. */
#define READ_MOST 512
/* Claims in one record. */
#define BATCH_MOST 256

/* Who holds a key. */
typedef struct Holder {
    char node[JD_NAME_MAX];
    uint64_t incarnation;
    uint64_t batch;
    uint64_t at; /* time of the record on the log, us */
} Holder;

static void send_batch(JdClaims *cl);

static void
on_timer(void *ctx)
{
    JdClaims *cl = ctx;

    if (!cl->is_batch_in_flight) {
        send_batch(cl);
        return;
    }
    cl->ops->read(cl->ctx, cl->next_offset, READ_MOST, cl->token);
}

/* Initializes claims of a process; nothing is read until the first claim. */
void
JdClaims_Init(JdClaims *cl, const char *node, uint64_t incarnation,
              uint64_t hold, JdClock *clk, JdCounters *ctr,
              const JdClaimsOps *ops, void *ctx)
{
    memset(cl, 0, sizeof(*cl));
    _Jd_CopyText(cl->node, sizeof(cl->node), node);
    cl->incarnation = incarnation;
    cl->hold_time = hold;
    cl->append_interval = APPEND_GAP;
    cl->clock = clk;
    cl->counters = ctr;
    cl->ops = ops;
    cl->ctx = ctx;
    TAILQ_INIT(&cl->pending);
    TAILQ_INIT(&cl->sending);
    cl->holders =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cl->voided_batches =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    JdTimer_Init(&cl->timer, on_timer, cl);
}

/* Releases the tables; claims belong to their users. */
void
JdClaims_Finish(JdClaims *cl)
{
    JdTimer_Cancel(cl->clock, &cl->timer);
    g_hash_table_destroy(cl->holders);
    g_hash_table_destroy(cl->voided_batches);
}

/* ---- records ----------------------------------------------------------- */

static char *
batch_name(const char *node, uint64_t incarnation, uint64_t batch)
{
    return g_strdup_printf("%s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT, node,
                           incarnation, batch);
}

static bool
is_held(const JdClaims *cl, const char *key, uint64_t at)
{
    const Holder *h = g_hash_table_lookup(cl->holders, key);

    return h != NULL && h->at + cl->hold_time > at;
}

static bool
is_by(const Holder *h, const char *node, uint64_t incarnation)
{
    return h->incarnation == incarnation && strcmp(h->node, node) == 0;
}

static void
apply_claims(JdClaims *cl, const json_t *keys, const Holder *by)
{
    size_t i;
    json_t *js;

    json_array_foreach(keys, i, js)
    {
        const char *key = json_string_value(js);

        if (key == NULL || is_held(cl, key, by->at)) {
            continue;
        }
        g_hash_table_replace(cl->holders, g_strdup(key),
                             g_memdup2(by, sizeof(*by)));
    }
}

/* Only who holds a key can release it. */
static void
apply_release(JdClaims *cl, const json_t *keys, const Holder *by)
{
    size_t i;
    json_t *js;

    json_array_foreach(keys, i, js)
    {
        const char *key = json_string_value(js);
        const Holder *h =
            key == NULL ? NULL : g_hash_table_lookup(cl->holders, key);

        if (h != NULL && is_by(h, by->node, by->incarnation)) {
            g_hash_table_remove(cl->holders, key);
        }
    }
}

static gboolean
is_of_batch(gpointer key, gpointer val, gpointer ctx)
{
    const Holder *h = val;
    const Holder *by = ctx;

    (void)key;
    return is_by(h, by->node, by->incarnation) && h->batch == by->batch;
}

static void
apply_void(JdClaims *cl, uint64_t batch, const Holder *by)
{
    Holder old = *by;

    if (batch == 0) {
        return;
    }
    old.batch = batch;
    g_hash_table_foreach_remove(cl->holders, is_of_batch, &old);
    g_hash_table_add(cl->voided_batches,
                     batch_name(by->node, by->incarnation, batch));
}

static bool
is_voided(const JdClaims *cl, const Holder *by)
{
    char *name = batch_name(by->node, by->incarnation, by->batch);
    bool found = g_hash_table_contains(cl->voided_batches, name);

    g_free(name);
    return found;
}

/* Applies one record; returns true when it is the batch under way. */
static bool
apply_record(JdClaims *cl, const JdRecord *rec)
{
    json_int_t incarnation, batch, voided;
    Holder by = {.at = rec->logged_at};
    json_t *claims, *releases, *js;
    const char *node;
    bool is_own;

    if (JdJson_Parse(rec->text, rec->len, &js, NULL) != JD_OK) {
        cl->counters->value[JD_C_BAD_RECORD]++;
        return false;
    }
    if (json_unpack(js, "{s:s, s:I, s:I, s:I, s:o, s:o}", "node", &node,
                    "incarnation", &incarnation, "batch", &batch, "void",
                    &voided, "claim", &claims, "release", &releases) != 0) {
        cl->counters->value[JD_C_BAD_RECORD]++;
        json_decref(js);
        return false;
    }
    _Jd_CopyText(by.node, sizeof(by.node), node);
    by.incarnation = (uint64_t)incarnation;
    by.batch = (uint64_t)batch;
    is_own = is_by(&by, cl->node, cl->incarnation) && by.batch == cl->batch_id;
    apply_void(cl, (uint64_t)voided, &by);
    if (!is_voided(cl, &by)) {
        apply_release(cl, releases, &by);
        apply_claims(cl, claims, &by);
    }
    json_decref(js);
    return is_own;
}

/* ---- batches ----------------------------------------------------------- */

static char *
format_batch(const JdClaims *cl)
{
    json_t *claims = json_array();
    json_t *releases = json_array();
    const JdClaim *c;
    json_t *js;
    char *text;

    TAILQ_FOREACH(c, &cl->sending, link)
    {
        json_array_append_new(c->state == JD_CLAIM_RELEASING ? releases
                                                             : claims,
                              json_string(c->key));
    }
    js = json_pack(
        "{s:s, s:I, s:I, s:I, s:o, s:o}", "node", cl->node, "incarnation",
        (json_int_t)cl->incarnation, "batch", (json_int_t)cl->batch_id, "void",
        (json_int_t)cl->batch_to_void, "claim", claims, "release", releases);
    text = json_dumps(js, JSON_COMPACT);
    json_decref(js);
    return text;
}

static void
move_pending(JdClaims *cl)
{
    unsigned n = 0;
    JdClaim *c;

    while (n < BATCH_MOST && (c = TAILQ_FIRST(&cl->pending)) != NULL) {
        TAILQ_REMOVE(&cl->pending, c, link);
        TAILQ_INSERT_TAIL(&cl->sending, c, link);
        if (c->state == JD_CLAIM_PENDING) {
            c->state = JD_CLAIM_SENDING;
        }
        n++;
    }
}

static void
send_batch(JdClaims *cl)
{
    char *text;

    if (cl->is_batch_in_flight ||
        (TAILQ_EMPTY(&cl->pending) && cl->batch_to_void == 0)) {
        return;
    }
    move_pending(cl);
    cl->batch_id++;
    cl->is_batch_in_flight = true;
    cl->is_outcome_unknown = false;
    cl->reads_without_batch = 0;
    cl->batch_offset = UINT64_MAX;
    cl->sent_at = JdClock_Now(cl->clock);
    text = format_batch(cl);
    cl->ops->append(cl->ctx, text, ++cl->token);
    free(text);
}

/* Sends now, or when the gap since the last append is over. */
static void
schedule(JdClaims *cl)
{
    uint64_t now = JdClock_Now(cl->clock);
    uint64_t due = cl->sent_at + cl->append_interval;

    if (cl->is_batch_in_flight) {
        return;
    }
    if (cl->sent_at == 0 || due <= now) {
        send_batch(cl);
        return;
    }
    JdTimer_Arm(cl->clock, &cl->timer, due - now);
}

static void
finish_claim(JdClaims *cl, JdClaim *c, bool is_recorded)
{
    const Holder *h = g_hash_table_lookup(cl->holders, c->key);

    TAILQ_REMOVE(&cl->sending, c, link);
    if (c->state == JD_CLAIM_RELEASING) {
        c->state = JD_CLAIM_IDLE;
        cl->ops->released(cl->ctx, c);
        return;
    }
    c->state = JD_CLAIM_IDLE;
    if (!is_recorded) {
        cl->ops->denied(cl->ctx, c, JD_REASON_CLAIM_FAILED);
        return;
    }
    if (h != NULL && is_by(h, cl->node, cl->incarnation) &&
        h->batch == cl->batch_id) {
        c->state = JD_CLAIM_HELD;
        cl->ops->granted(cl->ctx, c);
        return;
    }
    cl->ops->denied(cl->ctx, c, JD_REASON_KEY_TAKEN);
}

/* Ends the batch under way and starts the next. */
static void
finish_batch(JdClaims *cl, bool is_recorded)
{
    JdClaim *c;

    JdTimer_Cancel(cl->clock, &cl->timer);
    while ((c = TAILQ_FIRST(&cl->sending)) != NULL) {
        finish_claim(cl, c, is_recorded);
    }
    if (is_recorded) {
        cl->batch_to_void = 0;
    }
    cl->is_batch_in_flight = false;
    cl->token++;
    if (!TAILQ_EMPTY(&cl->pending)) {
        schedule(cl);
    }
    else if (cl->batch_to_void != 0) {
        JdTimer_Arm(cl->clock, &cl->timer, VOID_WAIT);
    }
}

/* The log does not work: everybody who waits is told at once. */
static void
fail_all(JdClaims *cl)
{
    JdClaim *c;

    finish_batch(cl, false);
    while ((c = TAILQ_FIRST(&cl->pending)) != NULL) {
        TAILQ_REMOVE(&cl->pending, c, link);
        TAILQ_INSERT_TAIL(&cl->sending, c, link);
        finish_claim(cl, c, false);
    }
}

/* The result of an append. */
void
JdClaims_OnAppend(JdClaims *cl, uint64_t token, JdStatus status,
                  uint64_t offset)
{
    if (token != cl->token || !cl->is_batch_in_flight) {
        return;
    }
    if (status == JD_ERR_REFUSED || status == JD_ERR_UNREACHABLE) {
        fail_all(cl);
        return;
    }
    cl->is_outcome_unknown = status != JD_OK;
    cl->batch_offset = status == JD_OK ? offset : UINT64_MAX;
    cl->ops->read(cl->ctx, cl->next_offset, READ_MOST, cl->token);
}

/* The record is not there: voids it, wherever it may still turn up. */
static void
give_up(JdClaims *cl)
{
    cl->batch_to_void = cl->batch_id;
    fail_all(cl);
}

/*
 * Whether claims older than what could be read may still hold.  A log that
 * is known to keep records for the hold time has expired only older ones.
 */
static bool
is_blind(const JdClaims *cl, uint64_t at)
{
    if (cl->retention >= cl->hold_time) {
        return false;
    }
    return cl->oldest_record_at != 0 &&
           cl->oldest_record_at + cl->hold_time > at;
}

static void
read_on(JdClaims *cl, const JdLogAnswer *ans)
{
    if (cl->next_offset < ans->next_offset) {
        cl->ops->read(cl->ctx, cl->next_offset, READ_MOST, cl->token);
        return;
    }
    if (++cl->reads_without_batch >= LOOKS_MOST) {
        give_up(cl);
        return;
    }
    JdTimer_Arm(cl->clock, &cl->timer, LOOK_AGAIN);
}

/* The log expired past this reader: starts with what is left. */
static void
skip_expired(JdClaims *cl, const JdLogAnswer *ans)
{
    g_hash_table_remove_all(cl->holders);
    cl->next_offset = ans->first_offset;
    cl->oldest_record_at = UINT64_MAX;
    cl->ops->read(cl->ctx, cl->next_offset, READ_MOST, cl->token);
}

static gboolean
is_expired(gpointer key, gpointer val, gpointer ctx)
{
    const Holder *h = val;

    (void)key;
    return h->at < *(uint64_t *)ctx;
}

/* Forgets the keys whose hold time is over at the log's time `at`. */
static void
forget_expired(JdClaims *cl, uint64_t at)
{
    uint64_t limit = at > cl->hold_time ? at - cl->hold_time : 0;

    if (at < cl->purged_at + cl->hold_time / 4) {
        return;
    }
    cl->purged_at = at;
    g_hash_table_foreach_remove(cl->holders, is_expired, &limit);
}

/* The result of a read. */
void
JdClaims_OnRead(JdClaims *cl, uint64_t token, const JdLogAnswer *ans)
{
    bool is_found = false;
    uint64_t at = 0;

    if (token != cl->token || !cl->is_batch_in_flight) {
        return;
    }
    if (ans->status == JD_ERR_LOG_EXPIRED) {
        skip_expired(cl, ans);
        return;
    }
    if (ans->status != JD_OK) {
        give_up(cl);
        return;
    }
    for (size_t i = 0; i < ans->record_count && !is_found; i++) {
        const JdRecord *rec = &ans->record[i];

        if (rec->offset < cl->next_offset) {
            continue;
        }
        if (cl->oldest_record_at == UINT64_MAX) {
            cl->oldest_record_at = rec->logged_at;
        }
        is_found = apply_record(cl, rec);
        cl->next_offset = rec->offset + 1;
        at = rec->logged_at;
    }
    forget_expired(cl, at);
    if (!is_found) {
        read_on(cl, ans);
    }
    else if (is_blind(cl, at)) {
        give_up(cl);
    }
    else {
        finish_batch(cl, true);
    }
}

/* ---- claims ------------------------------------------------------------ */

/*
 * Claims a key.  `won` or `lost` follows, perhaps before this call returns.
 */
void
JdClaims_Acquire(JdClaims *cl, JdClaim *claim, const char *key)
{
    memset(claim, 0, sizeof(*claim));
    _Jd_CopyText(claim->key, sizeof(claim->key), key);
    claim->requested_at = JdClock_Now(cl->clock);
    claim->state = JD_CLAIM_PENDING;
    TAILQ_INSERT_TAIL(&cl->pending, claim, link);
    schedule(cl);
}

/* Gives a held key back because its work was never sent.  `released`
 * follows. */
void
JdClaims_Release(JdClaims *cl, JdClaim *claim)
{
    claim->state = JD_CLAIM_RELEASING;
    TAILQ_INSERT_TAIL(&cl->pending, claim, link);
    schedule(cl);
}

/* The user's memory goes away: no callback follows. */
void
JdClaims_Abandon(JdClaims *cl, JdClaim *claim)
{
    const JdClaim *c;

    TAILQ_FOREACH(c, &cl->pending, link)
    {
        if (c == claim) {
            TAILQ_REMOVE(&cl->pending, claim, link);
            return;
        }
    }
    TAILQ_FOREACH(c, &cl->sending, link)
    {
        if (c == claim) {
            TAILQ_REMOVE(&cl->sending, claim, link);
            return;
        }
    }
}

/*
 * Whether work may still be sent under a held claim.  A process that was
 * paused for long finds here that others may hold the key by now.
 */
bool
JdClaims_IsUsable(const JdClaims *cl, const JdClaim *claim)
{
    return claim->state == JD_CLAIM_HELD &&
           JdClock_Now(cl->clock) - claim->requested_at < cl->hold_time / 2;
}

/*
 * Idempotency keys, claimed on the log before work is sent.
 *
 * All nodes next to the targets of one service share a stream.  The first
 * record in log order that names a key gets the claim.  Claims that arrive
 * while an append is in flight share the next one.  A node sends work only
 * after it has read the stream up to its own record, which also settles an
 * append whose result was lost.  If the record does not show up, a later
 * record voids its batch; this works in whichever order the two reach the log.
 * A key stays claimed for the hold time, measured by the log's timestamps of
 * the records, so that all readers agree.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Time between two appends, in which claims are collected into a batch. */
#define APPEND_INTERVAL (5 * JD_US_PER_MS)
/* Delay before the stream is read again for a batch that was not found. */
#define REREAD_DELAY (100 * JD_US_PER_MS)
/* Reads that reach the end of the stream without finding the batch, after
 * which it is voided. */
#define MAX_REREADS 5
/* Delay before a void is appended without new claims to carry it. */
#define VOID_DELAY JD_US_PER_S
/* Maximum number of records in one read. */
#define READ_LIMIT 512
/* Maximum number of claims and releases in one record. */
#define BATCH_LIMIT 256

/* Process and batch that hold a key. */
typedef struct Holder {
    char node[JD_NAME_MAX];
    uint64_t incarnation;
    uint64_t batch;
    uint64_t at; /* the log's timestamp of the record, us */
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
    cl->ops->read(cl->ctx, cl->next_offset, READ_LIMIT, cl->token);
}

/* Initializes the claims of a process.  Reading begins with the first claim.
 */
void
JdClaims_Init(JdClaims *cl, const char *node, uint64_t incarnation,
              uint64_t hold_time, JdClock *clk, JdCounters *ctr,
              const JdClaimsOps *ops, void *ctx)
{
    memset(cl, 0, sizeof(*cl));
    _Jd_CopyText(cl->node, sizeof(cl->node), node);
    cl->incarnation = incarnation;
    cl->hold_time = hold_time;
    cl->append_interval = APPEND_INTERVAL;
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

/* Frees the tables.  The claims belong to their users. */
void
JdClaims_Finish(JdClaims *cl)
{
    JdTimer_Cancel(cl->clock, &cl->timer);
    g_hash_table_destroy(cl->holders);
    g_hash_table_destroy(cl->voided_batches);
}

/* ---- records ----------------------------------------------------------- */

static char *
batch_key(const char *node, uint64_t incarnation, uint64_t batch)
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
is_from(const Holder *h, const char *node, uint64_t incarnation)
{
    return h->incarnation == incarnation && strcmp(h->node, node) == 0;
}

static void
apply_claims(JdClaims *cl, const json_t *keys, const Holder *writer)
{
    size_t i;
    json_t *js;

    json_array_foreach(keys, i, js)
    {
        const char *key = json_string_value(js);

        if (key == NULL || is_held(cl, key, writer->at)) {
            continue;
        }
        g_hash_table_replace(cl->holders, g_strdup(key),
                             g_memdup2(writer, sizeof(*writer)));
    }
}

/* Applies releases.  Only the process that holds a key can release it. */
static void
apply_release(JdClaims *cl, const json_t *keys, const Holder *writer)
{
    size_t i;
    json_t *js;

    json_array_foreach(keys, i, js)
    {
        const char *key = json_string_value(js);
        const Holder *h =
            key == NULL ? NULL : g_hash_table_lookup(cl->holders, key);

        if (h != NULL && is_from(h, writer->node, writer->incarnation)) {
            g_hash_table_remove(cl->holders, key);
        }
    }
}

static gboolean
is_from_batch(gpointer key, gpointer val, gpointer ctx)
{
    const Holder *h = val;
    const Holder *batch = ctx;

    (void)key;
    return is_from(h, batch->node, batch->incarnation) &&
           h->batch == batch->batch;
}

static void
apply_void(JdClaims *cl, uint64_t batch, const Holder *writer)
{
    Holder voided = *writer;

    if (batch == 0) {
        return;
    }
    voided.batch = batch;
    g_hash_table_foreach_remove(cl->holders, is_from_batch, &voided);
    g_hash_table_add(cl->voided_batches,
                     batch_key(writer->node, writer->incarnation, batch));
}

static bool
is_voided(const JdClaims *cl, const Holder *writer)
{
    char *key = batch_key(writer->node, writer->incarnation, writer->batch);
    bool found = g_hash_table_contains(cl->voided_batches, key);

    g_free(key);
    return found;
}

/* Applies one record.  Returns true if it is the batch in flight. */
static bool
apply_record(JdClaims *cl, const JdRecord *rec)
{
    json_int_t incarnation, batch, void_id;
    Holder writer = {.at = rec->logged_at};
    json_t *claims, *releases, *js;
    const char *node;
    bool is_own_batch;

    if (JdJson_Parse(rec->text, rec->len, &js, NULL) != JD_OK) {
        cl->counters->value[JD_C_BAD_RECORD]++;
        return false;
    }
    if (json_unpack(js, "{s:s, s:I, s:I, s:I, s:o, s:o}", "node", &node,
                    "incarnation", &incarnation, "batch", &batch, "void",
                    &void_id, "claim", &claims, "release", &releases) != 0) {
        cl->counters->value[JD_C_BAD_RECORD]++;
        json_decref(js);
        return false;
    }
    _Jd_CopyText(writer.node, sizeof(writer.node), node);
    writer.incarnation = (uint64_t)incarnation;
    writer.batch = (uint64_t)batch;
    is_own_batch = is_from(&writer, cl->node, cl->incarnation) &&
                   writer.batch == cl->batch_id;
    apply_void(cl, (uint64_t)void_id, &writer);
    if (!is_voided(cl, &writer)) {
        apply_release(cl, releases, &writer);
        apply_claims(cl, claims, &writer);
    }
    json_decref(js);
    return is_own_batch;
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
fill_batch(JdClaims *cl)
{
    unsigned n = 0;
    JdClaim *c;

    while (n < BATCH_LIMIT && (c = TAILQ_FIRST(&cl->pending)) != NULL) {
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
    fill_batch(cl);
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

/* Sends a batch now, or when the append interval has passed. */
static void
schedule_batch(JdClaims *cl)
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
    if (h != NULL && is_from(h, cl->node, cl->incarnation) &&
        h->batch == cl->batch_id) {
        c->state = JD_CLAIM_HELD;
        cl->ops->granted(cl->ctx, c);
        return;
    }
    cl->ops->denied(cl->ctx, c, JD_REASON_KEY_TAKEN);
}

/* Ends the batch in flight and schedules the next. */
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
        schedule_batch(cl);
    }
    else if (cl->batch_to_void != 0) {
        JdTimer_Arm(cl->clock, &cl->timer, VOID_DELAY);
    }
}

/* The log does not work: denies all claims at once, pending ones as well. */
static void
deny_all(JdClaims *cl)
{
    JdClaim *c;

    finish_batch(cl, false);
    while ((c = TAILQ_FIRST(&cl->pending)) != NULL) {
        TAILQ_REMOVE(&cl->pending, c, link);
        TAILQ_INSERT_TAIL(&cl->sending, c, link);
        finish_claim(cl, c, false);
    }
}

/* Handles the result of an append. */
void
JdClaims_OnAppend(JdClaims *cl, uint64_t token, JdStatus status,
                  uint64_t offset)
{
    if (token != cl->token || !cl->is_batch_in_flight) {
        return;
    }
    if (status == JD_ERR_REFUSED || status == JD_ERR_UNREACHABLE) {
        deny_all(cl);
        return;
    }
    cl->is_outcome_unknown = status != JD_OK;
    cl->batch_offset = status == JD_OK ? offset : UINT64_MAX;
    cl->ops->read(cl->ctx, cl->next_offset, READ_LIMIT, cl->token);
}

/* Voids the batch in flight, as its record may still reach the log, and denies
 * all claims. */
static void
void_batch(JdClaims *cl)
{
    cl->batch_to_void = cl->batch_id;
    deny_all(cl);
}

/*
 * Returns whether claims may still be valid whose records the log deleted
 * before they were read.  A log whose retention is the hold time or longer
 * deletes only claims that are no longer valid.
 */
static bool
may_miss_claims(const JdClaims *cl, uint64_t at)
{
    if (cl->retention >= cl->hold_time) {
        return false;
    }
    return cl->oldest_record_at != 0 &&
           cl->oldest_record_at + cl->hold_time > at;
}

static void
read_more(JdClaims *cl, const JdLogAnswer *ans)
{
    if (cl->next_offset < ans->next_offset) {
        cl->ops->read(cl->ctx, cl->next_offset, READ_LIMIT, cl->token);
        return;
    }
    if (++cl->reads_without_batch >= MAX_REREADS) {
        void_batch(cl);
        return;
    }
    JdTimer_Arm(cl->clock, &cl->timer, REREAD_DELAY);
}

/* The log deleted records that were not read yet: starts again with the first
 * one left. */
static void
skip_expired(JdClaims *cl, const JdLogAnswer *ans)
{
    g_hash_table_remove_all(cl->holders);
    cl->next_offset = ans->first_offset;
    cl->oldest_record_at = UINT64_MAX;
    cl->ops->read(cl->ctx, cl->next_offset, READ_LIMIT, cl->token);
}

static gboolean
is_expired(gpointer key, gpointer val, gpointer ctx)
{
    const Holder *h = val;

    (void)key;
    return h->at < *(uint64_t *)ctx;
}

/* Removes the keys whose hold time is over at the log's time `at`. */
static void
purge_expired(JdClaims *cl, uint64_t at)
{
    uint64_t limit = at > cl->hold_time ? at - cl->hold_time : 0;

    if (at < cl->purged_at + cl->hold_time / 4) {
        return;
    }
    cl->purged_at = at;
    g_hash_table_foreach_remove(cl->holders, is_expired, &limit);
}

/* Handles the result of a read. */
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
        void_batch(cl);
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
    purge_expired(cl, at);
    if (!is_found) {
        read_more(cl, ans);
    }
    else if (may_miss_claims(cl, at)) {
        void_batch(cl);
    }
    else {
        finish_batch(cl, true);
    }
}

/* ---- claims ------------------------------------------------------------ */

/*
 * Claims a key.  `granted` or `denied` follows, perhaps before this call
 * returns.
 */
void
JdClaims_Acquire(JdClaims *cl, JdClaim *claim, const char *key)
{
    memset(claim, 0, sizeof(*claim));
    _Jd_CopyText(claim->key, sizeof(claim->key), key);
    claim->requested_at = JdClock_Now(cl->clock);
    claim->state = JD_CLAIM_PENDING;
    TAILQ_INSERT_TAIL(&cl->pending, claim, link);
    schedule_batch(cl);
}

/* Releases a held key because its work was never sent.  `released` follows. */
void
JdClaims_Release(JdClaims *cl, JdClaim *claim)
{
    claim->state = JD_CLAIM_RELEASING;
    TAILQ_INSERT_TAIL(&cl->pending, claim, link);
    schedule_batch(cl);
}

/* Removes a claim whose memory is about to be freed.  No callback follows. */
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
 * Returns whether work may still be sent under a held claim.  It may not after
 * half of the hold time: if the process was paused for long, another one may
 * hold the key by now.
 */
bool
JdClaims_IsUsable(const JdClaims *cl, const JdClaim *claim)
{
    return claim->state == JD_CLAIM_HELD &&
           JdClock_Now(cl->clock) - claim->requested_at < cl->hold_time / 2;
}

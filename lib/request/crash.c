/*
 * Requests under which targets crashed, recognized by their content.  After
 * JD_CRASH_LIMIT crashes a request is refused.
 *
 * Other requests that ran beside it are recorded as well, since a crash does
 * not tell its cause.  A target that answers one clears the crashes that were
 * recorded of it: it may run again.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Time after its last use for which a record is kept: of a request that is
 * refused, and of another one. */
#define REFUSED_RETENTION (JD_US_PER_S * 3600 * 24)
#define SUSPECT_RETENTION (JD_US_PER_S * 3600)

/* Returns the id of the target's process that started at `started`, in ms
 * since 1970, beside a node. */
uint64_t
JdCrash_ProcessId(const char *node, uint64_t started)
{
    return _Jd_HashText(node, started);
}

/* ---- records ----------------------------------------------------------- */

static guint
hash_fingerprint(gconstpointer key)
{
    return (guint)((const JdFingerprint *)key)->word[0];
}

static gboolean
equal_fingerprints(gconstpointer a, gconstpointer b)
{
    return memcmp(((const JdFingerprint *)a)->word,
                  ((const JdFingerprint *)b)->word,
                  sizeof(((const JdFingerprint *)a)->word)) == 0;
}

/* Initializes an empty table. */
void
JdCrashTable_Init(JdCrashTable *ct, JdClock *clk)
{
    memset(ct, 0, sizeof(*ct));
    TAILQ_INIT(&ct->all);
    TAILQ_INIT(&ct->pending);
    ct->by_request = g_hash_table_new(hash_fingerprint, equal_fingerprints);
    ct->clock = clk;
}

/* Removes a record from the list of changes to forward. */
void
JdCrashTable_ClearPending(JdCrashTable *ct, JdCrashRecord *rec)
{
    if (rec->is_pending) {
        rec->is_pending = false;
        TAILQ_REMOVE(&ct->pending, rec, pending_link);
    }
}

static void
remove_record(JdCrashTable *ct, JdCrashRecord *rec)
{
    JdCrashTable_ClearPending(ct, rec);
    TAILQ_REMOVE(&ct->all, rec, link);
    g_hash_table_remove(ct->by_request, &rec->request);
    ct->count--;
    g_free(rec);
}

/* Frees all records. */
void
JdCrashTable_Finish(JdCrashTable *ct)
{
    JdCrashRecord *rec;

    while ((rec = TAILQ_FIRST(&ct->all)) != NULL) {
        remove_record(ct, rec);
    }
    g_hash_table_destroy(ct->by_request);
}

/* Returns the record of a request, or NULL. */
JdCrashRecord *
JdCrashTable_Find(const JdCrashTable *ct, const JdFingerprint *fp)
{
    return g_hash_table_lookup(ct->by_request, fp);
}

/* Returns whether the process of a crash stands before it in a record, with
 * another caller, as a crash that is not cleared. */
static bool
is_counted_before(const JdCrashRecord *rec, unsigned index)
{
    for (unsigned i = 0; i < index; i++) {
        if (!rec->crash[i].is_cleared &&
            rec->crash[i].process == rec->crash[index].process) {
            return true;
        }
    }
    return false;
}

/* Returns the number of processes that crashed under a request, with any
 * caller, and are not cleared. */
unsigned
JdCrashRecord_CountCrashes(const JdCrashRecord *rec)
{
    unsigned n = 0;

    for (unsigned i = 0; i < rec->crash_count; i++) {
        n += !rec->crash[i].is_cleared && !is_counted_before(rec, i);
    }
    return n;
}

/* Returns the number of crashes under a caller's request that are not cleared.
 */
static unsigned
count_of_caller(const JdCrashRecord *rec, uint64_t caller)
{
    unsigned n = 0;

    for (unsigned i = 0; i < rec->crash_count; i++) {
        n += !rec->crash[i].is_cleared && rec->crash[i].caller == caller;
    }
    return n;
}

/* Returns whether a target has answered a caller's request, and none has
 * crashed under it since. */
static bool
is_caller_cleared(const JdCrashRecord *rec, uint64_t caller)
{
    for (unsigned i = 0; i < rec->crash_count; i++) {
        if (rec->crash[i].caller == caller && rec->crash[i].is_cleared) {
            return count_of_caller(rec, caller) == 0;
        }
    }
    return false;
}

/* Returns the number of callers with at least JD_CRASH_LIMIT_SHARED crashes.
 */
static unsigned
count_callers(const JdCrashRecord *rec)
{
    unsigned n = 0;

    for (unsigned i = 0; i < rec->crash_count; i++) {
        uint64_t caller = rec->crash[i].caller;
        bool is_first = true;

        for (unsigned j = 0; j < i; j++) {
            is_first = is_first && rec->crash[j].caller != caller;
        }
        n += is_first && count_of_caller(rec, caller) >= JD_CRASH_LIMIT_SHARED;
    }
    return n;
}

/*
 * Returns whether a caller's request is refused.  The same content may be
 * harmless when another service sends it, so each caller's crashes count by
 * themselves at first.  Once the content has crashed enough targets, a caller
 * needs fewer, and none if two callers have shown that it does.
 */
static bool
refuses_caller(const JdCrashRecord *rec, uint64_t caller)
{
    unsigned n = count_of_caller(rec, caller);

    if (JdCrashRecord_CountCrashes(rec) < JD_CRASH_LIMIT ||
        is_caller_cleared(rec, caller)) {
        return false;
    }
    return n >= JD_CRASH_LIMIT_SHARED || count_callers(rec) > 1;
}

/* Returns whether the request of some caller is refused. */
bool
JdCrashRecord_IsRefused(const JdCrashRecord *rec)
{
    for (unsigned i = 0; i < rec->crash_count; i++) {
        if (refuses_caller(rec, rec->crash[i].caller)) {
            return true;
        }
    }
    return false;
}

/* Returns whether `a` is to be forgotten before `b`: the one with fewer
 * crashes, then the one that was not used for longer. */
static bool
is_less_needed(const JdCrashRecord *a, const JdCrashRecord *b)
{
    unsigned n = JdCrashRecord_CountCrashes(a);
    unsigned m = JdCrashRecord_CountCrashes(b);

    return n != m ? n < m : a->used_at < b->used_at;
}

static void
make_room(JdCrashTable *ct)
{
    JdCrashRecord *least = TAILQ_FIRST(&ct->all);
    JdCrashRecord *rec;

    if (ct->count < JD_CRASH_RECORDS_MAX) {
        return;
    }
    TAILQ_FOREACH(rec, &ct->all, link)
    {
        if (is_less_needed(rec, least)) {
            least = rec;
        }
    }
    remove_record(ct, least);
}

static JdCrashRecord *
get_record(JdCrashTable *ct, const JdFingerprint *fp)
{
    JdCrashRecord *rec = JdCrashTable_Find(ct, fp);

    if (rec == NULL) {
        make_room(ct);
        rec = g_new0(JdCrashRecord, 1);
        rec->request = *fp;
        TAILQ_INSERT_TAIL(&ct->all, rec, link);
        g_hash_table_insert(ct->by_request, &rec->request, rec);
        ct->count++;
    }
    return rec;
}

static void
record_changed(JdCrashTable *ct, JdCrashRecord *rec, uint64_t source_link)
{
    rec->used_at = JdClock_Now(ct->clock);
    rec->is_stored = false;
    if (rec->is_pending && rec->source_link != source_link) {
        /* Each of the two links lacks what came over the other. */
        rec->source_link = 0;
    }
    if (!rec->is_pending) {
        rec->is_pending = true;
        rec->source_link = source_link;
        TAILQ_INSERT_TAIL(&ct->pending, rec, pending_link);
    }
    if (ct->changed != NULL) {
        ct->changed(ct->ctx, rec);
    }
}

/* Returns a crash of a record, or NULL. */
static JdCrash *
find_crash(JdCrashRecord *rec, uint64_t process, uint64_t caller)
{
    for (unsigned i = 0; i < rec->crash_count; i++) {
        if (rec->crash[i].process == process &&
            rec->crash[i].caller == caller) {
            return &rec->crash[i];
        }
    }
    return NULL;
}

/* Returns the place for a new crash: an unused one, or one whose crash is
 * cleared; NULL if there is none. */
static JdCrash *
find_place(JdCrashRecord *rec)
{
    if (rec->crash_count < JD_CRASHES_PER_REQUEST) {
        return &rec->crash[rec->crash_count++];
    }
    for (unsigned i = 0; i < rec->crash_count; i++) {
        if (rec->crash[i].is_cleared) {
            return &rec->crash[i];
        }
    }
    return NULL;
}

/* Returns whether a record gains nothing by one more crash of a caller, whose
 * request is refused already. */
static bool
is_redundant(const JdCrashRecord *rec, const JdCrash *crash)
{
    return !crash->is_cleared &&
           count_of_caller(rec, crash->caller) >= JD_CRASH_LIMIT;
}

/* Adds a crash of a request.  `source_link` is the link that it was learnt
 * over, to which it is not forwarded; 0 for none. */
void
JdCrashTable_Add(JdCrashTable *ct, const JdFingerprint *fp,
                 const JdCrash *crash, uint64_t source_link)
{
    JdCrashRecord *rec = get_record(ct, fp);
    JdCrash *known = find_crash(rec, crash->process, crash->caller);

    if (known != NULL && (known->is_cleared || !crash->is_cleared)) {
        return;
    }
    if (known == NULL && !is_redundant(rec, crash)) {
        known = find_place(rec);
    }
    if (known != NULL) {
        *known = *crash;
        record_changed(ct, rec, source_link);
    }
}

/* Returns whether the crash of a target's process counts against a request of
 * a caller: it is recorded and not cleared. */
bool
JdCrashTable_Blames(const JdCrashTable *ct, const JdFingerprint *fp,
                    uint64_t process)
{
    JdCrashRecord *rec = JdCrashTable_Find(ct, fp);
    const JdCrash *crash =
        rec == NULL ? NULL : find_crash(rec, process, fp->caller);

    return crash != NULL && !crash->is_cleared;
}

/* Records that a target's process crashed under a request. */
void
JdCrashTable_Record(JdCrashTable *ct, const JdFingerprint *fp,
                    uint64_t process)
{
    JdCrash crash = {.process = process, .caller = fp->caller};

    JdCrashTable_Add(ct, fp, &crash, 0);
}

/* A target has answered a caller's request: clears its crashes. */
void
JdCrashTable_Clear(JdCrashTable *ct, const JdFingerprint *fp)
{
    JdCrashRecord *rec = JdCrashTable_Find(ct, fp);
    JdCrash none = {.caller = fp->caller, .is_cleared = true};

    if (rec == NULL || JdCrashRecord_CountCrashes(rec) == 0 ||
        is_caller_cleared(rec, fp->caller)) {
        return;
    }
    for (unsigned i = 0; i < rec->crash_count; i++) {
        if (rec->crash[i].caller == fp->caller) {
            rec->crash[i].is_cleared = true;
        }
    }
    record_changed(ct, rec, 0);
    JdCrashTable_Add(ct, fp, &none, 0);
}

/* Returns whether a target may crash under a request: one has, and none has
 * answered it since. */
bool
JdCrashTable_IsSuspect(const JdCrashTable *ct, const JdFingerprint *fp)
{
    const JdCrashRecord *rec = JdCrashTable_Find(ct, fp);

    return rec != NULL && JdCrashRecord_CountCrashes(rec) > 0 &&
           !is_caller_cleared(rec, fp->caller);
}

/* Returns whether a request must not be sent to a target any more. */
bool
JdCrashTable_IsRefused(JdCrashTable *ct, const JdFingerprint *fp)
{
    JdCrashRecord *rec = JdCrashTable_Find(ct, fp);

    if (rec == NULL || !refuses_caller(rec, fp->caller)) {
        return false;
    }
    rec->used_at = JdClock_Now(ct->clock);
    return true;
}

/* As JdCrashTable_IsSuspect, for a request whose fingerprint is not computed
 * while the table is empty. */
bool
JdCrashTable_Suspects(const JdCrashTable *ct, JdLazyFingerprint *lazy,
                      const Jd__Request *msg)
{
    return ct->count > 0 &&
           JdCrashTable_IsSuspect(ct, JdLazyFingerprint_Get(lazy, msg));
}

/* As JdCrashTable_IsRefused, for a request whose fingerprint is not computed
 * while the table is empty. */
bool
JdCrashTable_Refuses(JdCrashTable *ct, JdLazyFingerprint *lazy,
                     const Jd__Request *msg)
{
    return ct->count > 0 &&
           JdCrashTable_IsRefused(ct, JdLazyFingerprint_Get(lazy, msg));
}

static bool
has_expired(const JdCrashRecord *rec, uint64_t now)
{
    bool is_refused = JdCrashRecord_IsRefused(rec);

    return now - rec->used_at >
           (is_refused ? REFUSED_RETENTION : SUSPECT_RETENTION);
}

/* Removes records that were not used for long, except that those which the
 * source lists are marked first, to be removed there. */
void
JdCrashTable_Prune(JdCrashTable *ct)
{
    uint64_t now = JdClock_Now(ct->clock);
    JdCrashRecord *rec, *next;

    for (rec = TAILQ_FIRST(&ct->all); rec != NULL; rec = next) {
        next = TAILQ_NEXT(rec, link);
        rec->is_expired = has_expired(rec, now);
        if (rec->is_expired && !rec->is_listed) {
            remove_record(ct, rec);
        }
    }
}

/* Clears the crashes of a request with all callers.  Returns false if there
 * are none. */
bool
_JdCrashTable_ClearAll(JdCrashTable *ct, const JdFingerprint *fp)
{
    JdCrashRecord *rec = JdCrashTable_Find(ct, fp);

    if (rec == NULL || JdCrashRecord_CountCrashes(rec) == 0) {
        return false;
    }
    for (unsigned i = 0; i < rec->crash_count; i++) {
        rec->crash[i].is_cleared = true;
    }
    record_changed(ct, rec, 0);
    return true;
}

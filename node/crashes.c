/*
 * Keeps the requests that crash targets at the source of configuration, so
 * that they are still refused after all nodes have restarted.  The nodes that
 * read the source do it for all: what one of them does not know to be stored,
 * it writes.  Two that write the same record do no harm, and each learns what
 * the other writes, also while they are not in one tree.
 */
#include <string.h>

#include "node.h"

/* Pause after a call to the source that failed. */
#define RETRY_INTERVAL (500 * JD_US_PER_MS)

/* Returns whether the source has to hold a record. */
static bool
is_wanted(const JdCrashRecord *rec)
{
    return !rec->is_expired && JdCrashRecord_IsRefused(rec);
}

/* Returns a record that the source lacks, or should not hold; NULL for none.
 */
static JdCrashRecord *
find_unstored(const JdNode *nd)
{
    JdCrashRecord *rec;

    TAILQ_FOREACH(rec, &nd->tree.crashes.all, link)
    {
        if (is_wanted(rec) ? !rec->is_stored : rec->is_listed) {
            return rec;
        }
    }
    return NULL;
}

static void
put_record(JdNode *nd, const JdCrashRecord *rec)
{
    JdCrashStore *cs = &nd->crash_store;
    char request[JD_FINGERPRINT_TEXT_MAX];

    cs->is_busy = true;
    cs->written_request = rec->request;
    cs->written[0] = '\0';
    if (is_wanted(rec)) {
        JdCrashRecord_Format(rec, cs->written);
    }
    JdFingerprint_Format(&rec->request, request);
    JD_LOG(JD_EVENT_CRASH,
           JD_TEXT("outcome", cs->written[0] == '\0' ? "dropped" : "stored"),
           JD_TEXT("request", request),
           JD_NUMBER("crashes", JdCrashRecord_CountCrashes(rec)));
    nd->config_source->put_crashes(nd, request, cs->written);
}

/* Makes the next call to the source, if one is due. */
static void
continue_storing(JdNode *nd)
{
    JdCrashStore *cs = &nd->crash_store;
    const JdCrashRecord *rec;

    if (!cs->is_reader || cs->is_busy || cs->timer.is_armed) {
        return;
    }
    if (!cs->is_loaded || cs->loaded_epoch != nd->tree.source_epoch) {
        cs->is_busy = true;
        cs->loaded_epoch = nd->tree.source_epoch;
        nd->config_source->read_crashes(nd);
        return;
    }
    if (!cs->is_following) {
        cs->is_following = true;
        nd->config_source->follow_crashes(nd);
    }
    rec = find_unstored(nd);
    if (rec != NULL) {
        put_record(nd, rec);
    }
}

static void
on_retry(void *ctx)
{
    continue_storing(ctx);
}

/* A call has ended: makes the next one, after a pause if it failed. */
static void
finish_call(JdNode *nd, bool is_ok)
{
    nd->crash_store.is_busy = false;
    if (!is_ok) {
        JdTimer_Arm(&nd->loop.clock, &nd->crash_store.timer, RETRY_INTERVAL);
    }
    continue_storing(nd);
}

/* Nothing is known any more of what the source holds. */
static void
forget_stored(JdNode *nd)
{
    JdCrashRecord *rec;

    nd->crash_store.is_loaded = false;
    TAILQ_FOREACH(rec, &nd->tree.crashes.all, link)
    {
        rec->is_stored = false;
        rec->is_listed = false;
    }
}

/* This node begins or ceases to read the source. */
void
JdCrashStore_SetReader(JdNode *nd, bool is_reader)
{
    if (nd->config_source->read_crashes == NULL) {
        return;
    }
    nd->crash_store.is_reader = is_reader;
    forget_stored(nd);
    continue_storing(nd);
}

/* Records have changed, or the epoch of the source. */
void
JdCrashStore_OnChanged(JdNode *nd)
{
    continue_storing(nd);
}

/* The source's records are about to be handed over one by one. */
void
JdCrashStore_OnReadBegin(JdNode *nd)
{
    forget_stored(nd);
}

/* The source holds a record; empty `crashes`: it was removed. */
void
JdCrashStore_OnRecord(JdNode *nd, const char *request, size_t request_len,
                      const char *crashes, size_t crashes_len)
{
    JdCrashTable *ct = &nd->tree.crashes;
    char text[JD_CRASHES_TEXT_MAX];
    JdCrashRecord *rec;

    if (crashes_len == 0) {
        return;
    }
    rec = JdCrashTable_Parse(ct, request, request_len, crashes, crashes_len);
    if (rec == NULL) {
        nd->counters.value[JD_C_BAD_RECORD]++;
        return;
    }
    JdCrashRecord_Format(rec, text);
    rec->is_listed = true;
    rec->is_stored =
        strlen(text) == crashes_len && memcmp(text, crashes, crashes_len) == 0;
}

/* The read has ended. */
void
JdCrashStore_OnReadEnd(JdNode *nd, JdStatus status)
{
    nd->crash_store.is_loaded = status == JD_OK;
    finish_call(nd, status == JD_OK);
}

/* The wait for changes has ended, with or without some.  After a failure all
 * records are read again. */
void
JdCrashStore_OnFollowed(JdNode *nd, JdStatus status)
{
    JdCrashStore *cs = &nd->crash_store;

    cs->is_following = false;
    if (status != JD_OK) {
        cs->is_loaded = false;
        JdTimer_Arm(&nd->loop.clock, &cs->timer, RETRY_INTERVAL);
    }
    continue_storing(nd);
}

/* A write has ended. */
void
JdCrashStore_OnPut(JdNode *nd, JdStatus status)
{
    JdCrashStore *cs = &nd->crash_store;
    JdCrashRecord *rec =
        JdCrashTable_Find(&nd->tree.crashes, &cs->written_request);
    char text[JD_CRASHES_TEXT_MAX];

    if (status == JD_OK && rec != NULL) {
        JdCrashRecord_Format(rec, text);
        rec->is_listed = cs->written[0] != '\0';
        rec->is_stored = strcmp(text, cs->written) == 0;
    }
    finish_call(nd, status == JD_OK);
}

/* Initializes a node that does not read the source. */
void
JdCrashStore_Init(JdNode *nd)
{
    JdTimer_Init(&nd->crash_store.timer, on_retry, nd);
}

/* Records of crashes in the tree: each change goes to all nodes at once, and
 * two nodes that connect exchange what they have. */
#include <glib.h>

#include "libjd.h"
#include "libtree.h"

/* Maximum number of records in one frame. */
#define RECORDS_PER_FRAME 128

/* Records collected for the next frame on one link. */
typedef struct RecordBatch {
    Jd__CrashRecord record[RECORDS_PER_FRAME];
    Jd__CrashRecord *list[RECORDS_PER_FRAME];
    Jd__Crash crash[RECORDS_PER_FRAME][JD_CRASHES_PER_REQUEST];
    Jd__Crash *crash_list[RECORDS_PER_FRAME][JD_CRASHES_PER_REQUEST];
    size_t count;
} RecordBatch;

static void
send_batch(JdTree *tr, void *peer, RecordBatch *b)
{
    Jd__Crashes msg = JD__CRASHES__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (b->count == 0) {
        return;
    }
    msg.n_record = b->count;
    msg.record = b->list;
    frame.body_case = JD__FRAME__BODY_CRASHES;
    frame.crashes = &msg;
    _JdTree_Send(tr, peer, &frame);
    b->count = 0;
}

static void
add_to_batch(JdTree *tr, void *peer, RecordBatch *b, const JdCrashRecord *rec)
{
    size_t n = b->count++;
    Jd__CrashRecord *msg = &b->record[n];

    jd__crash_record__init(msg);
    b->list[n] = msg;
    msg->request_hi = rec->request.word[0];
    msg->request_lo = rec->request.word[1];
    msg->crash = b->crash_list[n];
    msg->n_crash = rec->crash_count;
    for (unsigned i = 0; i < rec->crash_count; i++) {
        Jd__Crash *crash = &b->crash[n][i];

        jd__crash__init(crash);
        b->crash_list[n][i] = crash;
        crash->process = rec->crash[i].process;
        crash->caller = rec->crash[i].caller;
        crash->cleared = rec->crash[i].is_cleared;
    }
    if (b->count == RECORDS_PER_FRAME) {
        send_batch(tr, peer, b);
    }
}

/* Sends a peer that has just connected all records. */
void
_JdTree_SendCrashes(JdTree *tr, void *peer)
{
    const JdCrashRecord *rec;
    RecordBatch *b;

    if (tr->crashes.count == 0) {
        return;
    }
    b = g_new0(RecordBatch, 1);
    TAILQ_FOREACH(rec, &tr->crashes.all, link)
    {
        add_to_batch(tr, peer, b, rec);
    }
    send_batch(tr, peer, b);
    g_free(b);
}

static void
send_pending(JdTree *tr, void *peer, uint64_t link_id, RecordBatch *b)
{
    const JdCrashRecord *rec;

    TAILQ_FOREACH(rec, &tr->crashes.pending, pending_link)
    {
        if (rec->source_link != link_id) {
            add_to_batch(tr, peer, b, rec);
        }
    }
    send_batch(tr, peer, b);
}

/* Sends each changed record on all links but the one that it came over. */
static void
on_crash_timer(void *ctx)
{
    JdTree *tr = ctx;
    RecordBatch *b = g_new0(RecordBatch, 1);
    JdCrashRecord *rec;
    JdChild *ch;

    if (tr->parent.state == JD_LINK_ATTACHED) {
        send_pending(tr, tr->parent.peer, tr->parent.link_id, b);
    }
    TAILQ_FOREACH(ch, &tr->children, link)
    {
        send_pending(tr, ch->peer, ch->link_id, b);
    }
    g_free(b);
    while ((rec = TAILQ_FIRST(&tr->crashes.pending)) != NULL) {
        JdCrashTable_ClearPending(&tr->crashes, rec);
    }
    if (tr->ops->crashes_changed != NULL) {
        tr->ops->crashes_changed(tr->ctx);
    }
}

static void
on_record_changed(void *ctx, JdCrashRecord *rec)
{
    JdTree *tr = ctx;

    (void)rec;
    if (!tr->crash_timer.is_armed) {
        JdTimer_Arm(tr->clock, &tr->crash_timer, 0);
    }
}

static void
add_crashes(JdTree *tr, const Jd__CrashRecord *msg, uint64_t link_id)
{
    JdFingerprint fp = {.word = {msg->request_hi, msg->request_lo}};

    for (size_t i = 0; i < msg->n_crash; i++) {
        JdCrash crash = {.process = msg->crash[i]->process,
                         .caller = msg->crash[i]->caller,
                         .is_cleared = msg->crash[i]->cleared};

        JdCrashTable_Add(&tr->crashes, &fp, &crash, link_id);
    }
}

void
_JdTree_OnCrashes(JdTree *tr, void *peer, const Jd__Crashes *msg)
{
    uint64_t link_id = _JdTree_LinkId(tr, peer);

    for (size_t i = 0; i < msg->n_record; i++) {
        add_crashes(tr, msg->record[i], link_id);
    }
}

void
_JdTree_InitCrashes(JdTree *tr)
{
    JdCrashTable_Init(&tr->crashes, tr->clock);
    tr->crashes.changed = on_record_changed;
    tr->crashes.ctx = tr;
    JdTimer_Init(&tr->crash_timer, on_crash_timer, tr);
}

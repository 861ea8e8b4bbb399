/* Reports of nodes on roll-outs in the tree: they go up to the root. */
#include <glib.h>

#include "libjd.h"
#include "libtree.h"

/* Time between two reports of a node on answers that it has counted. */
#define REPORT_INTERVAL (500 * JD_US_PER_MS)
/* Wait that gathers the reports of children. */
#define GATHER_TIME (100 * JD_US_PER_MS)
/* Maximum number of reports in one frame. */
#define REPORTS_PER_FRAME 32

/* Sends the reports that are due after `delay` us, or earlier. */
void
_JdTree_ScheduleReport(JdTree *tr, uint64_t delay)
{
    if (tr->report_timer.is_armed &&
        tr->report_timer.due > JdClock_Now(tr->clock) + delay) {
        JdTimer_Cancel(tr->clock, &tr->report_timer);
    }
    if (!tr->report_timer.is_armed) {
        JdTimer_Arm(tr->clock, &tr->report_timer, delay);
    }
}

/* Reports collected for the next frame. */
typedef struct ReportBatch {
    Jd__RolloutReport report[REPORTS_PER_FRAME];
    Jd__RolloutReport *list[REPORTS_PER_FRAME];
    size_t count;
    GPtrArray *allocated; /* counts, and the lists of them */
} ReportBatch;

static void
send_reports(JdTree *tr, ReportBatch *b)
{
    Jd__RolloutCounts msg = JD__ROLLOUT_COUNTS__INIT;
    Jd__Frame frame = JD__FRAME__INIT;

    if (b->count > 0) {
        msg.n_report = b->count;
        msg.report = b->list;
        frame.body_case = JD__FRAME__BODY_ROLLOUT_COUNTS;
        frame.rollout_counts = &msg;
        _JdTree_Send(tr, tr->parent.peer, &frame);
        b->count = 0;
    }
    g_ptr_array_set_size(b->allocated, 0);
}

/* Returns the classes up to the last one that is not empty. */
static size_t
count_classes(const JdAnswerCounts *ac)
{
    size_t n = JD_ANSWER_TIMES;

    while (n > 0 && ac->took[n - 1] == 0) {
        n--;
    }
    return n;
}

static void
encode_routes(ReportBatch *b, const JdRolloutReport *rp,
              Jd__RolloutReport *msg)
{
    GArray *routes = rp->routes;
    Jd__RolloutCount *count = g_new(Jd__RolloutCount, routes->len);

    msg->count = g_new(Jd__RolloutCount *, routes->len);
    msg->n_count = routes->len;
    g_ptr_array_add(b->allocated, count);
    g_ptr_array_add(b->allocated, msg->count);
    for (guint i = 0; i < routes->len; i++) {
        JdRouteCounts *rc = &g_array_index(routes, JdRouteCounts, i);

        jd__rollout_count__init(&count[i]);
        msg->count[i] = &count[i];
        count[i].route = rc->route;
        count[i].is_new = rc->is_new;
        count[i].answered = rc->total.answered;
        count[i].failed = rc->total.failed;
        count[i].n_took = count_classes(&rc->total);
        count[i].took = rc->total.took;
    }
}

static void
add_report(JdTree *tr, ReportBatch *b, const JdRolloutReport *rp)
{
    Jd__RolloutReport *msg = &b->report[b->count];

    jd__rollout_report__init(msg);
    b->list[b->count++] = msg;
    msg->node = (char *)rp->node;
    msg->incarnation = rp->incarnation;
    msg->seq = rp->seq;
    msg->service = (char *)rp->service;
    msg->epoch = rp->epoch;
    msg->offset = rp->offset;
    msg->step = rp->step;
    msg->old_running = rp->old_running;
    encode_routes(b, rp, msg);
    if (b->count == REPORTS_PER_FRAME) {
        send_reports(tr, b);
    }
}

/* Sends the reports that the parent lacks.  The root has them already. */
static void
forward_reports(JdTree *tr)
{
    ReportBatch *b;
    JdRolloutReport *rp;

    if (tr->parent.state != JD_LINK_ATTACHED ||
        TAILQ_EMPTY(&tr->reports.pending)) {
        return;
    }
    b = g_new0(ReportBatch, 1);
    b->allocated = g_ptr_array_new_with_free_func(g_free);
    while ((rp = TAILQ_FIRST(&tr->reports.pending)) != NULL) {
        JdRolloutReports_ClearPending(&tr->reports, rp);
        add_report(tr, b, rp);
    }
    send_reports(tr, b);
    g_ptr_array_unref(b->allocated);
    g_free(b);
}

/* Returns the report of this node on a roll-out. */
JdRolloutReport *
JdTree_OwnReport(JdTree *tr, const JdRollout *ro)
{
    return JdRolloutReports_Get(&tr->reports, ro, tr->self.id,
                                tr->self.incarnation);
}

static void
update_own_report(JdTree *tr, const JdRollout *ro)
{
    JdRolloutReport *rp = JdTree_OwnReport(tr, ro);
    unsigned old_running = 0;

    if (ro->step == JD_ROLLOUT_FULL && tr->ops->count_old_running != NULL) {
        old_running = tr->ops->count_old_running(tr->ctx, ro);
    }
    if (rp->seq > 0 && rp->step == ro->step && !rp->is_changed &&
        rp->old_running == old_running) {
        return;
    }
    rp->seq++;
    rp->step = ro->step;
    rp->old_running = old_running;
    rp->is_changed = false;
    JdRolloutReports_SetPending(&tr->reports, rp);
}

static void
on_report_timer(void *ctx)
{
    JdTree *tr = ctx;
    bool is_any = false;
    const JdRollout *ro;

    TAILQ_FOREACH(ro, &tr->rollouts.all, link)
    {
        if (!JdRollout_IsFinal(ro)) {
            is_any = true;
            update_own_report(tr, ro);
        }
    }
    forward_reports(tr);
    if (is_any) {
        JdTimer_Arm(tr->clock, &tr->report_timer, REPORT_INTERVAL);
    }
}

/* Sends a new parent all reports. */
void
_JdTree_ResendReports(JdTree *tr)
{
    JdRolloutReport *rp;

    TAILQ_FOREACH(rp, &tr->reports.all, link)
    {
        JdRolloutReports_SetPending(&tr->reports, rp);
    }
    forward_reports(tr);
}

/* Takes reports of nodes below this one. */
void
_JdTree_OnRolloutCounts(JdTree *tr, const Jd__RolloutCounts *msg)
{
    for (size_t i = 0; i < msg->n_report; i++) {
        const Jd__RolloutReport *in = msg->report[i];
        JdRollout *ro = JdRollouts_Find(&tr->rollouts, in->service);

        if (ro == NULL || !JdRollout_HasOrder(ro, in->epoch, in->offset) ||
            JdRollout_IsFinal(ro)) {
            continue;
        }
        if (JdRolloutReports_Update(&tr->reports, ro, in)) {
            JdRolloutReports_SetPending(
                &tr->reports, JdRolloutReports_Get(&tr->reports, ro, in->node,
                                                   in->incarnation));
            _JdTree_ScheduleReport(tr, GATHER_TIME);
        }
    }
}

void
_JdTree_InitReports(JdTree *tr)
{
    JdRolloutReports_Init(&tr->reports);
    JdTimer_Init(&tr->report_timer, on_report_timer, tr);
}

void
_JdTree_FinishReports(JdTree *tr)
{
    JdTimer_Cancel(tr->clock, &tr->report_timer);
    JdRolloutReports_Finish(&tr->reports);
}

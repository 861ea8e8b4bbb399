/*
 * The director decides on roll-outs: when the new version gets all requests,
 * when it has succeeded and when it is taken back.  It is the node that reads
 * the source of configuration as root of the tree.  There may be two for a
 * while, and one may be paused at any point: a decision holds once the source
 * has it, and the source takes it only if nothing was written there since the
 * director read the states.  A roll-back is sent down the tree before that,
 * since stopping early harms nobody.
 */
#include <string.h>

#include <glib.h>

#include "libjd.h"

/* Time between two looks at the counts. */
#define TICK (200 * JD_US_PER_MS)
/* Pause after a call to the source that failed. */
#define RETRY_PAUSE (300 * JD_US_PER_MS)
/* Distance of the marks that set recent answers apart. */
#define MARK_INTERVAL (2 * JD_US_PER_S)
/* The order is to be done this long before its deadline. */
#define DEADLINE_MARGIN (1200 * JD_US_PER_MS)
/* Time for all nodes to leave the old targets, as a share of the order's time
 * and its limits. */
#define FULL_TIME_DIVISOR 4
#define FULL_TIME_MIN JD_US_PER_S
#define FULL_TIME_MAX (3 * JD_US_PER_S)

static void on_tick(void *ctx);

/* Initializes a director; it decides nothing before there is a roll-out. */
void
JdDirector_Init(JdDirector *di, JdRollouts *rs, JdRolloutReports *rr,
                const JdMembers *ms, JdClock *clk, const JdDirectorOps *ops,
                void *ctx)
{
    memset(di, 0, sizeof(*di));
    di->rollouts = rs;
    di->reports = rr;
    di->members = ms;
    di->clock = clk;
    di->ops = ops;
    di->ctx = ctx;
    JdTimer_Init(&di->timer, on_tick, di);
}

/* Stops the director. */
void
JdDirector_Finish(JdDirector *di)
{
    JdTimer_Cancel(di->clock, &di->timer);
}

/* ---- evidence ---------------------------------------------------------- */

/* Returns the counts of one route since the order or since the last mark but
 * one. */
static JdAnswerCounts
get_counts(const JdRouteCounts *rc, bool is_recent)
{
    JdAnswerCounts ac = rc->total;

    if (is_recent) {
        JdAnswerCounts_Subtract(&ac, &rc->mark[0]);
    }
    return ac;
}

static void
add_answers(const JdRolloutReport *rp, const char *route, bool is_recent,
            JdRouteAnswers *out)
{
    const GArray *list = rp->routes;

    for (guint i = 0; i < list->len; i++) {
        const JdRouteCounts *rc = &g_array_index(list, JdRouteCounts, i);
        JdAnswerCounts ac;

        if (strcmp(rc->route, route) != 0) {
            continue;
        }
        ac = get_counts(rc, is_recent);
        if (rc->is_new) {
            JdRouteAnswers_AddNew(out, &ac);
        }
        else {
            JdRouteAnswers_AddOld(out, &ac);
        }
    }
}

/* Collects the answers that all nodes have reported on one route. */
static void
collect_answers(const JdDirector *di, const JdRollout *ro, const char *route,
                bool is_recent, JdRouteAnswers *out)
{
    const JdRolloutReport *rp;

    memset(out, 0, sizeof(*out));
    TAILQ_FOREACH(rp, &di->reports->all, link)
    {
        if (JdRolloutReport_IsAbout(rp, ro)) {
            add_answers(rp, route, is_recent, out);
        }
    }
}

static void
add_to_finding(JdRolloutFinding *out, const char *route,
               const JdRouteAnswers *ra)
{
    JdVerdict verdict = JdRouteAnswers_Judge(ra);

    if (JdVerdict_IsBad(out->verdict)) {
        return;
    }
    if (JdVerdict_IsBad(verdict)) {
        out->verdict = verdict;
        _Jd_CopyText(out->route, sizeof(out->route), route);
        out->answers = *ra;
        return;
    }
    if (verdict == JD_VERDICT_UNKNOWN) {
        out->verdict = JD_VERDICT_UNKNOWN;
    }
    JdAnswerCounts_Add(&out->answers.of_old, &ra->of_old);
    JdAnswerCounts_Add(&out->answers.of_new, &ra->of_new);
}

static void
judge_routes(const JdDirector *di, const JdRollout *ro, GHashTable *routes,
             bool is_recent, JdRolloutFinding *out)
{
    GHashTableIter it;
    gpointer route;

    g_hash_table_iter_init(&it, routes);
    while (g_hash_table_iter_next(&it, &route, NULL)) {
        JdRouteAnswers ra;

        collect_answers(di, ro, route, is_recent, &ra);
        add_to_finding(out, route, &ra);
    }
}

static GHashTable *
list_routes(const JdDirector *di, const JdRollout *ro)
{
    GHashTable *routes = g_hash_table_new(g_str_hash, g_str_equal);
    const JdRolloutReport *rp;

    TAILQ_FOREACH(rp, &di->reports->all, link)
    {
        GArray *list = rp->routes;

        for (guint i = 0; JdRolloutReport_IsAbout(rp, ro) && i < list->len;
             i++) {
            g_hash_table_add(routes,
                             g_array_index(list, JdRouteCounts, i).route);
        }
    }
    return routes;
}

/*
 * Judges the new version of a roll-out on each route, by all answers since the
 * order or by the recent ones.  One bad route makes it bad; it is good when it
 * is on every route and has answered at all.
 */
void
JdDirector_Judge(const JdDirector *di, const JdRollout *ro, bool is_recent,
                 JdRolloutFinding *out)
{
    GHashTable *routes = list_routes(di, ro);

    memset(out, 0, sizeof(*out));
    out->verdict = JD_VERDICT_GOOD;
    judge_routes(di, ro, routes, is_recent, out);
    if (out->verdict == JD_VERDICT_GOOD && out->answers.of_new.answered == 0) {
        out->verdict = JD_VERDICT_UNKNOWN;
    }
    g_hash_table_destroy(routes);
}

/* The same by both; answers that turned bad late are few among all. */
static void
judge(const JdDirector *di, const JdRollout *ro, JdRolloutFinding *out)
{
    JdRolloutFinding recent;

    JdDirector_Judge(di, ro, false, out);
    if (JdVerdict_IsBad(out->verdict)) {
        return;
    }
    JdDirector_Judge(di, ro, true, &recent);
    if (JdVerdict_IsBad(recent.verdict)) {
        *out = recent;
    }
}

/* ---- confirmation by the nodes ----------------------------------------- */

static bool
is_up(const JdMember *mb)
{
    return mb->state != JD_MEMBER_LOST && mb->state != JD_MEMBER_LEFT;
}

/* Counts the nodes that are up and have not confirmed the present step, and
 * the requests that are under way at old targets. */
static void
check_nodes(const JdDirector *di, const JdRollout *ro, JdRolloutFinding *out)
{
    const JdMember *mb;

    TAILQ_FOREACH(mb, &di->members->all, link)
    {
        const JdRolloutReport *rp;

        if (!is_up(mb)) {
            continue;
        }
        rp = JdRolloutReports_Find(di->reports, ro, mb->id, mb->incarnation);
        if (rp == NULL || rp->step < ro->step) {
            out->unconfirmed++;
            continue;
        }
        out->old_running += rp->old_running;
    }
}

/* ---- steps ------------------------------------------------------------- */

static void
take_step(JdDirector *di, JdRollout *ro, JdRolloutStep step,
          const JdRolloutFinding *finding)
{
    JdRollouts_SetStep(di->rollouts, ro, step, 0);
    di->ops->decided(di->ctx, ro, finding);
}

static uint64_t
full_time(const JdRollout *ro)
{
    uint64_t t = ro->order.duration / FULL_TIME_DIVISOR;

    t = t < FULL_TIME_MIN ? FULL_TIME_MIN : t;
    return t < FULL_TIME_MAX ? t : FULL_TIME_MAX;
}

/* The canary lasts as long as the order allows, so that a version that turns
 * bad late is found with a small share of the requests. */
static void
step_canary(JdDirector *di, JdRollout *ro)
{
    uint64_t now = JdClock_Now(di->clock);
    JdRolloutFinding finding;

    judge(di, ro, &finding);
    /* Without time left to leave the old targets, it is stopped as well. */
    if (JdVerdict_IsBad(finding.verdict) ||
        now + DEADLINE_MARGIN >= ro->deadline) {
        take_step(di, ro, JD_ROLLOUT_STOPPED, &finding);
    }
    else if (finding.verdict == JD_VERDICT_GOOD && di->is_loaded &&
             now + DEADLINE_MARGIN + full_time(ro) >= ro->deadline) {
        take_step(di, ro, JD_ROLLOUT_FULL, &finding);
    }
}

/* Returns the state that the source is to hold of a roll-out. */
static JdRolloutStep
wanted_record(const JdDirector *di, const JdRollout *ro)
{
    uint64_t now = JdClock_Now(di->clock);
    JdRolloutFinding finding = {.verdict = JD_VERDICT_UNKNOWN};

    if (ro->step == JD_ROLLOUT_STOPPED) {
        return JD_ROLLOUT_ROLLED_BACK;
    }
    if (ro->step != JD_ROLLOUT_FULL) {
        return ro->step;
    }
    check_nodes(di, ro, &finding);
    if (finding.unconfirmed > 0) {
        return JD_ROLLOUT_CANARY;
    }
    return finding.old_running == 0 || now + DEADLINE_MARGIN >= ro->deadline
               ? JD_ROLLOUT_SUCCEEDED
               : JD_ROLLOUT_CANARY;
}

static void
step_full(JdDirector *di, JdRollout *ro)
{
    JdRolloutFinding finding;

    judge(di, ro, &finding);
    if (JdVerdict_IsBad(finding.verdict)) {
        take_step(di, ro, JD_ROLLOUT_STOPPED, &finding);
    }
}

static void
step(JdDirector *di, JdRollout *ro)
{
    JdRolloutFinding none = {.verdict = JD_VERDICT_UNKNOWN};

    switch (ro->step) {
    case JD_ROLLOUT_HELD:
        take_step(di, ro, JD_ROLLOUT_CANARY, &none);
        break;
    case JD_ROLLOUT_CANARY:
        step_canary(di, ro);
        break;
    case JD_ROLLOUT_FULL:
        step_full(di, ro);
        break;
    default:
        break;
    }
}

/* ---- the source -------------------------------------------------------- */

static void
load(JdDirector *di)
{
    if (!di->is_loading && JdClock_Now(di->clock) >= di->retry_at) {
        di->is_loading = true;
        di->ops->load(di->ctx);
    }
}

static void
write_record(JdDirector *di, const JdRollout *ro, JdRolloutStep record)
{
    di->is_writing = true;
    _Jd_CopyText(di->written_service, sizeof(di->written_service),
                 ro->order.service);
    di->written_epoch = ro->order.epoch;
    di->written_offset = ro->order.offset;
    di->written_step = record;
    di->ops->write(di->ctx, ro, record);
}

/* Writes the next state that the source lacks, one at a time. */
static void
write_next(JdDirector *di)
{
    const JdRollout *ro;

    TAILQ_FOREACH(ro, &di->rollouts->all, link)
    {
        JdRolloutStep record = wanted_record(di, ro);

        if (!JdRollout_IsFinal(ro) && record > ro->record) {
            write_record(di, ro, record);
            return;
        }
    }
}

/* Returns whether a roll-out has not ended. */
bool
JdDirector_HasWork(const JdDirector *di)
{
    const JdRollout *ro;

    TAILQ_FOREACH(ro, &di->rollouts->all, link)
    {
        if (!JdRollout_IsFinal(ro)) {
            return true;
        }
    }
    return false;
}

/* Looks at the counts and takes the steps that are due.  A version that turns
 * bad is stopped also while the source is away. */
static void
run(JdDirector *di)
{
    JdRollout *ro;

    if (!di->is_loaded) {
        load(di);
    }
    if (JdClock_Now(di->clock) - di->marked_at >= MARK_INTERVAL) {
        di->marked_at = JdClock_Now(di->clock);
        JdRolloutReports_Mark(di->reports);
    }
    TAILQ_FOREACH(ro, &di->rollouts->all, link)
    {
        /* What is not known to run may have ended. */
        if (di->is_loaded || ro->step != JD_ROLLOUT_HELD) {
            step(di, ro);
        }
    }
    if (di->is_loaded && !di->is_writing &&
        JdClock_Now(di->clock) >= di->retry_at) {
        write_next(di);
    }
}

/* A node that begins to decide does not know yet what others wrote. */
static void
update_role(JdDirector *di)
{
    bool is_active = di->ops->may_decide(di->ctx);

    if (di->is_active != is_active) {
        di->is_active = is_active;
        di->is_loaded = false;
    }
}

static void
on_tick(void *ctx)
{
    JdDirector *di = ctx;

    update_role(di);
    if (!JdDirector_HasWork(di)) {
        return;
    }
    if (di->is_active) {
        run(di);
    }
    JdTimer_Arm(di->clock, &di->timer, TICK);
}

/* A roll-out has changed: looks at it now. */
void
JdDirector_Wake(JdDirector *di)
{
    if (!di->timer.is_armed) {
        JdTimer_Arm(di->clock, &di->timer, 0);
    }
}

/* The source holds an order. */
void
JdDirector_OnOrder(JdDirector *di, const JdRolloutOrder *order)
{
    JdRollouts_Merge(di->rollouts, order, JD_ROLLOUT_HELD, order->duration, 0);
    JdDirector_Wake(di);
}

/*
 * The source holds the state `step` of a roll-out, which is JD_ROLLOUT_CANARY
 * for one that is under way.  `left` is the time until the deadline.  A state
 * of an earlier order only tells which version stays barred.
 */
void
JdDirector_OnRecord(JdDirector *di, const JdRolloutOrder *order,
                    JdRolloutStep record, uint64_t left)
{
    JdRollout *ro = JdRollouts_Find(di->rollouts, order->service);

    if (ro == NULL) {
        return;
    }
    if (!JdRollout_HasOrder(ro, order->epoch, order->offset)) {
        if (record == JD_ROLLOUT_ROLLED_BACK) {
            JdRollouts_Bar(di->rollouts, ro, order->version, 0);
        }
        return;
    }
    if (record > ro->record) {
        ro->record = record;
    }
    if (record == JD_ROLLOUT_CANARY) {
        uint64_t deadline = JdClock_Now(di->clock) + left;

        ro->deadline = deadline < ro->deadline ? deadline : ro->deadline;
    }
    else {
        JdRollouts_SetStep(di->rollouts, ro, record, 0);
    }
}

/* All states have been handed over, or the read failed. */
void
JdDirector_OnLoaded(JdDirector *di, JdStatus status)
{
    di->is_loading = false;
    di->is_loaded = status == JD_OK;
    if (status != JD_OK) {
        di->retry_at = JdClock_Now(di->clock) + RETRY_PAUSE;
    }
    JdDirector_Wake(di);
}

/* A write has ended.  Whatever the source did not confirm is read again: the
 * state may be there all the same, or another director's. */
void
JdDirector_OnWritten(JdDirector *di, JdStatus status)
{
    JdRollout *ro = JdRollouts_Find(di->rollouts, di->written_service);

    di->is_writing = false;
    if (status != JD_OK) {
        di->is_loaded = false;
        di->retry_at = JdClock_Now(di->clock) + RETRY_PAUSE;
        return;
    }
    if (ro == NULL ||
        !JdRollout_HasOrder(ro, di->written_epoch, di->written_offset)) {
        return;
    }
    ro->record = di->written_step;
    if (ro->record >= JD_ROLLOUT_SUCCEEDED) {
        JdRolloutFinding finding = {.verdict = JD_VERDICT_UNKNOWN};

        JdDirector_Judge(di, ro, false, &finding);
        take_step(di, ro, ro->record, &finding);
    }
}

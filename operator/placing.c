/* What a node knows of the targets that it sends to, for operators. */
#include <glib.h>

#include "../node/node.h"

static json_int_t
percent(double part)
{
    return (json_int_t)(part * 100 + 0.5);
}

/* Makes the shares, loads and round-trip times of an endpoint set by locality
 * tier. */
static json_t *
make_tiers(const JdNode *nd, const JdPlacingSet *ps)
{
    json_t *js = json_object();

    for (int t = 0; t < JD_TIER_MAX; t++) {
        json_object_set_new(js, JdTier_Name((JdTier)t),
                            json_pack("{s:I, s:I, s:I, s:I}", "share",
                                      percent(ps->spread.share[t]), "load",
                                      percent(ps->spread.load[t]), "wait_us",
                                      (json_int_t)ps->spread.wait[t], "way_us",
                                      (json_int_t)nd->placing.rtt[t]));
    }
    return js;
}

/* Makes the speeds and loads of the targets of a set that have reported. */
static json_t *
make_targets(JdNode *nd, const JdMemberSet *set)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);
    json_t *js = json_object();
    JdMember *mb;

    TAILQ_FOREACH(mb, &set->members, set_link)
    {
        const JdTargetStats *ts = mb->user;

        if (ts == NULL || ts->view.reported_at == 0) {
            continue;
        }
        json_object_set_new(
            js, mb->id,
            json_pack(
                "{s:I, s:I, s:I, s:I}", "speed",
                percent(1 / JdTargetView_Slowness(&ts->view)), "load",
                percent(ts->view.load), "outstanding",
                (json_int_t)ts->view.outstanding, "age_ms",
                (json_int_t)((now - ts->view.reported_at) / JD_US_PER_MS)));
    }
    return js;
}

/* Replies with the endpoint sets that are balanced by work. */
void
JdAdmin_ReplyPlacing(JdNode *nd, h2o_req_t *req)
{
    json_t *js = json_object();
    GHashTableIter it;
    void *name, *set;

    g_hash_table_iter_init(&it, nd->tree.members.by_set);
    while (g_hash_table_iter_next(&it, &name, &set)) {
        const JdPlacingSet *ps = JdPlacing_Find(&nd->placing, name);

        if (ps != NULL) {
            json_object_set_new(js, name,
                                json_pack("{s:o, s:o}", "tiers",
                                          make_tiers(nd, ps), "targets",
                                          make_targets(nd, set)));
        }
    }
    JdHttpd_ReplyJson(req, 200, js);
}

/*
 * The admin interface of a node: metrics, status, configuration and members
 * over HTTP, and the request to drain.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <glib.h>

#include "../node/node.h"

/* Largest request body, in bytes. */
#define MAX_BODY 4096

/* Replies with all counters and histograms in Prometheus text format. */
void
JdAdmin_ReplyMetrics(JdNode *nd, h2o_req_t *req)
{
    char *counters = JdCounters_Format(&nd->counters);
    GString *out = g_string_new(counters);

    JdLatencies_Format(&nd->latencies, out);
    JdHttpd_Reply(req, 200, "text/plain; version=0.0.4", out->str, out->len);
    g_string_free(out, TRUE);
    g_free(counters);
}

static json_t *
make_laggard_list(const JdTreeReport *rep)
{
    json_t *list = json_array();

    for (unsigned i = 0; i < rep->laggard_count; i++) {
        json_array_append_new(list, json_string(rep->laggard[i]));
    }
    return list;
}

static json_t *
make_child_list(const JdNode *nd)
{
    json_t *list = json_array();
    const JdChild *ch;

    TAILQ_FOREACH(ch, &nd->tree.children, link)
    {
        json_array_append_new(list, json_string(ch->id));
    }
    return list;
}

static json_t *
make_lost_list(const JdNode *nd)
{
    json_t *list = json_array();
    const JdMember *mb;

    TAILQ_FOREACH(mb, &nd->tree.members.all, link)
    {
        if (mb->state == JD_MEMBER_LOST) {
            json_array_append_new(list, json_string(mb->id));
        }
    }
    return list;
}

/* Adds the CPU time and the peak memory of this process. */
static void
add_resource_usage(json_t *js)
{
    struct rusage ru;

    getrusage(RUSAGE_SELF, &ru);
    json_object_set_new(
        js, "cpu_us",
        json_integer((json_int_t)(ru.ru_utime.tv_sec + ru.ru_stime.tv_sec) *
                         1000000 +
                     ru.ru_utime.tv_usec + ru.ru_stime.tv_usec));
    json_object_set_new(js, "rss_kb", json_integer(ru.ru_maxrss));
}

/* Adds what this process holds for others. */
static void
add_held(const JdNode *nd, json_t *js)
{
    json_object_set_new(js, "held_bytes",
                        json_integer((json_int_t)nd->memory.used));
    json_object_set_new(js, "held_bytes_limit",
                        json_integer((json_int_t)nd->memory.limit));
    json_object_set_new(
        js, "caller_connections",
        json_integer((json_int_t)nd->caller_server.acceptor.open_count));
}

/* Adds the state of this VM's link, if its bandwidth is known. */
static void
add_link(const JdNode *nd, json_t *js)
{
    if (!JdPacer_IsOn(&nd->pacer)) {
        return;
    }
    json_object_set_new(js, "link_queued", json_integer(nd->link_queue.count));
    json_object_set_new(js, "link_queued_bytes",
                        json_integer((json_int_t)nd->link_queue.bytes));
    json_object_set_new(js, "link_expected_bytes",
                        json_integer((json_int_t)nd->link_room.expected));
}

/* Makes the status of this node and of the subtree below it. */
static json_t *
make_status(const JdNode *nd)
{
    const JdTree *tr = &nd->tree;
    bool is_attached = tr->parent.state == JD_LINK_ATTACHED;
    char hex[JD_DIGEST_HEX_SIZE];
    JdTreeReport rep;
    json_t *js;

    JdTree_Report(tr, &rep);
    JdDigest_ToHex(&nd->store.config->digest, hex);
    js = json_pack(
        "{s:s, s:I, s:s, s:i, s:b, s:b, s:b, s:s, s:I, s:I}", "node",
        nd->settings.node, "version", (json_int_t)nd->store.config->version,
        "digest", hex, "rules", (int)nd->store.rules_version, "ready",
        tr->is_ready, "lead", tr->is_root, "halted", nd->store.is_halted,
        "parent", is_attached ? tr->parent.id : "", "head_rank",
        (json_int_t)tr->head_rank, "source_age_ms",
        (json_int_t)(JdTree_SourceAge(tr) / JD_US_PER_MS));
    json_object_set_new(js, "state",
                        json_string(JdMemberState_Name(tr->state)));
    json_object_set_new(js, "depth", json_integer(tr->path_len));
    json_object_set_new(js, "root_admin",
                        json_string(tr->path_len == 0 ? tr->self.admin_address
                                                      : tr->root_admin));
    json_object_set_new(js, "count", json_integer(rep.node_count));
    json_object_set_new(js, "min_version",
                        json_integer((json_int_t)rep.min_version));
    json_object_set_new(js, "laggards", make_laggard_list(&rep));
    json_object_set_new(js, "lost", make_lost_list(nd));
    json_object_set_new(js, "children", make_child_list(nd));
    json_object_set_new(js, "members", json_integer(tr->members.count));
    json_object_set_new(
        js, "live",
        json_integer(tr->members.count -
                     tr->members.count_by_state[JD_MEMBER_LOST] -
                     tr->members.count_by_state[JD_MEMBER_LEFT]));
    json_object_set_new(js, "log_expired",
                        json_boolean(nd->reader.is_expired));
    add_resource_usage(js);
    add_held(nd, js);
    json_object_set_new(js, "running", json_integer(nd->admit.running));
    json_object_set_new(js, "queued", json_integer(nd->admit.queued));
    add_link(nd, js);
    json_object_set_new(js, "calls", json_integer(nd->call_count));
    return js;
}

static void
reply_config(JdNode *nd, h2o_req_t *req)
{
    JdHttpd_ReplyJson(req, 200,
                      json_pack("{s:I, s:i, s:o}", "version",
                                (json_int_t)nd->store.config->version, "rules",
                                (int)nd->store.rules_version, "doc",
                                JdConfig_ToJson(nd->store.config)));
}

static void
reply_members(JdNode *nd, h2o_req_t *req)
{
    json_t *list = json_array();
    const JdMember *mb;

    TAILQ_FOREACH(mb, &nd->tree.members.all, link)
    {
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:s, s:s}", "id",
                      mb->id, "state", JdMemberState_Name(mb->state), "region",
                      mb->region, "failure_domain", mb->domain, "admin",
                      mb->admin_address, "parent", mb->parent_id, "head_rank",
                      (json_int_t)mb->head_rank, "service", mb->service,
                      "endpoint_set", mb->endpoint_set));
    }
    JdHttpd_ReplyJson(req, 200, list);
}

/*
 * Replies with the newest versions put in force on this node and the times,
 * for measurements and audits.
 */
static void
reply_applied(JdNode *nd, h2o_req_t *req)
{
    json_t *list = json_array();
    unsigned n = nd->applied_count < JD_APPLIED_MAX ? nd->applied_count
                                                    : JD_APPLIED_MAX;
    unsigned from = nd->applied_count - n;

    for (unsigned i = 0; i < n; i++) {
        const JdAppliedVersion *ap = &nd->applied[(from + i) % JD_APPLIED_MAX];

        json_array_append_new(list,
                              json_pack("[I, I]", (json_int_t)ap->version,
                                        (json_int_t)ap->applied_at));
    }
    JdHttpd_ReplyJson(req, 200, list);
}

/* Replies with the requests under which targets crashed. */
static void
reply_crashes(JdNode *nd, h2o_req_t *req)
{
    json_t *list = json_array();
    const JdCrashRecord *rec;

    TAILQ_FOREACH(rec, &nd->tree.crashes.all, link)
    {
        char request[JD_FINGERPRINT_TEXT_MAX];

        JdFingerprint_Format(&rec->request, request);
        json_array_append_new(
            list,
            json_pack("{s:s, s:i, s:b, s:b}", "request", request, "crashes",
                      (int)JdCrashRecord_CountCrashes(rec), "refused",
                      JdCrashRecord_IsRefused(rec), "stored", rec->is_stored));
    }
    JdHttpd_ReplyJson(req, 200, list);
}

/* Lets a request run again, on all nodes. */
static void
clear_crashes(JdNode *nd, h2o_req_t *req)
{
    char request[JD_FINGERPRINT_TEXT_MAX] = "";

    JdHttpd_CopyQueryParam(req, "request", request, sizeof(request));
    if (!JdCrashTable_ClearText(&nd->tree.crashes, request)) {
        JdHttpd_Reply(req, 404, "text/plain", "no such request\n", 16);
        return;
    }
    JD_LOG(JD_EVENT_CRASH, JD_TEXT("outcome", "cleared"),
           JD_TEXT("request", request));
    JdHttpd_ReplyJson(req, 200, json_pack("{s:s}", "cleared", request));
}

/* Replies with the roll-outs that this node knows and acts upon. */
static void
reply_rollouts(JdNode *nd, h2o_req_t *req)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);
    json_t *list = json_array();
    const JdRollout *ro;

    TAILQ_FOREACH(ro, &nd->tree.rollouts.all, link)
    {
        uint64_t left = ro->deadline > now ? ro->deadline - now : 0;

        json_array_append_new(
            list, json_pack("{s:s, s:s, s:I, s:s, s:I, s:s}", "service",
                            ro->order.service, "version", ro->order.version,
                            "order", (json_int_t)ro->order.offset, "step",
                            JdRolloutStep_Name(ro->step), "left_ms",
                            (json_int_t)(left / JD_US_PER_MS), "barred",
                            ro->barred));
    }
    JdHttpd_ReplyJson(req, 200, list);
}

/* Takes the new version of a service back.  The tree passes it on, and the
 * director records it. */
static void
abort_rollout(JdNode *nd, h2o_req_t *req)
{
    char service[JD_NAME_MAX] = "";
    JdRollout *ro;

    JdHttpd_CopyQueryParam(req, "service", service, sizeof(service));
    ro = JdRollouts_Find(&nd->tree.rollouts, service);
    if (ro == NULL || JdRollout_IsFinal(ro)) {
        JdHttpd_Reply(req, 404, "text/plain", "no such roll-out\n", 17);
        return;
    }
    JD_LOG(JD_EVENT_ROLLOUT, JD_TEXT("service", service),
           JD_TEXT("target_version", ro->order.version),
           JD_TEXT("outcome", "aborted"));
    JdRollouts_SetStep(&nd->tree.rollouts, ro, JD_ROLLOUT_STOPPED, 0);
    JdHttpd_ReplyJson(req, 200, json_pack("{s:s}", "aborted", service));
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    JdNode *nd = ctx;

    if (JdHttpd_IsPath(req, "/metrics")) {
        JdAdmin_ReplyMetrics(nd, req);
    }
    else if (JdHttpd_IsPath(req, "/status")) {
        JdHttpd_ReplyJson(req, 200, make_status(nd));
    }
    else if (JdHttpd_IsPath(req, "/config")) {
        reply_config(nd, req);
    }
    else if (JdHttpd_IsPath(req, "/members")) {
        reply_members(nd, req);
    }
    else if (JdHttpd_IsPath(req, "/applied")) {
        reply_applied(nd, req);
    }
    else if (JdHttpd_IsPath(req, "/accounts")) {
        JdAdmin_ReplyAccounts(nd, req);
    }
    else if (JdHttpd_IsPath(req, "/placing")) {
        JdAdmin_ReplyPlacing(nd, req);
    }
    else if (JdHttpd_IsPath(req, "/crashes")) {
        reply_crashes(nd, req);
    }
    else if (JdHttpd_IsPath(req, "/crashes/clear") &&
             JdHttpd_IsMethod(req, "POST")) {
        clear_crashes(nd, req);
    }
    else if (JdHttpd_IsPath(req, "/rollouts")) {
        reply_rollouts(nd, req);
    }
    else if (JdHttpd_IsPath(req, "/rollouts/abort") &&
             JdHttpd_IsMethod(req, "POST")) {
        abort_rollout(nd, req);
    }
    else if (JdHttpd_IsPath(req, "/drain") && JdHttpd_IsMethod(req, "POST")) {
        JdDrain_OnSignal(nd, 0);
        JdHttpd_ReplyJson(req, 200, make_status(nd));
    }
    else {
        JdHttpd_Reply(req, 404, "text/plain", "no such page\n", 13);
    }
}

/* Starts the admin server of a node. */
JdStatus
JdAdmin_Init(JdNode *nd, JdError *err)
{
    return JdHttpd_Init(&nd->admin_server, &nd->loop,
                        nd->settings.admin_address, MAX_BODY, on_request, nd,
                        err);
}

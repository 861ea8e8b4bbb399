/* jacinthctl status, wait, drain, crashes and clear: commands that query nodes
 * over HTTP. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Interval between status queries of `wait`, in us. */
#define POLL_INTERVAL (50 * JD_US_PER_MS)
/* Timeout of one request to a node, in us. */
#define REQUEST_TIMEOUT (2 * JD_US_PER_S)
/* Most nodes queried on the way to the root of the tree. */
#define MAX_HOPS 4

/* One request to a node and its answer. */
typedef struct Query {
    Ctl *ctl;
    json_t *js; /* NULL: no valid answer */
} Query;

static void
on_response(void *ctx, const JdHttpResponse *ans)
{
    Query *query = ctx;

    if (ans->result == JD_HTTP_COMPLETED && ans->status == 200) {
        query->js = json_loadb(ans->body, ans->body_len, 0, NULL);
    }
    JdLoop_Stop(&query->ctl->loop);
}

/*
 * Sends one request to a node's admin address and returns the JSON of the
 * answer, or NULL if there is none.
 */
json_t *
CtlFleet_Query(Ctl *ctl, const char *address, const char *method,
               const char *path)
{
    JdHttpRequest rq = {
        .method = method, .path = path, .timeout = REQUEST_TIMEOUT};
    Query query = {ctl, NULL};
    JdHttpc http;

    if (JdHttpc_Init(&http, &ctl->loop, address, 1, NULL) != JD_OK) {
        return NULL;
    }
    JdHttpc_Send(&http, &rq, on_response, &query);
    Ctl_RunFor(ctl, REQUEST_TIMEOUT * 2);
    JdHttpc_Finish(&http);
    return query.js;
}

/*
 * Returns the status of the tree's root, or NULL.  Starts at --node and
 * follows the root's address that each node reports; if a node on the way does
 * not answer, the last status received is returned.
 */
static json_t *
query_root(Ctl *ctl)
{
    char address[JD_ADDRESS_MAX];
    json_t *js = NULL;

    g_strlcpy(address, ctl->node_address, sizeof(address));
    for (int i = 0; i < MAX_HOPS; i++) {
        const char *root;
        json_t *next = CtlFleet_Query(ctl, address, "GET", "/status");

        if (next == NULL) {
            return js;
        }
        json_decref(js);
        js = next;
        root = json_string_value(json_object_get(js, "root_admin"));
        if (root == NULL || strcmp(root, address) == 0) {
            return js;
        }
        g_strlcpy(address, root, sizeof(address));
    }
    return js;
}

static long long
get_integer(const json_t *js, const char *name)
{
    return (long long)json_integer_value(json_object_get(js, name));
}

static bool
require_node_option(Ctl *ctl, JdError *err)
{
    if (ctl->node_address == NULL) {
        JdError_Set(err, JD_ERR_USAGE, "", "--node is required");
        return false;
    }
    return true;
}

static void
print_names(const char *title, const json_t *list)
{
    size_t i;
    json_t *v;

    if (json_array_size(list) == 0) {
        return;
    }
    printf("%s:", title);
    json_array_foreach(list, i, v)
    {
        printf(" %s", json_string_value(v));
    }
    putchar('\n');
}

/* Prints the state of the fleet as reported by the root of the tree. */
CtlExit
CtlFleet_Status(Ctl *ctl, int argc, char **args)
{
    JdError err = {0};
    json_t *js;

    (void)argc;
    (void)args;
    if (!require_node_option(ctl, &err)) {
        return Ctl_Fail(ctl, &err);
    }
    js = query_root(ctl);
    if (js == NULL) {
        JdError_Set(&err, JD_ERR_UNREACHABLE, "", "the node did not answer");
        return Ctl_Fail(ctl, &err);
    }
    if (ctl->json) {
        Ctl_Print(ctl, js, "%s", "");
        return CTL_EXIT_OK;
    }
    printf("root %s version %lld, in force on %lld nodes from version %lld\n",
           json_string_value(json_object_get(js, "node")),
           get_integer(js, "version"), get_integer(js, "count"),
           get_integer(js, "min_version"));
    printf("last contact with the log %lld ms ago\n",
           get_integer(js, "source_age_ms"));
    print_names("behind", json_object_get(js, "laggards"));
    print_names("lost", json_object_get(js, "lost"));
    json_decref(js);
    return CTL_EXIT_OK;
}

/*
 * Whether a version is in force on all live nodes.  Lost nodes count as
 * lacking it, unless --reachable is given.
 */
static bool
is_version_applied(const Ctl *ctl, const json_t *js, long long version)
{
    bool has_lost = json_array_size(json_object_get(js, "lost")) > 0;

    return get_integer(js, "min_version") >= version &&
           get_integer(js, "count") >= get_integer(js, "live") &&
           (ctl->reachable_only || !has_lost);
}

/*
 * Waits until a version is in force on all nodes; after --timeout, prints the
 * nodes that are behind or lost.
 */
CtlExit
CtlFleet_Wait(Ctl *ctl, int argc, char **args)
{
    uint64_t end =
        JdClock_Now(&ctl->loop.clock) + (uint64_t)ctl->timeout_s * JD_US_PER_S;
    long long version = strtoll(args[0], NULL, 10);
    JdError err = {0};
    json_t *js = NULL;

    (void)argc;
    if (!require_node_option(ctl, &err)) {
        return Ctl_Fail(ctl, &err);
    }
    for (;;) {
        json_decref(js);
        js = query_root(ctl);
        if (js != NULL && is_version_applied(ctl, js, version)) {
            Ctl_Print(ctl,
                      json_pack("{s:I, s:I}", "version", version, "nodes",
                                get_integer(js, "count")),
                      "version %lld is in force on %lld nodes", version,
                      get_integer(js, "count"));
            json_decref(js);
            return CTL_EXIT_OK;
        }
        if (JdClock_Now(&ctl->loop.clock) >= end) {
            break;
        }
        Ctl_RunFor(ctl, POLL_INTERVAL);
    }
    if (js != NULL && !ctl->json) {
        print_names("behind", json_object_get(js, "laggards"));
        print_names("lost", json_object_get(js, "lost"));
    }
    JdError_Set(&err, js == NULL ? JD_ERR_UNREACHABLE : JD_ERR_TIMEOUT, "",
                "version %lld is not in force on all nodes", version);
    json_decref(js);
    return Ctl_Fail(ctl, &err);
}

/* Drains a node and its target. */
CtlExit
CtlFleet_Drain(Ctl *ctl, int argc, char **args)
{
    JdError err = {0};
    const char *address = NULL;
    json_t *list, *js;
    size_t i;

    (void)argc;
    if (!require_node_option(ctl, &err)) {
        return Ctl_Fail(ctl, &err);
    }
    list = CtlFleet_Query(ctl, ctl->node_address, "GET", "/members");
    json_array_foreach(list, i, js)
    {
        if (strcmp(json_string_value(json_object_get(js, "id")), args[0]) ==
            0) {
            address = json_string_value(json_object_get(js, "admin"));
        }
    }
    js = address == NULL ? NULL
                         : CtlFleet_Query(ctl, address, "POST", "/drain");
    json_decref(list);
    if (js == NULL) {
        JdError_Set(&err, JD_ERR_UNREACHABLE, "", "no answer from %s",
                    args[0]);
        return Ctl_Fail(ctl, &err);
    }
    json_decref(js);
    Ctl_Print(ctl, json_pack("{s:s}", "draining", args[0]), "%s is draining",
              args[0]);
    return CTL_EXIT_OK;
}

/* Lists the requests under which targets crashed. */
CtlExit
CtlFleet_Crashes(Ctl *ctl, int argc, char **args)
{
    JdError err = {0};
    json_t *list, *js;
    size_t i;

    (void)argc;
    (void)args;
    if (!require_node_option(ctl, &err)) {
        return Ctl_Fail(ctl, &err);
    }
    list = CtlFleet_Query(ctl, ctl->node_address, "GET", "/crashes");
    if (list == NULL) {
        JdError_Set(&err, JD_ERR_UNREACHABLE, "", "no answer from %s",
                    ctl->node_address);
        return Ctl_Fail(ctl, &err);
    }
    json_array_foreach(list, i, js)
    {
        Ctl_Print(ctl, json_incref(js), "%s %lld crashes%s",
                  json_string_value(json_object_get(js, "request")),
                  get_integer(js, "crashes"),
                  json_is_true(json_object_get(js, "refused")) ? ", refused"
                                                               : "");
    }
    json_decref(list);
    return CTL_EXIT_OK;
}

/* Lets a request run again under which targets crashed. */
CtlExit
CtlFleet_Clear(Ctl *ctl, int argc, char **args)
{
    JdError err = {0};
    char *escaped, *path;
    json_t *js;

    (void)argc;
    if (!require_node_option(ctl, &err)) {
        return Ctl_Fail(ctl, &err);
    }
    escaped = g_uri_escape_string(args[0], NULL, FALSE);
    path = g_strdup_printf("/crashes/clear?request=%s", escaped);
    js = CtlFleet_Query(ctl, ctl->node_address, "POST", path);
    g_free(path);
    g_free(escaped);
    if (js == NULL) {
        JdError_Set(&err, JD_ERR_REFUSED, "", "%s does not know %s",
                    ctl->node_address, args[0]);
        return Ctl_Fail(ctl, &err);
    }
    Ctl_Print(ctl, js, "%s may run again", args[0]);
    return CTL_EXIT_OK;
}

static CtlExit
list_rollouts(Ctl *ctl)
{
    JdError err = {0};
    json_t *list = CtlFleet_Query(ctl, ctl->node_address, "GET", "/rollouts");
    json_t *js;
    size_t i;

    if (list == NULL) {
        JdError_Set(&err, JD_ERR_UNREACHABLE, "", "no answer from %s",
                    ctl->node_address);
        return Ctl_Fail(ctl, &err);
    }
    json_array_foreach(list, i, js)
    {
        Ctl_Print(ctl, json_incref(js), "%s to %s: %s, %lld ms left",
                  json_string_value(json_object_get(js, "service")),
                  json_string_value(json_object_get(js, "version")),
                  json_string_value(json_object_get(js, "step")),
                  get_integer(js, "left_ms"));
    }
    json_decref(list);
    return CTL_EXIT_OK;
}

static CtlExit
abort_rollout(Ctl *ctl, const char *service)
{
    char *escaped = g_uri_escape_string(service, NULL, FALSE);
    char *path = g_strdup_printf("/rollouts/abort?service=%s", escaped);
    json_t *js = CtlFleet_Query(ctl, ctl->node_address, "POST", path);
    JdError err = {0};

    g_free(path);
    g_free(escaped);
    if (js == NULL) {
        JdError_Set(&err, JD_ERR_REFUSED, "", "%s knows no roll-out of %s",
                    ctl->node_address, service);
        return Ctl_Fail(ctl, &err);
    }
    Ctl_Print(ctl, js, "the roll-out of %s is taken back", service);
    return CTL_EXIT_OK;
}

/* Lists roll-outs, or takes one back. */
CtlExit
CtlFleet_Rollout(Ctl *ctl, int argc, char **args)
{
    JdError err = {0};

    if (!require_node_option(ctl, &err)) {
        return Ctl_Fail(ctl, &err);
    }
    if (argc == 1 && strcmp(args[0], "status") == 0) {
        return list_rollouts(ctl);
    }
    if (argc == 2 && strcmp(args[0], "abort") == 0) {
        return abort_rollout(ctl, args[1]);
    }
    JdError_Set(&err, JD_ERR_USAGE, "", "status or abort SERVICE");
    return Ctl_Fail(ctl, &err);
}

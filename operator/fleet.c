/* The fleet as its nodes report it: status, waiting, draining. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Period in which a wait asks again. */
#define ASK_AGAIN (50 * JD_US_PER_MS)
/* Time for one answer of a node. */
#define ANSWER_TIME (2 * JD_US_PER_S)
/* Nodes asked on the way to the root at the most. */
#define HOPS_MOST 4

typedef struct Ask {
    Ctl *ctl;
    json_t *js;
} Ask;

static void
on_answer(void *ctx, const JdHttpResponse *ans)
{
    Ask *ask = ctx;

    if (ans->result == JD_HTTP_COMPLETED && ans->status == 200) {
        ask->js = json_loadb(ans->body, ans->body_len, 0, NULL);
    }
    JdLoop_Stop(&ask->ctl->loop);
}

/* Asks a node; returns NULL when it gives no answer. */
static json_t *
ask_node(Ctl *ctl, const char *address, const char *method, const char *path)
{
    JdHttpRequest rq = {
        .method = method, .path = path, .timeout = ANSWER_TIME};
    Ask ask = {ctl, NULL};
    JdHttpc http;

    if (JdHttpc_Init(&http, &ctl->loop, address, 1, NULL) != JD_OK) {
        return NULL;
    }
    JdHttpc_Send(&http, &rq, on_answer, &ask);
    Ctl_RunFor(ctl, ANSWER_TIME * 2);
    JdHttpc_Finish(&http);
    return ask.js;
}

/* Returns the root's status by way of the given node, or NULL. */
static json_t *
ask_root(Ctl *ctl)
{
    char address[JD_ADDRESS_MAX];
    json_t *js = NULL;

    g_strlcpy(address, ctl->node_address, sizeof(address));
    for (int i = 0; i < HOPS_MOST; i++) {
        const char *root;
        json_t *next = ask_node(ctl, address, "GET", "/status");

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
number(const json_t *js, const char *name)
{
    return (long long)json_integer_value(json_object_get(js, name));
}

static bool
need_node(Ctl *ctl, JdError *err)
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

/* Prints the state of the fleet as its root sees it. */
CtlExit
CtlFleet_Status(Ctl *ctl, int argc, char **args)
{
    JdError err = {0};
    json_t *js;

    (void)argc;
    (void)args;
    if (!need_node(ctl, &err)) {
        return Ctl_Fail(ctl, &err);
    }
    js = ask_root(ctl);
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
           number(js, "version"), number(js, "count"),
           number(js, "min_version"));
    printf("log last heard %lld ms ago\n", number(js, "source_age_ms"));
    print_names("behind", json_object_get(js, "laggards"));
    print_names("lost", json_object_get(js, "lost"));
    json_decref(js);
    return CTL_EXIT_OK;
}

static bool
is_everywhere(const Ctl *ctl, const json_t *js, long long version)
{
    bool has_lost = json_array_size(json_object_get(js, "lost")) > 0;

    return number(js, "min_version") >= version &&
           number(js, "count") >= number(js, "live") &&
           (ctl->reachable_only || !has_lost);
}

/* Waits until a version is in force everywhere, or names who lacks it. */
CtlExit
CtlFleet_Wait(Ctl *ctl, int argc, char **args)
{
    uint64_t end =
        JdClock_Now(&ctl->loop.clock) + (uint64_t)ctl->timeout_s * JD_US_PER_S;
    long long version = strtoll(args[0], NULL, 10);
    JdError err = {0};
    json_t *js = NULL;

    (void)argc;
    if (!need_node(ctl, &err)) {
        return Ctl_Fail(ctl, &err);
    }
    for (;;) {
        json_decref(js);
        js = ask_root(ctl);
        if (js != NULL && is_everywhere(ctl, js, version)) {
            Ctl_Print(ctl,
                      json_pack("{s:I, s:I}", "version", version, "nodes",
                                number(js, "count")),
                      "version %lld is in force on %lld nodes", version,
                      number(js, "count"));
            json_decref(js);
            return CTL_EXIT_OK;
        }
        if (JdClock_Now(&ctl->loop.clock) >= end) {
            break;
        }
        Ctl_RunFor(ctl, ASK_AGAIN);
    }
    if (js != NULL && !ctl->json) {
        print_names("behind", json_object_get(js, "laggards"));
        print_names("lost", json_object_get(js, "lost"));
    }
    JdError_Set(&err, js == NULL ? JD_ERR_UNREACHABLE : JD_ERR_TIMEOUT, "",
                "version %lld is not in force everywhere", version);
    json_decref(js);
    return Ctl_Fail(ctl, &err);
}

/* Makes a node and its target leave. */
CtlExit
CtlFleet_Drain(Ctl *ctl, int argc, char **args)
{
    JdError err = {0};
    const char *address = NULL;
    json_t *list, *js;
    size_t i;

    (void)argc;
    if (!need_node(ctl, &err)) {
        return Ctl_Fail(ctl, &err);
    }
    list = ask_node(ctl, ctl->node_address, "GET", "/members");
    json_array_foreach(list, i, js)
    {
        if (strcmp(json_string_value(json_object_get(js, "id")), args[0]) ==
            0) {
            address = json_string_value(json_object_get(js, "admin"));
        }
    }
    js = address == NULL ? NULL : ask_node(ctl, address, "POST", "/drain");
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

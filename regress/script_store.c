/*
 * Scripted tests of the store.  One store replays records as a reader of the
 * log does; the other receives deltas and checkpoints as other nodes do.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "script.h"

static JdStore log_store, node_store;
static char *checkpoint;
static bool is_initialized;

static void
print_status(JdStatus s, const JdError *err)
{
    printf("%s%s%s\n", JdStatus_Name(s),
           s == JD_OK || err->path[0] == '\0' ? "" : " at ",
           s == JD_OK ? "" : err->path);
}

static void
replay(const char *rec)
{
    JdReplayResult out;

    JdStore_Replay(&log_store, log_store.next_offset, rec, strlen(rec), &out);
    printf("version %llu: ", (unsigned long long)out.version);
    print_status(out.status, &out.err);
}

/*
 * Applies the delta from a version to the node's store.  `corruption` may be
 * "digest" (wrong digest), "cut" (half the body) or "bits" (a changed bit).
 */
static void
send_delta(uint64_t from, const char *corruption)
{
    JdDelta dlt;
    JdError err = {0};
    JdStatus s = JdStore_MakeDelta(&log_store, from, &dlt);
    uint8_t *body = NULL;

    if (s != JD_OK) {
        printf("no delta: %s\n", JdStatus_Name(s));
        return;
    }
    if (corruption != NULL && strcmp(corruption, "digest") == 0) {
        dlt.digest.word[0]++;
    }
    if (corruption != NULL && strcmp(corruption, "cut") == 0) {
        dlt.body_len /= 2;
    }
    if (corruption != NULL && strcmp(corruption, "bits") == 0) {
        body = g_memdup2(dlt.body, dlt.body_len);
        body[dlt.body_len / 2] ^= 0x20;
        dlt.body = body;
    }
    printf("delta %llu to %llu: ", (unsigned long long)dlt.from,
           (unsigned long long)dlt.to);
    s = JdStore_ApplyDelta(&node_store, &dlt, &err);
    err.path[0] = '\0';
    print_status(s, &err);
    g_free(body);
}

static void
show(const JdStore *st)
{
    json_t *js = JdConfig_ToJson(st->config);
    char *text = json_dumps(js, JSON_COMPACT | JSON_SORT_KEYS);

    printf("version %llu %s\n", (unsigned long long)st->config->version, text);
    free(text);
    json_decref(js);
}

static void
show_route(const char *path, uint64_t draw)
{
    JdRouteKey key = {.host = path, .host_len = strcspn(path, "/")};
    JdRoute r;

    key.path = path + key.host_len;
    key.path_len = strlen(key.path);
    if (!JdConfig_FindRoute(log_store.config, &key, draw, &r)) {
        printf("%s: no route\n", path);
        return;
    }
    printf("%s: prefix %s service %s set %s priority %u deadline %llu us "
           "retry %u%%%s%s\n",
           path, r.name, r.service, r.endpoint_set, r.priority,
           (unsigned long long)r.timeout, r.retry_percent,
           r.repeat == JD_REPEAT_ALL ? " idempotent" : "",
           r.requires_key ? " once" : "");
}

static void
check_text(const char *text)
{
    JdError err = {0};
    json_t *js;
    JdStatus s = JdJson_Parse(text, strlen(text), &js, &err);

    if (s == JD_OK) {
        s = JdConfig_CheckPatch(js, &err);
        json_decref(js);
    }
    print_status(s, &err);
}

/* Installs {"version": N, "doc": {...}} as a complete document. */
static void
install(const char *text)
{
    JdError err = {0};
    json_t *js;
    JdStatus s = JdJson_Parse(text, strlen(text), &js, &err);

    if (s == JD_OK) {
        s = JdStore_Install(
            &log_store, json_object_get(js, "doc"),
            (uint64_t)json_integer_value(json_object_get(js, "version")),
            &err);
        json_decref(js);
    }
    print_status(s, &err);
}

/* Restores the last checkpoint into the node's store. */
static void
restore(void)
{
    JdError err = {0};
    JdStatus s =
        JdStore_Restore(&node_store, checkpoint, strlen(checkpoint), &err);

    print_status(s, &err);
}

void
ScriptStore_Run(const Line *ln)
{
    const char *cmd = ln->word[1];

    if (!is_initialized) {
        JdStore_Init(&log_store, &script_counters);
        JdStore_Init(&node_store, &script_counters);
        is_initialized = true;
    }
    if (strcmp(cmd, "replay") == 0) {
        replay(ln->rest);
    }
    else if (strcmp(cmd, "check") == 0) {
        check_text(ln->rest);
    }
    else if (strcmp(cmd, "delta") == 0) {
        send_delta(strtoull(ln->word[2], NULL, 10),
                   ln->words > 3 ? ln->word[3] : NULL);
    }
    else if (strcmp(cmd, "route") == 0) {
        show_route(ln->word[2],
                   ln->words > 3 ? strtoull(ln->word[3], NULL, 10) : 0);
    }
    else if (strcmp(cmd, "install") == 0) {
        install(ln->rest);
    }
    else if (strcmp(cmd, "checkpoint") == 0) {
        free(checkpoint);
        checkpoint = JdStore_MakeCheckpoint(&log_store);
    }
    else if (strcmp(cmd, "restore") == 0) {
        restore();
    }
    else if (strcmp(cmd, "same") == 0) {
        printf("%s\n", JdDigest_Equal(&log_store.config->digest,
                                      &node_store.config->digest)
                           ? "same digest"
                           : "other digest");
    }
    else {
        show(strcmp(cmd, "node") == 0 ? &node_store : &log_store);
    }
}

/*
 * Measures convergence: appends patches to the log at a fixed rate and reads
 * afterwards, from the /applied page of each node, when it applied each
 * version.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

/* Failure domains that --nodes may name. */
#define MAX_DOMAINS 16
/* Time within which a node has to answer. */
#define ANSWER_TIMEOUT (5 * JD_US_PER_S)
#define MAX_VERSIONS 4000

/* Resource usage, summed over all nodes. */
typedef struct Usage {
    uint64_t sent_bytes;        /* of control traffic */
    uint64_t region_sent_bytes; /* the part sent to another region */
    uint64_t log_reads;
    uint64_t log_bytes;
    uint64_t cpu_us;
    uint64_t rss_kb;
} Usage;

typedef struct Convergence {
    Ctl ctl;
    gint versions;    /* patches to append */
    gint entries;     /* services in the document */
    gdouble rate;     /* patches per second */
    gdouble settle_s; /* wait after the last patch */
    gchar *nodes;     /* see parse_nodes */
    char (*addresses)[JD_ADDRESS_MAX];
    unsigned node_count;
    /* When the log took each version, from `first_version` on. */
    uint64_t accepted_at[MAX_VERSIONS];
    uint64_t first_version;
    json_t *answer;
    char *answer_body;     /* body of the last answer */
    Histogram node_delay;  /* delay of each node and version */
    Histogram fleet_delay; /* delay of the slowest node of each version */
    unsigned skipped; /* versions that a node applied as part of a later one */
    unsigned missing; /* nodes that did not reach the last version */
} Convergence;

static void
on_answer(void *ctx, const JdHttpResponse *ans)
{
    Convergence *cv = ctx;

    if (ans->result == JD_HTTP_COMPLETED && ans->status == 200) {
        cv->answer_body = g_strndup(ans->body, ans->body_len);
    }
    JdLoop_Stop(&cv->ctl.loop);
}

/* Returns the body of a node's page, which the caller frees, or NULL. */
static char *
get_page(Convergence *cv, const char *address, const char *path)
{
    JdHttpc http;

    cv->answer_body = NULL;
    if (JdHttpc_Init(&http, &cv->ctl.loop, address, 1, NULL) != JD_OK) {
        return NULL;
    }
    JdHttpc_Get(&http, path, ANSWER_TIMEOUT, on_answer, cv);
    Ctl_RunFor(&cv->ctl, ANSWER_TIMEOUT * 2);
    JdHttpc_Finish(&http);
    return cv->answer_body;
}

static json_t *
get_json(Convergence *cv, const char *address, const char *path)
{
    char *text = get_page(cv, address, path);
    json_t *js = text == NULL ? NULL : json_loads(text, 0, NULL);

    g_free(text);
    return js;
}

/* Returns the value of a counter on a /metrics page, or 0. */
static uint64_t
parse_counter(const char *text, JdCounter id)
{
    char name[128];
    const char *p;

    snprintf(name, sizeof(name), "\njacinthd_%s ", JdCounter_Name(id));
    p = strstr(text, name);
    return p == NULL ? 0 : strtoull(p + strlen(name), NULL, 10);
}

/* Sums the resource usage of all nodes; a node that does not answer adds 0. */
static void
sum_usage(Convergence *cv, Usage *sum)
{
    memset(sum, 0, sizeof(*sum));
    for (unsigned i = 0; i < cv->node_count; i++) {
        char *text = get_page(cv, cv->addresses[i], "/metrics");
        json_t *js = get_json(cv, cv->addresses[i], "/status");

        if (text != NULL) {
            sum->sent_bytes += parse_counter(text, JD_C_CONTROL_SENT);
            sum->region_sent_bytes +=
                parse_counter(text, JD_C_CONTROL_REGION_SENT);
            sum->log_reads += parse_counter(text, JD_C_LOG_READS);
            sum->log_bytes += parse_counter(text, JD_C_LOG_BYTES);
        }
        sum->cpu_us +=
            (uint64_t)json_integer_value(json_object_get(js, "cpu_us"));
        sum->rss_kb +=
            (uint64_t)json_integer_value(json_object_get(js, "rss_kb"));
        g_free(text);
        json_decref(js);
    }
}

/*
 * Parses --nodes, such as "20/1:50,2:50": network 20 with 50 nodes in each of
 * the failure domains 1 and 2.
 */
static void
parse_nodes(Convergence *cv)
{
    const char *p = cv->nodes;
    const char *slash = strchr(p, '/');
    unsigned long network = slash == NULL ? 0 : strtoul(p, NULL, 10);

    cv->addresses = g_malloc0(sizeof(cv->addresses[0]) * MAX_DOMAINS * 254);
    p = slash == NULL ? p : slash + 1;
    while (*p != '\0') {
        unsigned long d = strtoul(p, (char **)&p, 10);
        unsigned long n = *p == ':' ? strtoul(p + 1, (char **)&p, 10) : 0;

        for (unsigned long i = 1; i <= n && n < 255; i++) {
            snprintf(cv->addresses[cv->node_count++], JD_ADDRESS_MAX,
                     "127.%lu.%lu.%lu:8100", network, d, i);
        }
        p += *p != '\0';
    }
}

/*
 * Returns a patch of the kind that operators submit: it changes one policy
 * and, if the document has services, the note of one of them.
 */
static json_t *
make_patch(uint64_t n, int entries)
{
    char name[32], note[64];
    json_t *js;

    snprintf(name, sizeof(name), "policy-%02d", (int)(n % 50));
    snprintf(note, sizeof(note), "change %llu", (unsigned long long)n);
    js = json_pack("{s:{s:{s:i, s:i}}}", "policies", name, "deadline_ms",
                   (int)(1000 + n % 1000), "retry_percent", (int)(n % 20));
    if (entries > 0) {
        char svc[32];

        snprintf(svc, sizeof(svc), "service-%04d",
                 (int)(n % (unsigned)entries));
        json_object_set_new(js, "services",
                            json_pack("{s:{s:s}}", svc, "note", note));
    }
    return js;
}

static bool
append_patch(Convergence *cv, json_t *patch, uint64_t base)
{
    char id[64];
    char *text;
    uint64_t offset;
    JdStatus s;

    snprintf(id, sizeof(id), "spread-%llu-%llu",
             (unsigned long long)JdLoop_WallClock(), (unsigned long long)base);
    text = JdRecord_MakePatch(base, id, "jd-load", patch);
    s = CtlLog_Append(&cv->ctl, JD_STREAM_CONFIG, text, &offset);
    free(text);
    json_decref(patch);
    return s == JD_OK;
}

static void
on_record_decided(void *ctx, const JdRecord *rec, const JdReplayResult *out)
{
    Convergence *cv = ctx;

    if (out->status == JD_OK && out->version >= cv->first_version &&
        out->version - cv->first_version < MAX_VERSIONS) {
        cv->accepted_at[out->version - cv->first_version] = rec->logged_at;
    }
}

/* Appends all patches at the configured rate. */
static bool
append_patches(Convergence *cv)
{
    uint64_t version = cv->ctl.store.config->version;
    uint64_t start = JdClock_Now(&cv->ctl.loop.clock);

    for (int i = 0; i < cv->versions; i++) {
        uint64_t due = start + (uint64_t)((double)i / cv->rate * 1e6);
        uint64_t now = JdClock_Now(&cv->ctl.loop.clock);

        if (due > now) {
            Ctl_RunFor(&cv->ctl, due - now);
        }
        if (!append_patch(cv, make_patch(version, cv->entries), version)) {
            return false;
        }
        version++;
    }
    return true;
}

/*
 * Returns when a node applied a version or a later one, or 0.  `*is_own` is
 * set to whether it applied exactly this version.
 */
static uint64_t
find_applied_at(const json_t *applied, uint64_t version, bool *is_own)
{
    size_t i;
    json_t *js;

    json_array_foreach(applied, i, js)
    {
        uint64_t v = (uint64_t)json_integer_value(json_array_get(js, 0));

        if (v >= version) {
            *is_own = v == version;
            return (uint64_t)json_integer_value(json_array_get(js, 1));
        }
    }
    return 0;
}

/* Adds the delays of one node, up to the first version that it lacks. */
static void
add_node_delays(Convergence *cv, const json_t *applied,
                uint64_t *slowest_delay)
{
    for (int i = 0; i < cv->versions; i++) {
        bool is_own = true;
        uint64_t at =
            find_applied_at(applied, cv->first_version + (uint64_t)i, &is_own);
        uint64_t delay;

        if (at == 0) {
            cv->missing++;
            return;
        }
        cv->skipped += !is_own;
        delay = at > cv->accepted_at[i] ? at - cv->accepted_at[i] : 0;
        Histogram_Add(&cv->node_delay, delay);
        if (delay > slowest_delay[i]) {
            slowest_delay[i] = delay;
        }
    }
}

static void
collect_delays(Convergence *cv)
{
    uint64_t *slowest_delay = g_new0(uint64_t, cv->versions);

    for (unsigned i = 0; i < cv->node_count; i++) {
        json_t *js = get_json(cv, cv->addresses[i], "/applied");

        add_node_delays(cv, js, slowest_delay);
        json_decref(js);
    }
    for (int i = 0; i < cv->versions; i++) {
        Histogram_Add(&cv->fleet_delay, slowest_delay[i]);
    }
    g_free(slowest_delay);
}

static void
print_report(const Convergence *cv, const Usage *before, const Usage *after,
             double seconds)
{
    double nodes = cv->node_count;

    printf("{\"nodes\": %u, \"versions\": %d, \"seconds\": %.1f, "
           "\"whole_p50_ms\": %.1f, \"whole_p99_ms\": %.1f, "
           "\"whole_max_ms\": %.1f, \"node_p50_ms\": %.1f, "
           "\"skipped\": %u, \"missing\": %u, "
           "\"control_bytes\": %llu, \"control_region_bytes\": %llu, "
           "\"node_bytes_per_s\": %.1f, \"region_bytes_per_s\": %.1f, "
           "\"log_reads\": %llu, \"log_bytes\": %llu, "
           "\"cpu_percent_of_core_per_node\": %.3f, "
           "\"rss_mb_per_node\": %.1f}\n",
           cv->node_count, cv->versions, seconds,
           (double)Histogram_Quantile(&cv->fleet_delay, 0.5) / 1000,
           (double)Histogram_Quantile(&cv->fleet_delay, 0.99) / 1000,
           (double)cv->fleet_delay.max / 1000,
           (double)Histogram_Quantile(&cv->node_delay, 0.5) / 1000,
           cv->skipped, cv->missing,
           (unsigned long long)(after->sent_bytes - before->sent_bytes),
           (unsigned long long)(after->region_sent_bytes -
                                before->region_sent_bytes),
           (double)(after->sent_bytes - before->sent_bytes) / nodes / seconds,
           (double)(after->region_sent_bytes - before->region_sent_bytes) /
               seconds,
           (unsigned long long)(after->log_reads - before->log_reads),
           (unsigned long long)(after->log_bytes - before->log_bytes),
           (double)(after->cpu_us - before->cpu_us) / nodes / seconds / 1e4,
           (double)after->rss_kb / nodes / 1024);
}

static int
run_measurement(Convergence *cv)
{
    JdError err = {0};
    Usage before, after;
    uint64_t start;

    if (CtlLog_Open(&cv->ctl, &err) != JD_OK ||
        CtlLog_CatchUp(&cv->ctl, &err) != JD_OK) {
        return (int)Ctl_ExitCode(err.status);
    }
    if (cv->entries > 0 && cv->ctl.store.config->version == 0) {
        append_patch(cv, Load_GenerateServices(cv->entries), 0);
        CtlLog_CatchUp(&cv->ctl, &err);
        Ctl_RunFor(&cv->ctl, 2 * JD_US_PER_S);
    }
    cv->first_version = cv->ctl.store.config->version + 1;
    sum_usage(cv, &before);
    start = JdClock_Now(&cv->ctl.loop.clock);
    if (!append_patches(cv)) {
        fputs("jd-load: append to the log failed\n", stderr);
        return CTL_EXIT_RETRY;
    }
    cv->ctl.decided = on_record_decided;
    cv->ctl.decided_ctx = cv;
    CtlLog_CatchUp(&cv->ctl, &err);
    Ctl_RunFor(&cv->ctl, (uint64_t)(cv->settle_s * 1e6));
    sum_usage(cv, &after);
    collect_delays(cv);
    print_report(cv, &before, &after,
                 (double)(JdClock_Now(&cv->ctl.loop.clock) - start) / 1e6);
    return cv->missing > 0 ? 1 : 0;
}

/* Returns whether an address is that of "D-I", node I of failure domain D. */
static bool
is_address_of(const char *address, const char *name)
{
    unsigned d, i, name_domain, name_index;

    return sscanf(address, "127.%*u.%u.%u:", &d, &i) == 2 &&
           sscanf(name, "%u-%u", &name_domain, &name_index) == 2 &&
           d == name_domain && i == name_index;
}

/*
 * Prints how long after a point in time (wall clock, in us) the slowest node
 * applied a version or a later one, and how many nodes have not applied it.
 * EXCEPT names a node to leave out, as "D-I".
 */
int
Load_MeasureApplyDelay(int argc, char **argv)
{
    static Convergence cv;
    uint64_t version, since_us, slowest_delay = 0;
    unsigned missing = 0;

    if (argc != 4 && argc != 5) {
        fputs("usage: jd-load since NODES VERSION US [EXCEPT]\n", stderr);
        return 2;
    }
    cv.nodes = argv[1];
    version = strtoull(argv[2], NULL, 10);
    since_us = strtoull(argv[3], NULL, 10);
    Ctl_Init(&cv.ctl);
    parse_nodes(&cv);
    for (unsigned i = 0; i < cv.node_count; i++) {
        json_t *js;
        bool is_own;
        uint64_t at;

        if (argc == 5 && is_address_of(cv.addresses[i], argv[4])) {
            continue;
        }
        js = get_json(&cv, cv.addresses[i], "/applied");
        at = find_applied_at(js, version, &is_own);

        missing += at == 0;
        if (at > since_us && at - since_us > slowest_delay) {
            slowest_delay = at - since_us;
        }
        json_decref(js);
    }
    printf("{\"nodes\": %u, \"slowest_ms\": %.1f, \"missing\": %u}\n",
           cv.node_count, (double)slowest_delay / 1000, missing);
    return missing > 0 ? 1 : 0;
}

/* Measures convergence once and prints the result as JSON. */
int
Load_MeasureConvergence(int argc, char **argv)
{
    static Convergence cv;
    GOptionEntry entries[] = {
        {"log", 'l', 0, G_OPTION_ARG_STRING, &cv.ctl.log_address,
         "address of the log", "IP:PORT"},
        {"nodes", 'n', 0, G_OPTION_ARG_STRING, &cv.nodes,
         "network number and nodes in each failure domain", "0/1:50,2:50"},
        {"versions", 'v', 0, G_OPTION_ARG_INT, &cv.versions,
         "number of patches to append", "N"},
        {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &cv.rate, "patches per second",
         "N"},
        {"entries", 'e', 0, G_OPTION_ARG_INT, &cv.entries,
         "number of services in the document", "N"},
        {"settle", 's', 0, G_OPTION_ARG_DOUBLE, &cv.settle_s,
         "time to wait after the last patch", "S"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    int rc;

    cv.versions = 20;
    cv.rate = 5;
    cv.settle_s = 2;
    cv.ctl.timeout_s = 10;
    rc = JdProgram_ParseOptions("jd-load", "- measure convergence", entries,
                                &argc, &argv);
    if (rc != 0) {
        return rc;
    }
    if (cv.nodes == NULL || cv.versions < 1 || cv.versions > MAX_VERSIONS ||
        cv.rate <= 0) {
        return JdProgram_UsageError(
            "jd-load", "--nodes is required, --versions must be 1 to "
                       "4000 and --rate above 0");
    }
    Ctl_Init(&cv.ctl);
    parse_nodes(&cv);
    return run_measurement(&cv);
}

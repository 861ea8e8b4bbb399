/*
 * Convergence: appends patches to the log at a steady rate, and asks every
 * node afterwards when each version came into force there.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

/* Failure domains at the most. */
#define DOMAINS_MOST 16
/* Time for one answer of a node. */
#define ANSWER_TIME (5 * JD_US_PER_S)
#define VERSIONS_MOST 4000

/* What one node has used up to now. */
typedef struct Usage {
    uint64_t tx;
    uint64_t region_tx;
    uint64_t log_reads;
    uint64_t log_bytes;
    uint64_t cpu_us;
    uint64_t rss_kb;
} Usage;

typedef struct Spread {
    Ctl ctl;
    gint versions;
    gint entries;
    gdouble rate;
    gdouble settle_s;
    gchar *nodes;
    char (*address)[JD_ADDRESS_MAX];
    unsigned count;
    uint64_t accepted[VERSIONS_MOST]; /* by version - first */
    uint64_t first;
    json_t *answer;
    char *text;
    Histogram lag;    /* of every node and version */
    Histogram whole;  /* of the slowest node of each version */
    unsigned skipped; /* versions that a node never had by themselves */
    unsigned missing; /* nodes that never reached the last version */
} Spread;

static void
on_answer(void *ctx, const JdHttpAnswer *ans)
{
    Spread *sp = ctx;

    if (ans->end == JD_HTTP_ANSWERED && ans->status == 200) {
        sp->text = g_strndup(ans->body, ans->body_len);
    }
    JdLoop_Stop(&sp->ctl.loop);
}

/* Returns the text of a node's page, which the caller frees, or NULL. */
static char *
get_page(Spread *sp, const char *address, const char *path)
{
    JdHttpc http;

    sp->text = NULL;
    if (JdHttpc_Init(&http, &sp->ctl.loop, address, 1, NULL) != JD_OK) {
        return NULL;
    }
    JdHttpc_Get(&http, path, ANSWER_TIME, on_answer, sp);
    Ctl_RunFor(&sp->ctl, ANSWER_TIME * 2);
    JdHttpc_Finish(&http);
    return sp->text;
}

static json_t *
get_json(Spread *sp, const char *address, const char *path)
{
    char *text = get_page(sp, address, path);
    json_t *js = text == NULL ? NULL : json_loads(text, 0, NULL);

    g_free(text);
    return js;
}

static uint64_t
counter_in(const char *text, JdCounter id)
{
    char name[128];
    const char *p;

    snprintf(name, sizeof(name), "\njacinthd_%s ", JdCounter_Name(id));
    p = strstr(text, name);
    return p == NULL ? 0 : strtoull(p + strlen(name), NULL, 10);
}

static void
add_usage(Spread *sp, Usage *sum)
{
    memset(sum, 0, sizeof(*sum));
    for (unsigned i = 0; i < sp->count; i++) {
        char *text = get_page(sp, sp->address[i], "/metrics");
        json_t *js = get_json(sp, sp->address[i], "/status");

        if (text != NULL) {
            sum->tx += counter_in(text, JD_C_CONTROL_TX);
            sum->region_tx += counter_in(text, JD_C_CONTROL_REGION_TX);
            sum->log_reads += counter_in(text, JD_C_LOG_READS);
            sum->log_bytes += counter_in(text, JD_C_LOG_BYTES);
        }
        sum->cpu_us +=
            (uint64_t)json_integer_value(json_object_get(js, "cpu_us"));
        sum->rss_kb +=
            (uint64_t)json_integer_value(json_object_get(js, "rss_kb"));
        g_free(text);
        json_decref(js);
    }
}

/* Reads "N/1:50,2:50": the network's number, nodes by failure domain. */
static void
read_nodes(Spread *sp)
{
    const char *p = sp->nodes;
    const char *slash = strchr(p, '/');
    unsigned long net = slash == NULL ? 0 : strtoul(p, NULL, 10);

    sp->address = g_malloc0(sizeof(sp->address[0]) * DOMAINS_MOST * 254);
    p = slash == NULL ? p : slash + 1;
    while (*p != '\0') {
        unsigned long d = strtoul(p, (char **)&p, 10);
        unsigned long n = *p == ':' ? strtoul(p + 1, (char **)&p, 10) : 0;

        for (unsigned long i = 1; i <= n && n < 255; i++) {
            snprintf(sp->address[sp->count++], JD_ADDRESS_MAX,
                     "127.%lu.%lu.%lu:8100", net, d, i);
        }
        p += *p != '\0';
    }
}

/* A patch as operators make them: one policy and one note change. */
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
append(Spread *sp, json_t *patch, uint64_t base)
{
    char id[64];
    char *text;
    uint64_t offset;
    JdStatus s;

    snprintf(id, sizeof(id), "spread-%llu-%llu",
             (unsigned long long)JdLoop_WallClock(), (unsigned long long)base);
    text = JdRecord_Patch(base, id, "jd-load", patch);
    s = CtlLog_Append(&sp->ctl, JD_STREAM_CONFIG, text, &offset);
    free(text);
    json_decref(patch);
    return s == JD_OK;
}

static void
on_decided(void *ctx, const JdRecord *rec, const JdOutcome *out)
{
    Spread *sp = ctx;

    if (out->status == JD_OK && out->version >= sp->first &&
        out->version - sp->first < VERSIONS_MOST) {
        sp->accepted[out->version - sp->first] = rec->at;
    }
}

static bool
append_all(Spread *sp)
{
    uint64_t version = sp->ctl.store.config->version;
    uint64_t start = JdClock_Now(&sp->ctl.loop.clock);

    for (int i = 0; i < sp->versions; i++) {
        uint64_t due = start + (uint64_t)((double)i / sp->rate * 1e6);
        uint64_t now = JdClock_Now(&sp->ctl.loop.clock);

        if (due > now) {
            Ctl_RunFor(&sp->ctl, due - now);
        }
        if (!append(sp, make_patch(version, sp->entries), version)) {
            return false;
        }
        version++;
    }
    return true;
}

/* Returns when a node had a version or a later one, or 0. */
static uint64_t
applied_at(const json_t *applied, uint64_t version, bool *is_own)
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

static void
take_node(Spread *sp, const json_t *applied, uint64_t *slowest)
{
    for (int i = 0; i < sp->versions; i++) {
        bool is_own = true;
        uint64_t at = applied_at(applied, sp->first + (uint64_t)i, &is_own);
        uint64_t lag;

        if (at == 0) {
            sp->missing++;
            return;
        }
        sp->skipped += !is_own;
        lag = at > sp->accepted[i] ? at - sp->accepted[i] : 0;
        Histogram_Add(&sp->lag, lag);
        if (lag > slowest[i]) {
            slowest[i] = lag;
        }
    }
}

static void
collect(Spread *sp)
{
    uint64_t *slowest = g_new0(uint64_t, sp->versions);

    for (unsigned i = 0; i < sp->count; i++) {
        json_t *js = get_json(sp, sp->address[i], "/applied");

        take_node(sp, js, slowest);
        json_decref(js);
    }
    for (int i = 0; i < sp->versions; i++) {
        Histogram_Add(&sp->whole, slowest[i]);
    }
    g_free(slowest);
}

static void
report(const Spread *sp, const Usage *a, const Usage *b, double seconds)
{
    double n = sp->count;

    printf("{\"nodes\": %u, \"versions\": %d, \"seconds\": %.1f, "
           "\"whole_p50_ms\": %.1f, \"whole_p99_ms\": %.1f, "
           "\"whole_max_ms\": %.1f, \"node_p50_ms\": %.1f, "
           "\"skipped\": %u, \"missing\": %u, "
           "\"control_bytes\": %llu, \"control_region_bytes\": %llu, "
           "\"node_bytes_per_s\": %.1f, \"region_bytes_per_s\": %.1f, "
           "\"log_reads\": %llu, \"log_bytes\": %llu, "
           "\"cpu_percent_of_core_per_node\": %.3f, "
           "\"rss_mb_per_node\": %.1f}\n",
           sp->count, sp->versions, seconds,
           (double)Histogram_Quantile(&sp->whole, 0.5) / 1000,
           (double)Histogram_Quantile(&sp->whole, 0.99) / 1000,
           (double)sp->whole.max / 1000,
           (double)Histogram_Quantile(&sp->lag, 0.5) / 1000, sp->skipped,
           sp->missing, (unsigned long long)(b->tx - a->tx),
           (unsigned long long)(b->region_tx - a->region_tx),
           (double)(b->tx - a->tx) / n / seconds,
           (double)(b->region_tx - a->region_tx) / seconds,
           (unsigned long long)(b->log_reads - a->log_reads),
           (unsigned long long)(b->log_bytes - a->log_bytes),
           (double)(b->cpu_us - a->cpu_us) / n / seconds / 1e4,
           (double)b->rss_kb / n / 1024);
}

static int
measure(Spread *sp)
{
    JdError err = {0};
    Usage before, after;
    uint64_t start;

    if (CtlLog_Open(&sp->ctl, &err) != JD_OK ||
        CtlLog_CatchUp(&sp->ctl, &err) != JD_OK) {
        return (int)Ctl_Exit(err.status);
    }
    if (sp->entries > 0 && sp->ctl.store.config->version == 0) {
        append(sp, Load_GenerateServices(sp->entries), 0);
        CtlLog_CatchUp(&sp->ctl, &err);
        Ctl_RunFor(&sp->ctl, 2 * JD_US_PER_S);
    }
    sp->first = sp->ctl.store.config->version + 1;
    add_usage(sp, &before);
    start = JdClock_Now(&sp->ctl.loop.clock);
    if (!append_all(sp)) {
        fputs("jd-load: an append failed\n", stderr);
        return CTL_EXIT_RETRY;
    }
    sp->ctl.decided = on_decided;
    sp->ctl.decided_ctx = sp;
    CtlLog_CatchUp(&sp->ctl, &err);
    Ctl_RunFor(&sp->ctl, (uint64_t)(sp->settle_s * 1e6));
    add_usage(sp, &after);
    collect(sp);
    report(sp, &before, &after,
           (double)(JdClock_Now(&sp->ctl.loop.clock) - start) / 1e6);
    return sp->missing > 0 ? 1 : 0;
}

/* Returns whether an address is that of the node "D-I". */
static bool
is_node(const char *address, const char *name)
{
    unsigned d, i, x, y;

    return sscanf(address, "127.%*u.%u.%u:", &d, &i) == 2 &&
           sscanf(name, "%u-%u", &x, &y) == 2 && d == x && i == y;
}

/*
 * Prints how long after a moment of the wall clock, in us, a version was in
 * force on every node: the slowest, and how many never had it.
 */
int
Load_MeasureApplyDelay(int argc, char **argv)
{
    static Spread sp;
    uint64_t version, since, slowest = 0;
    unsigned missing = 0;

    if (argc != 4 && argc != 5) {
        fputs("usage: jd-load since NODES VERSION US [EXCEPT]\n", stderr);
        return 2;
    }
    sp.nodes = argv[1];
    version = strtoull(argv[2], NULL, 10);
    since = strtoull(argv[3], NULL, 10);
    Ctl_Init(&sp.ctl);
    read_nodes(&sp);
    for (unsigned i = 0; i < sp.count; i++) {
        json_t *js;
        bool is_own;
        uint64_t at;

        if (argc == 5 && is_node(sp.address[i], argv[4])) {
            continue;
        }
        js = get_json(&sp, sp.address[i], "/applied");
        at = applied_at(js, version, &is_own);

        missing += at == 0;
        if (at > since && at - since > slowest) {
            slowest = at - since;
        }
        json_decref(js);
    }
    printf("{\"nodes\": %u, \"slowest_ms\": %.1f, \"missing\": %u}\n",
           sp.count, (double)slowest / 1000, missing);
    return missing > 0 ? 1 : 0;
}

/* Runs one measurement and prints its result as JSON. */
int
Load_MeasureConvergence(int argc, char **argv)
{
    static Spread sp;
    GOptionEntry entries[] = {
        {"log", 'l', 0, G_OPTION_ARG_STRING, &sp.ctl.log_address,
         "address of the log", "IP:PORT"},
        {"nodes", 'n', 0, G_OPTION_ARG_STRING, &sp.nodes,
         "network, nodes by failure domain", "0/1:50,2:50"},
        {"versions", 'v', 0, G_OPTION_ARG_INT, &sp.versions,
         "patches to append", "N"},
        {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &sp.rate, "patches per second",
         "N"},
        {"entries", 'e', 0, G_OPTION_ARG_INT, &sp.entries,
         "services in the document", "N"},
        {"settle", 's', 0, G_OPTION_ARG_DOUBLE, &sp.settle_s,
         "time after the last patch", "S"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    int rc;

    sp.versions = 20;
    sp.rate = 5;
    sp.settle_s = 2;
    sp.ctl.timeout_s = 10;
    rc = JdProgram_Options("jd-load", "- measure convergence", entries, &argc,
                           &argv);
    if (rc != 0) {
        return rc;
    }
    if (sp.nodes == NULL || sp.versions < 1 || sp.versions > VERSIONS_MOST ||
        sp.rate <= 0) {
        return JdProgram_Usage("jd-load", "wrong options");
    }
    Ctl_Init(&sp.ctl);
    read_nodes(&sp);
    return measure(&sp);
}

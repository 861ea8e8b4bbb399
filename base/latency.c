/*
 * Latency histograms by kind, service and outcome, in the text format of
 * monitoring tools.
 */
#include <string.h>

#include <glib.h>

#include "base.h"

/* Upper bounds of the buckets, in us; one more bucket has no bound. */
static const uint64_t bounds[JD_LATENCY_BUCKETS - 1] = {
    1000,   2500,   5000,   10000,   25000,   50000,
    100000, 250000, 500000, 1000000, 2500000, 5000000,
};

static const struct {
    const char *name;
    const char *help;
} kinds[JD_LATENCY_MAX] = {
    [JD_LATENCY_QUEUE] = {"queue_seconds",
                          "Time that work waited for a slot of its target."},
    [JD_LATENCY_TARGET] = {"target_seconds",
                           "Time from sending work to a target to its end."},
    [JD_LATENCY_TOTAL] = {"request_seconds",
                          "Time from a caller's request to its answer."},
};

typedef struct Series {
    JdLatencyKind kind;
    char service[JD_NAME_MAX];
    char outcome[JD_NAME_MAX];
    uint64_t count[JD_LATENCY_BUCKETS];
    uint64_t total;
    uint64_t sum; /* us */
} Series;

/* Initializes an empty set. */
void
JdLatencies_Init(JdLatencies *ls)
{
    ls->series =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static Series *
series_of(JdLatencies *ls, JdLatencyKind kind, const char *service,
          const char *outcome)
{
    char key[2 * JD_NAME_MAX + 8];
    Series *sr;

    g_snprintf(key, sizeof(key), "%d %s %s", (int)kind, service, outcome);
    sr = g_hash_table_lookup(ls->series, key);
    if (sr == NULL) {
        sr = g_new0(Series, 1);
        sr->kind = kind;
        g_strlcpy(sr->service, service, sizeof(sr->service));
        g_strlcpy(sr->outcome, outcome, sizeof(sr->outcome));
        g_hash_table_insert(ls->series, g_strdup(key), sr);
    }
    return sr;
}

/* Counts one time, in us. */
void
JdLatencies_Record(JdLatencies *ls, JdLatencyKind kind, const char *service,
                   const char *outcome, uint64_t us)
{
    Series *sr = series_of(ls, kind, service, outcome);
    size_t i = 0;

    while (i < G_N_ELEMENTS(bounds) && us > bounds[i]) {
        i++;
    }
    sr->count[i]++;
    sr->total++;
    sr->sum += us;
}

static void
format_series(const Series *sr, GString *out)
{
    const char *name = kinds[sr->kind].name;
    char labels[3 * JD_NAME_MAX];
    uint64_t below = 0;

    g_snprintf(labels, sizeof(labels), "service=\"%s\",outcome=\"%s\"",
               sr->service, sr->outcome);
    for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
        below += sr->count[i];
        g_string_append_printf(out,
                               "jacinthd_%s_bucket{%s,le=\"%g\"} "
                               "%" G_GUINT64_FORMAT "\n",
                               name, labels, (double)bounds[i] / 1e6, below);
    }
    g_string_append_printf(out,
                           "jacinthd_%s_bucket{%s,le=\"+Inf\"} "
                           "%" G_GUINT64_FORMAT "\n"
                           "jacinthd_%s_sum{%s} %.6f\n"
                           "jacinthd_%s_count{%s} %" G_GUINT64_FORMAT "\n",
                           name, labels, sr->total, name, labels,
                           (double)sr->sum / 1e6, name, labels, sr->total);
}

/* Appends all histograms in the text format of monitoring tools. */
void
JdLatencies_Format(const JdLatencies *ls, GString *out)
{
    for (int k = 0; k < JD_LATENCY_MAX; k++) {
        GHashTableIter it;
        gpointer sr;

        g_string_append_printf(out,
                               "# HELP jacinthd_%s %s\n"
                               "# TYPE jacinthd_%s histogram\n",
                               kinds[k].name, kinds[k].help, kinds[k].name);
        g_hash_table_iter_init(&it, ls->series);
        while (g_hash_table_iter_next(&it, NULL, &sr)) {
            if (((Series *)sr)->kind == (JdLatencyKind)k) {
                format_series(sr, out);
            }
        }
    }
}

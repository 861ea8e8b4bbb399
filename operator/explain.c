/*
 * jacinthctl explain: traces one request through the log files of nodes.
 *
 * Prints the lines about the request in time order, together with state
 * changes around that time on the nodes involved, the probable cause of its
 * outcome, and a note about lines that are missing.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ctl.h"

/* State changes this long before and after a request are printed, in s. */
#define CONTEXT_S 2.0
/* Size of the line buffer; a longer line is read in pieces. */
#define MAX_LINE 16384

typedef struct LogLine {
    double time; /* wall clock of the writer, s */
    json_t *js;
    bool names_request;
} LogLine;

typedef struct Trace {
    const char *id;
    GArray *lines;     /* of LogLine */
    GHashTable *nodes; /* names of the nodes involved */
    double start;      /* s; 0: no line names the request */
    double end;
    unsigned unreadable; /* lines that could not be parsed */
} Trace;

/* Explanations of the reasons for which a request fails. */
static const char *const causes[JD_REASON_MAX] = {
    [JD_REASON_NOT_READY] =
        "the node that received it had just started and had no configuration",
    [JD_REASON_NO_ROUTE] =
        "the version in force on that node has no route for host and path",
    [JD_REASON_NO_TARGET] = "the node knew no live target of the service",
    [JD_REASON_QUEUE_FULL] = "every target that was tried had a full queue",
    [JD_REASON_TOO_LATE] =
        "no target that was tried could have answered before the deadline",
    [JD_REASON_DRAINING] = "the target was draining",
    [JD_REASON_TARGET_DOWN] =
        "no connection to the target or its node: crashed or not started",
    [JD_REASON_SHED] = "the target itself refused to run it",
    [JD_REASON_DEADLINE] = "the deadline passed before a target answered",
    [JD_REASON_BROKEN] =
        "a connection broke after it was sent: the target or a node failed",
    [JD_REASON_CANCELLED] = "the caller disconnected",
    [JD_REASON_BAD_REQUEST] = "the request was malformed",
    [JD_REASON_KEY_MISSING] = "the route requires an idempotency key",
    [JD_REASON_KEY_TAKEN] = "the idempotency key was already claimed",
    [JD_REASON_CLAIM_FAILED] =
        "the log did not accept the claim of its idempotency key",
    [JD_REASON_RATE_LIMITED] =
        "every target that was tried had reached the rate limit that it names",
    [JD_REASON_CRASHES] = "targets crashed under it or copies of it",
    [JD_REASON_ISOLATED] =
        "a target crashed under it, and others ran a request like it",
    [JD_REASON_COPY_RUNS] =
        "a target crashed under it, and a copy of it was running",
};

static const char *
get_string(const json_t *js, const char *name)
{
    const char *s = json_string_value(json_object_get(js, name));

    return s == NULL ? "" : s;
}

static bool
is_event(const json_t *js, const char *name)
{
    return strcmp(get_string(js, "event"), name) == 0;
}

/*
 * Returns whether a log line is about the request `id` or about a request that
 * a target sent to serve it.  The id of the latter is `id` followed by a dot
 * and a suffix.
 */
static bool
names_request(const json_t *js, const char *id)
{
    const char *s = get_string(js, "id");
    size_t n = strlen(id);

    return strncmp(s, id, n) == 0 && (s[n] == '\0' || s[n] == '.');
}

/*
 * Parses one line; text before the first brace, such as a prefix of the log
 * collector, is skipped.
 */
static void
add_line(Trace *tr, const char *text)
{
    const char *start = strchr(text, '{');
    json_t *js =
        start == NULL ? NULL : json_loads(start, JSON_DISABLE_EOF_CHECK, NULL);
    LogLine ln = {.js = js};

    if (js == NULL || !json_is_number(json_object_get(js, "t"))) {
        tr->unreadable++;
        json_decref(js);
        return;
    }
    ln.time = json_number_value(json_object_get(js, "t"));
    ln.names_request = names_request(js, tr->id);
    g_array_append_val(tr->lines, ln);
}

static CtlExit
read_file(Trace *tr, const char *name)
{
    FILE *fp = fopen(name, "r");
    char *text;

    if (fp == NULL) {
        fprintf(stderr, "jacinthctl: cannot open %s\n", name);
        return CTL_EXIT_INPUT;
    }
    text = g_malloc(MAX_LINE);
    while (fgets(text, MAX_LINE, fp) != NULL) {
        add_line(tr, text);
    }
    g_free(text);
    fclose(fp);
    return CTL_EXIT_OK;
}

static int
compare_lines(const void *a, const void *b)
{
    const LogLine *x = a;
    const LogLine *y = b;

    return x->time < y->time ? -1 : x->time > y->time;
}

/* Finds when the request started and ended and which nodes were involved. */
static void
find_request_span(Trace *tr)
{
    for (guint i = 0; i < tr->lines->len; i++) {
        const LogLine *ln = &g_array_index(tr->lines, LogLine, i);
        double held =
            (double)json_integer_value(json_object_get(ln->js, "held_ms"));

        if (!ln->names_request) {
            continue;
        }
        if (tr->start == 0 || ln->time - held / 1000 < tr->start) {
            tr->start = ln->time - held / 1000;
        }
        tr->end = ln->time;
        g_hash_table_add(tr->nodes, (gpointer)get_string(ln->js, "node"));
        if (!is_event(ln->js, "work")) {
            g_hash_table_add(tr->nodes,
                             (gpointer)get_string(ln->js, "target"));
        }
    }
}

/*
 * Whether a line is a state change of an involved node around the time of the
 * request.  A member event counts if both its subject and the node that
 * reports it are involved.
 */
static bool
is_context(const Trace *tr, const LogLine *ln)
{
    static const char *const request_events[] = {"request", "retry", "work"};
    const char *member = get_string(ln->js, "member");

    for (size_t i = 0; i < G_N_ELEMENTS(request_events); i++) {
        if (is_event(ln->js, request_events[i])) {
            return false;
        }
    }
    if (ln->time < tr->start - CONTEXT_S || ln->time > tr->end + CONTEXT_S) {
        return false;
    }
    if (is_event(ln->js, "member")) {
        return g_hash_table_contains(tr->nodes, member) &&
               g_hash_table_contains(tr->nodes, get_string(ln->js, "node"));
    }
    return g_hash_table_contains(tr->nodes, get_string(ln->js, "node"));
}

static void
print_line(const Trace *tr, const LogLine *ln)
{
    const char *key;
    json_t *v;

    printf("%+9.3f %c %s %s", ln->time - tr->start,
           ln->names_request ? '*' : ' ', get_string(ln->js, "node"),
           get_string(ln->js, "event"));
    json_object_foreach(ln->js, key, v)
    {
        if (strcmp(key, "t") == 0 || strcmp(key, "level") == 0 ||
            strcmp(key, "node") == 0 || strcmp(key, "event") == 0 ||
            (ln->names_request && strcmp(key, "id") == 0)) {
            continue;
        }
        if (json_is_string(v)) {
            printf(" %s=%s", key, json_string_value(v));
        }
        else {
            printf(" %s=%" JSON_INTEGER_FORMAT, key, json_integer_value(v));
        }
    }
    putchar('\n');
}

static JdReason
reason_by_name(const char *name)
{
    for (int r = 0; r < JD_REASON_MAX; r++) {
        if (strcmp(JdReason_Info((JdReason)r)->name, name) == 0) {
            return (JdReason)r;
        }
    }
    return JD_REASON_NONE;
}

static void
print_outcome(const LogLine *end)
{
    const char *outcome = get_string(end->js, "outcome");
    const char *last = get_string(end->js, "last");
    JdReason reason = reason_by_name(outcome);
    JdReason before = reason_by_name(last);

    printf("\noutcome %s, %s\n", outcome,
           JdReason_Info(reason)->is_not_executed ? "not run"
                                                  : "may have run");
    if (causes[reason] != NULL) {
        printf("cause: %s\n", causes[reason]);
    }
    if (before != reason && causes[before] != NULL) {
        printf("last attempt: %s: %s\n", last, causes[before]);
    }
}

/* Prints which lines about the request are missing, and why if known. */
static void
print_missing_lines(const Trace *tr, const LogLine *end)
{
    unsigned works = 0, retries = 0, dropped = 0;

    for (guint i = 0; i < tr->lines->len; i++) {
        const LogLine *ln = &g_array_index(tr->lines, LogLine, i);

        works += ln->names_request && is_event(ln->js, "work");
        retries += ln->names_request && is_event(ln->js, "retry");
        dropped +=
            json_object_get(ln->js, "left_out") != NULL &&
            g_hash_table_contains(tr->nodes, get_string(ln->js, "node"));
    }
    if (end == NULL) {
        puts("missing: the final line of the node that received the request; "
             "either it was answered, or the line was dropped");
    }
    if (retries > 0 && works == 0) {
        puts("missing: lines of the target's node; it did not refuse the "
             "request, or it was down");
    }
    if (dropped > 0) {
        printf("%u lines of these nodes report that lines were dropped\n",
               dropped);
    }
    if (tr->unreadable > 0) {
        printf("%u lines could not be parsed\n", tr->unreadable);
    }
}

static CtlExit
print_report(Trace *tr)
{
    const LogLine *end = NULL;
    bool is_known = false;

    g_array_sort(tr->lines, compare_lines);
    find_request_span(tr);
    for (guint i = 0; i < tr->lines->len; i++) {
        const LogLine *ln = &g_array_index(tr->lines, LogLine, i);

        is_known = is_known || ln->names_request;
        if (ln->names_request && is_event(ln->js, "request") &&
            strcmp(get_string(ln->js, "id"), tr->id) == 0) {
            end = ln;
        }
        if (ln->names_request || (tr->start != 0 && is_context(tr, ln))) {
            print_line(tr, ln);
        }
    }
    if (!is_known) {
        printf("no line mentions %s: a target answered it, it never reached a "
               "node, or its lines were dropped\n",
               tr->id);
        return CTL_EXIT_RETRY;
    }
    if (end != NULL) {
        print_outcome(end);
    }
    print_missing_lines(tr, end);
    return CTL_EXIT_OK;
}

/* Prints the trace of a request: args are its id and the log files. */
CtlExit
CtlExplain_Explain(Ctl *ctl, int argc, char **argv)
{
    Trace tr = {.id = argv[0]};
    CtlExit rc = CTL_EXIT_OK;

    (void)ctl;
    tr.lines = g_array_new(FALSE, FALSE, sizeof(LogLine));
    tr.nodes = g_hash_table_new(g_str_hash, g_str_equal);
    for (int i = 1; i < argc && rc == CTL_EXIT_OK; i++) {
        rc = read_file(&tr, argv[i]);
    }
    if (rc == CTL_EXIT_OK) {
        rc = print_report(&tr);
    }
    for (guint i = 0; i < tr.lines->len; i++) {
        json_decref(g_array_index(tr.lines, LogLine, i).js);
    }
    g_array_unref(tr.lines);
    g_hash_table_destroy(tr.nodes);
    return rc;
}

/*
 * jacinthctl explain: joins the log lines of all nodes about one request and
 * prints them in time order, with what happened around it at the nodes that it
 * met, and what there is no line for.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ctl.h"

/* Time around a request in which changes of state belong to its story, in s.
 */
#define AROUND_S 2.0
#define LINE_MOST 16384

typedef struct Line {
    double t;
    json_t *js;
    bool is_own; /* names the request */
} Line;

typedef struct Story {
    const char *id;
    GArray *lines;     /* of Line */
    GHashTable *nodes; /* that the request met */
    double first;
    double last;
    unsigned unreadable;
} Story;

/* What the last reason of a request says of its cause. */
static const char *const causes[JD_REASON_MAX] = {
    [JD_REASON_NOT_READY] =
        "the node that took it held no configuration yet: it had just started",
    [JD_REASON_NO_ROUTE] =
        "the version in force at that node has no route for host and path",
    [JD_REASON_NO_TARGET] = "no live target of the service was known there",
    [JD_REASON_QUEUE_FULL] = "every target that was asked had a full queue",
    [JD_REASON_TOO_LATE] =
        "no target that was asked could have answered it in time",
    [JD_REASON_DRAINING] = "the target was leaving",
    [JD_REASON_TARGET_DOWN] =
        "the target or its node took no connection: it had died or not begun",
    [JD_REASON_SHED] = "the target itself refused to run it",
    [JD_REASON_DEADLINE] = "its time was up before a target had answered",
    [JD_REASON_BROKEN] =
        "a connection broke after it was sent: target or node died or failed",
    [JD_REASON_CANCELLED] = "its caller left",
    [JD_REASON_BAD_REQUEST] = "it was malformed",
    [JD_REASON_KEY_MISSING] = "its route needs an idempotency key",
    [JD_REASON_KEY_TAKEN] = "its idempotency key was claimed before",
    [JD_REASON_CLAIM_FAILED] = "the log took no claim of its key",
};

static const char *
text_of(const json_t *js, const char *name)
{
    const char *s = json_string_value(json_object_get(js, name));

    return s == NULL ? "" : s;
}

static bool
is_event(const json_t *js, const char *name)
{
    return strcmp(text_of(js, "event"), name) == 0;
}

/* Calls that a target made for a request bear its id and a suffix. */
static bool
is_own(const json_t *js, const char *id)
{
    const char *s = text_of(js, "id");
    size_t n = strlen(id);

    return strncmp(s, id, n) == 0 && (s[n] == '\0' || s[n] == '.');
}

static void
add_line(Story *st, const char *text)
{
    const char *start = strchr(text, '{');
    json_t *js =
        start == NULL ? NULL : json_loads(start, JSON_DISABLE_EOF_CHECK, NULL);
    Line ln = {.js = js};

    if (js == NULL || !json_is_number(json_object_get(js, "t"))) {
        st->unreadable++;
        json_decref(js);
        return;
    }
    ln.t = json_number_value(json_object_get(js, "t"));
    ln.is_own = is_own(js, st->id);
    g_array_append_val(st->lines, ln);
}

static CtlExit
read_file(Story *st, const char *name)
{
    FILE *fp = fopen(name, "r");
    char *text;

    if (fp == NULL) {
        fprintf(stderr, "jacinthctl: %s: cannot be opened\n", name);
        return CTL_EXIT_INPUT;
    }
    text = g_malloc(LINE_MOST);
    while (fgets(text, LINE_MOST, fp) != NULL) {
        add_line(st, text);
    }
    g_free(text);
    fclose(fp);
    return CTL_EXIT_OK;
}

static int
compare_lines(const void *a, const void *b)
{
    const Line *x = a;
    const Line *y = b;

    return x->t < y->t ? -1 : x->t > y->t;
}

/* Notes when the request was seen and the nodes that it met. */
static void
note_request(Story *st)
{
    for (guint i = 0; i < st->lines->len; i++) {
        const Line *ln = &g_array_index(st->lines, Line, i);
        double held =
            (double)json_integer_value(json_object_get(ln->js, "held_ms"));

        if (!ln->is_own) {
            continue;
        }
        if (st->first == 0 || ln->t - held / 1000 < st->first) {
            st->first = ln->t - held / 1000;
        }
        st->last = ln->t;
        g_hash_table_add(st->nodes, (gpointer)text_of(ln->js, "node"));
        if (!is_event(ln->js, "work")) {
            g_hash_table_add(st->nodes, (gpointer)text_of(ln->js, "target"));
        }
    }
}

/* Whether a line tells of a change at a node that the request met. */
static bool
is_around(const Story *st, const Line *ln)
{
    static const char *const request_events[] = {"request", "retry", "work"};
    const char *member = text_of(ln->js, "member");

    for (size_t i = 0; i < G_N_ELEMENTS(request_events); i++) {
        if (is_event(ln->js, request_events[i])) {
            return false;
        }
    }
    if (ln->t < st->first - AROUND_S || ln->t > st->last + AROUND_S) {
        return false;
    }
    if (is_event(ln->js, "member")) {
        return g_hash_table_contains(st->nodes, member) &&
               g_hash_table_contains(st->nodes, text_of(ln->js, "node"));
    }
    return g_hash_table_contains(st->nodes, text_of(ln->js, "node"));
}

static void
print_line(const Story *st, const Line *ln)
{
    const char *key;
    json_t *v;

    printf("%+9.3f %c %s %s", ln->t - st->first, ln->is_own ? '*' : ' ',
           text_of(ln->js, "node"), text_of(ln->js, "event"));
    json_object_foreach(ln->js, key, v)
    {
        if (strcmp(key, "t") == 0 || strcmp(key, "level") == 0 ||
            strcmp(key, "node") == 0 || strcmp(key, "event") == 0 ||
            (ln->is_own && strcmp(key, "id") == 0)) {
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
print_cause(const Line *end)
{
    const char *outcome = text_of(end->js, "outcome");
    const char *last = text_of(end->js, "last");
    JdReason reason = reason_by_name(outcome);
    JdReason before = reason_by_name(last);

    printf("\nended as %s, %s\n", outcome,
           JdReason_Info(reason)->is_not_executed ? "not run"
                                                  : "it may have run");
    if (causes[reason] != NULL) {
        printf("cause: %s\n", causes[reason]);
    }
    if (before != reason && causes[before] != NULL) {
        printf("last try: %s: %s\n", last, causes[before]);
    }
}

/* Says which lines of the story are missing. */
static void
print_gaps(const Story *st, const Line *end)
{
    unsigned works = 0, retries = 0, left_out = 0;

    for (guint i = 0; i < st->lines->len; i++) {
        const Line *ln = &g_array_index(st->lines, Line, i);

        works += ln->is_own && is_event(ln->js, "work");
        retries += ln->is_own && is_event(ln->js, "retry");
        left_out += json_object_get(ln->js, "left_out") != NULL &&
                    g_hash_table_contains(st->nodes, text_of(ln->js, "node"));
    }
    if (end == NULL) {
        puts("no line: the end of the request at the node that took it; it "
             "was answered, or its line was left out");
    }
    if (retries > 0 && works == 0) {
        puts("no line: the target's node, which did not refuse it or was "
             "gone");
    }
    if (left_out > 0) {
        printf("%u lines of these nodes tell that lines were left out\n",
               left_out);
    }
    if (st->unreadable > 0) {
        printf("%u lines could not be read\n", st->unreadable);
    }
}

static CtlExit
tell(Story *st)
{
    const Line *end = NULL;
    bool is_known = false;

    g_array_sort(st->lines, compare_lines);
    note_request(st);
    for (guint i = 0; i < st->lines->len; i++) {
        const Line *ln = &g_array_index(st->lines, Line, i);

        is_known = is_known || ln->is_own;
        if (ln->is_own && is_event(ln->js, "request") &&
            strcmp(text_of(ln->js, "id"), st->id) == 0) {
            end = ln;
        }
        if (ln->is_own || (st->first != 0 && is_around(st, ln))) {
            print_line(st, ln);
        }
    }
    if (!is_known) {
        printf("no line names %s: it was answered by a target, never reached "
               "a node, or its lines were left out\n",
               st->id);
        return CTL_EXIT_RETRY;
    }
    if (end != NULL) {
        print_cause(end);
    }
    print_gaps(st, end);
    return CTL_EXIT_OK;
}

/* explain ID FILE...: the story of a request from collected logs. */
CtlExit
CtlExplain_Explain(Ctl *ctl, int argc, char **argv)
{
    Story st = {.id = argv[0]};
    CtlExit rc = CTL_EXIT_OK;

    (void)ctl;
    st.lines = g_array_new(FALSE, FALSE, sizeof(Line));
    st.nodes = g_hash_table_new(g_str_hash, g_str_equal);
    for (int i = 1; i < argc && rc == CTL_EXIT_OK; i++) {
        rc = read_file(&st, argv[i]);
    }
    if (rc == CTL_EXIT_OK) {
        rc = tell(&st);
    }
    for (guint i = 0; i < st.lines->len; i++) {
        json_decref(g_array_index(st.lines, Line, i).js);
    }
    g_array_unref(st.lines);
    g_hash_table_destroy(st.nodes);
    return rc;
}

/*
 * Structured logs: one JSON object a line on standard output, through GLib's
 * structured logging.  Lines of one event are limited to a rate, with the
 * number left out on the next one; lines gather in a buffer that is written
 * when the loop has time, never waits, and drops what does not fit.
 */
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base.h"

/* Bytes that may wait to be written. */
#define BUFFER_MOST 65536U
/* Bytes of one write: a pipe that can be written to takes them at once. */
#define WRITE_MOST 4096U
/* Time for which lines are gathered. */
#define GATHER_TIME (50 * JD_US_PER_MS)
/* Lines a second of one event: of changes of state, and of requests. */
#define STATE_RATE 50
#define REQUEST_RATE 20
#define FIELDS_MOST 24

typedef struct Kind {
    const char *name;
    GLogLevelFlags level;
    unsigned rate;
} Kind;

static const Kind kinds[JD_EVENT_MAX] = {
    [JD_EVENT_STARTED] = {"started", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_RELOADED] = {"reloaded", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_READY] = {"ready", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_VERSION] = {"version", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_PARENT] = {"parent", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_LEAD] = {"lead", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_HEAD] = {"head", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_STORE] = {"store", G_LOG_LEVEL_WARNING, STATE_RATE},
    [JD_EVENT_MEMBER] = {"member", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_HALTED] = {"halted", G_LOG_LEVEL_WARNING, STATE_RATE},
    [JD_EVENT_LOG_EXPIRED] = {"log-expired", G_LOG_LEVEL_WARNING, STATE_RATE},
    [JD_EVENT_DOCUMENT_REFUSED] = {"document-refused", G_LOG_LEVEL_WARNING,
                                   STATE_RATE},
    [JD_EVENT_TARGET] = {"target", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_LANE] = {"lane", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_RETRY] = {"retry", G_LOG_LEVEL_MESSAGE, REQUEST_RATE},
    [JD_EVENT_REQUEST] = {"request", G_LOG_LEVEL_MESSAGE, REQUEST_RATE},
    [JD_EVENT_WORK] = {"work", G_LOG_LEVEL_MESSAGE, REQUEST_RATE},
    [JD_EVENT_DRAINING] = {"draining", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_STOPPED] = {"stopped", G_LOG_LEVEL_MESSAGE, STATE_RATE},
    [JD_EVENT_FAILED] = {"failed", G_LOG_LEVEL_WARNING, STATE_RATE},
};

/* The log of this process. */
static struct {
    const char *program;
    JdLoop *loop; /* NULL: each line is written at once */
    GString *buffer;
    JdTimer timer;
    uint64_t dropped; /* lines that found no room */
    unsigned count[JD_EVENT_MAX];
    unsigned left_out[JD_EVENT_MAX];
    uint64_t second;
} logging;

/* ---- writing ----------------------------------------------------------- */

/* Returns the length of the whole lines that one write takes. */
static size_t
whole_lines(const GString *buf)
{
    size_t n = buf->len < WRITE_MOST ? buf->len : WRITE_MOST;
    const char *end = memrchr(buf->str, '\n', n);

    return end == NULL ? n : (size_t)(end - buf->str) + 1;
}

/* Writes what can be written now; returns whether all of it was. */
static bool
flush(void)
{
    struct pollfd pfd = {.fd = STDOUT_FILENO, .events = POLLOUT};

    while (logging.buffer->len > 0) {
        ssize_t n;

        if (poll(&pfd, 1, 0) <= 0 || (pfd.revents & POLLOUT) == 0) {
            return false;
        }
        n = write(STDOUT_FILENO, logging.buffer->str,
                  whole_lines(logging.buffer));
        if (n <= 0) {
            return false;
        }
        g_string_erase(logging.buffer, 0, n);
    }
    return true;
}

static void
on_flush(void *ctx)
{
    (void)ctx;
    if (!flush()) {
        JdTimer_Arm(&logging.loop->clock, &logging.timer, GATHER_TIME);
    }
}

static void
add_line(const GString *line)
{
    if (logging.buffer->len + line->len > BUFFER_MOST) {
        logging.dropped++;
        return;
    }
    g_string_append_len(logging.buffer, line->str, (gssize)line->len);
    if (logging.loop == NULL) {
        flush();
    }
    else if (!logging.timer.is_armed) {
        JdTimer_Arm(&logging.loop->clock, &logging.timer, GATHER_TIME);
    }
}

/* ---- lines ------------------------------------------------------------- */

static void
add_text(GString *out, const char *text)
{
    g_string_append_c(out, '"');
    for (const char *p = text; *p != '\0'; p++) {
        if (*p == '"' || *p == '\\') {
            g_string_append_c(out, '\\');
        }
        if ((unsigned char)*p < ' ') {
            g_string_append_printf(out, "\\u%04x", (unsigned)*p);
        }
        else {
            g_string_append_c(out, *p);
        }
    }
    g_string_append_c(out, '"');
}

/* Fields of ours have lower-case names and JSON values; GLib's have not. */
static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize n,
           gpointer ctx)
{
    GString *line = g_string_sized_new(256);

    (void)ctx;
    g_string_printf(
        line, "{\"t\":%.6f,\"level\":\"%s\",\"node\":\"%s\"",
        (double)JdLoop_WallClock() / 1e6,
        (level & G_LOG_LEVEL_MASK) <= G_LOG_LEVEL_WARNING ? "warning" : "info",
        logging.program);
    for (gsize i = 0; i < n; i++) {
        if (g_ascii_islower(fields[i].key[0])) {
            g_string_append_printf(line, ",\"%s\":%s", fields[i].key,
                                   (const char *)fields[i].value);
        }
        else if (strcmp(fields[i].key, "MESSAGE") == 0) {
            g_string_append(line, ",\"text\":");
            add_text(line, fields[i].value);
        }
    }
    if (logging.dropped > 0 && logging.buffer->len < BUFFER_MOST / 2) {
        g_string_append_printf(line, ",\"dropped\":%" G_GUINT64_FORMAT,
                               logging.dropped);
        logging.dropped = 0;
    }
    g_string_append(line, "}\n");
    add_line(line);
    g_string_free(line, TRUE);
    return G_LOG_WRITER_HANDLED;
}

/* Counts a line of an event; returns whether its rate allows it. */
static bool
is_allowed(JdLogEvent event)
{
    uint64_t second = JdLoop_WallClock() / JD_US_PER_S;

    if (second != logging.second) {
        logging.second = second;
        memset(logging.count, 0, sizeof(logging.count));
    }
    if (logging.count[event] >= kinds[event].rate) {
        logging.left_out[event]++;
        return false;
    }
    logging.count[event]++;
    return true;
}

/* Writes one line about a decision or a change of state. */
void
JdLogging_Write(JdLogEvent event, const JdLogField *fields, size_t n)
{
    GLogField out[FIELDS_MOST + 2];
    GString *texts[FIELDS_MOST + 2];
    gsize count = 0;

    if (!is_allowed(event)) {
        return;
    }
    texts[count] = g_string_new(NULL);
    add_text(texts[count], kinds[event].name);
    out[count].key = "event";
    count++;
    for (size_t i = 0; i < n && i < FIELDS_MOST; i++) {
        texts[count] = g_string_new(NULL);
        if (fields[i].text != NULL) {
            add_text(texts[count], fields[i].text);
        }
        else {
            g_string_printf(texts[count], "%" G_GINT64_FORMAT,
                            fields[i].number);
        }
        out[count].key = fields[i].name;
        count++;
    }
    if (logging.left_out[event] > 0) {
        texts[count] = g_string_new(NULL);
        g_string_printf(texts[count], "%u", logging.left_out[event]);
        out[count].key = "left_out";
        logging.left_out[event] = 0;
        count++;
    }
    for (gsize i = 0; i < count; i++) {
        out[i].value = texts[i]->str;
        out[i].length = -1;
    }
    g_log_structured_array(kinds[event].level, out, count);
    for (gsize i = 0; i < count; i++) {
        g_string_free(texts[i], TRUE);
    }
}

/*
 * Sends the log of this program to standard output.  With a loop, lines are
 * gathered and written by it; without one, each is written at once.
 */
void
JdLogging_Init(const char *program, JdLoop *lp)
{
    logging.program = program;
    logging.loop = lp;
    if (logging.buffer == NULL) {
        logging.buffer = g_string_sized_new(WRITE_MOST);
        g_log_set_writer_func(write_line, NULL, NULL);
    }
    JdTimer_Init(&logging.timer, on_flush, NULL);
}

/* Writes what is left, as far as that is possible without waiting. */
void
JdLogging_Finish(void)
{
    if (logging.buffer != NULL) {
        flush();
    }
}

/* Formats all counters for monitoring tools; the caller frees the text. */
char *
JdCounters_Format(const JdCounters *ctr)
{
    GString *out = g_string_new(NULL);

    for (int i = 0; i < JD_COUNTER_MAX; i++) {
        const char *name = JdCounter_Name((JdCounter)i);

        g_string_append_printf(out,
                               "# HELP jacinthd_%s %s\n"
                               "# TYPE jacinthd_%s counter\n"
                               "jacinthd_%s %" G_GUINT64_FORMAT "\n",
                               name, JdCounter_Help((JdCounter)i), name, name,
                               ctr->value[i]);
    }
    return g_string_free(out, FALSE);
}

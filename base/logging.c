/*
 * Structured logs: one JSON object per line on standard output, through GLib's
 * structured logging.  Each event has a rate limit; the next line of the event
 * says how many were suppressed, as "left_out".  Lines are collected in a
 * buffer that the loop flushes.  Writes never block: lines that do not fit
 * into the buffer are dropped, and a later line gives their number as
 * "dropped".
 */
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base.h"

/* Capacity of the buffer, in bytes. */
#define MAX_BUFFERED 65536U
/* Bytes per write: a pipe that polls as writable accepts this much without
 * blocking. */
#define MAX_WRITE 4096U
/* Delay after which buffered lines are written. */
#define FLUSH_INTERVAL (50 * JD_US_PER_MS)
/* Lines per second and event, for state changes and for requests. */
#define MAX_STATE_LINES 50
#define MAX_REQUEST_LINES 20
#define MAX_FIELDS 24

typedef struct EventInfo {
    const char *name;
    GLogLevelFlags level;
    unsigned max_lines; /* per second */
} EventInfo;

static const EventInfo event_info[JD_EVENT_MAX] = {
    [JD_EVENT_STARTED] = {"started", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_RELOADED] = {"reloaded", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_READY] = {"ready", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_VERSION] = {"version", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_PARENT] = {"parent", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_LEAD] = {"lead", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_HEAD] = {"head", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_STORE] = {"store", G_LOG_LEVEL_WARNING, MAX_STATE_LINES},
    [JD_EVENT_MEMBER] = {"member", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_HALTED] = {"halted", G_LOG_LEVEL_WARNING, MAX_STATE_LINES},
    [JD_EVENT_LOG_EXPIRED] = {"log-expired", G_LOG_LEVEL_WARNING,
                              MAX_STATE_LINES},
    [JD_EVENT_DOCUMENT_REFUSED] = {"document-refused", G_LOG_LEVEL_WARNING,
                                   MAX_STATE_LINES},
    [JD_EVENT_TARGET] = {"target", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_CRASH] = {"crash", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_LANE] = {"lane", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_RETRY] = {"retry", G_LOG_LEVEL_MESSAGE, MAX_REQUEST_LINES},
    [JD_EVENT_REQUEST] = {"request", G_LOG_LEVEL_MESSAGE, MAX_REQUEST_LINES},
    [JD_EVENT_WORK] = {"work", G_LOG_LEVEL_MESSAGE, MAX_REQUEST_LINES},
    [JD_EVENT_DRAINING] = {"draining", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_STOPPED] = {"stopped", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_PAUSED] = {"paused", G_LOG_LEVEL_WARNING, MAX_STATE_LINES},
    [JD_EVENT_QUOTA] = {"quota", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_ROLLOUT] = {"rollout", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_SHORTAGE] = {"shortage", G_LOG_LEVEL_WARNING, MAX_STATE_LINES},
    [JD_EVENT_SPREAD] = {"spread", G_LOG_LEVEL_MESSAGE, MAX_STATE_LINES},
    [JD_EVENT_FAILED] = {"failed", G_LOG_LEVEL_WARNING, MAX_STATE_LINES},
};

/* State of the process-wide log. */
static struct {
    const char *program;
    JdLoop *loop; /* NULL: each line is written at once */
    GString *buffer;
    JdTimer timer;
    uint64_t dropped; /* lines that did not fit, not reported yet */
    unsigned written[JD_EVENT_MAX];    /* lines in `second` */
    unsigned suppressed[JD_EVENT_MAX]; /* not reported yet */
    uint64_t second;                   /* of the wall clock */
} logging;

/* ---- writing ----------------------------------------------------------- */

/* Returns the number of bytes for the next write: as many whole lines as fit,
 * or a part of a line that is longer than a write. */
static size_t
next_write_len(const GString *buf)
{
    size_t n = buf->len < MAX_WRITE ? buf->len : MAX_WRITE;
    const char *end = memrchr(buf->str, '\n', n);

    return end == NULL ? n : (size_t)(end - buf->str) + 1;
}

/* Writes as much as possible without blocking; returns whether the buffer is
 * empty. */
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
                  next_write_len(logging.buffer));
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
        JdTimer_Arm(&logging.loop->clock, &logging.timer, FLUSH_INTERVAL);
    }
}

static void
buffer_line(const GString *line)
{
    if (logging.buffer->len + line->len > MAX_BUFFERED) {
        logging.dropped++;
        return;
    }
    g_string_append_len(logging.buffer, line->str, (gssize)line->len);
    if (logging.loop == NULL) {
        flush();
    }
    else if (!logging.timer.is_armed) {
        JdTimer_Arm(&logging.loop->clock, &logging.timer, FLUSH_INTERVAL);
    }
}

/* ---- lines ------------------------------------------------------------- */

static void
append_json_string(GString *out, const char *text)
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

/*
 * Formats a log entry as a line.  Fields of JdLogging_Write have lower-case
 * names and values that are JSON already.  Of GLib's own fields, which are
 * upper-case, only MESSAGE is used.
 */
static GLogWriterOutput
on_glib_log(GLogLevelFlags level, const GLogField *fields, gsize n,
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
            append_json_string(line, fields[i].value);
        }
    }
    if (logging.dropped > 0 && logging.buffer->len < MAX_BUFFERED / 2) {
        g_string_append_printf(line, ",\"dropped\":%" G_GUINT64_FORMAT,
                               logging.dropped);
        logging.dropped = 0;
    }
    g_string_append(line, "}\n");
    buffer_line(line);
    g_string_free(line, TRUE);
    return G_LOG_WRITER_HANDLED;
}

/* Counts a line of an event; returns whether it is within the rate limit. */
static bool
is_within_rate(JdLogEvent event)
{
    uint64_t second = JdLoop_WallClock() / JD_US_PER_S;

    if (second != logging.second) {
        logging.second = second;
        memset(logging.written, 0, sizeof(logging.written));
    }
    if (logging.written[event] >= event_info[event].max_lines) {
        logging.suppressed[event]++;
        return false;
    }
    logging.written[event]++;
    return true;
}

/* Logs an event with its fields, unless it exceeds its rate limit. */
void
JdLogging_Write(JdLogEvent event, const JdLogField *fields, size_t n)
{
    GLogField out[MAX_FIELDS + 2];
    GString *values[MAX_FIELDS + 2];
    gsize count = 0;

    if (!is_within_rate(event)) {
        return;
    }
    values[count] = g_string_new(NULL);
    append_json_string(values[count], event_info[event].name);
    out[count].key = "event";
    count++;
    for (size_t i = 0; i < n && i < MAX_FIELDS; i++) {
        values[count] = g_string_new(NULL);
        if (fields[i].text != NULL) {
            append_json_string(values[count], fields[i].text);
        }
        else {
            g_string_printf(values[count], "%" G_GINT64_FORMAT,
                            fields[i].number);
        }
        out[count].key = fields[i].name;
        count++;
    }
    if (logging.suppressed[event] > 0) {
        values[count] = g_string_new(NULL);
        g_string_printf(values[count], "%u", logging.suppressed[event]);
        out[count].key = "left_out";
        logging.suppressed[event] = 0;
        count++;
    }
    for (gsize i = 0; i < count; i++) {
        out[i].value = values[i]->str;
        out[i].length = -1;
    }
    g_log_structured_array(event_info[event].level, out, count);
    for (gsize i = 0; i < count; i++) {
        g_string_free(values[i], TRUE);
    }
}

/*
 * Starts logging to standard output.  With a loop, lines are buffered and
 * written by a timer of the loop; without one, each is written immediately.
 */
void
JdLogging_Init(const char *program, JdLoop *lp)
{
    logging.program = program;
    logging.loop = lp;
    if (logging.buffer == NULL) {
        logging.buffer = g_string_sized_new(MAX_WRITE);
        g_log_set_writer_func(on_glib_log, NULL, NULL);
    }
    JdTimer_Init(&logging.timer, on_flush, NULL);
}

/* Writes the buffered lines as far as possible without blocking. */
void
JdLogging_Finish(void)
{
    if (logging.buffer != NULL) {
        flush();
    }
}

/* Formats all counters in the Prometheus text format; free with g_free(). */
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

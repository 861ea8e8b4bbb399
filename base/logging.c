/* Log lines for changes of state, and the text format of the counters. */
#include <stdarg.h>
#include <stdio.h>

#include <glib.h>

#include "base.h"

static const struct {
    const char *name;
    GLogLevelFlags level;
} events[JD_EVENT_MAX] = {
    [JD_EVENT_STARTED] = {"started", G_LOG_LEVEL_MESSAGE},
    [JD_EVENT_READY] = {"ready", G_LOG_LEVEL_MESSAGE},
    [JD_EVENT_PARENT] = {"parent", G_LOG_LEVEL_MESSAGE},
    [JD_EVENT_LEAD] = {"lead", G_LOG_LEVEL_MESSAGE},
    [JD_EVENT_HEAD] = {"head", G_LOG_LEVEL_MESSAGE},
    [JD_EVENT_HALTED] = {"halted", G_LOG_LEVEL_WARNING},
    [JD_EVENT_LOG_EXPIRED] = {"log-expired", G_LOG_LEVEL_WARNING},
    [JD_EVENT_REFUSED] = {"refused", G_LOG_LEVEL_WARNING},
    [JD_EVENT_TARGET] = {"target", G_LOG_LEVEL_MESSAGE},
    [JD_EVENT_DRAINING] = {"draining", G_LOG_LEVEL_MESSAGE},
    [JD_EVENT_STOPPED] = {"stopped", G_LOG_LEVEL_MESSAGE},
    [JD_EVENT_FAILED] = {"failed", G_LOG_LEVEL_WARNING},
};

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize n,
           gpointer ctx)
{
    gchar *text = g_log_writer_format_fields(level, fields, n, FALSE);

    fprintf(stderr, "%.3f %s %s\n", (double)JdLoop_WallClock() / 1e6,
            (const char *)ctx, text);
    fflush(stderr);
    g_free(text);
    return G_LOG_WRITER_HANDLED;
}

/* Sends the log of this program to standard error. */
void
JdLogging_Init(const char *program)
{
    g_log_set_writer_func(write_line, (gpointer)program, NULL);
}

/* Writes one line about a change of state. */
void
JdLogging_Event(JdEvent event, const char *fmt, ...)
{
    char text[JD_TEXT_MAX];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    g_log_structured(G_LOG_DOMAIN, events[event].level, "JD_EVENT",
                     events[event].name, "MESSAGE", "event=%s %s",
                     events[event].name, text);
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

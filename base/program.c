/* Command-line options, exit codes and the main loop of simple programs. */
#include <locale.h>
#include <signal.h>
#include <stdio.h>

#include "base.h"

/* Exit code for an invalid command line or input file. */
#define EXIT_USAGE 2

/*
 * Parses the command line with GLib.  Returns 0, or prints the error and
 * returns the exit code.
 */
int
JdProgram_ParseOptions(const char *name, const char *summary,
                       const GOptionEntry *entries, int *argc, char ***argv)
{
    GOptionContext *oc = g_option_context_new(summary);
    GError *err = NULL;
    int rc = 0;

    setlocale(LC_ALL, "C");
    g_option_context_add_main_entries(oc, entries, NULL);
    if (!g_option_context_parse(oc, argc, argv, &err)) {
        fprintf(stderr, "%s: %s\n", name, err->message);
        g_error_free(err);
        rc = EXIT_USAGE;
    }
    g_option_context_free(oc);
    return rc;
}

/* Prints a usage error and returns its exit code. */
int
JdProgram_UsageError(const char *name, const char *text)
{
    fprintf(stderr, "%s: %s\n", name, text);
    return EXIT_USAGE;
}

/* Prints an error and returns the exit code for its severity. */
int
JdProgram_Fail(const char *name, const JdError *err)
{
    fprintf(stderr, "%s: %s\n", name, err->text);
    return JdStatus_Severity(err->status) == JD_SEVERITY_INPUT ? EXIT_USAGE
                                                               : 1;
}

static void
on_signal(void *ctx, int signal)
{
    if (signal != SIGHUP) {
        JdLoop_Stop(ctx);
    }
}

/* Runs the loop until SIGTERM or SIGINT; for programs with nothing to save. */
int
JdProgram_Run(JdLoop *lp)
{
    JdLoop_CatchSignals(lp, on_signal, lp);
    JdLoop_Run(lp);
    return 0;
}

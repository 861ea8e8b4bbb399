/* What the programs do alike: options, signals, the run of the loop. */
#include <locale.h>
#include <signal.h>
#include <stdio.h>

#include "base.h"

/* Exit code for a wrong command line. */
#define EXIT_USAGE 2

/*
 * Parses the command line by GLib's options.  Returns 0, or the exit code
 * after the fault has been printed.
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

/* Prints a usage fault and returns its exit code. */
int
JdProgram_UsageError(const char *name, const char *text)
{
    fprintf(stderr, "%s: %s\n", name, text);
    return EXIT_USAGE;
}

/* Prints a failure and returns its exit code. */
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

/* Runs a program without state to save until a signal ends it. */
int
JdProgram_Run(JdLoop *lp)
{
    JdLoop_CatchSignals(lp, on_signal, lp);
    JdLoop_Run(lp);
    return 0;
}

/* jacinthctl: options, dispatch of subcommands, and output. */
#include <locale.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Default of --timeout. */
#define DEFAULT_TIMEOUT_S 10
/* Log files that one `explain` takes. */
#define MAX_LOG_FILES 100000

static const struct {
    const char *name;
    CtlExit (*run)(Ctl *ctl, int argc, char **args);
    int min_args;
    int max_args;
    const char *help;
} commands[] = {
    {"check", CtlSubmit_Check, 1, 1,
     "FILE              check a patch file without the log"},
    {"submit", CtlSubmit_Submit, 1, 1,
     "FILE             submit a patch against its base version"},
    {"show", CtlView_Show, 0, 1,
     "[VERSION]          print a configuration version, default the newest"},
    {"diff", CtlView_Diff, 2, 2,
     "VERSION VERSION    print what changed between two versions"},
    {"history", CtlView_History, 0, 0,
     "                list accepted and refused patches"},
    {"status", CtlFleet_Status, 0, 0,
     "                 print the state of the fleet"},
    {"wait", CtlFleet_Wait, 1, 1,
     "VERSION            wait until a version is in force on all nodes"},
    {"drain", CtlFleet_Drain, 1, 1,
     "NODE              drain a node and its target"},
    {"crashes", CtlFleet_Crashes, 0, 0,
     "                list requests under which targets crashed"},
    {"clear", CtlFleet_Clear, 1, 1,
     "REQUEST           let such a request run again"},
    {"rollout", CtlFleet_Rollout, 1, 2,
     "status           list roll-outs; rollout abort SERVICE: take it back"},
    {"accounts", CtlAccounts_List, 0, 1,
     "[NAME]         list client accounts, or what one uses by node"},
    {"explain", CtlExplain_Explain, 2, MAX_LOG_FILES,
     "ID FILE...      trace a request through log files"},
};

/*
 * Prints an error, as JSON on stdout or as a line on stderr, and returns the
 * exit code for it.
 */
CtlExit
Ctl_Fail(const Ctl *ctl, const JdError *err)
{
    if (ctl->json) {
        json_t *js =
            json_pack("{s:s, s:s, s:s}", "error", JdStatus_Name(err->status),
                      "path", err->path, "text", err->text);

        json_dumpf(js, stdout, JSON_COMPACT);
        putchar('\n');
        json_decref(js);
    }
    else {
        fprintf(stderr, "jacinthctl: %s: %s%s%s\n", JdStatus_Name(err->status),
                err->path, err->path[0] == '\0' ? "" : ": ", err->text);
    }
    return Ctl_ExitCode(err->status);
}

/* Prints a result, as JSON or as a line of text, and releases `js`. */
void
Ctl_Print(const Ctl *ctl, json_t *js, const char *fmt, ...)
{
    va_list ap;

    if (ctl->json) {
        json_dumpf(js, stdout, JSON_COMPACT);
    }
    else {
        va_start(ap, fmt);
        vprintf(fmt, ap);
        va_end(ap);
    }
    putchar('\n');
    json_decref(js);
}

static char *
format_help(void)
{
    GString *out = g_string_new("Commands:\n");

    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        g_string_append_printf(out, "  %s %s\n", commands[i].name,
                               commands[i].help);
    }
    g_string_append(
        out, "\nExit codes: 0 success, 2 invalid input, 3 conflict with "
             "another patch, 4 try again, 5 operator required.\n");
    return g_string_free(out, FALSE);
}

static CtlExit
usage_error(const char *text)
{
    fprintf(stderr, "jacinthctl: usage: %s; see --help\n", text);
    return CTL_EXIT_INPUT;
}

static CtlExit
run_command(Ctl *ctl, int argc, char **argv)
{
    if (argc < 2) {
        return usage_error("a command is required");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(argv[1], commands[i].name) != 0) {
            continue;
        }
        if (argc - 2 < commands[i].min_args ||
            argc - 2 > commands[i].max_args) {
            return usage_error("wrong number of arguments");
        }
        return commands[i].run(ctl, argc - 2, argv + 2);
    }
    return usage_error("no such command");
}

int
main(int argc, char **argv)
{
    static Ctl ctl;
    gboolean version = FALSE;
    GOptionEntry entries[] = {
        {"log", 'l', 0, G_OPTION_ARG_STRING, &ctl.log_address,
         "address of the log server", "IP:PORT"},
        {"node", 'n', 0, G_OPTION_ARG_STRING, &ctl.node_address,
         "admin address of any node", "IP:PORT"},
        {"base", 'b', 0, G_OPTION_ARG_INT64, &ctl.base_version,
         "base version, overrides the patch file", "N"},
        {"id", 'i', 0, G_OPTION_ARG_STRING, &ctl.patch_id,
         "patch id; reuse it to repeat a submission safely", "ID"},
        {"author", 'a', 0, G_OPTION_ARG_STRING, &ctl.author,
         "author of the patch, overrides the patch file", "NAME"},
        {"timeout", 't', 0, G_OPTION_ARG_INT, &ctl.timeout_s,
         "longest wait in seconds", "S"},
        {"reachable", 0, 0, G_OPTION_ARG_NONE, &ctl.reachable_only,
         "wait: ignore lost nodes", NULL},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &ctl.json, "print JSON", NULL},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &version,
         "print the program version", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *oc =
        g_option_context_new("COMMAND [ARGUMENTS] - operate jacinthdyke");
    char *text = format_help();
    GError *ge = NULL;

    setlocale(LC_ALL, "C");
    ctl.base_version = -1;
    ctl.timeout_s = DEFAULT_TIMEOUT_S;
    g_option_context_set_description(oc, text);
    g_option_context_add_main_entries(oc, entries, NULL);
    if (!g_option_context_parse(oc, &argc, &argv, &ge)) {
        return usage_error(ge->message);
    }
    g_free(text);
    g_option_context_free(oc);
    if (version) {
        puts("jacinthctl " JD_VERSION_TEXT);
        return 0;
    }
    JdLogging_Init("jacinthctl", NULL);
    Ctl_Init(&ctl);
    return run_command(&ctl, argc, argv);
}

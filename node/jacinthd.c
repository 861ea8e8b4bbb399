/* Main program of a node: options, start and main loop. */
#include <stdio.h>
#include <stdlib.h>

#include "../platform/platform.h"
#include "node.h"

#define NAME "jacinthd"
/* Errors of a settings file that are printed in one run. */
#define MAX_LISTED_ERRORS 32

static JdNode node;
static JdPlatform platform;

static int
print_errors(const char *file, const JdError *errs, unsigned n)
{
    for (unsigned i = 0; i < n && i < MAX_LISTED_ERRORS; i++) {
        fprintf(stderr, "jacinthd: %s: %s: %s: %s\n", file,
                errs[i].path[0] == '\0' ? "/" : errs[i].path,
                JdStatus_Name(errs[i].status), errs[i].text);
    }
    return 2;
}

/* Initializes the parts of the node, then joins the tree, or with the setting
 * /baseline_poll_ms reads the log by itself. */
static JdStatus
start(JdNode *nd, JdError *err)
{
    JdStatus s;

    nd->config_source = &JdConfigSource_Log;
    nd->dialect = &JdDialect_Default;
    if (nd->settings.platform.store_address[0] != '\0') {
        JdPlatform_Attach(&platform, nd);
    }
    JdLimits_Init(nd);
    JdStore_Init(&nd->store, &nd->counters);
    JdLatencies_Init(&nd->latencies);
    s = JdTreeLink_Init(nd, err);
    if (s == JD_OK) {
        s = JdWorker_Init(nd, err);
    }
    if (s == JD_OK) {
        JdForward_Init(nd);
        JdResponse_Init(nd);
        s = JdCallerServer_Init(nd, err);
    }
    if (s == JD_OK) {
        s = JdAdmin_Init(nd, err);
    }
    if (s == JD_OK) {
        s = nd->config_source->init(nd, err);
    }
    if (s != JD_OK) {
        return s;
    }
    JdLimits_Apply(nd);
    JdDeparture_Init(nd);
    if (nd->settings.baseline_poll_ms == 0) {
        JdTree_Start(&nd->tree);
    }
    else {
        nd->tree.is_root = true;
    }
    return JD_OK;
}

static void
on_pause(void *ctx, uint64_t length)
{
    JdNode *nd = ctx;

    nd->counters.value[JD_C_PAUSES]++;
    JD_LOG(JD_EVENT_PAUSED, JD_NUMBER("ms", length / JD_US_PER_MS));
}

static int
run(const char *file)
{
    JdError err = {0};

    JdLoop_Init(&node.loop);
    JdLogging_Init(node.settings.node, &node.loop);
    JdLoop_CatchSignals(&node.loop, JdDrain_OnSignal, &node);
    JdLoop_ReportPauses(&node.loop, on_pause, &node);
    if (start(&node, &err) != JD_OK) {
        JD_LOG(JD_EVENT_FAILED, JD_TEXT("settings", file),
               JD_TEXT("status", JdStatus_Name(err.status)),
               JD_TEXT("text", err.text));
        JdLogging_Finish();
        return 1;
    }
    JD_LOG(JD_EVENT_STARTED, JD_TEXT("program", NAME),
           JD_TEXT("release", JD_VERSION_TEXT),
           JD_TEXT("preset", JdPreset_Name(node.settings.preset)),
           JD_NUMBER("incarnation", node.tree.self.incarnation));
    JdReload_Init(&node, file);
    JdLoop_Run(&node.loop);
    JdLogging_Finish();
    return 0;
}

int
main(int argc, char **argv)
{
    gchar *file = NULL;
    gboolean check = FALSE;
    gboolean version = FALSE;
    GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &file, "settings file",
         "FILE"},
        {"check", 'c', 0, G_OPTION_ARG_NONE, &check,
         "check the settings and exit", NULL},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &version, "print the version",
         NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    JdError errs[MAX_LISTED_ERRORS];
    unsigned n;
    int rc = JdProgram_ParseOptions(NAME, "- node beside one target", entries,
                                    &argc, &argv);

    if (rc != 0) {
        return rc;
    }
    if (version) {
        puts("jacinthd " JD_VERSION_TEXT);
        return 0;
    }
    if (file == NULL) {
        return JdProgram_UsageError(NAME, "--settings is required");
    }
    n = JdSettings_Load(file, &node.settings, errs, MAX_LISTED_ERRORS);
    if (n > 0) {
        return print_errors(file, errs, n);
    }
    if (check) {
        puts("settings are valid");
        return 0;
    }
    return run(file);
}

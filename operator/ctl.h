/* The operators' command: shared state of its subcommands. */
#ifndef JD_CTL_H
#define JD_CTL_H

#include <glib.h>

#include "../base/base.h"
#include "../log/log.h"

/* Exit codes by kind of failure. */
typedef enum CtlExit {
    CTL_EXIT_OK = 0,
    CTL_EXIT_INPUT = 2,    /* the input must change */
    CTL_EXIT_CONFLICT = 3, /* another patch was first */
    CTL_EXIT_RETRY = 4,    /* unreachable, timed out or unknown */
    CTL_EXIT_FATAL = 5     /* an operator has to act */
} CtlExit;

/* Called for each decided record of the config stream. */
typedef void (*CtlDecided)(void *ctx, const JdRecord *rec,
                           const JdReplayResult *out);

typedef struct Ctl {
    JdLoop loop;
    JdCounters counters;
    JdStore store;
    JdReader reader;
    JdLog log;
    bool has_log;
    gchar *log_address;
    gchar *node_address;
    gchar *author;
    gchar *patch_id;
    gint64 base_version;
    gint timeout_s;
    gboolean json;
    gboolean reachable_only;
    CtlDecided decided;
    void *decided_ctx;
    bool is_done;
    JdTimer timer;
    bool is_timed_out;
} Ctl;

CtlExit Ctl_ExitCode(JdStatus status);
CtlExit Ctl_Fail(const Ctl *ctl, const JdError *err);
void Ctl_Print(const Ctl *ctl, json_t *js, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* logview.c: the loop, and the log replayed on this side */
void Ctl_Init(Ctl *ctl);
void Ctl_RunFor(Ctl *ctl, uint64_t us);
JdStatus CtlLog_Open(Ctl *ctl, JdError *err);
JdStatus CtlLog_CatchUp(Ctl *ctl, JdError *err);
JdStatus CtlLog_Append(Ctl *ctl, JdStream stream, const char *text,
                       uint64_t *offset);

/* subcommands; `args` are the words after the command */
CtlExit CtlSubmit_Check(Ctl *ctl, int argc, char **args);
CtlExit CtlSubmit_Submit(Ctl *ctl, int argc, char **args);
CtlExit CtlView_Show(Ctl *ctl, int argc, char **args);
CtlExit CtlView_Diff(Ctl *ctl, int argc, char **args);
CtlExit CtlView_History(Ctl *ctl, int argc, char **args);
CtlExit CtlFleet_Status(Ctl *ctl, int argc, char **args);
CtlExit CtlFleet_Wait(Ctl *ctl, int argc, char **args);
CtlExit CtlFleet_Drain(Ctl *ctl, int argc, char **args);
CtlExit CtlExplain_Explain(Ctl *ctl, int argc, char **args);

#endif

/* State and functions shared by the subcommands of jacinthctl. */
#ifndef JD_CTL_H
#define JD_CTL_H

#include <glib.h>

#include "../base/base.h"
#include "../log/log.h"

/* Exit codes of jacinthctl, one per severity of a status. */
typedef enum CtlExit {
    CTL_EXIT_OK = 0,
    CTL_EXIT_INPUT = 2,    /* the arguments or the input file are wrong */
    CTL_EXIT_CONFLICT = 3, /* the patch is not based on the newest version */
    CTL_EXIT_RETRY = 4,    /* unreachable, timed out or outcome unknown */
    CTL_EXIT_FATAL = 5     /* needs an operator, a retry will not help */
} CtlExit;

/*
 * Called for each record of the config stream once it is accepted or refused;
 * `out` says which, and the version that the record became.
 */
typedef void (*CtlDecided)(void *ctx, const JdRecord *rec,
                           const JdReplayResult *out);

typedef struct Ctl {
    JdLoop loop;
    JdCounters counters;
    JdStore store;
    JdReader reader; /* replays the config stream into `store` */
    JdLog log;
    bool has_log; /* `log` and `reader` are initialized */

    /* command line options; NULL, or -1 for the base: not given */
    gchar *log_address;
    gchar *node_address;
    gchar *author;
    gchar *patch_id;
    gint64 base_version;
    gint timeout_s;
    gboolean json;
    gboolean reachable_only; /* wait: ignore lost nodes */

    CtlDecided decided;
    void *decided_ctx;
    bool is_done;
    JdTimer timer;     /* bounds Ctl_RunFor */
    bool is_timed_out; /* the last Ctl_RunFor ended by its timer */
} Ctl;

CtlExit Ctl_ExitCode(JdStatus status);
CtlExit Ctl_Fail(const Ctl *ctl, const JdError *err);
void Ctl_Print(const Ctl *ctl, json_t *js, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* logview.c: event loop, and a local replay of the log */
void Ctl_Init(Ctl *ctl);
void Ctl_RunFor(Ctl *ctl, uint64_t us);
JdStatus CtlLog_Open(Ctl *ctl, JdError *err);
JdStatus CtlLog_CatchUp(Ctl *ctl, JdError *err);
JdStatus CtlLog_Append(Ctl *ctl, JdStream stream, const char *text,
                       uint64_t *offset);

/* fleet.c: requests to nodes */
json_t *CtlFleet_Query(Ctl *ctl, const char *address, const char *method,
                       const char *path);

/* Subcommands.  `args` holds the `argc` arguments after the command name. */
CtlExit CtlSubmit_Check(Ctl *ctl, int argc, char **args);
CtlExit CtlSubmit_Submit(Ctl *ctl, int argc, char **args);
CtlExit CtlView_Show(Ctl *ctl, int argc, char **args);
CtlExit CtlView_Diff(Ctl *ctl, int argc, char **args);
CtlExit CtlView_History(Ctl *ctl, int argc, char **args);
CtlExit CtlFleet_Status(Ctl *ctl, int argc, char **args);
CtlExit CtlFleet_Wait(Ctl *ctl, int argc, char **args);
CtlExit CtlFleet_Drain(Ctl *ctl, int argc, char **args);
CtlExit CtlFleet_Crashes(Ctl *ctl, int argc, char **args);
CtlExit CtlFleet_Rollout(Ctl *ctl, int argc, char **args);
CtlExit CtlFleet_Clear(Ctl *ctl, int argc, char **args);
CtlExit CtlAccounts_List(Ctl *ctl, int argc, char **args);
CtlExit CtlExplain_Explain(Ctl *ctl, int argc, char **args);

#endif

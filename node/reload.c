/*
 * Changed settings: read again on SIGHUP, and when the file changes without a
 * signal.  A file that is wrong is refused as a whole; the settings in force
 * stay.
 */
#include <string.h>
#include <sys/stat.h>

#include "node.h"

/* Period of looks at the file. */
#define LOOK_EVERY JD_US_PER_S
/* Faults that one line of the log tells; the rest is counted. */
#define FAULTS_MOST 1

static bool
is_file_changed(JdReload *rl)
{
    struct stat st;

    if (stat(rl->path, &st) != 0) {
        return false;
    }
    if (st.st_mtim.tv_sec == rl->mtime.tv_sec &&
        st.st_mtim.tv_nsec == rl->mtime.tv_nsec && st.st_ino == rl->inode &&
        st.st_size == rl->size) {
        return false;
    }
    rl->mtime = st.st_mtim;
    rl->inode = st.st_ino;
    rl->size = st.st_size;
    return true;
}

/* Whether a change needs a restart: addresses to listen on, and the name. */
static bool
needs_restart(const JdSettings *a, const JdSettings *b)
{
    return strcmp(a->node, b->node) != 0 ||
           strcmp(a->peer_address, b->peer_address) != 0 ||
           strcmp(a->caller_address, b->caller_address) != 0 ||
           strcmp(a->admin_address, b->admin_address) != 0;
}

/* Puts what can change while the process runs in force. */
static void
apply(JdNode *nd, const JdSettings *s)
{
    bool is_other_target =
        strcmp(s->target_address, nd->settings.target_address) != 0 ||
        strcmp(s->service, nd->settings.service) != 0;

    JD_LOG(JD_EVENT_RELOADED, JD_TEXT("outcome", "applied"),
           JD_NUMBER("target_changed", is_other_target),
           JD_NUMBER("needs_restart", needs_restart(&nd->settings, s)));
    nd->settings.max_queued = s->max_queued;
    nd->settings.linger_ms = s->linger_ms;
    nd->settings.drain_deadline_ms = s->drain_deadline_ms;
    nd->settings.platform = s->platform;
    if (is_other_target) {
        JdTargetHealth_SetTarget(nd, s);
    }
    if (nd->config_source->settings_reloaded != NULL) {
        nd->config_source->settings_reloaded(nd);
    }
}

static void
read_again(JdNode *nd)
{
    JdError errs[FAULTS_MOST] = {{0}};
    JdSettings s;
    unsigned n = JdSettings_Load(nd->reload.path, &s, errs, FAULTS_MOST);

    if (n > 0) {
        JD_LOG(JD_EVENT_RELOADED, JD_TEXT("outcome", "refused"),
               JD_NUMBER("faults", n), JD_TEXT("path", errs[0].path),
               JD_TEXT("status", JdStatus_Name(errs[0].status)),
               JD_TEXT("text", errs[0].text));
        return;
    }
    apply(nd, &s);
}

static void
on_look(void *ctx)
{
    JdNode *nd = ctx;

    JdTimer_Arm(&nd->loop.clock, &nd->reload.timer, LOOK_EVERY);
    if (is_file_changed(&nd->reload)) {
        read_again(nd);
    }
}

/* The operator asks for the settings to be read again. */
void
JdReload_OnSignal(JdNode *nd)
{
    is_file_changed(&nd->reload);
    read_again(nd);
}

/* Starts to watch the settings file, which was read a moment ago. */
void
JdReload_Init(JdNode *nd, const char *file)
{
    nd->reload.path = file;
    is_file_changed(&nd->reload);
    JdTimer_Init(&nd->reload.timer, on_look, nd);
    JdTimer_Arm(&nd->loop.clock, &nd->reload.timer, LOOK_EVERY);
}

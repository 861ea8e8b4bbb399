/*
 * Reloads the settings on SIGHUP and when the file has changed.  An invalid
 * file is rejected as a whole and the current settings stay in effect.
 */
#include <string.h>
#include <sys/stat.h>

#include "node.h"

/* Interval of the checks whether the file has changed. */
#define CHECK_INTERVAL JD_US_PER_S
/* Errors that are logged with their text; the others are only counted. */
#define MAX_LOGGED_ERRORS 1

/* Records the file's stat data.  Returns whether they changed. */
static bool
update_stat(JdReload *rl)
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

/* Returns whether the node's name or a listen address differs: these change
 * only with a restart. */
static bool
needs_restart(const JdSettings *a, const JdSettings *b)
{
    return strcmp(a->node, b->node) != 0 ||
           strcmp(a->peer_address, b->peer_address) != 0 ||
           strcmp(a->caller_address, b->caller_address) != 0 ||
           strcmp(a->admin_address, b->admin_address) != 0;
}

/* Applies the settings that can change while the process runs. */
static void
apply_settings(JdNode *nd, const JdSettings *s)
{
    bool is_target_changed =
        strcmp(s->target_address, nd->settings.target_address) != 0 ||
        strcmp(s->service, nd->settings.service) != 0;

    JD_LOG(JD_EVENT_RELOADED, JD_TEXT("outcome", "applied"),
           JD_NUMBER("target_changed", is_target_changed),
           JD_NUMBER("needs_restart", needs_restart(&nd->settings, s)));
    nd->settings.max_queued = s->max_queued;
    nd->settings.memory_mb = s->memory_mb;
    nd->settings.max_fds = s->max_fds;
    nd->settings.max_body_bytes = s->max_body_bytes;
    nd->caller_server.max_body = s->max_body_bytes;
    nd->settings.linger_ms = s->linger_ms;
    nd->settings.drain_deadline_ms = s->drain_deadline_ms;
    nd->settings.platform = s->platform;
    if (is_target_changed) {
        JdTargetHealth_SetTarget(nd, s);
    }
    if (nd->config_source->settings_reloaded != NULL) {
        nd->config_source->settings_reloaded(nd);
    }
    JdLimits_Apply(nd);
}

static void
reload(JdNode *nd)
{
    JdError errs[MAX_LOGGED_ERRORS] = {{0}};
    JdSettings s;
    unsigned n = JdSettings_Load(nd->reload.path, &s, errs, MAX_LOGGED_ERRORS);

    if (n > 0) {
        JD_LOG(JD_EVENT_RELOADED, JD_TEXT("outcome", "refused"),
               JD_NUMBER("faults", n), JD_TEXT("path", errs[0].path),
               JD_TEXT("status", JdStatus_Name(errs[0].status)),
               JD_TEXT("text", errs[0].text));
        return;
    }
    apply_settings(nd, &s);
}

static void
on_check(void *ctx)
{
    JdNode *nd = ctx;

    JdTimer_Arm(&nd->loop.clock, &nd->reload.timer, CHECK_INTERVAL);
    if (update_stat(&nd->reload)) {
        reload(nd);
    }
}

/* SIGHUP: reloads the settings even if the file looks unchanged. */
void
JdReload_OnSignal(JdNode *nd)
{
    update_stat(&nd->reload);
    reload(nd);
}

/* Starts to watch the settings file, which has just been read. */
void
JdReload_Init(JdNode *nd, const char *file)
{
    nd->reload.path = file;
    update_stat(&nd->reload);
    JdTimer_Init(&nd->reload.timer, on_check, nd);
    JdTimer_Arm(&nd->loop.clock, &nd->reload.timer, CHECK_INTERVAL);
}

/*
 * Limits of this process: the memory that it may hold for others, and how many
 * connections each of its listeners accepts, so that descriptors remain for
 * the connections that it opens itself.
 */
#include <sys/resource.h>

#include "node.h"

#define BYTES_PER_MB 1000000U
/* Descriptors of max_fds that are no sockets, and of those that the kernel
 * allows. */
#define FILE_FDS 200
#define KERNEL_FILE_FDS 32
#define MIN_SOCKETS 64
/* Parts of the sockets that callers, other nodes, and each of the other
 * listeners may have. */
#define CALLER_PART 2
#define NODE_PART 4
#define OTHER_PART 16
/* Least memory for others per connection of a caller, in bytes. */
#define BYTES_PER_CALLER (64U << 10)
/* Shortest time between two log lines on a lack of room. */
#define LOG_INTERVAL JD_US_PER_S

/* Returns the number of sockets that this process may have. */
static size_t
count_sockets(const JdSettings *s)
{
    struct rlimit rl = {0};
    size_t n = SIZE_MAX;

    if (getrlimit(RLIMIT_NOFILE, &rl) == 0 && rl.rlim_cur != RLIM_INFINITY) {
        n = rl.rlim_cur > KERNEL_FILE_FDS ? rl.rlim_cur - KERNEL_FILE_FDS : 0;
    }
    if (s->max_fds > 0) {
        n = MIN(n, s->max_fds > FILE_FDS ? s->max_fds - FILE_FDS : 0);
    }
    return MAX(n, MIN_SOCKETS);
}

/* Initializes the account of the memory; to be called before what uses it. */
void
JdLimits_Init(JdNode *nd)
{
    JdMemory_ConfigureAllocator();
    JdMemory_Init(&nd->memory, nd->settings.memory_mb * BYTES_PER_MB);
}

/* Applies the limit to a server that is not for callers. */
void
JdLimits_ApplyToServer(JdNode *nd, JdHttpd *server)
{
    server->acceptor.max_open = nd->max_other_connections;
    server->acceptor.shed = &nd->counters.value[JD_C_CLOSED_OTHER];
}

/* Applies the limits in the settings, at the start and when they change. */
void
JdLimits_Apply(JdNode *nd)
{
    size_t sockets = count_sockets(&nd->settings);

    JdMemory_SetProcessBytes(&nd->memory,
                             nd->settings.memory_mb * BYTES_PER_MB);
    nd->caller_server.acceptor.max_open =
        MIN(sockets / CALLER_PART, nd->memory.limit / BYTES_PER_CALLER);
    nd->conns.acceptor.max_open = sockets / NODE_PART;
    nd->max_other_connections = sockets / OTHER_PART;
    JdLimits_ApplyToServer(nd, &nd->admin_server);
    if (nd->config_source->apply_limits != NULL) {
        nd->config_source->apply_limits(nd);
    }
}

/* Logs that something was refused or given up for lack of room; seldom, as the
 * counters have all of it. */
void
JdLimits_LogShortage(JdNode *nd, const char *outcome)
{
    uint64_t now = JdClock_Now(&nd->loop.clock);

    if (nd->memory_logged_at != 0 &&
        now - nd->memory_logged_at < LOG_INTERVAL) {
        return;
    }
    nd->memory_logged_at = now;
    JD_LOG(JD_EVENT_SHORTAGE, JD_TEXT("outcome", outcome),
           JD_NUMBER("held_bytes", nd->memory.used),
           JD_NUMBER("limit_bytes", nd->memory.limit),
           JD_NUMBER("callers", nd->caller_server.acceptor.open_count),
           JD_NUMBER("max_callers", nd->caller_server.acceptor.max_open),
           JD_NUMBER("rests", nd->caller_server.acceptor.rest_count));
}

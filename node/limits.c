/*
 * Limits of this process: the memory that it may hold for others.
 */
#include "node.h"

#define BYTES_PER_MB 1000000U
/* Shortest time between two log lines on a lack of room. */
#define LOG_INTERVAL JD_US_PER_S

/* Initializes the account of the memory; to be called before what uses it. */
void
JdLimits_Init(JdNode *nd)
{
    JdMemory_ConfigureAllocator();
    JdMemory_Init(&nd->memory, nd->settings.memory_mb * BYTES_PER_MB);
}

/* Applies the limits in the settings, at the start and when they change. */
void
JdLimits_Apply(JdNode *nd)
{
    JdMemory_SetProcessBytes(&nd->memory,
                             nd->settings.memory_mb * BYTES_PER_MB);
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
           JD_NUMBER("callers", nd->caller_server.acceptor.open_count));
}

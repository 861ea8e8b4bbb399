/*
 * The ranks that a target refuses for now, as its node finds and tells with
 * each response.  For load above the capacity: nodes that send pass by targets
 * that would refuse, so that a request is not passed round a full service.  A
 * cutoff ends by itself at the time at which there is room again, and the next
 * request finds out.
 */
#include "libjd.h"

/* Longest time for which a cutoff holds: room may come sooner. */
#define CUTOFF_MAX (200 * JD_US_PER_MS)

/* Returns whether work of a rank is refused at the time `now`. */
bool
JdCutoff_Refuses(const JdCutoff *co, unsigned rank, uint64_t now)
{
    return co->until > now && rank >= co->rank;
}

/* Notes that work of a rank was refused, and would be until `until`. */
void
JdCutoff_Note(JdCutoff *co, unsigned rank, uint64_t until, uint64_t now)
{
    /* A lower rank that is refused as well says nothing new. */
    if (co->until > now && co->rank < rank) {
        return;
    }
    co->rank = rank;
    co->until = until < now + CUTOFF_MAX ? until : now + CUTOFF_MAX;
}

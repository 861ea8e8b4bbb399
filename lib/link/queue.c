/*
 * Order of the large responses that wait for a link.  It answers the load of
 * a link that is asked for more than it carries: sharing it evenly would make
 * all responses late, so those that can still be whole in time go first, by
 * priority and then deadline.  Responses of about the same deadline take
 * turns.
 */
#include <string.h>

#include "libjd.h"

/* Deadlines in the same interval of this length count as equal. */
#define TURN_INTERVAL (20 * JD_US_PER_MS)

/* How well a response can still be served; the lower one goes first. */
typedef enum ServiceClass {
    CLASS_IN_TIME, /* whole by its soft deadline, or begun */
    CLASS_LATE,    /* whole by its deadline */
    CLASS_HOPELESS,
} ServiceClass;

/* Initializes an empty queue. */
void
JdLinkQueue_Init(JdLinkQueue *lq)
{
    memset(lq, 0, sizeof(*lq));
    TAILQ_INIT(&lq->items);
}

/* Adds a response; the caller has set its sizes and deadlines. */
void
JdLinkQueue_Add(JdLinkQueue *lq, JdLinkItem *it)
{
    it->turn = 0;
    TAILQ_INSERT_TAIL(&lq->items, it, link);
    lq->count++;
    lq->bytes += it->left;
}

/* Removes a response, of which bytes may be left. */
void
JdLinkQueue_Remove(JdLinkQueue *lq, JdLinkItem *it)
{
    TAILQ_REMOVE(&lq->items, it, link);
    lq->count--;
    lq->bytes -= it->left;
}

/* Returns when a response would be whole if the link carried nothing else. */
static uint64_t
whole_at(const JdLinkItem *it, const JdLinkMoment *state)
{
    return state->now +
           (uint64_t)((double)it->left * JD_US_PER_S / (state->rate + 1));
}

/* Returns whether a response cannot be whole by its deadline any more. */
bool
JdLinkItem_IsHopeless(const JdLinkItem *it, const JdLinkMoment *state)
{
    return whole_at(it, state) > it->deadline;
}

static ServiceClass
classify(const JdLinkItem *it, const JdLinkMoment *state)
{
    if (JdLinkItem_IsHopeless(it, state)) {
        return CLASS_HOPELESS;
    }
    return whole_at(it, state) <= it->soft_deadline || it->written > 0
               ? CLASS_IN_TIME
               : CLASS_LATE;
}

/* Returns whether `a` goes before `b`. */
static bool
goes_before(const JdLinkItem *a, const JdLinkItem *b,
            const JdLinkMoment *state)
{
    ServiceClass class_a = classify(a, state), class_b = classify(b, state);
    uint64_t at = a->soft_deadline / TURN_INTERVAL;
    uint64_t bt = b->soft_deadline / TURN_INTERVAL;

    if (class_a != class_b) {
        return class_a < class_b;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return at != bt ? at < bt : a->turn < b->turn;
}

/* Returns the response that the next chunk is taken from, or NULL.  Those that
 * `is_blocked` names are passed by; it may be NULL. */
JdLinkItem *
JdLinkQueue_Next(JdLinkQueue *lq, const JdLinkMoment *state,
                 bool (*is_blocked)(void *ctx, const JdLinkItem *it),
                 void *ctx)
{
    JdLinkItem *best = NULL;
    JdLinkItem *it;

    TAILQ_FOREACH(it, &lq->items, link)
    {
        if (is_blocked != NULL && is_blocked(ctx, it)) {
            continue;
        }
        if (best == NULL || goes_before(it, best, state)) {
            best = it;
        }
    }
    return best;
}

/* Records that bytes of a response are written. */
void
JdLinkQueue_Take(JdLinkQueue *lq, JdLinkItem *it, size_t bytes)
{
    it->left -= bytes;
    it->written += bytes;
    it->turn = ++lq->turns;
    lq->bytes -= bytes;
}

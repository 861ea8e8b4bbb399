/*
 * Order of the large responses that wait for a link.  It answers the load of
 * a link that is asked for more than it carries: sharing it evenly would make
 * all responses late, so those that can still be whole in time go first, by
 * priority and then deadline.  Responses of about the same deadline take
 * turns, but only a few of them, so that some are whole early.
 */
#include <string.h>

#include "libjd.h"

/* Deadlines in the same interval of this length count as equal. */
#define TURN_INTERVAL (20 * JD_US_PER_MS)

/* Number of responses that are begun and not whole from which no other one of
 * the same deadline is begun. */
#define MAX_BEGUN 3

/* How well a response can still be served; the lower one goes first. */
typedef enum ServiceClass {
    CLASS_IN_TIME,  /* whole by its soft deadline, or begun */
    CLASS_LATE,     /* whole by its deadline */
    CLASS_HOPELESS, /* later, by what is expected */
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
whole_at(const JdLinkItem *it, const JdLinkMoment *moment)
{
    return moment->now +
           (uint64_t)((double)it->left * JD_US_PER_S / (moment->rate + 1));
}

/* Returns whether a response is not expected to be whole by its deadline. */
bool
JdLinkItem_IsHopeless(const JdLinkItem *it, const JdLinkMoment *moment)
{
    return whole_at(it, moment) > it->deadline;
}

static ServiceClass
classify(const JdLinkItem *it, const JdLinkMoment *moment)
{
    if (JdLinkItem_IsHopeless(it, moment)) {
        return CLASS_HOPELESS;
    }
    return whole_at(it, moment) <= it->soft_deadline || it->written > 0
               ? CLASS_IN_TIME
               : CLASS_LATE;
}

/* What the order depends on besides the responses. */
typedef struct Order {
    const JdLinkMoment *moment;
    unsigned begun; /* responses of which a part is written */
} Order;

/* Returns whether `a` goes before `b`, whose deadlines are about the same. */
static bool
takes_turn_before(const JdLinkItem *a, const JdLinkItem *b, const Order *order)
{
    bool is_a_begun = a->written > 0, is_b_begun = b->written > 0;

    if (is_a_begun != is_b_begun && order->begun >= MAX_BEGUN) {
        return is_a_begun;
    }
    return a->turn < b->turn;
}

/* Returns whether `a` goes before `b`. */
static bool
goes_before(const JdLinkItem *a, const JdLinkItem *b, const Order *order)
{
    ServiceClass class_a = classify(a, order->moment);
    ServiceClass class_b = classify(b, order->moment);
    uint64_t at = a->soft_deadline / TURN_INTERVAL;
    uint64_t bt = b->soft_deadline / TURN_INTERVAL;

    if (class_a != class_b) {
        return class_a < class_b;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return at != bt ? at < bt : takes_turn_before(a, b, order);
}

/* Counts the responses that are begun, without those that go last. */
static unsigned
count_begun(const JdLinkQueue *lq, const JdLinkMoment *moment)
{
    const JdLinkItem *it;
    unsigned n = 0;

    TAILQ_FOREACH(it, &lq->items, link)
    {
        n += it->written > 0 && !JdLinkItem_IsHopeless(it, moment);
    }
    return n;
}

/* Returns the response that the next chunk is taken from, or NULL.  Those that
 * `is_blocked` names are passed by; it may be NULL. */
JdLinkItem *
JdLinkQueue_Next(JdLinkQueue *lq, const JdLinkMoment *moment,
                 bool (*is_blocked)(void *ctx, const JdLinkItem *it),
                 void *ctx)
{
    Order order = {moment, count_begun(lq, moment)};
    JdLinkItem *best = NULL;
    JdLinkItem *it;

    TAILQ_FOREACH(it, &lq->items, link)
    {
        if (is_blocked != NULL && is_blocked(ctx, it)) {
            continue;
        }
        if (best == NULL || goes_before(it, best, &order)) {
            best = it;
        }
    }
    return best;
}

/* Returns a response whose deadline has passed, or NULL.  Until then its
 * caller waits for it, even if it is not expected to be whole in time. */
JdLinkItem *
JdLinkQueue_Expired(const JdLinkQueue *lq, uint64_t now)
{
    JdLinkItem *it;

    TAILQ_FOREACH(it, &lq->items, link)
    {
        if (it->deadline <= now) {
            return it;
        }
    }
    return NULL;
}

/* Returns the bytes that go before a new response: those of all but the
 * hopeless ones, which go last. */
size_t
JdLinkQueue_BytesAhead(const JdLinkQueue *lq, const JdLinkMoment *moment)
{
    const JdLinkItem *it;
    size_t sum = 0;

    TAILQ_FOREACH(it, &lq->items, link)
    {
        sum += JdLinkItem_IsHopeless(it, moment) ? 0 : it->left;
    }
    return sum;
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

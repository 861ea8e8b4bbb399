/* Room on the link of this node's VM: pacing, order and admission of
 * large responses.  Do not include this file directly; include jacinthdyke.h.
 */
#ifndef JACINTHDYKE_LINK_H
#define JACINTHDYKE_LINK_H

/* ---- pacer.c: token bucket of the link's bandwidth --------------------- */

/*
 * Small frames are written at once and charged, so that the credit may be
 * negative.  Chunks of large responses are written only while there is credit.
 */
typedef struct JdPacer {
    uint64_t rate;  /* bytes per s, 0: unknown, nothing is paced */
    int64_t credit; /* in 1e-6 bytes */
    uint64_t updated_at;
    /* Bytes that were written at once, as a decaying mean. */
    double small_rate;    /* bytes per s */
    uint64_t small_bytes; /* since small_at */
    uint64_t small_at;
    JdClock *clock;
} JdPacer;

void JdPacer_Init(JdPacer *pc, JdClock *clk, uint64_t link_kbps);
bool JdPacer_IsOn(const JdPacer *pc);
size_t JdPacer_ChunkSize(const JdPacer *pc);
void JdPacer_ChargeSmall(JdPacer *pc, size_t bytes);
void JdPacer_ChargeChunk(JdPacer *pc, size_t bytes);
uint64_t JdPacer_Wait(JdPacer *pc);
double JdPacer_ChunkRate(JdPacer *pc);

/* ---- queue.c: order of the large responses ----------------------------- */

/* A large response that waits for the link; the caller owns its memory. */
typedef struct JdLinkItem {
    TAILQ_ENTRY(JdLinkItem) link;
    size_t left; /* bytes that have not been written */
    size_t written;
    uint64_t deadline;      /* latest time at which it may be whole */
    uint64_t soft_deadline; /* time by which the caller wants it */
    unsigned priority;      /* 0 is served first */
    uint64_t turn; /* number of the last chunk that was taken from it */
} JdLinkItem;

typedef struct JdLinkQueue {
    TAILQ_HEAD(JdLinkItemHead, JdLinkItem) items;
    unsigned count;
    size_t bytes;   /* not written, of all items */
    uint64_t turns; /* chunks taken so far */
} JdLinkQueue;

/* Time at which the next chunk is taken, and the bandwidth for it. */
typedef struct JdLinkMoment {
    uint64_t now;
    double rate; /* bytes per s */
} JdLinkMoment;

bool JdLinkItem_IsHopeless(const JdLinkItem *it, const JdLinkMoment *moment);
void JdLinkQueue_Init(JdLinkQueue *lq);
void JdLinkQueue_Add(JdLinkQueue *lq, JdLinkItem *it);
void JdLinkQueue_Remove(JdLinkQueue *lq, JdLinkItem *it);
JdLinkItem *JdLinkQueue_Expired(const JdLinkQueue *lq, uint64_t now);
size_t JdLinkQueue_BytesAhead(const JdLinkQueue *lq,
                              const JdLinkMoment *moment);
JdLinkItem *JdLinkQueue_Next(JdLinkQueue *lq, const JdLinkMoment *moment,
                             bool (*is_blocked)(void *ctx,
                                                const JdLinkItem *it),
                             void *ctx);
void JdLinkQueue_Take(JdLinkQueue *lq, JdLinkItem *it, size_t bytes);

/* ---- room.c: admission of requests with large responses ---------------- */

/* Moving average of the size of the responses of one route. */
typedef struct JdLinkSize {
    uint64_t mean;  /* bytes */
    unsigned count; /* responses that it is made of, 0: it is unknown */
} JdLinkSize;

/* What a request with a large response will need of the link. */
typedef struct JdLinkClaim {
    uint64_t bytes; /* expected size of the response, 0: none is expected */
} JdLinkClaim;

typedef struct JdLinkRoom {
    JdPacer *pacer;
    JdLinkQueue *queue;
    uint64_t expected; /* bytes of responses that are still to come */
} JdLinkRoom;

/* A request that asks for room. */
typedef struct JdLinkNeed {
    uint64_t size;      /* expected bytes of its response */
    uint64_t run_time;  /* expected us until the response is there */
    uint64_t time_left; /* us within which it must be whole */
    /* us within which the caller wants it, 0: that time has passed */
    uint64_t soft_time_left;
} JdLinkNeed;

void JdLinkSize_Add(JdLinkSize *sz, uint64_t bytes);
uint64_t JdLinkSize_Expected(const JdLinkSize *sz);
void JdLinkRoom_Init(JdLinkRoom *lr, JdPacer *pc, JdLinkQueue *lq);
uint64_t JdLinkRoom_Wait(const JdLinkRoom *lr);
uint64_t JdLinkRoom_UntilWhole(const JdLinkRoom *lr, const JdLinkNeed *need);
bool JdLinkRoom_Fits(const JdLinkRoom *lr, const JdLinkNeed *need);
uint64_t JdLinkRoom_RetryAfter(const JdLinkRoom *lr, const JdLinkNeed *need,
                               JdRandom *rnd);
void JdLinkRoom_Reserve(JdLinkRoom *lr, JdLinkClaim *claim, uint64_t bytes);
void JdLinkRoom_Release(JdLinkRoom *lr, JdLinkClaim *claim);

#endif

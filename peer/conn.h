/* Connections between nodes: length-prefixed protobuf frames over TCP. */
#ifndef JD_PEER_CONN_H
#define JD_PEER_CONN_H

#include "../base/base.h"

/* Largest frame, in bytes. */
#define JD_FRAME_MAX (72U << 20)

typedef struct JdConn JdConn;

/* What a connection reports to its user. */
typedef struct JdConnOps {
    void (*opened)(void *ctx, JdConn *conn);
    void (*frame)(void *ctx, JdConn *conn, Jd__Frame *frame);
    void (*closed)(void *ctx, JdConn *conn);
} JdConnOps;

struct JdConn {
    TAILQ_ENTRY(JdConn) link;
    h2o_socket_t *sock;
    const JdConnOps *ops;
    void *ctx;
    void *user; /* state of the connection's user */
    struct JdConnSet *set;
    h2o_buffer_t *queued; /* waits for the write under way */
    h2o_buffer_t *sending;
    bool is_open;
    bool is_writing;
    bool is_closing;       /* freed on the next round of the loop */
    bool carries_requests; /* carries requests rather than the tree */
    bool is_cross_region;  /* the far side is in another region */
    uint64_t last_read_at;
    JdTimer free_timer;
    JdCounters *counters;
};

/* All connections of a node. */
typedef struct JdConnSet {
    TAILQ_HEAD(JdConnHead, JdConn) conns;
    JdLoop *loop;
    JdCounters *counters;
    h2o_socket_t *listener;
    const JdConnOps *accept_ops;
    void *accept_ctx;
} JdConnSet;

void JdConnSet_Init(JdConnSet *cs, JdLoop *lp, JdCounters *ctr);
void JdConnSet_Finish(JdConnSet *cs);
JdStatus JdConnSet_Listen(JdConnSet *cs, const char *address,
                          const JdConnOps *ops, void *ctx, JdError *err);
JdConn *JdConn_Dial(JdConnSet *cs, const char *address, const JdConnOps *ops,
                    void *ctx);
size_t JdConn_Send(JdConn *conn, const Jd__Frame *frame);
void JdConn_Close(JdConn *conn);
size_t JdConn_Backlog(const JdConn *conn);

#endif

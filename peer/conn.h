/* Connections between nodes: length-prefixed protobuf frames over TCP. */
#ifndef JD_PEER_CONN_H
#define JD_PEER_CONN_H

#include "../base/base.h"
#include "frame_body.h"

/* Largest frame that is accepted, in bytes, without its length. */
#define JD_FRAME_MAX (72U << 20)

typedef struct JdConn JdConn;

/* How a connection ended. */
typedef enum JdConnEnd {
    JD_CONN_OPEN,       /* it has not */
    JD_CONN_NOT_OPENED, /* refused, or no answer in time */
    JD_CONN_PEER_ENDED, /* the other side has sent all it had to send */
    JD_CONN_RESET,      /* an error of the kernel, mostly a reset */
    JD_CONN_BAD_FRAME,  /* the other side does not speak the protocol */
    JD_CONN_SILENT,     /* the other side does not answer */
    JD_CONN_CLOSED,     /* by this node, for another reason */
    JD_CONN_END_MAX
} JdConnEnd;

/* Callbacks to the user of a connection; it may close the connection in any
 * of them. */
typedef struct JdConnOps {
    /* The connection is established and may be written to. */
    void (*opened)(void *ctx, JdConn *conn);
    /* A frame was received.  It is freed after the call, without the message
     * if the user has taken it out. */
    void (*frame)(void *ctx, JdConn *conn, Jd__Frame *frame);
    /* The connection failed, could not be opened, or was closed by the other
     * side.  Not called after JdConn_Close. */
    void (*closed)(void *ctx, JdConn *conn);
    /* All that was sent has been handed to the kernel; may be NULL. */
    void (*drained)(void *ctx, JdConn *conn);
    /* A large frame was not taken, as there is no room for it; may be NULL. */
    void (*dropped)(void *ctx, JdConn *conn, const JdFrameHead *head);
} JdConnOps;

struct JdConn {
    TAILQ_ENTRY(JdConn) link;
    h2o_socket_t *sock;
    const JdConnOps *ops;
    void *ctx;
    void *user; /* state of the connection's user */
    struct JdConnSet *set;
    JdOutput output;
    GByteArray *input; /* start of a frame that is not complete */
    size_t charged;    /* room that it has */
    JdBody *large;     /* large frame that is being received, or NULL */
    size_t large_len;  /* length of that frame */
    size_t skipped;    /* bytes that are left of a frame that is not taken */
    JdBody *body;      /* of the message of the frame that is handled, if it is
                          large; the user may take a reference */
    bool is_open;
    bool is_accepted;      /* opened by the other side */
    bool is_closing;       /* freed in the next iteration of the event loop */
    bool has_frame;        /* a whole frame was received */
    bool carries_requests; /* opened to send requests: see JdRequestConn */
    bool is_finishing;     /* the other node was asked to close it */
    bool is_cross_region;  /* the other node is in another region */
    JdConnEnd end;
    uint64_t responded_at; /* last response that was sent on it, or 0 */
    uint64_t last_read_at; /* last input, or opening; 0: never opened */
    JdTransit transit;     /* of requests that come in */
    JdTimer free_timer;
    JdTimer stall_timer; /* a frame makes no progress */
    JdCounters *counters;
};

/* All connections of a node. */
typedef struct JdConnSet {
    TAILQ_HEAD(JdConnHead, JdConn) conns;
    JdLoop *loop;
    JdCounters *counters;
    JdPacer *pacer;   /* is charged for what is sent; NULL: none */
    JdMemory *memory; /* room for frames; NULL: no limit */
    JdAcceptor acceptor;
    const JdConnOps *accept_ops;
    void *accept_ctx;
} JdConnSet;

void JdConnSet_Init(JdConnSet *cs, JdLoop *lp, JdMemory *mm, JdCounters *ctr);
void JdConnSet_Finish(JdConnSet *cs);
JdStatus JdConnSet_Listen(JdConnSet *cs, const char *address,
                          const JdConnOps *ops, void *ctx, JdError *err);
JdConn *JdConn_Dial(JdConnSet *cs, const char *address, const JdConnOps *ops,
                    void *ctx);
size_t JdConn_Send(JdConn *conn, const Jd__Frame *frame);
size_t JdConn_SendBody(JdConn *conn, const Jd__Frame *frame, JdBody *body);
void JdConn_Close(JdConn *conn);
void JdConn_Abort(JdConn *conn);
bool JdConn_IsPeerOpen(const JdConn *conn);
size_t JdConn_Backlog(const JdConn *conn);
const char *JdConnEnd_Name(JdConnEnd end);
bool JdConnSet_FinishResponses(JdConnSet *cs);

#endif

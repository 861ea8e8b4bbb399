/* Connections of callers; shared by server.c, server_parse.c and
 * server_room.c. */
#ifndef JD_BASE_SERVER_CONN_H
#define JD_BASE_SERVER_CONN_H

#include "base.h"

/* Limit of unanswered requests per connection. */
#define MAX_PENDING 64
/* Bytes of responses that a caller has not taken, from which on no more of its
 * requests are read. */
#define MAX_OUTPUT (256U << 10)

typedef enum ConnState {
    CONN_OPEN,
    CONN_FLUSHING, /* takes no more requests, sends pending responses */
    CONN_LINGER,   /* all is sent; waits for the caller to close */
    CONN_CLOSED,   /* freed in the next round of the loop */
    CONN_STATE_MAX
} ConnState;

struct JdServerConn {
    TAILQ_ENTRY(JdServerConn) link; /* the longest without input first */
    TAILQ_ENTRY(JdServerConn) paused_link;
    JdServer *server;
    h2o_socket_t *sock;
    http_parser parser;
    JdServerExchange *partial; /* request being received, or NULL */
    /* Complete requests in order of arrival. */
    TAILQ_HEAD(PendingHead, JdServerExchange) pending;
    unsigned pending_count;
    unsigned window;     /* unanswered requests that it may have now */
    uint64_t held_until; /* no request is begun before */
    ConnState state;
    JdOutput output;
    GByteArray *input; /* read, but not parsed yet; or NULL */
    size_t discarded;  /* bytes that were read since it takes no requests */
    bool is_paused;    /* nothing is read */
    bool owes_tail;    /* lingers, and the caller had not received all then */
    bool is_parsing;   /* guards against recursion */
    uint64_t taken;    /* bytes that the caller had received at `taken_at` */
    uint64_t taken_at;
    uint64_t paced;    /* bytes that the caller had received at `paced_at` */
    uint64_t paced_at; /* 0: its pace is not watched */
    uint64_t read_at;  /* time of the last input, or of its start */
    JdTimer timer;     /* on_timeout or free_conn */
    uint64_t due;      /* time for which it is armed */
};

/* A request and its response. */
struct JdServerExchange {
    TAILQ_ENTRY(JdServerExchange) link;
    JdServerConn *conn;
    JdHeaders headers; /* its buffer begins with the request target */
    size_t url_len;
    size_t charged; /* room that it has, without its body */
    JdServerRejection rejection;
    bool has_head;
    bool is_complete;
    bool keeps_alive;
    uint64_t began_at;
    uint64_t useful_until; /* of no use to the caller later, where its body may
                              be large; 0: unknown */
    GByteArray *response;  /* status and headers; NULL: not answered yet */
    JdBody *response_body; /* or NULL */
    JdServerRequest request; /* what the handler sees */
};

/* server.c */
void JdServerConn_Close(JdServerConn *cn);
void JdServerConn_StopTakingRequests(JdServerConn *cn);
void JdServerConn_SendResponses(JdServerConn *cn);
bool JdServerConn_IsStalled(JdServerConn *cn, uint64_t patience);
bool JdServerConn_IsSlower(JdServerConn *cn, uint64_t bytes, uint64_t time);
void JdServerConn_ArmTimer(JdServerConn *cn);
void JdServerConn_Reject(JdServerConn *cn, JdServerRejection why);
void JdServerExchange_Free(JdServerExchange *ex);

/* server_parse.c */
void JdServerConn_InitParser(JdServerConn *cn);
JdServerExchange *JdServerConn_StartExchange(JdServerConn *cn);
void JdServerConn_StartReading(JdServerConn *cn);
void JdServerConn_AdaptWindow(JdServerConn *cn, int status);
void JdServerConn_Resume(JdServerConn *cn);
void JdServerConn_UpdateReading(JdServerConn *cn);

/* server_room.c */
void JdServerRoom_Init(JdServer *sv);
void JdServerRoom_Stop(JdServer *sv);
void JdServerRoom_Watch(JdServerConn *cn);
void JdServerRoom_Unwatch(JdServerConn *cn);
bool JdServerRoom_FreeDescriptor(void *ctx);
bool JdServerRoom_Take(JdServer *sv, JdMemoryClass cls, size_t n);
bool JdServerRoom_ReserveBody(JdServer *sv, JdServerExchange *ex, size_t n);

#endif

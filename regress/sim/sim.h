/*
 * Deterministic simulator: runs the trees, readers and stores of many nodes in
 * one process over a simulated clock, network and log.  All random choices
 * come from the seed, so a run can be repeated.
 */
#ifndef SIM_H
#define SIM_H

#include <glib.h>

#include "jacinthdyke.h"

#define SIM_NODES_MAX 64
#define SIM_DOMAINS 4
#define SIM_VERSIONS_MAX 2000

typedef struct SimNode SimNode;

/* One end of a connection; the tree uses its pointer as the peer handle. */
typedef struct SimEnd {
    struct SimConn *conn;
    SimNode *node;
    bool is_open;
} SimEnd;

/* A frame, or the event that a connection was opened or closed, in transit. */
typedef struct SimMessage {
    TAILQ_ENTRY(SimMessage) link;
    uint64_t deliver_at;
    SimEnd *to;
    bool is_close;     /* the sender closed, or refused the connection */
    bool is_connected; /* the connection was accepted */
    size_t len;        /* of the encoded frame in data */
    uint8_t data[];
} SimMessage;

typedef struct SimConn {
    TAILQ_ENTRY(SimConn) link;
    SimEnd end[2];
    TAILQ_HEAD(SimMessages, SimMessage) queue[2]; /* by receiving end */
    uint64_t opened_at;
    bool is_blackholed; /* drops all messages without closing */
} SimConn;

/* An outstanding read or append of the fake log. */
typedef struct SimLogRequest {
    TAILQ_ENTRY(SimLogRequest) link;
    SimNode *node;
    uint64_t incarnation;   /* of the node when it sent the request */
    uint64_t arrives_at;    /* time at which the log processes it */
    uint64_t poll_deadline; /* end of the long poll */
    JdStream stream;
    uint64_t start_offset;
    unsigned max_records;
    uint64_t token;
    bool is_directory; /* reads the newest records of the directory */
    char *record_text; /* record to append, NULL: a read */
} SimLogRequest;

struct SimNode {
    unsigned index;
    unsigned domain;
    JdTree tree;
    JdStore store;
    JdReader reader;
    JdClock clock;
    JdCounters counters;
    bool is_alive;
    bool is_host_down; /* dials to it get no answer, not even a refusal */
    bool is_frozen;    /* handles no timers, messages or log answers */
    uint64_t incarnation;
    uint64_t last_version;        /* seen by the check of the previous step */
    uint64_t printed_counters[3]; /* last values printed with -v */
};

typedef struct Sim {
    uint64_t seed;
    JdRandom random;
    uint64_t now;
    unsigned nodes;
    SimNode node[SIM_NODES_MAX];
    TAILQ_HEAD(, SimConn) conns;
    TAILQ_HEAD(, SimLogRequest) log_requests;
    bool is_partitioned[SIM_DOMAINS][SIM_DOMAINS];
    bool is_log_down;
    bool drops_log_responses; /* appends succeed, their answers are lost */
    GPtrArray *log_records[JD_STREAM_MAX];
    uint64_t first_offset[JD_STREAM_MAX]; /* of the oldest kept record */
    JdStore reference; /* replay of the whole config stream */
    JdCounters reference_counters;
    JdDigest expected_digest[SIM_VERSIONS_MAX]; /* by version */
    const char *failure; /* first check that failed, or NULL */
    unsigned failed_node;
    unsigned events; /* random events injected */
} Sim;

extern Sim sim;

/* net.c */
void SimNet_Init(void);
void *SimNet_Dial(void *ctx, const char *address);
void SimNet_Send(void *ctx, void *peer, Jd__Frame *frame);
void SimNet_Close(void *ctx, void *peer);
size_t SimNet_Backlog(void *ctx, void *peer);
void SimNet_Step(void);
void SimNet_CloseNode(SimNode *node);
void SimNet_SetPartition(unsigned a, unsigned b, bool on);
void SimNet_Blackhole(unsigned a, unsigned b);

/* fakelog.c */
void SimLog_Init(void);
void SimLog_Append(JdStream stream, const char *text);
void SimLog_Expire(JdStream stream, unsigned keep);
void SimLog_Step(void);
void SimLog_ReadDirectory(void *ctx);
void SimLog_RegisterHead(void *ctx);
void SimLog_SetReading(void *ctx, bool on);
extern const JdReaderOps sim_reader_ops;

/* cold.c: restart of all nodes after a power loss */
void SimColdStart_Run(void);

/* sim.c */
bool Sim_IsVerbose(void);
bool Sim_HasFastLink(const SimNode *nd);
void Sim_StartNode(SimNode *nd);
void Sim_StopNode(SimNode *nd);
void Sim_AppendPatch(void);
void Sim_Step(void);
void Sim_RunFor(uint64_t us);
void Sim_Fail(const SimNode *node, const char *text);

#endif

/* Seeded random runs of tree parts over a fake network and a fake log. */
#ifndef SIM_H
#define SIM_H

#include <glib.h>

#include "jacinthdyke.h"

#define SIM_NODES_MAX 64
#define SIM_DOMAINS 4
#define SIM_VERSIONS_MAX 2000

typedef struct SimNode SimNode;

/* One end of a connection; its address names it to the tree. */
typedef struct SimEnd {
    struct SimConn *conn;
    SimNode *node;
    bool is_open;
} SimEnd;

typedef struct SimMessage {
    TAILQ_ENTRY(SimMessage) link;
    uint64_t deliver_at;
    SimEnd *to;
    bool is_close;
    bool is_connected;
    size_t len;
    uint8_t data[];
} SimMessage;

typedef struct SimConn {
    TAILQ_ENTRY(SimConn) link;
    SimEnd end[2];
    TAILQ_HEAD(SimMessages, SimMessage) queue[2]; /* by receiving end */
    uint64_t opened_at;
    bool is_blackholed;
} SimConn;

/* A read or append under way to the fake log. */
typedef struct SimLogRequest {
    TAILQ_ENTRY(SimLogRequest) link;
    SimNode *node;
    uint64_t incarnation;
    uint64_t arrives_at;    /* when the log looks at it */
    uint64_t poll_deadline; /* end of the long poll */
    JdStream stream;
    uint64_t start_offset;
    unsigned max_records;
    uint64_t token;
    bool is_directory;
    char *record_text;
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
    bool is_host_down; /* its machine is gone: dials to it get no answer */
    bool is_frozen;
    uint64_t incarnation;
    uint64_t last_version;
    uint64_t printed_counters[3]; /* counters that a verbose run prints */
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
    bool drops_log_responses;
    GPtrArray *log_records[JD_STREAM_MAX];
    uint64_t first_offset[JD_STREAM_MAX];
    JdStore reference;
    JdCounters reference_counters;
    JdDigest expected_digest[SIM_VERSIONS_MAX];
    const char *failure;
    unsigned failed_node;
    unsigned events;
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
void SimNet_SetPartition(unsigned a, unsigned b, bool is_cut);
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

/* cold.c: a loss of power at all machines */
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

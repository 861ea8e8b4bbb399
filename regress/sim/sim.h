/* Seeded random runs of tree parts over a fake network and a fake log. */
#ifndef SIM_H
#define SIM_H

#include <glib.h>

#include "jacinthdyke.h"

#define SIM_NODES_MOST 64
#define SIM_DOMAINS 4
#define SIM_VERSIONS_MOST 2000

typedef struct SimNode SimNode;

/* One end of a connection; its address names it to the tree. */
typedef struct SimEnd {
    struct SimConn *conn;
    SimNode *node;
    bool is_open;
} SimEnd;

typedef struct SimMessage {
    TAILQ_ENTRY(SimMessage) link;
    uint64_t due;
    SimEnd *to;
    bool is_close;
    bool is_opened;
    size_t len;
    uint8_t data[];
} SimMessage;

typedef struct SimConn {
    TAILQ_ENTRY(SimConn) link;
    SimEnd end[2];
    TAILQ_HEAD(SimMessages, SimMessage) queue[2]; /* by receiving end */
    uint64_t opened;
    bool is_silent;
} SimConn;

/* A read or append under way to the fake log. */
typedef struct SimCall {
    TAILQ_ENTRY(SimCall) link;
    SimNode *node;
    uint64_t incarnation;
    uint64_t due;     /* when the log looks at it */
    uint64_t give_up; /* end of the long poll */
    JdStream stream;
    uint64_t from;
    unsigned most;
    uint64_t token;
    bool is_directory;
    char *append;
} SimCall;

struct SimNode {
    unsigned index;
    unsigned domain;
    JdTree tree;
    JdStore store;
    JdReader reader;
    JdClock clock;
    JdCounters counters;
    bool is_alive;
    bool is_dark; /* its machine is gone: dials to it get no answer */
    bool is_frozen;
    uint64_t incarnation;
    uint64_t last_version;
    uint64_t seen[3]; /* counters that a verbose run prints */
};

typedef struct Sim {
    uint64_t seed;
    JdRandom random;
    uint64_t now;
    unsigned nodes;
    SimNode node[SIM_NODES_MOST];
    TAILQ_HEAD(, SimConn) conns;
    TAILQ_HEAD(, SimCall) calls;
    bool is_cut[SIM_DOMAINS][SIM_DOMAINS];
    bool is_log_down;
    bool loses_answers;
    GPtrArray *stream[JD_STREAM_MAX];
    uint64_t first[JD_STREAM_MAX];
    JdStore reference;
    JdCounters reference_counters;
    JdDigest digest[SIM_VERSIONS_MOST];
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
void SimNet_NodeGone(SimNode *node);
void SimNet_Cut(unsigned a, unsigned b, bool is_cut);
void SimNet_Silence(unsigned a, unsigned b);

/* fakelog.c */
void SimLog_Init(void);
void SimLog_Append(JdStream stream, const char *text);
void SimLog_Expire(JdStream stream, unsigned keep);
void SimLog_Step(void);
void SimLog_ReadDirectory(void *ctx);
void SimLog_Announce(void *ctx);
void SimLog_ReadLog(void *ctx, bool on);
extern const JdReaderOps sim_reader_ops;

/* cold.c: a loss of power at all machines */
void SimCold_Run(void);

/* sim.c */
bool Sim_IsVerbose(void);
bool Sim_IsWide(const SimNode *nd);
void Sim_StartNode(SimNode *nd);
void Sim_StopNode(SimNode *nd);
void Sim_AppendPatch(void);
void Sim_Step(void);
void Sim_RunFor(uint64_t us);
void Sim_Fail(const SimNode *node, const char *text);

#endif

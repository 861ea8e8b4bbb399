/*
 * Randomized fault test of the distribution tree.  Nodes are killed, frozen
 * and partitioned, connections are blackholed, the log fails, and patches
 * conflict.  After every step the simulator checks that
 *
 *   - no node goes back to an older version,
 *   - the state of each node has the digest that a replay of the log gives
 *     for its version.
 *
 * 4 s after all faults ended every node must hold the newest version and be
 * ready; 12 s later all nodes must form one tree, know all members and the
 * same crashes of targets.
 *
 * With -c it runs a cold start instead: see cold.c.
 *
 * usage: sim [-cuv] [-n NODES] [-p PRESET] FIRST_SEED [COUNT]
 *   -c  cold start; only the first two nodes of each domain have fast links
 *   -u  nodes do not know the region of the log
 *   -v  print events, losses and the state of the tree
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "sim.h"

/* Simulated time of one step, us. */
#define STEP_US (500)
/* Simulated time at which the last fault is injected, s. */
#define FAULTS_END_S 40
/* Allowed from the end of all faults until every node is up to date, s. */
#define CONVERGENCE_S 4
/* Allowed after that until all nodes form one tree, s. */
#define SINGLE_TREE_S 12
/* Bandwidth of a slow link; with 0, unknown, a link counts as fast. */
#define SLOW_LINK_KBPS 7000

Sim sim;

static bool is_verbose;
static bool is_cold_start;
/* Region of the log in the settings of the nodes, empty: unknown. */
static const char *log_region = "a";
static JdPreset preset = JD_PRESET_CONVERGENCE;
static const char *const domains[] = {"a1", "a2", "b1", "b2"};

bool
Sim_IsVerbose(void)
{
    return is_verbose;
}

/* Records the first failure of a run. */
void
Sim_Fail(const SimNode *node, const char *text)
{
    if (sim.failure == NULL) {
        sim.failure = text;
        sim.failed_node = node == NULL ? 0 : node->index;
    }
}

static void
on_status_changed(void *ctx)
{
    SimNode *nd = ctx;

    if (nd->tree.is_ready && nd->tree.state == JD_MEMBER_STARTING) {
        JdTree_SetState(&nd->tree, JD_MEMBER_READY);
    }
}

static const JdTreeOps tree_ops = {
    .dial = SimNet_Dial,
    .send = SimNet_Send,
    .close = SimNet_Close,
    .backlog = SimNet_Backlog,
    .read_directory = SimLog_ReadDirectory,
    .register_head = SimLog_RegisterHead,
    .read_log = SimLog_SetReading,
    .status_changed = on_status_changed,
};

/* With -c only the first two nodes of each domain have fast links. */
bool
Sim_HasFastLink(const SimNode *nd)
{
    return !is_cold_start || nd->index < 2 * SIM_DOMAINS;
}

/* Starts a node with an empty store and a new incarnation. */
void
Sim_StartNode(SimNode *nd)
{
    JdTreeIdentity id = {0};

    nd->is_alive = true;
    nd->is_frozen = false;
    nd->incarnation = sim.now + 1;
    nd->last_version = 0;
    memset(&nd->counters, 0, sizeof(nd->counters));
    JdClock_Init(&nd->clock, NULL, NULL);
    nd->clock.now = sim.now;
    JdStore_Init(&nd->store, &nd->counters);
    snprintf(id.id, sizeof(id.id), "n%02u", nd->index);
    snprintf(id.region, sizeof(id.region), "%c", domains[nd->domain][0]);
    snprintf(id.domain, sizeof(id.domain), "%s", domains[nd->domain]);
    snprintf(id.peer_address, sizeof(id.peer_address), "%u", nd->index);
    snprintf(id.admin_address, sizeof(id.admin_address), "%u", nd->index);
    snprintf(id.log_region, sizeof(id.log_region), "%s", log_region);
    id.incarnation = nd->incarnation;
    id.link_kbps = Sim_HasFastLink(nd) ? 0 : SLOW_LINK_KBPS;
    JdTree_Init(&nd->tree, &id, JdPreset_Tuning(preset), &nd->store,
                &nd->clock, &nd->counters, &tree_ops, nd);
    nd->tree.tuning.fan_out = 3;
    JdReader_Init(&nd->reader, &nd->store, &nd->clock, &sim_reader_ops, nd);
    JdTree_Start(&nd->tree);
}

/* Stops a node and closes its connections. */
void
Sim_StopNode(SimNode *nd)
{
    nd->is_alive = false;
    nd->is_frozen = false;
    SimNet_CloseNode(nd);
    JdReader_Finish(&nd->reader);
    JdTree_Finish(&nd->tree);
    JdStore_Finish(&nd->store);
}

/* Prints when a node marks members as lost or loses its parent or a child. */
static void
print_losses(SimNode *nd)
{
    static const JdCounter watched[] = {JD_C_MEMBER_LOST, JD_C_PARENT_LOST,
                                        JD_C_CHILD_LOST};

    for (size_t i = 0; i < G_N_ELEMENTS(watched); i++) {
        uint64_t now = nd->counters.value[watched[i]];

        if (now != nd->printed_counters[i]) {
            printf("%8.3f n%02u %s %llu\n", (double)sim.now / 1e6, nd->index,
                   JdCounter_Name(watched[i]), (unsigned long long)now);
        }
        nd->printed_counters[i] = now;
    }
}

/* Checks that the version never decreases and that the digest fits it. */
static void
check_node(SimNode *nd)
{
    uint64_t v = nd->store.config->version;

    if (is_verbose) {
        print_losses(nd);
    }

    if (v < nd->last_version) {
        Sim_Fail(nd, "version decreased");
    }
    nd->last_version = v;
    if (v > 0 &&
        !JdDigest_Equal(&nd->store.config->digest, &sim.expected_digest[v])) {
        Sim_Fail(nd, "digest differs from a replay of the log");
    }
}

/* Advances the clock by one step for all nodes, the network and the log. */
void
Sim_Step(void)
{
    sim.now += STEP_US;
    for (unsigned i = 0; i < sim.nodes; i++) {
        SimNode *nd = &sim.node[i];

        if (nd->is_alive && !nd->is_frozen) {
            nd->clock.now = sim.now;
            JdClock_RunDue(&nd->clock);
        }
    }
    SimNet_Step();
    SimLog_Step();
    for (unsigned i = 0; i < sim.nodes; i++) {
        if (sim.node[i].is_alive) {
            check_node(&sim.node[i]);
        }
    }
}

/* Prints the roots, then (in brackets) other nodes without a parent. */
static void
print_tree_summary(void)
{
    printf("%8.3f roots", (double)sim.now / 1e6);
    for (unsigned i = 0; i < sim.nodes; i++) {
        const SimNode *nd = &sim.node[i];

        if (nd->is_alive && nd->tree.is_root) {
            printf(" n%02u", i);
        }
        else if (nd->is_alive && nd->tree.parent.state != JD_LINK_ATTACHED) {
            printf(" (n%02u)", i);
        }
    }
    printf(", n00 knows %u ready members\n",
           sim.node[0].is_alive
               ? sim.node[0].tree.members.count_by_state[JD_MEMBER_READY]
               : 0);
}

/* Runs for the given time, or until a check fails. */
void
Sim_RunFor(uint64_t us)
{
    uint64_t end = sim.now + us;

    while (sim.now < end && sim.failure == NULL) {
        Sim_Step();
        if (is_verbose && sim.now % JD_US_PER_S == 0) {
            print_tree_summary();
        }
    }
}

static uint64_t
random_below(uint64_t n)
{
    return JdRandom_Below(&sim.random, n);
}

/*
 * Appends a random patch.  One in five is based on an older version.  A
 * patch may also be invalid, as when it names a service that does not exist.
 */
void
Sim_AppendPatch(void)
{
    uint64_t at = sim.reference.config->version;
    uint64_t base = random_below(5) == 0 && at > 0 ? at - 1 : at;
    char name[24];
    json_t *patch;
    char *text;

    if (sim.is_log_down || at + 2 >= SIM_VERSIONS_MAX) {
        return;
    }
    snprintf(name, sizeof(name), "s%u", (unsigned)random_below(6));
    switch (random_below(4)) {
    case 0:
        patch =
            json_pack("{s:{s:{s:s}}}", "endpoint_sets", name, "service", name);
        break;
    case 1:
        patch = json_pack("{s:{s:n}}", "services", name);
        break;
    default:
        patch = json_pack("{s:{s:{s:s}}, s:{s:{s:i}}}", "services", name,
                          "note", "x", "policies", name, "deadline_ms",
                          (int)random_below(5000) + 1);
        break;
    }
    text = JdRecord_MakePatch(base, "id", "sim", patch);
    SimLog_Append(JD_STREAM_CONFIG, text);
    free(text);
    json_decref(patch);
}

/* Writes a checkpoint and expires all but up to three config records. */
static void
write_checkpoint(void)
{
    char *text;

    if (sim.is_log_down || sim.reference.config->version == 0) {
        return;
    }
    text = JdStore_MakeCheckpoint(&sim.reference);
    SimLog_Append(JD_STREAM_CHECKPOINTS, text);
    free(text);
    SimLog_Expire(JD_STREAM_CONFIG, (unsigned)random_below(4));
    SimLog_Expire(JD_STREAM_CHECKPOINTS, 1);
}

/* Restarts the nodes of a domain at once; SIM_DOMAINS means all nodes. */
static void
restart_domain(unsigned domain)
{
    for (unsigned i = 0; i < sim.nodes; i++) {
        SimNode *nd = &sim.node[i];

        if (nd->domain == domain || domain == SIM_DOMAINS) {
            if (nd->is_alive) {
                Sim_StopNode(nd);
            }
            Sim_StartNode(nd);
        }
    }
}

static SimNode *
random_node(void)
{
    return &sim.node[random_below(sim.nodes)];
}

static SimNode *
find_root(void)
{
    for (unsigned i = 0; i < sim.nodes; i++) {
        if (sim.node[i].is_alive && sim.node[i].tree.is_root) {
            return &sim.node[i];
        }
    }
    return random_node();
}

static void
unfreeze_all(void)
{
    for (unsigned i = 0; i < sim.nodes; i++) {
        sim.node[i].is_frozen = false;
    }
}

/* Ends all faults and starts the nodes that are stopped. */
static void
clear_faults(void)
{
    for (unsigned a = 0; a < SIM_DOMAINS; a++) {
        for (unsigned b = 0; b < SIM_DOMAINS; b++) {
            sim.is_partitioned[a][b] = false;
        }
    }
    sim.is_log_down = false;
    sim.drops_log_responses = false;
    unfreeze_all();
    for (unsigned i = 0; i < sim.nodes; i++) {
        if (!sim.node[i].is_alive) {
            Sim_StartNode(&sim.node[i]);
        }
    }
}

/* Injects one random event: a fault, its end, or a patch. */
static void
inject_event(void)
{
    SimNode *nd = random_below(3) == 0 ? find_root() : random_node();
    unsigned a = (unsigned)random_below(SIM_DOMAINS);
    unsigned b = (unsigned)random_below(SIM_DOMAINS);
    unsigned event = (unsigned)random_below(24);

    if (is_verbose) {
        printf("%8.3f event %u node %u domains %u %u\n", (double)sim.now / 1e6,
               event, nd->index, a, b);
    }
    sim.events++;
    switch (event) {
    case 0:
    case 1:
        if (nd->is_alive) {
            Sim_StopNode(nd);
        }
        break;
    case 2:
    case 3:
        if (!nd->is_alive) {
            Sim_StartNode(nd);
        }
        break;
    case 4:
        nd->is_frozen = nd->is_alive;
        break;
    case 5:
        unfreeze_all();
        break;
    case 6:
        if (a != b) {
            SimNet_SetPartition(a, b, true);
        }
        break;
    case 7:
        SimNet_SetPartition(a, b, false);
        break;
    case 8:
        SimNet_Blackhole(a, b);
        break;
    case 9:
        sim.is_log_down = !sim.is_log_down;
        break;
    case 10:
        sim.drops_log_responses = !sim.drops_log_responses;
        break;
    case 11:
        write_checkpoint();
        break;
    case 12:
        restart_domain(a);
        break;
    case 13:
        if (random_below(6) == 0) {
            restart_domain(SIM_DOMAINS);
        }
        break;
    default:
        Sim_AppendPatch();
        break;
    }
}

/* Checks that every node is ready and holds the newest version. */
static void
check_converged(void)
{
    uint64_t want = sim.reference.config->version;

    for (unsigned i = 0; i < sim.nodes; i++) {
        SimNode *nd = &sim.node[i];

        if (nd->store.config->version != want) {
            Sim_Fail(nd,
                     "lacks the newest version 4 s after all faults ended");
        }
        else if (!nd->tree.is_ready) {
            Sim_Fail(nd, "not ready 4 s after all faults ended");
        }
    }
}

/* Checks that there is one root and that every node lists all as ready. */
static void
check_single_tree(void)
{
    unsigned roots = 0;

    for (unsigned i = 0; i < sim.nodes; i++) {
        roots += sim.node[i].tree.is_root;
        if (sim.node[i].tree.members.count != sim.nodes ||
            sim.node[i].tree.members.count_by_state[JD_MEMBER_READY] !=
                sim.nodes) {
            Sim_Fail(&sim.node[i],
                     "member table does not list all nodes as ready");
        }
    }
    if (roots != 1) {
        Sim_Fail(find_root(), "number of roots is not 1");
    }
}

/* Records a crash of a target at a node, three under each request. */
static void
record_crash(void)
{
    SimNode *nd = &sim.node[sim.events * 7 % sim.nodes];
    JdFingerprint fp = {.word = {sim.events / 3, 0}};

    if (nd->is_alive && !nd->is_frozen) {
        JdCrashTable_Record(&nd->tree.crashes, &fp, sim.events);
    }
}

/* Checks that every node knows as many crashes of each request as the first
 * one. */
static void
check_crashes(void)
{
    const JdCrashTable *first = &sim.node[0].tree.crashes;
    const JdCrashRecord *rec;

    for (unsigned i = 0; i < sim.nodes; i++) {
        const JdCrashTable *ct = &sim.node[i].tree.crashes;

        if (ct->count != first->count) {
            Sim_Fail(&sim.node[i], "knows crashes of other requests");
        }
        TAILQ_FOREACH(rec, &first->all, link)
        {
            const JdCrashRecord *other = JdCrashTable_Find(ct, &rec->request);

            if (other == NULL || JdCrashRecord_CountCrashes(other) !=
                                     JdCrashRecord_CountCrashes(rec)) {
                Sim_Fail(&sim.node[i], "knows other crashes of a request");
            }
        }
    }
}

static void
init_run(uint64_t seed, unsigned nodes)
{
    memset(&sim, 0, sizeof(sim));
    sim.seed = seed;
    sim.now = JD_US_PER_S;
    sim.nodes = nodes;
    JdRandom_Init(&sim.random, seed);
    SimNet_Init();
    SimLog_Init();
    JdStore_Init(&sim.reference, &sim.reference_counters);
    for (unsigned i = 0; i < nodes; i++) {
        sim.node[i].index = i;
        sim.node[i].domain = i % SIM_DOMAINS;
        Sim_StartNode(&sim.node[i]);
    }
}

/*
 * Stops all nodes and frees the state of a run.  The clock jumps ahead so that
 * messages in transit and outstanding log requests are due, and freed too.
 */
static void
end_run(void)
{
    for (unsigned i = 0; i < sim.nodes; i++) {
        if (sim.node[i].is_alive) {
            Sim_StopNode(&sim.node[i]);
        }
    }
    sim.is_log_down = true;
    for (unsigned i = 0; i < sim.nodes; i++) {
        sim.node[i].is_frozen = false;
    }
    sim.now += 1000 * JD_US_PER_S;
    SimNet_Step();
    SimLog_Step();
    JdStore_Finish(&sim.reference);
    for (int s = 0; s < JD_STREAM_MAX; s++) {
        g_ptr_array_set_free_func(sim.log_records[s], g_free);
        g_ptr_array_free(sim.log_records[s], TRUE);
    }
}

static void
run_faults(void)
{
    Sim_RunFor(3 * JD_US_PER_S);
    while (sim.now < FAULTS_END_S * JD_US_PER_S && sim.failure == NULL) {
        inject_event();
        record_crash();
        Sim_RunFor(random_below(600 * JD_US_PER_MS));
    }
    clear_faults();
    if (sim.failure == NULL) {
        Sim_RunFor(CONVERGENCE_S * JD_US_PER_S);
        check_converged();
    }
    if (sim.failure == NULL) {
        Sim_RunFor(SINGLE_TREE_S * JD_US_PER_S);
        check_single_tree();
        check_crashes();
    }
}

static bool
run_seed(uint64_t seed, unsigned nodes)
{
    uint64_t versions;
    bool has_passed;

    init_run(seed, nodes);
    if (is_cold_start) {
        SimColdStart_Run();
    }
    else {
        run_faults();
    }
    versions = sim.reference.config->version;
    has_passed = sim.failure == NULL;
    if (has_passed) {
        printf("seed %llu: passed, %u events, %llu versions\n",
               (unsigned long long)seed, sim.events,
               (unsigned long long)versions);
    }
    else {
        const SimNode *nd = &sim.node[sim.failed_node];

        printf("seed %llu: failed at %.3f s: n%02u: %s\n",
               (unsigned long long)seed, (double)sim.now / 1e6, nd->index,
               sim.failure);
        if (is_verbose) {
            const JdMember *mb;

            TAILQ_FOREACH(mb, &nd->tree.members.all, link)
            {
                if (mb->state != JD_MEMBER_READY) {
                    printf("  at n%02u: %s %s seq %llu (own %llu) via %s\n",
                           nd->index, mb->id, JdMemberState_Name(mb->state),
                           (unsigned long long)mb->seq,
                           (unsigned long long)sim.node[atoi(mb->id + 1)]
                               .tree.seq,
                           mb->parent_id);
                }
            }
            for (unsigned i = 0; i < sim.nodes; i++) {
                nd = &sim.node[i];
                printf(
                    "  n%02u v%llu of %llu parent %s(%d) attempt %s(%d) "
                    "root %d reading %d rank %llu ready %d members %u "
                    "reader %d age %llu\n",
                    nd->index, (unsigned long long)nd->store.config->version,
                    (unsigned long long)versions, nd->tree.parent.id,
                    nd->tree.parent.state, nd->tree.join_attempt.id,
                    nd->tree.join_attempt.state, nd->tree.is_root,
                    nd->tree.is_reading_log,
                    (unsigned long long)nd->tree.head_rank, nd->tree.is_ready,
                    nd->tree.members.count, nd->reader.state,
                    (unsigned long long)JdTree_SourceAge(&nd->tree));
            }
        }
    }
    end_run();
    return has_passed;
}

int
main(int argc, char **argv)
{
    unsigned nodes = 24;
    uint64_t seed, count;
    unsigned failed = 0;
    int c;

    while ((c = getopt(argc, argv, "cuvn:p:")) != -1) {
        switch (c) {
        case 'c':
            is_cold_start = true;
            break;
        case 'v':
            is_verbose = true;
            break;
        case 'u':
            log_region = "";
            break;
        case 'n':
            nodes = (unsigned)strtoul(optarg, NULL, 10);
            break;
        case 'p':
            preset = strcmp(optarg, "control-bytes") == 0
                         ? JD_PRESET_CONTROL_BYTES
                         : JD_PRESET_CONVERGENCE;
            break;
        default:
            return 2;
        }
    }
    seed = optind < argc ? strtoull(argv[optind], NULL, 10) : 1;
    count = optind + 1 < argc ? strtoull(argv[optind + 1], NULL, 10) : 1;
    if (nodes < 1 || nodes > SIM_NODES_MAX) {
        return 2;
    }
    for (uint64_t i = 0; i < count; i++) {
        failed += !run_seed(seed + i, nodes);
    }
    return failed > 0;
}

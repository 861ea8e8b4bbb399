/*
 * A seeded random run: nodes are killed, frozen and cut off, the log fails,
 * operators race, and an observer checks after every step that
 *
 *   - no node goes back to an older version,
 *   - each node holds exactly the state that the log gives its version,
 *   - 4 s after the last fault every node holds the newest version and all
 *     nodes form one tree.
 *
 * With -c instead: the nodes with wide links become heads; some of these lose
 * their machines for good, then all nodes lose power at once; each that comes
 * back is ready within 1 s of its start.
 *
 * usage: sim [-cuv] [-n NODES] [-p PRESET] FIRST_SEED [COUNT]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "sim.h"

#define STEP (500)
#define FAULTS_S 40
#define HEALED_S 4
#define ONE_TREE_S 12
#define NARROW_KBPS 7000

Sim sim;

static bool is_verbose;
static bool is_cold;
/* Region of the log as nodes know it; empty: they do not. */
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
on_changed(void *ctx)
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
    .status_changed = on_changed,
};

/* With -c the first two nodes of each domain have wide links. */
bool
Sim_HasFastLink(const SimNode *nd)
{
    return !is_cold || nd->index < 2 * SIM_DOMAINS;
}

/* Starts a node with nothing but its settings. */
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
    id.link_kbps = Sim_HasFastLink(nd) ? 0 : NARROW_KBPS;
    JdTree_Init(&nd->tree, &id, JdPreset_Tuning(preset), &nd->store,
                &nd->clock, &nd->counters, &tree_ops, nd);
    nd->tree.tuning.fan_out = 3;
    JdReader_Init(&nd->reader, &nd->store, &nd->clock, &sim_reader_ops, nd);
    JdTree_Start(&nd->tree);
}

/* Ends a node; its connections end with it. */
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

/* Tells when a node marks others as lost or loses a link. */
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

static void
check_node(SimNode *nd)
{
    uint64_t v = nd->store.config->version;

    if (is_verbose) {
        print_losses(nd);
    }

    if (v < nd->last_version) {
        Sim_Fail(nd, "a node went back to an older version");
    }
    nd->last_version = v;
    if (v > 0 &&
        !JdDigest_Equal(&nd->store.config->digest, &sim.expected_digest[v])) {
        Sim_Fail(nd, "a node holds a state that the log does not give");
    }
}

/* Lets a moment pass for all nodes, the network and the log. */
void
Sim_Step(void)
{
    sim.now += STEP;
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

/* Prints who leads, who has no parent, and what the first node knows. */
static void
print_second(void)
{
    printf("%8.3f leads", (double)sim.now / 1e6);
    for (unsigned i = 0; i < sim.nodes; i++) {
        const SimNode *nd = &sim.node[i];

        if (nd->is_alive && nd->tree.is_root) {
            printf(" n%02u", i);
        }
        else if (nd->is_alive && nd->tree.parent.state != JD_LINK_ATTACHED) {
            printf(" (n%02u)", i);
        }
    }
    printf(", n00 knows %u ready\n",
           sim.node[0].is_alive
               ? sim.node[0].tree.members.count_by_state[JD_MEMBER_READY]
               : 0);
}

/* Runs for some time, or until something fails. */
void
Sim_RunFor(uint64_t us)
{
    uint64_t end = sim.now + us;

    while (sim.now < end && sim.failure == NULL) {
        Sim_Step();
        if (is_verbose && sim.now % JD_US_PER_S == 0) {
            print_second();
        }
    }
}

static uint64_t
below(uint64_t n)
{
    return JdRandom_Below(&sim.random, n);
}

/* A patch against the newest version, an older one, or an invalid one. */
void
Sim_AppendPatch(void)
{
    uint64_t at = sim.reference.config->version;
    uint64_t base = below(5) == 0 && at > 0 ? at - 1 : at;
    char name[24];
    json_t *patch;
    char *text;

    if (sim.is_log_down || at + 2 >= SIM_VERSIONS_MAX) {
        return;
    }
    snprintf(name, sizeof(name), "s%u", (unsigned)below(6));
    switch (below(4)) {
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
                          (int)below(5000) + 1);
        break;
    }
    text = JdRecord_MakePatch(base, "id", "sim", patch);
    SimLog_Append(JD_STREAM_CONFIG, text);
    free(text);
    json_decref(patch);
}

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
    SimLog_Expire(JD_STREAM_CONFIG, (unsigned)below(4));
    SimLog_Expire(JD_STREAM_CHECKPOINTS, 1);
}

static void
kill_some(unsigned domain)
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
any_node(void)
{
    return &sim.node[below(sim.nodes)];
}

static SimNode *
find_lead(void)
{
    for (unsigned i = 0; i < sim.nodes; i++) {
        if (sim.node[i].is_alive && sim.node[i].tree.is_root) {
            return &sim.node[i];
        }
    }
    return any_node();
}

static void
thaw_all(void)
{
    for (unsigned i = 0; i < sim.nodes; i++) {
        sim.node[i].is_frozen = false;
    }
}

static void
heal_all(void)
{
    for (unsigned a = 0; a < SIM_DOMAINS; a++) {
        for (unsigned b = 0; b < SIM_DOMAINS; b++) {
            sim.is_partitioned[a][b] = false;
        }
    }
    sim.is_log_down = false;
    sim.drops_log_responses = false;
    thaw_all();
    for (unsigned i = 0; i < sim.nodes; i++) {
        if (!sim.node[i].is_alive) {
            Sim_StartNode(&sim.node[i]);
        }
    }
}

/* Does one random thing. */
static void
disturb(void)
{
    SimNode *nd = below(3) == 0 ? find_lead() : any_node();
    unsigned a = (unsigned)below(SIM_DOMAINS);
    unsigned b = (unsigned)below(SIM_DOMAINS);
    unsigned what = (unsigned)below(24);

    if (is_verbose) {
        printf("%8.3f event %u node %u domains %u %u\n", (double)sim.now / 1e6,
               what, nd->index, a, b);
    }
    sim.events++;
    switch (what) {
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
        thaw_all();
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
        kill_some(a);
        break;
    case 13:
        if (below(6) == 0) {
            kill_some(SIM_DOMAINS);
        }
        break;
    default:
        Sim_AppendPatch();
        break;
    }
}

static void
check_end(void)
{
    uint64_t want = sim.reference.config->version;

    for (unsigned i = 0; i < sim.nodes; i++) {
        SimNode *nd = &sim.node[i];

        if (nd->store.config->version != want) {
            Sim_Fail(nd, "a node lacks the newest version in time");
        }
        else if (!nd->tree.is_ready) {
            Sim_Fail(nd, "a node is not ready in time");
        }
    }
}

static void
check_one_tree(void)
{
    unsigned leads = 0;

    for (unsigned i = 0; i < sim.nodes; i++) {
        leads += sim.node[i].tree.is_root;
        if (sim.node[i].tree.members.count != sim.nodes ||
            sim.node[i].tree.members.count_by_state[JD_MEMBER_READY] !=
                sim.nodes) {
            Sim_Fail(&sim.node[i], "a node does not know all members");
        }
    }
    if (leads != 1) {
        Sim_Fail(find_lead(), "there is not exactly one tree");
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
    while (sim.now < FAULTS_S * JD_US_PER_S && sim.failure == NULL) {
        disturb();
        Sim_RunFor(below(600 * JD_US_PER_MS));
    }
    heal_all();
    if (sim.failure == NULL) {
        Sim_RunFor(HEALED_S * JD_US_PER_S);
        check_end();
    }
    if (sim.failure == NULL) {
        Sim_RunFor(ONE_TREE_S * JD_US_PER_S);
        check_one_tree();
    }
}

static bool
run(uint64_t seed, unsigned nodes)
{
    uint64_t versions;
    bool is_good;

    init_run(seed, nodes);
    if (is_cold) {
        SimColdStart_Run();
    }
    else {
        run_faults();
    }
    versions = sim.reference.config->version;
    is_good = sim.failure == NULL;
    if (is_good) {
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
                    "  n%02u v%llu of %llu parent %s(%d) trial %s(%d) "
                    "lead %d reading %d rank %llu ready %d members %u "
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
    return is_good;
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
            is_cold = true;
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
        failed += !run(seed + i, nodes);
    }
    return failed > 0;
}

/*
 * A loss of power at all machines: the nodes with wide links become heads;
 * some of these lose their machines for good, then all nodes lose power at
 * once; each that comes back is ready in time.
 */
#include <stdio.h>

#include "sim.h"

/* Heads whose machines are gone before all nodes lose power. */
#define COLD_DARK 3
#define COLD_READY (JD_US_PER_S)

static void
darken_heads(void)
{
    unsigned left = COLD_DARK;

    for (unsigned i = 0; i < sim.nodes && left > 0; i++) {
        SimNode *nd = &sim.node[i];

        if (nd->tree.head_rank != 0) {
            Sim_StopNode(nd);
            nd->is_host_down = true;
            left--;
        }
    }
}

static void
restart_lit(void)
{
    for (unsigned i = 0; i < sim.nodes; i++) {
        if (sim.node[i].is_alive) {
            Sim_StopNode(&sim.node[i]);
        }
    }
    for (unsigned i = 0; i < sim.nodes; i++) {
        if (!sim.node[i].is_host_down) {
            Sim_StartNode(&sim.node[i]);
        }
    }
}

static void
check_heads(void)
{
    for (unsigned i = 0; i < sim.nodes; i++) {
        if (!Sim_HasFastLink(&sim.node[i]) &&
            sim.node[i].tree.head_rank != 0) {
            Sim_Fail(&sim.node[i], "a node with a narrow link became a head");
        }
    }
}

static bool
is_all_ready(void)
{
    for (unsigned i = 0; i < sim.nodes; i++) {
        if (!sim.node[i].is_host_down && !sim.node[i].tree.is_ready) {
            return false;
        }
    }
    return true;
}

void
SimColdStart_Run(void)
{
    uint64_t start;

    Sim_AppendPatch();
    Sim_RunFor(6 * JD_US_PER_S);
    check_heads();
    darken_heads();
    Sim_RunFor(500 * JD_US_PER_MS);
    restart_lit();
    start = sim.now;
    while (sim.failure == NULL && !is_all_ready()) {
        if (sim.now - start > COLD_READY) {
            Sim_Fail(NULL, "a node is not ready in time after the start");
        }
        Sim_Step();
    }
    if (Sim_IsVerbose()) {
        printf("ready after %.3f s\n", (double)(sim.now - start) / 1e6);
    }
}

/*
 * Cold start after a power loss.  Nodes with fast links become heads.  The
 * hosts of some heads then fail for good, and all other nodes restart at once
 * with empty stores.  The directory still lists the failed heads, whose
 * addresses do not answer.  Every restarted node must be ready in time.
 */
#include <stdio.h>

#include "sim.h"

/* Heads whose hosts fail for good before the restart. */
#define LOST_HEADS 3
#define READY_TIMEOUT_US (JD_US_PER_S) /* from the restart */

static void
lose_head_hosts(void)
{
    unsigned remaining = LOST_HEADS;

    for (unsigned i = 0; i < sim.nodes && remaining > 0; i++) {
        SimNode *nd = &sim.node[i];

        if (nd->tree.head_rank != 0) {
            Sim_StopNode(nd);
            nd->is_host_down = true;
            remaining--;
        }
    }
}

static void
restart_remaining_nodes(void)
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
            Sim_Fail(&sim.node[i],
                     "a node with a slow link became a domain head");
        }
    }
}

static bool
are_all_ready(void)
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
    lose_head_hosts();
    Sim_RunFor(500 * JD_US_PER_MS);
    restart_remaining_nodes();
    start = sim.now;
    while (sim.failure == NULL && !are_all_ready()) {
        if (sim.now - start > READY_TIMEOUT_US) {
            Sim_Fail(NULL,
                     "a node was not ready within 1 s of the cold start");
        }
        Sim_Step();
    }
    if (Sim_IsVerbose()) {
        printf("all nodes ready after %.3f s\n",
               (double)(sim.now - start) / 1e6);
    }
}

/*
 * Benchmarks the library: processor time and size of store operations at
 * several document sizes, of the member table and of the tree's frames.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <malloc.h>
#include <sys/resource.h>

#include "load.h"

static JdCounters counters;

/* Returns the processor time that the process has used. */
static double
cpu_time_us(void)
{
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
           (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static void
replay_patch(JdStore *store, uint64_t base, json_t *patch)
{
    char *text = JdRecord_MakePatch(base, "bench", "bench", patch);
    JdReplayResult out;

    JdStore_Replay(store, base, text, strlen(text), &out);
    free(text);
    json_decref(patch);
}

/*
 * Measures a full snapshot of a document of `services` services, and then the
 * replay of one-field patches and the deltas made and applied for them.
 */
static void
benchmark_store(int services, int patches)
{
    static JdStore source, node;
    JdError err;
    JdDelta delta;
    double start_us, replay_us = 0, make_us = 0, apply_us = 0, snapshot_us;
    size_t delta_bytes = 0;

    JdStore_Init(&source, &counters);
    JdStore_Init(&node, &counters);
    replay_patch(&source, 0, Load_GenerateServices(services));
    start_us = cpu_time_us();
    JdStore_MakeDelta(&source, 0, &delta);
    snapshot_us = cpu_time_us() - start_us;
    printf("{\"services\": %d, \"snapshot_us\": %.0f, \"snapshot_bytes\": "
           "%zu, \"snapshot_raw_bytes\": %zu, ",
           services, snapshot_us, delta.body_len, delta.raw_len);
    start_us = cpu_time_us();
    JdStore_ApplyDelta(&node, &delta, &err);
    printf("\"snapshot_apply_us\": %.0f, ", cpu_time_us() - start_us);
    for (int i = 0; i < patches; i++) {
        char name[32];

        snprintf(name, sizeof(name), "service-%04d", i % services);
        start_us = cpu_time_us();
        replay_patch(&source, source.config->version,
                     json_pack("{s:{s:{s:s}}}", "services", name, "note",
                               i % 2 == 0 ? "even" : "odd"));
        replay_us += cpu_time_us() - start_us;
        start_us = cpu_time_us();
        JdStore_MakeDelta(&source, node.config->version, &delta);
        make_us += cpu_time_us() - start_us;
        delta_bytes += delta.body_len;
        start_us = cpu_time_us();
        JdStore_ApplyDelta(&node, &delta, &err);
        apply_us += cpu_time_us() - start_us;
    }
    printf("\"replay_us\": %.0f, \"make_delta_us\": %.1f, "
           "\"apply_delta_us\": %.0f, \"delta_bytes\": %zu}\n",
           replay_us / patches, make_us / patches, apply_us / patches,
           delta_bytes / (size_t)patches);
    JdStore_Finish(&source);
    JdStore_Finish(&node);
}

/*
 * Measures the processor time of an update, and the memory and frame bytes per
 * member, in a member table of `members` members.
 */
static void
benchmark_members(int members)
{
    static JdMembers table;
    size_t memory_before = mallinfo2().uordblks;
    size_t memory, frame_bytes = 0;
    JdClock clk;
    double time_us;

    JdClock_Init(&clk, NULL, NULL);
    JdMembers_Init(&table, &clk, &counters);
    time_us = cpu_time_us();
    for (int i = 0; i < members; i++) {
        Jd__Member msg = JD__MEMBER__INIT;
        char id[32], set[32], peer[32];

        snprintf(id, sizeof(id), "node-%05d", i);
        snprintf(set, sizeof(set), "service-%04d", i % 1300);
        snprintf(peer, sizeof(peer), "10.%d.%d.%d:7000", i >> 16, i >> 8 & 255,
                 i & 255);
        msg.id = id;
        msg.incarnation = UINT64_C(1796339037000000);
        msg.seq = 1;
        msg.state = JD_MEMBER_READY;
        msg.peer = peer;
        msg.admin = peer;
        msg.via = id;
        msg.region = "region-1";
        msg.domain = "domain-01";
        msg.slots = 18;
        msg.service = set;
        msg.endpoint_set = set;
        JdMembers_Update(&table, &msg, 0);
        frame_bytes += jd__member__get_packed_size(&msg);
    }
    time_us = cpu_time_us() - time_us;
    memory = mallinfo2().uordblks - memory_before;
    printf("{\"members\": %d, \"update_us\": %.2f, \"bytes_per_member\": "
           "%.0f, \"frame_bytes_per_member\": %.0f}\n",
           members, time_us / members, (double)memory / members,
           (double)frame_bytes / members);
    JdMembers_Finish(&table);
}

/*
 * Prints the sizes of heartbeats up and down the tree and of a delta frame
 * with a patch of 100 bytes, each with the 4 bytes of length that precede a
 * frame.
 */
static void
print_frame_sizes(void)
{
    Jd__Beat beat = JD__BEAT__INIT;
    Jd__Delta delta = JD__DELTA__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    uint64_t digest[JD_DIGEST_WORDS] = {0};
    size_t up_bytes, down_bytes;

    frame.version = 59000;
    frame.body_case = JD__FRAME__BODY_BEAT;
    frame.beat = &beat;
    beat.ready = true;
    beat.source_age_ms = 900;
    down_bytes = jd__frame__get_packed_size(&frame) + 4;
    jd__beat__init(&beat);
    beat.count = 1930;
    beat.min_version = 59000;
    up_bytes = jd__frame__get_packed_size(&frame) + 4;
    delta.from = 58999;
    delta.to = 59000;
    delta.next_offset = 60000;
    delta.rules = 1;
    delta.n_digest = JD_DIGEST_WORDS;
    delta.digest = digest;
    delta.body.len = 100;
    delta.body.data = (uint8_t *)digest;
    frame.body_case = JD__FRAME__BODY_DELTA;
    frame.delta = &delta;
    printf("{\"beat_up_bytes\": %zu, \"beat_down_bytes\": %zu, "
           "\"delta_bytes_for_100_of_patch\": %zu}\n",
           up_bytes, down_bytes, jd__frame__get_packed_size(&frame) + 4);
}

/* Runs all benchmarks and prints one JSON line for each. */
int
Load_BenchmarkLibrary(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    benchmark_store(100, 200);
    benchmark_store(400, 200);
    benchmark_store(1300, 200);
    benchmark_store(2600, 100);
    benchmark_members(6750);
    benchmark_members(27000);
    print_frame_sizes();
    return 0;
}

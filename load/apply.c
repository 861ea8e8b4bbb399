/* Cost of the library's parts at the size of a large document. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <malloc.h>
#include <sys/resource.h>

#include "load.h"

static JdCounters counters;

static double
now_us(void)
{
    struct rusage ru;

    getrusage(RUSAGE_SELF, &ru);
    return (double)(ru.ru_utime.tv_sec + ru.ru_stime.tv_sec) * 1e6 +
           (double)(ru.ru_utime.tv_usec + ru.ru_stime.tv_usec);
}

static void
replay_patch(JdStore *st, uint64_t base, json_t *patch)
{
    char *text = JdRecord_Patch(base, "bench", "bench", patch);
    JdOutcome out;

    JdStore_Replay(st, base, text, strlen(text), &out);
    free(text);
    json_decref(patch);
}

/* Measures replay, delta and snapshot at `services` services. */
static void
measure_store(int services, int rounds)
{
    static JdStore reader, node;
    JdError err;
    JdDelta dlt;
    double t0, replay = 0, make = 0, apply = 0, snap;
    size_t bytes = 0;

    JdStore_Init(&reader, &counters);
    JdStore_Init(&node, &counters);
    replay_patch(&reader, 0, Load_GenerateServices(services));
    t0 = now_us();
    JdStore_MakeDelta(&reader, 0, &dlt);
    snap = now_us() - t0;
    printf("{\"services\": %d, \"snapshot_us\": %.0f, \"snapshot_bytes\": "
           "%zu, \"snapshot_raw_bytes\": %zu, ",
           services, snap, dlt.body_len, dlt.raw_len);
    t0 = now_us();
    JdStore_ApplyDelta(&node, &dlt, &err);
    printf("\"snapshot_apply_us\": %.0f, ", now_us() - t0);
    for (int i = 0; i < rounds; i++) {
        char name[32];

        snprintf(name, sizeof(name), "service-%04d", i % services);
        t0 = now_us();
        replay_patch(&reader, reader.config->version,
                     json_pack("{s:{s:{s:s}}}", "services", name, "note",
                               i % 2 == 0 ? "even" : "odd"));
        replay += now_us() - t0;
        t0 = now_us();
        JdStore_MakeDelta(&reader, node.config->version, &dlt);
        make += now_us() - t0;
        bytes += dlt.body_len;
        t0 = now_us();
        JdStore_ApplyDelta(&node, &dlt, &err);
        apply += now_us() - t0;
    }
    printf("\"replay_us\": %.0f, \"make_delta_us\": %.1f, "
           "\"apply_delta_us\": %.0f, \"delta_bytes\": %zu}\n",
           replay / rounds, make / rounds, apply / rounds,
           bytes / (size_t)rounds);
    JdStore_Finish(&reader);
    JdStore_Finish(&node);
}

/* Measures the member table at `members` members. */
static void
measure_members(int members)
{
    static JdMembers table;
    size_t before = mallinfo2().uordblks;
    size_t used, wire = 0;
    JdClock clk;
    double t0;

    JdClock_Init(&clk, NULL, NULL);
    JdMembers_Init(&table, &clk, &counters);
    t0 = now_us();
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
        wire += jd__member__get_packed_size(&msg);
    }
    t0 = now_us() - t0;
    used = mallinfo2().uordblks - before;
    printf("{\"members\": %d, \"update_us\": %.2f, \"bytes_per_member\": "
           "%.0f, \"frame_bytes_per_member\": %.0f}\n",
           members, t0 / members, (double)used / members,
           (double)wire / members);
    JdMembers_Finish(&table);
}

/* Prints the sizes of the frames that keep the tree going. */
static void
measure_frames(void)
{
    Jd__Beat beat = JD__BEAT__INIT;
    Jd__Delta delta = JD__DELTA__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    uint64_t digest[JD_DIGEST_WORDS] = {0};
    size_t up, down;

    frame.version = 59000;
    frame.body_case = JD__FRAME__BODY_BEAT;
    frame.beat = &beat;
    beat.ready = true;
    beat.source_age_ms = 900;
    down = jd__frame__get_packed_size(&frame) + 4;
    jd__beat__init(&beat);
    beat.count = 1930;
    beat.min_version = 59000;
    up = jd__frame__get_packed_size(&frame) + 4;
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
           up, down, jd__frame__get_packed_size(&frame) + 4);
}

/* Prints the cost of the parts as JSON lines. */
int
Load_BenchmarkLibrary(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    measure_store(100, 200);
    measure_store(400, 200);
    measure_store(1300, 200);
    measure_store(2600, 100);
    measure_members(6750);
    measure_members(27000);
    measure_frames();
    return 0;
}

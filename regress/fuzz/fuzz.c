/*
 * Fuzz targets for what is read from outside; FUZZ_KIND chooses one:
 * 1 frames, 2 records of the config stream, 3 patches, 4 checkpoints,
 * 5 deltas.  Settings go through the same parser as patches.
 */
#include <stdint.h>
#include <stdlib.h>

#include "jacinthdyke.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static JdCounters counters;

static void
fuzz_frame(const uint8_t *data, size_t size)
{
    Jd__Frame *frame = jd__frame__unpack(NULL, size, data);

    if (frame != NULL) {
        jd__frame__free_unpacked(frame, NULL);
    }
}

static void
fuzz_patch(const uint8_t *data, size_t size)
{
    JdConfig *old = JdConfig_New();
    JdConfig *cfg;
    JdError err;
    json_t *js;

    if (JdJson_Parse((const char *)data, size, &js, &err) == JD_OK) {
        if (JdConfig_ApplyPatch(old, js, 1, &cfg, &err) == JD_OK) {
            JdConfig_Validate(cfg, 1, &err);
            JdConfig_Unref(cfg);
        }
        json_decref(js);
    }
    JdConfig_Unref(old);
}

static void
fuzz_store(const uint8_t *data, size_t size)
{
    JdStore *st = malloc(sizeof(*st));
    JdDelta dlt = {
        .to = 1, .rules_version = 1, .body = data, .body_len = size};
    JdReplayResult out;
    JdError err;

    JdStore_Init(st, &counters);
    switch (FUZZ_KIND) {
    case 2:
        JdStore_Replay(st, 0, (const char *)data, size, &out);
        break;
    case 4:
        JdStore_Restore(st, (const char *)data, size, &err);
        break;
    default:
        dlt.raw_len = size > 0 ? data[0] * 16U : 0;
        JdStore_ApplyDelta(st, &dlt, &err);
        break;
    }
    JdStore_Finish(st);
    free(st);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    switch (FUZZ_KIND) {
    case 1:
        fuzz_frame(data, size);
        break;
    case 3:
        fuzz_patch(data, size);
        break;
    default:
        fuzz_store(data, size);
        break;
    }
    return 0;
}

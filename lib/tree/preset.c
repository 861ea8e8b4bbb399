/* The two tuned presets of the tree. */
#include <string.h>

#include "libjd.h"

static const char *const names[JD_PRESET_MAX] = {
    [JD_PRESET_CONVERGENCE] = "convergence",
    [JD_PRESET_CONTROL_BYTES] = "control-bytes",
};

static const JdTreeTuning tunings[JD_PRESET_MAX] = {
    [JD_PRESET_CONVERGENCE] =
        {
            .fan_out = 12,
            .heads = 2,
            .beat = 250 * JD_US_PER_MS,
            .silence = 1000 * JD_US_PER_MS,
            .join_wait = 200 * JD_US_PER_MS,
            .batch = 0,
            .news_delay = 20 * JD_US_PER_MS,
            .stale = 1700 * JD_US_PER_MS,
            .improve = 3 * JD_US_PER_S,
            .volunteer = 300 * JD_US_PER_MS,
        },
    [JD_PRESET_CONTROL_BYTES] =
        {
            .fan_out = 12,
            .heads = 2,
            .beat = 1000 * JD_US_PER_MS,
            .silence = 2500 * JD_US_PER_MS,
            .join_wait = 500 * JD_US_PER_MS,
            .batch = 1500 * JD_US_PER_MS,
            .news_delay = 200 * JD_US_PER_MS,
            .stale = 3500 * JD_US_PER_MS,
            .improve = 5 * JD_US_PER_S,
            .volunteer = 1000 * JD_US_PER_MS,
        },
};

/* Returns the name of a preset in the settings. */
const char *
JdPreset_Name(JdPreset preset)
{
    return preset < JD_PRESET_MAX ? names[preset] : "?";
}

/* Returns the tuning of a preset. */
const JdTreeTuning *
JdPreset_Tuning(JdPreset preset)
{
    return &tunings[preset];
}

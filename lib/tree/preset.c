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
            .heads_per_domain = 2,
            .heartbeat_interval = 250 * JD_US_PER_MS,
            .link_timeout = 1000 * JD_US_PER_MS,
            .join_timeout = 200 * JD_US_PER_MS,
            .push_interval = 0,
            .update_delay = 20 * JD_US_PER_MS,
            .max_source_age = 1700 * JD_US_PER_MS,
            .reparent_interval = 3 * JD_US_PER_S,
            .promotion_delay = 300 * JD_US_PER_MS,
        },
    [JD_PRESET_CONTROL_BYTES] =
        {
            .fan_out = 12,
            .heads_per_domain = 2,
            .heartbeat_interval = 1000 * JD_US_PER_MS,
            .link_timeout = 2500 * JD_US_PER_MS,
            .join_timeout = 500 * JD_US_PER_MS,
            .push_interval = 1500 * JD_US_PER_MS,
            .update_delay = 200 * JD_US_PER_MS,
            .max_source_age = 3500 * JD_US_PER_MS,
            .reparent_interval = 5 * JD_US_PER_S,
            .promotion_delay = 1000 * JD_US_PER_MS,
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

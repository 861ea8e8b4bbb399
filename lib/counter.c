/* Metric names and descriptions of the counters. */
#include "libjd.h"

static const struct {
    const char *name;
    const char *help;
} counters[JD_COUNTER_MAX] = {
#define JD_COUNTER(id, name, help) [id] = {name, help},
#include "counters.def"
#undef JD_COUNTER
};

/* Returns the metric name of a counter without the prefix of the program. */
const char *
JdCounter_Name(JdCounter id)
{
    return id < JD_COUNTER_MAX ? counters[id].name : "?";
}

/* Returns the one-sentence description of a counter. */
const char *
JdCounter_Help(JdCounter id)
{
    return id < JD_COUNTER_MAX ? counters[id].help : "?";
}

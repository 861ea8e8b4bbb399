/* The load and experiment tool. */
#ifndef JD_LOAD_H
#define JD_LOAD_H

#include <glib.h>

#include "../base/base.h"
#include "../operator/ctl.h"

/* ---- histogram.c ------------------------------------------------------- */

#define HISTOGRAM_SUBBUCKET_BITS 5
#define HISTOGRAM_BUCKETS (64 << HISTOGRAM_SUBBUCKET_BITS)

/* Counts of values with a relative error of one part in 32. */
typedef struct Histogram {
    uint64_t counts[HISTOGRAM_BUCKETS];
    uint64_t total;
    uint64_t max;
} Histogram;

void Histogram_Init(Histogram *h);
void Histogram_Add(Histogram *h, uint64_t value);
uint64_t Histogram_Quantile(const Histogram *h, double q);

/* ---- document.c -------------------------------------------------------- */

json_t *Load_GenerateServices(int n);

/* ---- subcommands ------------------------------------------------------- */

/* experiment.c: requests */
int Load_RunExperiment(int argc, char **argv);
/* spread.c: convergence */
int Load_MeasureConvergence(int argc, char **argv);
/* spread.c: after a fault */
int Load_MeasureApplyDelay(int argc, char **argv);
/* apply.c: cost of the parts */
int Load_BenchmarkLibrary(int argc, char **argv);

#endif

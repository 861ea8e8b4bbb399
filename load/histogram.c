/* Histogram with buckets of constant relative width. */
#include <string.h>

#include "load.h"

/* Empties a histogram. */
void
Histogram_Init(Histogram *h)
{
    memset(h, 0, sizeof(*h));
}

static size_t
bucket_of(uint64_t v)
{
    unsigned top;

    if (v < (1U << HISTOGRAM_SUBBUCKET_BITS)) {
        return (size_t)v;
    }
    top = 63U - (unsigned)__builtin_clzll(v);
    return ((size_t)(top - HISTOGRAM_SUBBUCKET_BITS + 1)
            << HISTOGRAM_SUBBUCKET_BITS) +
           (size_t)((v >> (top - HISTOGRAM_SUBBUCKET_BITS)) &
                    ((1U << HISTOGRAM_SUBBUCKET_BITS) - 1));
}

/* The highest value that falls into a bucket. */
static uint64_t
top_of(size_t i)
{
    size_t shift = i >> HISTOGRAM_SUBBUCKET_BITS;
    uint64_t low = i & ((1U << HISTOGRAM_SUBBUCKET_BITS) - 1);

    if (shift == 0) {
        return low;
    }
    return ((low + (1U << HISTOGRAM_SUBBUCKET_BITS) + 1) << (shift - 1)) - 1;
}

/* Counts one value. */
void
Histogram_Add(Histogram *h, uint64_t value)
{
    h->counts[bucket_of(value)]++;
    h->total++;
    if (value > h->max) {
        h->max = value;
    }
}

/* Returns the value that a share `q` of all values does not exceed. */
uint64_t
Histogram_Quantile(const Histogram *h, double q)
{
    uint64_t want = (uint64_t)((double)h->total * q + 0.999999);
    uint64_t seen = 0;

    for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
        seen += h->counts[i];
        if (seen >= want && seen > 0) {
            uint64_t top = top_of(i);

            return top < h->max ? top : h->max;
        }
    }
    return h->max;
}

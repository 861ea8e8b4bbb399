/* Histogram with buckets of constant relative width, as in HdrHistogram. */
#include <string.h>

#include "load.h"

/* Resets a histogram to empty. */
void
Histogram_Init(Histogram *h)
{
    memset(h, 0, sizeof(*h));
}

static size_t
bucket_index(uint64_t v)
{
    unsigned high_bit;

    if (v < (1U << HISTOGRAM_SUBBUCKET_BITS)) {
        return (size_t)v;
    }
    high_bit = 63U - (unsigned)__builtin_clzll(v);
    return ((size_t)(high_bit - HISTOGRAM_SUBBUCKET_BITS + 1)
            << HISTOGRAM_SUBBUCKET_BITS) +
           (size_t)((v >> (high_bit - HISTOGRAM_SUBBUCKET_BITS)) &
                    ((1U << HISTOGRAM_SUBBUCKET_BITS) - 1));
}

/* Returns the highest value that falls into a bucket. */
static uint64_t
bucket_upper_bound(size_t index)
{
    size_t shift = index >> HISTOGRAM_SUBBUCKET_BITS;
    uint64_t low = index & ((1U << HISTOGRAM_SUBBUCKET_BITS) - 1);

    if (shift == 0) {
        return low;
    }
    return ((low + (1U << HISTOGRAM_SUBBUCKET_BITS) + 1) << (shift - 1)) - 1;
}

/* Records one value. */
void
Histogram_Add(Histogram *h, uint64_t value)
{
    h->counts[bucket_index(value)]++;
    h->total++;
    if (value > h->max) {
        h->max = value;
    }
}

/*
 * Returns the `q` quantile (0 to 1), rounded up to the upper bound of its
 * bucket, but at most the highest value recorded.
 */
uint64_t
Histogram_Quantile(const Histogram *h, double q)
{
    uint64_t rank = (uint64_t)((double)h->total * q + 0.999999);
    uint64_t seen = 0;

    for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
        seen += h->counts[i];
        if (seen >= rank && seen > 0) {
            uint64_t bound = bucket_upper_bound(i);

            return bound < h->max ? bound : h->max;
        }
    }
    return h->max;
}

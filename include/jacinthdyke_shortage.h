/*
 * Decisions when callers ask for more than the targets can do.  Include
 * jacinthdyke.h instead of this file.
 */
#ifndef JACINTHDYKE_SHORTAGE_H
#define JACINTHDYKE_SHORTAGE_H

/* ---- lib/admission/policy.c: where these decisions apply --------------- */

bool JdConfig_AsksForShares(const JdConfig *cfg);

/* ---- lib/admission/transit.c: time that messages spend on the way ------ */

/* One direction of a connection. */
typedef struct JdTransit {
    bool is_known;
    uint32_t least_offset_ms; /* between the clocks, with the usual delay */
} JdTransit;

uint32_t JdTransit_Stamp(uint64_t now);
uint64_t JdTransit_Record(JdTransit *tr, uint32_t stamp, uint64_t now);

#endif

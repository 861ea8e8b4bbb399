/*
 * Requests under which targets crashed.  Include jacinthdyke.h instead of this
 * file.
 */
#ifndef JACINTHDYKE_CRASH_H
#define JACINTHDYKE_CRASH_H

/* ---- crash.c: requests that crash targets ------------------------------ */

/* Identifies a request by what a target gets of it, whoever takes it and
 * whatever its id is. */
typedef struct JdFingerprint {
    uint64_t word[2];
} JdFingerprint;

/* Size of a fingerprint as text, with its NUL. */
#define JD_FINGERPRINT_TEXT_MAX 33

void JdFingerprint_OfRequest(JdFingerprint *fp, const Jd__Request *msg);
void JdFingerprint_Format(const JdFingerprint *fp,
                          char out[JD_FINGERPRINT_TEXT_MAX]);

#endif

/* Records of crashes as text, for the source of configuration and operators.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libjd.h"

/* Digits of a number, and of the two numbers of a crash with the space that
 * follows it. */
#define WORD_DIGITS 16
#define CRASH_TEXT_LEN (2 * WORD_DIGITS + 1)

/* Formats the crashes of a record that are not cleared: process and caller of
 * each as hexadecimal numbers, separated by spaces.  Empty if there are none.
 */
void
JdCrashRecord_Format(const JdCrashRecord *rec, char out[JD_CRASHES_TEXT_MAX])
{
    size_t n = 0;

    out[0] = '\0';
    for (unsigned i = 0; i < rec->crash_count; i++) {
        const JdCrash *crash = &rec->crash[i];

        if (!crash->is_cleared) {
            n += (size_t)snprintf(out + n, JD_CRASHES_TEXT_MAX - n,
                                  "%s%016" PRIx64 "%016" PRIx64,
                                  n == 0 ? "" : " ", crash->process,
                                  crash->caller);
        }
    }
}

/* Reads two numbers of 16 hexadecimal digits each.  Returns false if the text
 * is anything else. */
static bool
parse_pair(const char *text, size_t len, uint64_t out[2])
{
    if (len != CRASH_TEXT_LEN - 1) {
        return false;
    }
    for (size_t i = 0; i < 2; i++) {
        char word[WORD_DIGITS + 1] = "";

        memcpy(word, text + i * WORD_DIGITS, WORD_DIGITS);
        if (strspn(word, "0123456789abcdef") != WORD_DIGITS) {
            return false;
        }
        out[i] = strtoull(word, NULL, 16);
    }
    return true;
}

/* Returns whether a text has the form of JdCrashRecord_Format. */
static bool
is_crash_list(const char *text, size_t len)
{
    uint64_t pair[2];

    for (size_t at = 0; at < len; at += CRASH_TEXT_LEN) {
        bool is_last = len - at < CRASH_TEXT_LEN;

        if (!parse_pair(text + at, is_last ? len - at : CRASH_TEXT_LEN - 1,
                        pair) ||
            (!is_last && text[at + CRASH_TEXT_LEN - 1] != ' ')) {
            return false;
        }
    }
    return len > 0 && len < JD_CRASHES_TEXT_MAX;
}

/* Adds the crashes of a request from the texts of its fingerprint and of a
 * record.  Returns its record, or NULL if a text is malformed. */
JdCrashRecord *
JdCrashTable_Parse(JdCrashTable *ct, const char *request, size_t request_len,
                   const char *crashes, size_t crashes_len)
{
    JdFingerprint fp = {.caller = 0};
    uint64_t pair[2];

    if (!parse_pair(request, request_len, fp.word) ||
        !is_crash_list(crashes, crashes_len)) {
        return NULL;
    }
    for (size_t at = 0; at < crashes_len; at += CRASH_TEXT_LEN) {
        if (parse_pair(crashes + at, CRASH_TEXT_LEN - 1, pair)) {
            JdCrash crash = {.process = pair[0], .caller = pair[1]};

            JdCrashTable_Add(ct, &fp, &crash, 0);
        }
    }
    return JdCrashTable_Find(ct, &fp);
}

/* Clears the crashes of a request, given as text, with all callers.  Returns
 * false if there are none. */
bool
JdCrashTable_ClearText(JdCrashTable *ct, const char *request)
{
    JdFingerprint fp = {.caller = 0};

    return parse_pair(request, strlen(request), fp.word) &&
           _JdCrashTable_ClearAll(ct, &fp);
}
